"""HTTP requests by pycurl, one reused handle for each thread."""

import dataclasses
import io
import threading

import pycurl

from arbutusstall import errors

_local = threading.local()


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Request:
    """An HTTP request.

    Attributes:
        timeout_s: Limit for the whole exchange in seconds.
        connect_timeout_s: Limit for opening a connection in seconds.
    """

    method: str
    url: str
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""
    timeout_s: float = 5.0
    connect_timeout_s: float = 1.0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Response:
    """A whole HTTP response."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


def send(request: Request) -> Response:
    """Send the request and return the whole response.

    Raises:
        PeerUnavailable: No connection was made, so nothing was sent.
        OutcomeUnknown: The exchange broke off or timed out.
    """
    handle: pycurl.Curl = getattr(_local, "handle", None) or pycurl.Curl()
    _local.handle = handle
    body = io.BytesIO()
    lines: list[bytes] = []
    _prepare(handle, request)
    handle.setopt(pycurl.WRITEFUNCTION, body.write)
    handle.setopt(pycurl.HEADERFUNCTION, lines.append)
    try:
        handle.perform()
        return Response(
            status=handle.getinfo(pycurl.RESPONSE_CODE),
            headers=_headers(lines),
            body=body.getvalue(),
        )
    except pycurl.error as exc:
        raise _error(request, exc) from exc


def _prepare(handle: pycurl.Curl, request: Request) -> None:
    handle.reset()
    handle.setopt(pycurl.URL, request.url)
    handle.setopt(pycurl.NOSIGNAL, 1)
    handle.setopt(pycurl.TCP_NODELAY, 1)
    handle.setopt(pycurl.CUSTOMREQUEST, request.method)
    handle.setopt(pycurl.TIMEOUT_MS, max(1, int(request.timeout_s * 1000)))
    handle.setopt(
        pycurl.CONNECTTIMEOUT_MS,
        max(1, int(request.connect_timeout_s * 1000)),
    )
    headers = [f"{name}: {value}" for name, value in request.headers]
    headers.append("Expect:")
    handle.setopt(pycurl.HTTPHEADER, headers)
    if request.method == "HEAD":
        handle.setopt(pycurl.NOBODY, 1)
    if request.body:
        handle.setopt(pycurl.POSTFIELDS, request.body)


def _headers(lines: list[bytes]) -> tuple[tuple[str, str], ...]:
    pairs = []
    for line in lines:
        name, colon, value = line.decode("latin-1").partition(":")
        if colon:
            pairs.append((name.strip(), value.strip()))
    return tuple(pairs)


def _error(request: Request, exc: pycurl.error) -> errors.ArbutusstallError:
    code, reason = exc.args[0], str(exc.args[1])
    if code in (pycurl.E_COULDNT_CONNECT, pycurl.E_COULDNT_RESOLVE_HOST):
        return errors.PeerUnavailable(
            step="http.connect", peer=request.url, reason=reason
        )
    return errors.OutcomeUnknown(
        step="http.exchange", peer=request.url, reason=reason
    )
