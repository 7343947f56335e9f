"""Reading checked JSON files."""

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
    """What is wrong with a file, and the JSON path of the place."""

    path: str
    reason: str

    def __str__(self) -> str:
        return f"{self.path}: {self.reason}"


class _Repeated(dict[str, Any]):
    """A JSON object in which ``key`` occurred more than once."""

    def __init__(self, pairs: abc.Iterable[tuple[str, Any]], key: str) -> None:
        super().__init__(pairs)
        self.key = key


class _Constant:
    """A number that JSON does not have, such as NaN."""

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
    """Escape what would break the line or the terminal."""
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
            text, object_pairs_hook=_object, parse_constant=_Constant
        )
    except RecursionError as exc:
        raise invalid(name, "$", "nested too deeply") from exc
    except ValueError as exc:
        raise invalid(name, "$", f"no valid JSON: {exc}") from exc


def _object(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    found = dict(pairs)
    if len(found) == len(pairs):
        return found
    seen: set[str] = set()
    for key, _ in pairs:
        if key in seen:
            return _Repeated(pairs, key)
        seen.add(key)
    return found


def _problems(
    value: Any, kind: Any, path: str, depth: int
) -> abc.Iterator[Problem]:
    if depth > MAX_DEPTH:
        yield Problem(path="$", reason="nested too deeply")
        return
    if isinstance(value, _Constant):
        yield Problem(path=path, reason=f"{value.text} is not a number")
    elif isinstance(value, float) and value in (float("inf"), -float("inf")):
        yield Problem(path=path, reason="the number is too large")
    elif isinstance(value, dict):
        yield from _object_problems(value, _row_kind(kind), path, depth)
    elif isinstance(value, list):
        inner = _item_kind(kind, 0)
        for index, item in enumerate(value):
            where = f"{path}[{index}]"
            yield from _problems(item, inner, where, depth + 1)


def _object_problems(
    value: dict[str, Any], kind: Any, path: str, depth: int
) -> abc.Iterator[Problem]:
    if isinstance(value, _Repeated):
        yield Problem(
            path=f"{path}.{value.key}", reason=f"duplicate key {value.key!r}"
        )
    fields: abc.Mapping[str, Any] | None = None
    if dataclasses.is_dataclass(kind):
        fields = get_type_hints(kind)
    for key, item in value.items():
        if fields is not None and key not in fields:
            yield Problem(path=f"{path}.{key}", reason=f"unknown key {key!r}")
        inner = fields.get(key) if fields else _item_kind(kind, 1)
        yield from _problems(item, inner, f"{path}.{key}", depth + 1)


def _row_kind(kind: Any) -> Any:
    if isinstance(kind, types.UnionType):
        rows = [item for item in get_args(kind) if item is not type(None)]
        return rows[0]
    return kind


def _item_kind(kind: Any, index: int) -> Any:
    arguments = get_args(kind) if get_origin(kind) else ()
    return arguments[index] if index < len(arguments) else None
