"""Encodes and decodes values that msgspec does not support by itself."""

from typing import Any
from typing import TypeVar

import msgspec

from arbutusstall._tables import versions

# Larger integers have no representation in msgpack.
_MAX_MSGPACK_INT = (1 << 63) - 1
_HEX = 16

T = TypeVar("T")


def json_encode(value: Any, *, is_sorted: bool = False) -> bytes:
    """Return the value as JSON.

    Args:
        is_sorted: Whether the keys of objects are sorted, so that equal
            values have equal encodings.
    """
    return msgspec.json.encode(
        value,
        enc_hook=_to_json,
        order="sorted" if is_sorted else None,
    )


def msgpack_encoder(*, is_ordered: bool = False) -> msgspec.msgpack.Encoder:
    """Return an encoder; versions beyond 63 bits become hexadecimal text.

    Args:
        is_ordered: Whether equal values have equal encodings.
    """
    return msgspec.msgpack.Encoder(
        enc_hook=_to_msgpack, order="deterministic" if is_ordered else None
    )


def msgpack_decoder(kind: type[T]) -> "msgspec.msgpack.Decoder[T]":
    """Return a decoder of values of type ``kind``."""
    return msgspec.msgpack.Decoder(kind, dec_hook=_decode)


def _to_json(value: Any) -> msgspec.Raw:
    if isinstance(value, versions.Version):
        return msgspec.Raw(b"%d" % value)
    raise NotImplementedError(type(value).__name__)


def _to_msgpack(value: Any) -> int | str:
    if not isinstance(value, versions.Version):
        raise NotImplementedError(type(value).__name__)
    return int(value) if value <= _MAX_MSGPACK_INT else f"{value:x}"


def _decode(kind: type[Any], value: Any) -> versions.Version:
    if kind is not versions.Version:
        raise NotImplementedError(kind.__name__)
    if isinstance(value, str):
        value = int(value, _HEX)
    if not isinstance(value, int):
        raise ValueError(f"{value!r} is not a version")
    return versions.checked(value)
