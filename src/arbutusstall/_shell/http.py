"""HTTP client on pycurl that never sends a request twice.

libcurl resends a request on its own if a reused connection turns out to
be closed. This is prevented here: each `send` sends at most one request
head, and the type of its error shows whether one was sent at all.
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
from arbutusstall._bounds import shared_budget
from arbutusstall._shell import stall_watch

_INTERIM_STATUS_LINE = re.compile(rb"HTTP/\S+ 1\d\d")
_BODILESS_STATUSES = frozenset({204, 304})
_DEFAULT_MAX_IDLE = 8
_MAX_HEAD_BYTES = 256 * 1024
# A line as received, and the tuple of strings that it becomes.
_LINE_BYTES = 250
# Return value of a callback that makes libcurl abort the exchange.
_ABORT = -1


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class StallLimits:
    """Limits of the time in which nothing of a response arrives.

    Attributes:
        first_s: Time limit for the first byte, in seconds.
        next_s: Time limit for each further part, in seconds.
    """

    first_s: float
    next_s: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Request:
    """An HTTP request.

    Attributes:
        timeout_s: Time limit of the whole exchange, in seconds.
        connect_timeout_s: Time limit for opening a connection, in
            seconds.
        fresh: Whether a new connection must be opened.
        answer_bytes: Maximum size of the response body, in bytes.
        stalls: Limits of the time in which nothing arrives; None if only
            the whole exchange is limited.
    """

    method: str
    url: str
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""
    timeout_s: float = 5.0
    connect_timeout_s: float = 1.0
    fresh: bool = False
    answer_bytes: int = 64 * 1024 * 1024
    stalls: StallLimits | None = None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Response:
    """A complete HTTP response."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


class _ResponseBuffer:
    """Collects a response; aborts the exchange beyond the size limits."""

    def __init__(
        self,
        max_body_bytes: int,
        budget: shared_budget.SharedBudget | None = None,
    ) -> None:
        self.body = io.BytesIO()
        self.lines: list[bytes] = []
        self._max_body_bytes = max_body_bytes
        self._budget = budget
        self._reserved_bytes = 0
        self._head_bytes = 0
        self.watched: stall_watch.WatchedExchange | None = None

    def write(self, data: bytes) -> int:
        """Append a part of the body."""
        self._record_arrival()
        if self.body.tell() + len(data) > self._max_body_bytes:
            return _ABORT
        if not self._reserve(len(data)):
            return _ABORT
        return self.body.write(data)

    def release(self) -> None:
        """Forget the response, and return what it takes to the budget.

        The curl handle keeps a reference until the next exchange.
        """
        self.body = io.BytesIO()
        self.lines = []
        if self._budget is not None:
            self._budget.release(self._reserved_bytes)
        self._reserved_bytes = 0

    def _reserve(self, count: int) -> bool:
        if self._budget is None:
            return True
        if not self._budget.reserve(count):
            return False
        self._reserved_bytes += count
        return True

    def _record_arrival(self) -> None:
        if self.watched is not None:
            self.watched.record_arrival()

    def add_line(self, line: bytes) -> int:
        """Append a line of a head; interim responses have heads too."""
        self._record_arrival()
        self._head_bytes += len(line)
        if self._head_bytes > _MAX_HEAD_BYTES:
            return _ABORT
        if not self._reserve(len(line) + _LINE_BYTES):
            return _ABORT
        self.lines.append(line)
        return len(line)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class AnswerLimits:
    """Limits of the response bodies that are read over connections.

    Attributes:
        answer_bytes: Maximum size of one body, in bytes.
        budget: Bounds the responses that are being read together.
    """

    answer_bytes: int
    budget: shared_budget.SharedBudget


class Connection:
    """A curl handle that keeps at most one connection open.

    Args:
        limits: Limits in addition to those of each request; None if there
            are none.
    """

    def __init__(self, limits: AnswerLimits | None = None) -> None:
        self._limits = limits
        self._curl = pycurl.Curl()
        self._socket: socket.socket | None = None
        self._heads_sent = 0
        self._start_watch: abc.Callable[[], None] = _do_nothing
        self._broken = False
        self._configure()

    def send(self, request: Request) -> Response:
        """Send the request and return the complete response.

        Raises:
            PeerUnavailable: No byte of the request was sent.
            OutcomeUnknown: The exchange broke off or timed out, or the
                response may be incomplete.
        """
        curl = self._curl
        received = self._response_buffer(request)
        self._heads_sent = 0
        self._start_watch = lambda: self._watch(received, request.stalls)
        self._set_options(request)
        curl.setopt(pycurl.WRITEFUNCTION, received.write)
        curl.setopt(pycurl.HEADERFUNCTION, received.add_line)
        try:
            curl.perform()
            return self._response(
                request, received.lines, received.body.getvalue()
            )
        except pycurl.error as exc:
            self._broken = True
            raise self._to_error(request, received, exc) from exc
        finally:
            received.release()
            if received.watched is not None:
                stall_watch.WATCH.remove(received.watched)

    def abort(self) -> None:
        """Abort the exchange in progress; callable from any thread."""
        sock = self._socket
        if sock is not None:
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)

    def close(self) -> None:
        """Close the connection."""
        self._curl.close()
        # libcurl uses a duplicate of the descriptor, so the connection
        # stays open until this one is closed as well.
        if self._socket is not None:
            self._socket.close()

    @property
    def reusable(self) -> bool:
        """Whether no exchange over this connection has failed."""
        return not self._broken

    def _response_buffer(self, request: Request) -> _ResponseBuffer:
        limits = self._limits
        if limits is None:
            return _ResponseBuffer(request.answer_bytes)
        size = min(request.answer_bytes, limits.answer_bytes)
        return _ResponseBuffer(size, limits.budget)

    def _configure(self) -> None:
        curl = self._curl
        curl.setopt(pycurl.NOSIGNAL, 1)
        curl.setopt(pycurl.TCP_NODELAY, 1)
        curl.setopt(pycurl.HTTP_VERSION, pycurl.CURL_HTTP_VERSION_1_1)
        curl.setopt(pycurl.HTTP09_ALLOWED, 0)
        curl.setopt(pycurl.PROXY, "")
        curl.setopt(pycurl.MAXCONNECTS, 1)
        curl.setopt(pycurl.OPENSOCKETFUNCTION, self._open_socket)
        curl.setopt(pycurl.PREREQFUNCTION, self._on_before_head)

    def _set_options(self, request: Request) -> None:
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

    def _open_socket(self, purpose: int, address: Any) -> socket.socket:
        family, kind, protocol, _ = address
        if self._socket is not None:
            # If it were left to the garbage collector, each socket would
            # cost the formatting of a ResourceWarning.
            self._socket.close()
        self._socket = socket.socket(family, kind, protocol)
        return self._socket

    def _watch(
        self, received: _ResponseBuffer, stalls: StallLimits | None
    ) -> None:
        if stalls is not None:
            received.watched = stall_watch.WATCH.add(
                self.abort, first_s=stalls.first_s, limit_s=stalls.next_s
            )

    def _on_before_head(self, *_: object) -> int:
        self._heads_sent += 1
        if self._heads_sent > 1:
            return int(pycurl.PREREQFUNC_ABORT)
        self._start_watch()
        return int(pycurl.PREREQFUNC_OK)

    def _to_error(
        self,
        request: Request,
        received: _ResponseBuffer,
        exc: pycurl.error,
    ) -> errors.ArbutusstallError:
        reason = str(exc.args[1])
        if received.watched is not None and received.watched.has_stalled:
            reason = f"nothing arrived in time: {reason}"
        if self._heads_sent == 0:
            return errors.PeerUnavailable(
                step="http.connect", peer=request.url, reason=reason
            )
        return errors.OutcomeUnknown(
            step="http.exchange", peer=request.url, reason=reason
        )

    def _response(
        self, request: Request, lines: list[bytes], body: bytes
    ) -> Response:
        head = _final_head(lines)
        status = self._curl.getinfo(pycurl.RESPONSE_CODE)
        headers = _headers(head)
        if not _is_complete(request, status, head, headers):
            self._broken = True
            raise errors.OutcomeUnknown(
                step="http.exchange",
                peer=request.url,
                reason="the answer's end cannot be told from a cut",
            )
        return Response(status=status, headers=headers, body=body)


class Pool:
    """Connections by address, each used by one exchange at a time.

    Thread-safe.

    Args:
        limit: Maximum number of connections in use to one address.
        max_idle: Maximum number of idle connections to one address.
        answers: Limits of the response bodies; None if there are none.
    """

    def __init__(
        self,
        limit: int,
        max_idle: int = _DEFAULT_MAX_IDLE,
        answers: AnswerLimits | None = None,
    ) -> None:
        self._limit = limit
        self._answers = answers
        self._max_idle = max_idle
        self._lock = threading.Lock()
        self._idle_by_address: dict[str, collections.deque[Connection]] = {}
        self._used_by_address: collections.Counter[str] = collections.Counter()

    @contextlib.contextmanager
    def connection(self, address: str) -> abc.Iterator[Connection]:
        """Provide a connection to ``address`` and take it back after use.

        Raises:
            PeerUnavailable: The limit of connections is reached.
        """
        connection = self._acquire(address)
        try:
            yield connection
        finally:
            self._release(address, connection)

    def close_idle(self, address: str) -> None:
        """Close the idle connections to ``address``."""
        with self._lock:
            idle = self._idle_by_address.pop(address, ())
        for connection in idle:
            connection.close()

    def close(self) -> None:
        """Close every idle connection."""
        for address in list(self._idle_by_address):
            self.close_idle(address)

    def _acquire(self, address: str) -> Connection:
        with self._lock:
            if self._used_by_address[address] >= self._limit:
                raise errors.PeerUnavailable(
                    step="http.connect", peer=address, reason="too many"
                )
            self._used_by_address[address] += 1
            idle = self._idle_by_address.get(address)
            if idle:
                return idle.pop()
        return Connection(self._answers)

    def _release(self, address: str, connection: Connection) -> None:
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


_thread_state = threading.local()


def send(request: Request) -> Response:
    """Send a request over a connection that the thread keeps open.

    Raises:
        PeerUnavailable: No byte of the request was sent.
        OutcomeUnknown: The exchange broke off or timed out, or the
            response may be incomplete.
    """
    connection: Connection | None = getattr(_thread_state, "connection", None)
    if connection is None or not connection.reusable:
        connection = _thread_state.connection = Connection()
    return connection.send(request)


def _do_nothing() -> None:
    pass


def _final_head(lines: list[bytes]) -> list[bytes]:
    starts = [
        index
        for index, line in enumerate(lines)
        if line.startswith(b"HTTP/") and not _INTERIM_STATUS_LINE.match(line)
    ]
    return lines[starts[-1] :] if starts else []


def _headers(lines: list[bytes]) -> tuple[tuple[str, str], ...]:
    pairs = []
    for line in lines:
        name, colon, value = line.decode("latin-1").partition(":")
        if colon:
            pairs.append((name.strip(), value.strip()))
    return tuple(pairs)


def _is_complete(
    request: Request,
    status: int,
    lines: list[bytes],
    headers: tuple[tuple[str, str], ...],
) -> bool:
    """Return whether a response is certainly complete.

    Without Content-Length and Transfer-Encoding, the end of the
    connection ends the body, which a broken connection does as well.
    """
    if b"\r\n" not in lines and b"\n" not in lines:
        return False
    if request.method == "HEAD" or status in _BODILESS_STATUSES:
        return True
    names = {name.lower() for name, _ in headers}
    return "content-length" in names or "transfer-encoding" in names
