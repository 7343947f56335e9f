"""HTTP requests by pycurl.

libcurl sends a request a second time by itself when a reused connection
turns out to be dead. That is prevented here: at most one head leaves
for each `send`, and it is known whether one left at all.
"""

import collections
from collections import abc
import contextlib
import dataclasses
import io
import re
import socket
import threading
from typing import Any

import pycurl

from arbutusstall import errors

_SWITCHING = re.compile(rb"HTTP/\S+ 1\d\d")
_BODILESS = frozenset({204, 304})
_DEFAULT_MAX_IDLE = 8
_MAX_HEAD_BYTES = 256 * 1024
# What a callback returns to let libcurl end the exchange.
_ABORT = -1


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Request:
    """An HTTP request.

    Attributes:
        timeout_s: Limit for the whole exchange in seconds.
        connect_timeout_s: Limit for opening a connection in seconds.
        fresh: Whether a new connection must be opened.
        answer_bytes: Most bytes of the answer's body.
    """

    method: str
    url: str
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""
    timeout_s: float = 5.0
    connect_timeout_s: float = 1.0
    fresh: bool = False
    answer_bytes: int = 64 * 1024 * 1024


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Response:
    """A whole HTTP response."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


class _Received:
    """Collects an answer up to its limits."""

    def __init__(self, body_bytes: int) -> None:
        self.body = io.BytesIO()
        self.lines: list[bytes] = []
        self._body_bytes = body_bytes
        self._head_bytes = 0

    def write(self, data: bytes) -> int:
        """Keep a part of the body."""
        if self.body.tell() + len(data) > self._body_bytes:
            return _ABORT
        return self.body.write(data)

    def add_line(self, line: bytes) -> int:
        """Keep a line of a head; interim answers have heads as well."""
        self._head_bytes += len(line)
        if self._head_bytes > _MAX_HEAD_BYTES:
            return _ABORT
        self.lines.append(line)
        return len(line)


class Connection:
    """A curl handle with the one connection that it keeps."""

    def __init__(self) -> None:
        self._curl = pycurl.Curl()
        self._socket: socket.socket | None = None
        self._heads = 0
        self._broken = False
        self._prepare()

    def send(self, request: Request) -> Response:
        """Send the request and return the whole response.

        Raises:
            PeerUnavailable: No byte of the request was sent.
            OutcomeUnknown: The exchange broke off or timed out.
        """
        curl = self._curl
        received = _Received(request.answer_bytes)
        self._heads = 0
        self._set(request)
        curl.setopt(pycurl.WRITEFUNCTION, received.write)
        curl.setopt(pycurl.HEADERFUNCTION, received.add_line)
        try:
            curl.perform()
        except pycurl.error as exc:
            self._broken = True
            raise self._error(request, exc) from exc
        return self._response(
            request, received.lines, received.body.getvalue()
        )

    def abort(self) -> None:
        """Break off the exchange that another thread waits for."""
        sock = self._socket
        if sock is not None:
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)

    def close(self) -> None:
        """Close the connection."""
        self._curl.close()
        # libcurl works on a duplicate, so this one keeps it open too.
        if self._socket is not None:
            self._socket.close()

    @property
    def reusable(self) -> bool:
        """Whether the last exchange was finished cleanly."""
        return not self._broken

    def _prepare(self) -> None:
        curl = self._curl
        curl.setopt(pycurl.NOSIGNAL, 1)
        curl.setopt(pycurl.TCP_NODELAY, 1)
        curl.setopt(pycurl.HTTP_VERSION, pycurl.CURL_HTTP_VERSION_1_1)
        curl.setopt(pycurl.HTTP09_ALLOWED, 0)
        curl.setopt(pycurl.PROXY, "")
        curl.setopt(pycurl.MAXCONNECTS, 1)
        curl.setopt(pycurl.OPENSOCKETFUNCTION, self._open)
        curl.setopt(pycurl.PREREQFUNCTION, self._before_head)

    def _set(self, request: Request) -> None:
        curl = self._curl
        curl.setopt(pycurl.URL, request.url)
        curl.setopt(pycurl.FRESH_CONNECT, int(request.fresh))
        curl.setopt(pycurl.TIMEOUT_MS, max(1, int(request.timeout_s * 1000)))
        curl.setopt(
            pycurl.CONNECTTIMEOUT_MS,
            max(1, int(request.connect_timeout_s * 1000)),
        )
        headers = [f"{name}: {value}" for name, value in request.headers]
        headers.append("Expect:")
        if request.body:
            curl.setopt(pycurl.POSTFIELDS, request.body)
        elif request.method == "HEAD":
            curl.setopt(pycurl.NOBODY, 1)
        else:
            curl.setopt(pycurl.HTTPGET, 1)
            if request.method not in ("GET", "HEAD"):
                headers.append("Content-Length: 0")
        curl.setopt(pycurl.CUSTOMREQUEST, request.method)
        curl.setopt(pycurl.HTTPHEADER, headers)

    def _open(self, purpose: int, address: Any) -> socket.socket:
        family, kind, protocol, _ = address
        if self._socket is not None:
            # Left to the collector, it costs a warning's text each time.
            self._socket.close()
        self._socket = socket.socket(family, kind, protocol)
        return self._socket

    def _before_head(self, *_: object) -> int:
        self._heads += 1
        if self._heads > 1:
            return int(pycurl.PREREQFUNC_ABORT)
        return int(pycurl.PREREQFUNC_OK)

    def _error(
        self, request: Request, exc: pycurl.error
    ) -> errors.ArbutusstallError:
        reason = str(exc.args[1])
        if self._heads == 0:
            return errors.PeerUnavailable(
                step="http.connect", peer=request.url, reason=reason
            )
        return errors.OutcomeUnknown(
            step="http.exchange", peer=request.url, reason=reason
        )

    def _response(
        self, request: Request, lines: list[bytes], body: bytes
    ) -> Response:
        head = _last_head(lines)
        status = self._curl.getinfo(pycurl.RESPONSE_CODE)
        headers = _headers(head)
        if not _is_whole(request, status, head, headers):
            self._broken = True
            raise errors.OutcomeUnknown(
                step="http.exchange",
                peer=request.url,
                reason="the answer's end cannot be told from a cut",
            )
        return Response(status=status, headers=headers, body=body)


class Pool:
    """Idle connections by address, each used by one exchange at a time.

    Args:
        limit: Most connections to one address at the same time.
    """

    def __init__(self, limit: int, max_idle: int = _DEFAULT_MAX_IDLE) -> None:
        self._limit = limit
        self._max_idle = max_idle
        self._lock = threading.Lock()
        self._idle_by_address: dict[str, collections.deque[Connection]] = {}
        self._used_by_address: collections.Counter[str] = collections.Counter()

    @contextlib.contextmanager
    def connection(self, address: str) -> abc.Iterator[Connection]:
        """Lend a connection to ``address``.

        Raises:
            PeerUnavailable: The limit of connections is reached.
        """
        connection = self._take(address)
        try:
            yield connection
        finally:
            self._give_back(address, connection)

    def drop(self, address: str) -> None:
        """Close the idle connections to ``address``."""
        with self._lock:
            idle = self._idle_by_address.pop(address, ())
        for connection in idle:
            connection.close()

    def close(self) -> None:
        """Close every idle connection."""
        for address in list(self._idle_by_address):
            self.drop(address)

    def _take(self, address: str) -> Connection:
        with self._lock:
            if self._used_by_address[address] >= self._limit:
                raise errors.PeerUnavailable(
                    step="http.connect", peer=address, reason="too many"
                )
            self._used_by_address[address] += 1
            idle = self._idle_by_address.get(address)
            if idle:
                return idle.pop()
        return Connection()

    def _give_back(self, address: str, connection: Connection) -> None:
        with self._lock:
            self._used_by_address[address] -= 1
            if not self._used_by_address[address]:
                del self._used_by_address[address]
            if connection.reusable:
                idle = self._idle_by_address.setdefault(
                    address, collections.deque()
                )
                if len(idle) < self._max_idle:
                    idle.append(connection)
                    return
        connection.close()


_local = threading.local()


def send(request: Request) -> Response:
    """Send a request over this thread's own connection.

    Raises:
        PeerUnavailable: No byte of the request was sent.
        OutcomeUnknown: The exchange broke off or timed out.
    """
    connection: Connection | None = getattr(_local, "connection", None)
    if connection is None or not connection.reusable:
        connection = _local.connection = Connection()
    return connection.send(request)


def _last_head(lines: list[bytes]) -> list[bytes]:
    starts = [
        index
        for index, line in enumerate(lines)
        if line.startswith(b"HTTP/") and not _SWITCHING.match(line)
    ]
    return lines[starts[-1] :] if starts else []


def _headers(lines: list[bytes]) -> tuple[tuple[str, str], ...]:
    pairs = []
    for line in lines:
        name, colon, value = line.decode("latin-1").partition(":")
        if colon:
            pairs.append((name.strip(), value.strip()))
    return tuple(pairs)


def _is_whole(
    request: Request,
    status: int,
    lines: list[bytes],
    headers: tuple[tuple[str, str], ...],
) -> bool:
    if b"\r\n" not in lines and b"\n" not in lines:
        return False
    if request.method == "HEAD" or status in _BODILESS:
        return True
    names = {name.lower() for name, _ in headers}
    return "content-length" in names or "transfer-encoding" in names
