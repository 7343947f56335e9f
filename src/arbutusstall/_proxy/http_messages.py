"""HTTP/1.1 requests and responses, and their encoding."""

import dataclasses
from http import HTTPStatus

Headers = tuple[tuple[str, str], ...]

_BODILESS_STATUSES = frozenset({204, 304})
_PHRASES_BY_STATUS = {item.value: item.phrase for item in HTTPStatus}


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Request:
    """A complete request.

    Attributes:
        target: Request target as it was sent: path and query.
        peer: IP address of the sender.
    """

    method: str
    target: str
    headers: Headers = ()
    body: bytes = b""
    peer: str = ""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Response:
    """A complete response.

    Attributes:
        length: Content-Length of an answer to HEAD, which has no body; None
            for the length of the body.
    """

    status: int
    headers: Headers = ()
    body: bytes = b""
    length: int | None = None


def get_header(headers: Headers, lower_name: str) -> str:
    """Return the first value of a header; empty if it is absent.

    Args:
        lower_name: Name of the header in lower case.
    """
    for name, value in headers:
        if name.lower() == lower_name:
            return value
    return ""


def encode_request(request: Request, host: str) -> bytes:
    """Return the encoded request.

    Content-Length is left out only for GET, HEAD and DELETE without a body.

    Args:
        host: Value of the Host header; if empty, the header is not added.
    """
    lines = [f"{request.method} {request.target} HTTP/1.1"]
    if host:
        lines.append(f"Host: {host}")
    lines += [f"{name}: {value}" for name, value in request.headers]
    if request.body or request.method not in ("GET", "HEAD", "DELETE"):
        lines.append(f"Content-Length: {len(request.body)}")
    return _encode_head(lines) + request.body


def encode_response(
    response: Response, *, close: bool, head_only: bool = False
) -> bytes:
    """Return the encoded response.

    Args:
        close: Whether the connection is closed after the response.
        head_only: Whether the method of the request was HEAD.
    """
    status = response.status
    lines = [f"HTTP/1.1 {status} {_PHRASES_BY_STATUS.get(status, '')}"]
    lines += [f"{name}: {value}" for name, value in response.headers]
    if status not in _BODILESS_STATUSES:
        length = response.length
        if length is None:
            length = len(response.body)
        lines.append(f"Content-Length: {length}")
    if close:
        lines.append("Connection: close")
    head = _encode_head(lines)
    if head_only or status in _BODILESS_STATUSES:
        return head
    return head + response.body


def is_bodiless(status: int) -> bool:
    """Return whether responses with ``status`` never have a body."""
    return status in _BODILESS_STATUSES


def _encode_head(lines: list[str]) -> bytes:
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")
