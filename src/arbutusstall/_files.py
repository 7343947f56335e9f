"""Reading checked JSON files."""

import json
import pathlib
from typing import Any
from typing import TypeVar

import msgspec

from arbutusstall import errors

MAX_FILE_BYTES = 4 * 1024 * 1024

T = TypeVar("T")


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
        if path.stat().st_size > MAX_FILE_BYTES:
            raise invalid(str(path), "$", "the file is too large")
        return path.read_bytes()
    except OSError as exc:
        raise invalid(str(path), "$", str(exc.strerror)) from exc


def decode(data: bytes, kind: type[T], name: str) -> T:
    """Decode JSON bytes that came from the file ``name``.

    Raises:
        InvalidFile: As for `load`.
    """
    try:
        tree = json.loads(
            data.decode(),
            object_pairs_hook=_unique,
            parse_constant=_refuse_constant,
        )
        return msgspec.convert(tree, kind)
    except RecursionError as exc:
        raise invalid(name, "$", "nested too deeply") from exc
    except msgspec.ValidationError as exc:
        reason, _, where = str(exc).partition(" - at ")
        raise invalid(name, where.strip("`") or "$", reason) from exc
    except ValueError as exc:
        raise invalid(name, "$", str(exc)) from exc


def invalid(name: str, path: str, reason: str) -> errors.InvalidFile:
    """Return the error for the JSON path ``path`` in file ``name``."""
    return errors.InvalidFile(
        step="file.check", peer=name, reason=f"{path}: {reason}"
    )


def _unique(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    found = dict(pairs)
    if len(found) != len(pairs):
        names = [name for name, _ in pairs]
        twice = next(name for name in names if names.count(name) > 1)
        raise ValueError(f"duplicate key {twice!r}")
    return found


def _refuse_constant(text: str) -> Any:
    raise ValueError(f"{text} is not a number")
