"""Types and ranges of values that other processes send.

The types are checked by msgspec while it decodes a value. `decode_json`
reports everything that can be wrong with a text from outside as one error.
"""

from typing import Annotated
from typing import TypeVar

import msgspec

from arbutusstall import errors

# The largest integers that all encodings and counters can hold.
MAX_INT = (1 << 53) - 1
MAX_COUNT = (1 << 31) - 1
MAX_NAME_CHARS = 200
_PORT = (
    r"(?:[1-9][0-9]{0,3}|[1-5][0-9]{4}|6[0-4][0-9]{3}"
    r"|65[0-4][0-9][0-9]|655[0-2][0-9]|6553[0-5])"
)
_HOST = r"[0-9A-Za-z](?:[0-9A-Za-z_.-]{0,251}[0-9A-Za-z])?"

_TEXT = r"\A[^\x00-\x1f\x7f]*\Z"

Name = Annotated[str, msgspec.Meta(max_length=MAX_NAME_CHARS, pattern=_TEXT)]
"""Text without control characters; may be empty."""

Token = Annotated[
    str, msgspec.Meta(max_length=MAX_NAME_CHARS, pattern=r"\A[\x21-\x7e]+\Z")
]
"""Visible ASCII characters without spaces, as in a header."""

Address = Annotated[str, msgspec.Meta(pattern=rf"\A{_HOST}:{_PORT}\Z")]
"""Host and port, such as ``127.0.0.1:7600``."""

OptionalAddress = Annotated[
    str, msgspec.Meta(pattern=rf"\A(?:{_HOST}:{_PORT})?\Z")
]
"""An address, or an empty text."""

Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNT)]
"""A number of things that a process keeps or runs."""

Slots = Annotated[int, msgspec.Meta(ge=1, le=MAX_COUNT)]
"""The number of requests that a target runs concurrently."""

Number = Annotated[int, msgspec.Meta(ge=0, le=MAX_INT)]
"""A sequence number, a size in bytes, or milliseconds since the epoch."""

Weight = Annotated[float, msgspec.Meta(ge=0.0, le=float(MAX_INT))]
"""A relative weight."""

T = TypeVar("T")


def decode_json(data: bytes, kind: type[T], *, step: str) -> T:
    """Decode a JSON text from outside.

    Args:
        step: What is decoded, for the error.

    Raises:
        WireError: The text is malformed or nested too deeply, or a value
            has another type or is out of range.
    """
    try:
        return msgspec.json.decode(data, type=kind)
    except (msgspec.MsgspecError, ValueError, RecursionError) as exc:
        raise errors.WireError(step=step, peer="-", reason=str(exc)) from exc


def check_name(text: str) -> str:
    """Return a name that was not decoded by msgspec, such as part of a URL.

    Raises:
        ValueError: It is empty, longer than 200 characters or has
            characters other than visible ASCII ones.
    """
    return msgspec.convert(text, Token)
