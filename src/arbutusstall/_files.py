"""Reads JSON files and checks them strictly against data classes."""

from collections import abc
import dataclasses
import json
import pathlib
import types
from typing import Any
from typing import get_args
from typing import get_origin
from typing import get_type_hints
from typing import TypeVar

import msgspec

from arbutusstall import errors

MAX_FILE_BYTES = 4 * 1024 * 1024
MAX_DEPTH = 32

T = TypeVar("T")


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Problem:
    """A problem in a file.

    Attributes:
        path: JSON path of the place, such as ``$.log.url``.
        reason: What is wrong there.
    """

    path: str
    reason: str

    def __str__(self) -> str:
        return f"{self.path}: {self.reason}"


class _DuplicateKeyObject(dict[str, Any]):
    """A JSON object in which ``key`` occurs more than once."""

    def __init__(self, pairs: abc.Iterable[tuple[str, Any]], key: str) -> None:
        super().__init__(pairs)
        self.key = key


class _NonFiniteNumber:
    """NaN or an infinity, which Python's decoder accepts but JSON forbids."""

    def __init__(self, text: str) -> None:
        self.text = text


def load(path: pathlib.Path, kind: type[T]) -> T:
    """Decode the JSON file at ``path`` into ``kind``.

    Raises:
        InvalidFile: The file is missing, too large, malformed, has a
            duplicate or unknown key, or a value of the wrong type.
    """
    return decode(read(path), kind, str(path))


def read(path: pathlib.Path) -> bytes:
    """Return the bytes of the file at ``path``.

    Raises:
        InvalidFile: The file cannot be read or is too large.
    """
    try:
        with path.open("rb") as file:
            data = file.read(MAX_FILE_BYTES + 1)
    except OSError as exc:
        raise invalid(str(path), "$", str(exc.strerror)) from exc
    except ValueError as exc:
        raise invalid(str(path), "$", str(exc)) from exc
    if len(data) > MAX_FILE_BYTES:
        reason = f"the file is larger than {MAX_FILE_BYTES} bytes"
        raise invalid(str(path), "$", reason)
    return data


def decode(data: bytes, kind: type[T], name: str) -> T:
    """Decode JSON bytes that came from the file ``name``.

    Raises:
        InvalidFile: As for `load`.
    """
    tree = _parse(data, name)
    for problem in _problems(tree, kind, "$", 0):
        raise invalid(name, problem.path, problem.reason)
    try:
        return msgspec.convert(tree, kind)
    except msgspec.ValidationError as exc:
        reason, _, where = str(exc).partition(" - at ")
        raise invalid(name, where.strip("`") or "$", reason) from exc
    except (ValueError, OverflowError) as exc:
        raise invalid(name, "$", str(exc)) from exc


def invalid(name: str, path: str, reason: str) -> errors.InvalidFile:
    """Return the error for the JSON path ``path`` in file ``name``."""
    return errors.InvalidFile(
        step="file.check",
        peer=_printable(name),
        reason=_printable(f"{path}: {reason}"),
    )


def _printable(text: str) -> str:
    """Escape characters that would break the line or the terminal."""
    return "".join(
        char if char.isprintable() else ascii(char)[1:-1] for char in text
    )


def _parse(data: bytes, name: str) -> Any:
    try:
        text = data.decode()
    except UnicodeDecodeError as exc:
        reason = f"byte {exc.start} is not UTF-8"
        raise invalid(name, "$", reason) from exc
    try:
        return json.loads(
            text,
            object_pairs_hook=_build_object,
            parse_constant=_NonFiniteNumber,
        )
    except RecursionError as exc:
        raise invalid(name, "$", "nested too deeply") from exc
    except ValueError as exc:
        raise invalid(name, "$", f"not valid JSON: {exc}") from exc


def _build_object(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    unique = dict(pairs)
    if len(unique) == len(pairs):
        return unique
    seen: set[str] = set()
    for key, _ in pairs:
        if key in seen:
            return _DuplicateKeyObject(pairs, key)
        seen.add(key)
    return unique


def _problems(
    value: Any, kind: Any, path: str, depth: int
) -> abc.Iterator[Problem]:
    if depth > MAX_DEPTH:
        yield Problem(path="$", reason="nested too deeply")
        return
    if isinstance(value, _NonFiniteNumber):
        yield Problem(path=path, reason=f"{value.text} is not a number")
    elif isinstance(value, float) and value in (float("inf"), -float("inf")):
        yield Problem(path=path, reason="the number is too large")
    elif isinstance(value, dict):
        yield from _object_problems(value, _unwrap_optional(kind), path, depth)
    elif isinstance(value, list):
        item_kind = _type_argument(kind, 0)
        for index, item in enumerate(value):
            item_path = f"{path}[{index}]"
            yield from _problems(item, item_kind, item_path, depth + 1)


def _object_problems(
    value: dict[str, Any], kind: Any, path: str, depth: int
) -> abc.Iterator[Problem]:
    if isinstance(value, _DuplicateKeyObject):
        yield Problem(
            path=f"{path}.{value.key}", reason=f"duplicate key {value.key!r}"
        )
    fields: abc.Mapping[str, Any] | None = None
    if dataclasses.is_dataclass(kind):
        fields = get_type_hints(kind)
    for key, item in value.items():
        if fields is not None and key not in fields:
            yield Problem(path=f"{path}.{key}", reason=f"unknown key {key!r}")
        item_kind = fields.get(key) if fields else _type_argument(kind, 1)
        yield from _problems(item, item_kind, f"{path}.{key}", depth + 1)


def _unwrap_optional(kind: Any) -> Any:
    if isinstance(kind, types.UnionType):
        members = [item for item in get_args(kind) if item is not type(None)]
        return members[0]
    return kind


def _type_argument(kind: Any, index: int) -> Any:
    arguments = get_args(kind) if get_origin(kind) else ()
    return arguments[index] if index < len(arguments) else None
