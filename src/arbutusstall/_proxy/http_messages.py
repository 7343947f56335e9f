"""HTTP/1.1 requests and responses as they are read and written."""

import dataclasses
from http import HTTPStatus

Headers = tuple[tuple[str, str], ...]

_BODILESS = frozenset({204, 304})
_PHRASES_BY_STATUS = {item.value: item.phrase for item in HTTPStatus}


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Request:
    """A whole request.

    Attributes:
        target: Request target as it was sent, path and query.
        peer: Address of the sender without the port.
    """

    method: str
    target: str
    headers: Headers = ()
    body: bytes = b""
    peer: str = ""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Response:
    """A whole response."""

    status: int
    headers: Headers = ()
    body: bytes = b""


def get(pairs: Headers, wanted: str) -> str:
    """Return the first value of a header, empty if it is absent.

    Args:
        wanted: Name in lower case.
    """
    for name, value in pairs:
        if name.lower() == wanted:
            return value
    return ""


def encode_request(request: Request, host: str) -> bytes:
    """Return the bytes of a request; its body always has a length."""
    lines = [f"{request.method} {request.target} HTTP/1.1"]
    if host:
        lines.append(f"Host: {host}")
    lines += [f"{name}: {value}" for name, value in request.headers]
    if request.body or request.method not in ("GET", "HEAD", "DELETE"):
        lines.append(f"Content-Length: {len(request.body)}")
    return _head(lines) + request.body


def encode_response(
    response: Response, *, close: bool, head_only: bool = False
) -> bytes:
    """Return the bytes of a response.

    Args:
        close: Whether the connection is closed after it.
        head_only: Whether the request was a HEAD.
    """
    status = response.status
    lines = [f"HTTP/1.1 {status} {_PHRASES_BY_STATUS.get(status, '')}"]
    lines += [f"{name}: {value}" for name, value in response.headers]
    if status not in _BODILESS:
        lines.append(f"Content-Length: {len(response.body)}")
    if close:
        lines.append("Connection: close")
    head = _head(lines)
    if head_only or status in _BODILESS:
        return head
    return head + response.body


def is_bodiless(status: int) -> bool:
    """Tell whether responses with ``status`` never have a body."""
    return status in _BODILESS


def _head(lines: list[str]) -> bytes:
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")
