"""One connection of an HTTP/1.1 client; httptools parses the requests."""

import asyncio
import collections
from collections import abc
import logging
import select
import socket
from typing import cast
from typing import Protocol

import httptools

from arbutusstall._bounds import fair_queue
from arbutusstall._proxy import body_buffer
from arbutusstall._proxy import byte_budget
from arbutusstall._proxy import http_messages
from arbutusstall._proxy import reading
from arbutusstall._proxy import request_limits
from arbutusstall._shell import call_metrics
from arbutusstall._tables import agreed

LOG = logging.getLogger(__name__)

FIRST_REQUEST_S = 0.25
"""Time in which the first request on a new connection is expected while the
server closes."""

# Data is parsed in slices of this size. What one slice holds is the most that
# is processed beyond a limit, and before other connections have a turn.
_SLICE_BYTES = 4_096
# Slices of 4 KiB made parsing a body of 1 MB 60 % slower.
_BODY_SLICE_BYTES = 16_384
# A body that comes in smaller parts than this is parsed in small slices.
_MIN_PART_BYTES = 1_024
# Some clients send one after a body; it is no start of a request.
_EMPTY_LINES = (b"\r\n", b"\n")
# A chunk of one byte has five bytes of chunked encoding around it.
_MAX_OVERHEAD_PER_BODY_BYTE = 8
# The separators of a head whose names and values have the maximum size.
_HEAD_OVERHEAD_FACTOR = 2
# The body of a larger answer is written apart from its head, not copied.
_MAX_JOINED_BYTES = 65_536
_NO_DATA = memoryview(b"")
_CONNECT = b"CONNECT"
_FRAMING_HEADERS = frozenset({"content-length", "transfer-encoding"})
_CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
_BAD_REQUEST = 400
_REQUEST_TIMEOUT = 408
_BODY_TOO_LARGE = 413
_HEAD_TOO_LARGE = 431
_UNAVAILABLE = 503
# Within a second the bodies held now are likely to be released.
_RETRY_AFTER = (("Retry-After", "1"),)


class Exchange:
    """One request and the way to answer it.

    Attributes:
        cancelled: Whether the caller has disconnected before the answer.
        on_cancelled: Called once when the caller disconnects before the
            answer.
        head_bytes: Bytes reserved for the head.
    """

    __slots__ = (
        "_connection",
        "cancelled",
        "head_bytes",
        "on_cancelled",
        "request",
    )

    def __init__(
        self,
        connection: "Connection",
        request: http_messages.Request,
        head_bytes: int,
    ) -> None:
        self.request = request
        self.head_bytes = head_bytes
        self.cancelled = False
        self.on_cancelled: abc.Callable[[], None] | None = None
        self._connection: Connection | None = connection

    def answer(self, response: http_messages.Response) -> None:
        """Send the answer; a second one is ignored."""
        connection, self._connection = self._connection, None
        self.on_cancelled = None
        if connection is not None:
            connection.answer(self, response)

    def cancel(self) -> None:
        """Mark the request as cancelled and call ``on_cancelled``."""
        self._connection = None
        self.cancelled = True
        callback, self.on_cancelled = self.on_cancelled, None
        if callback is not None:
            callback()


class Handler(Protocol):
    """Answers requests."""

    def handle(self, exchange: Exchange) -> None:
        """Process a request; it may be answered later."""
        ...


class Server(Protocol):
    """What a connection needs of its server."""

    limits: agreed.CallerLimits
    bounds: request_limits.ServerBounds
    closing: bool
    handler: Handler
    loop: asyncio.AbstractEventLoop
    connections: "request_limits.Connections[Connection]"


class _Rejected(Exception):
    """Stops the parser after a request was rejected."""


class Connection(reading.DataProtocol):
    """A connection of a client, whose requests are answered in order."""

    def __init__(self, server: "Server") -> None:
        super().__init__()
        self._server = server
        self._parser = httptools.HttpRequestParser(self)
        self._transport: asyncio.Transport | None = None
        self._peer = ""
        self._current: Exchange | None = None
        self._pipelined: collections.deque[tuple[Exchange, bool]] = (
            collections.deque()
        )
        # Received data that is not parsed yet, and how many bytes of it are
        # reserved; reading is paused while any are.
        self._unparsed = _NO_DATA
        self._unparsed_reserved = 0
        self._turns = fair_queue.Flow(
            server.bounds.turns, self._step, self.abort
        )
        self._begun = False
        self._writing_paused = False
        self._unsent_bytes = 0
        self._unsent_since_s = 0.0
        self._keep_alive = True
        self._reading = False
        self._failed = False
        self._last_activity_s = server.loop.time()
        self._made_s = self._last_activity_s
        self._used = False
        # Time of the first byte since the last complete request, and the
        # number of bytes since then that are not of a body.
        self._first_byte_s = 0.0
        self._began_s = 0.0
        self._overhead_bytes = 0
        self._head_done = False
        # Whether the parser gets a head again that is known already.
        self._is_head_known = False
        # Whether the body comes in chunks of a few bytes.
        self._has_small_parts = False
        self._bodies: byte_budget.Reservation | None = None
        if server.bounds.bodies is not None:
            self._bodies = byte_budget.Reservation(server.bounds.bodies)
        self._heads = byte_budget.Reservation(server.bounds.heads)
        self._head_reserved = 0
        self._start_message()

    @property
    def busy(self) -> bool:
        """Whether a request waits, or bytes of an answer are unsent."""
        return self._has_complete or self.unsent_bytes > 0

    @property
    def has_work(self) -> bool:
        """Whether it is busy, or data has to be parsed."""
        return self._has_requests or self.unsent_bytes > 0

    @property
    def head_held(self) -> int:
        """Bytes held for the head and the data of an incomplete request."""
        if self._has_complete:
            return 0
        return self._head_reserved + self._unparsed_reserved

    @property
    def body_held(self) -> int:
        """Bytes held for the body of an incomplete request."""
        return 0 if self._has_complete else len(self._body)

    @property
    def began_s(self) -> float:
        """Loop time at which the incomplete request began."""
        return self._began_s

    @property
    def unsent_bytes(self) -> int:
        """Bytes of answers that the client has not taken."""
        transport = self._transport
        return 0 if transport is None else transport.get_write_buffer_size()

    @property
    def _has_complete(self) -> bool:
        return self._current is not None or bool(self._pipelined)

    @property
    def _has_requests(self) -> bool:
        return self._has_complete or bool(self._unparsed)

    @property
    def is_expecting(self) -> bool:
        """Whether a request has arrived in part, or a first one may come."""
        age_s = self._server.loop.time() - self._made_s
        is_new = not self._used and age_s < FIRST_REQUEST_S
        return self._reading or is_new

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)
        sock = transport.get_extra_info("socket")
        if sock is not None:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._peer = (transport.get_extra_info("peername") or ("",))[0]
        self._server.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self._transport = None
        self._failed = True
        self._turns.close()
        self._server.connections.remove(self)
        self._server.bounds.unsent.remove(self)
        if self._bodies is not None:
            self._bodies.release()
        self._heads.release()
        exchange, self._current = self._current, None
        if exchange is not None:
            exchange.cancel()
        self._pipelined.clear()
        self._unparsed = _NO_DATA
        self._drop_message()
        # The parser refers to this connection and may hold an unfinished
        # line; without the cycle both are freed at once.
        del self._parser

    def pause_writing(self) -> None:
        # A client that takes no answers gets no further request answered.
        self._writing_paused = True

    def resume_writing(self) -> None:
        self._writing_paused = False
        self._server.bounds.unsent.update(self)
        self._turns.wake_soon()

    def data_received(self, data: bytes) -> None:
        if self._failed:
            return
        now_s = self._server.loop.time()
        self._last_activity_s = now_s
        if not self._first_byte_s and (
            self._overhead_bytes or data not in _EMPTY_LINES
        ):
            self._first_byte_s = now_s
        if self._unparsed:
            data = bytes(self._unparsed) + data
        self._unparsed = memoryview(data)
        self._turns.wake()
        if self._unparsed:
            self._hold_unparsed()

    # Called by the parser.

    def on_message_begin(self) -> None:
        if self._is_head_known:
            return
        self._reading = True
        self._used = True
        self._began_s = self._server.loop.time()
        if not self._first_byte_s:
            self._first_byte_s = self._began_s
        self._start_message()

    def on_url(self, url: bytes) -> None:
        if self._is_head_known:
            return
        self._target += url
        self._count_head_bytes(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        if self._head_done:
            # A trailer, whose bytes count and which is not forwarded, or a
            # line of a head that is known.
            return
        self._count_head_bytes(len(name) + len(value))
        self._headers.append((name.decode("latin-1"), value.decode("latin-1")))

    def on_headers_complete(self) -> None:
        if self._is_head_known:
            return
        self._reserve_head()
        self._head_done = True
        pairs = tuple(self._headers)
        if http_messages.get_header(pairs, "expect").lower() == "100-continue":
            self._write(_CONTINUE)

    def on_body(self, body: bytes) -> None:
        # The bytes of a body that began in the slice of an earlier request
        # were not counted.
        self._overhead_bytes = max(0, self._overhead_bytes - len(body))
        self._has_small_parts = len(body) < _MIN_PART_BYTES
        if len(self._body) + len(body) > self._server.limits.body_bytes:
            self._stop_parser(_BODY_TOO_LARGE)
        if not self._reserve_body(len(body)):
            self._stop_parser(_UNAVAILABLE, _RETRY_AFTER)
        self._body.append(body)

    def on_message_complete(self) -> None:
        if self._failed:
            # The connection closes after an answer that was given while the
            # parser ran.
            raise _Rejected
        if self._parser.should_upgrade() and not self._is_connect:
            # The body follows, see `_feed`.
            return
        self._reading = False
        self._first_byte_s = 0.0
        self._overhead_bytes = 0
        request = http_messages.Request(
            method=self._parser.get_method().decode("latin-1"),
            target=self._target.decode("latin-1"),
            headers=tuple(self._headers),
            body=self._body.take(),
            peer=self._peer,
        )
        exchange = Exchange(self, request, self._head_reserved)
        self._head_reserved = 0
        self._drop_message()
        keep_alive = self._parser.should_keep_alive()
        if self._current is None and not self._begun:
            # Those that follow in the same data wait for a later turn of the
            # loop, also if this one is answered at once.
            self._begun = True
            self._begin(exchange, keep_alive)
        else:
            self._pipelined.append((exchange, keep_alive))

    def answer(
        self, exchange: Exchange, response: http_messages.Response
    ) -> None:
        if self._transport is None or exchange is not self._current:
            return
        self._current = None
        more = bool(self._pipelined or self._unparsed)
        close = not self._keep_alive or (
            not more and (self._server.closing or self._failed)
        )
        self._write_response(
            response, close=close, head_only=exchange.request.method == "HEAD"
        )
        self._last_activity_s = self._server.loop.time()
        self._heads.release_part(exchange.head_bytes)
        if self._bodies is not None:
            self._bodies.release_part(len(exchange.request.body))
        self._server.connections.end_request(self)
        if close:
            self._close()
        elif more:
            self._turns.wake_soon()

    def close_if_idle(self) -> None:
        if self._has_requests or self.is_expecting:
            return
        if self._transport is not None and not self._has_unread():
            self._close()

    def _has_unread(self) -> bool:
        """Return whether data has arrived that was not read yet."""
        assert self._transport is not None
        poll = select.poll()
        sock = self._transport.get_extra_info("socket")
        poll.register(sock.fileno(), select.POLLIN)
        return bool(poll.poll(0))

    def abort(self) -> None:
        """Close the connection at once; unsent data is lost."""
        if self._transport is not None:
            self._transport.abort()

    def shed(self) -> None:
        """Refuse the incomplete request and release what it holds."""
        self._reject(_UNAVAILABLE, _RETRY_AFTER)

    def check_timeouts(self, now_s: float) -> None:
        if self._transport is None:
            return
        limits = self._server.limits
        if self._is_stuck(now_s):
            self._transport.abort()
            return
        if self._has_requests:
            return
        age_ms = (now_s - self._last_activity_s) * 1000
        if self._first_byte_s and not self._head_done:
            # The head has to be complete in time; single bytes of it, or
            # empty lines before it, do not extend the timeout.
            age_ms = (now_s - self._first_byte_s) * 1000
        is_late = self._first_byte_s and age_ms > limits.header_timeout_ms
        if is_late and self._reading:
            self._reject(_REQUEST_TIMEOUT)
        elif is_late or age_ms > limits.idle_timeout_ms:
            self._close()

    def _is_stuck(self, now_s: float) -> bool:
        """Return whether the client has not taken any byte for too long."""
        assert self._transport is not None
        unsent = self._transport.get_write_buffer_size()
        if not unsent or unsent != self._unsent_bytes:
            self._unsent_bytes = unsent
            self._unsent_since_s = now_s
            return False
        age_ms = (now_s - self._unsent_since_s) * 1000
        return age_ms > self._server.limits.idle_timeout_ms

    def _start_message(self) -> None:
        self._target = b""
        self._headers: list[tuple[str, str]] = []
        self._body = body_buffer.BodyBuffer()
        self._head_bytes = 0
        self._head_done = False

    def _drop_message(self) -> None:
        """Release the parts of a message that is complete or rejected."""
        self._headers = []
        self._body.clear()
        self._head_done = False

    def _parse(self, data: memoryview) -> None:
        """Parse at most one slice of data."""
        self._begun = False
        self._overhead_bytes += len(data)
        try:
            self._feed(data)
        except httptools.HttpParserUpgrade:
            self._fail()
            if not self._has_requests:
                self._close()
        except httptools.HttpParserError:
            self._reject(_BAD_REQUEST)
        if self._overhead_bytes and not self._failed:
            self._check_overhead()

    def _feed(self, data: memoryview) -> None:
        """Pass data to the parser, which ends a request at an upgrade offer.

        A server may ignore the offer. The body then follows as usual.
        """
        while True:
            try:
                self._parser.feed_data(data)
            except httptools.HttpParserUpgrade as exc:
                if self._is_connect:
                    raise
                data = data[exc.args[0] :]
                self._replace_parser()
            else:
                return

    @property
    def _is_connect(self) -> bool:
        return bool(self._parser.get_method() == _CONNECT)

    def _replace_parser(self) -> None:
        """Continue after the head with a parser that knows of no offer."""
        lines = [self._parser.get_method() + b" / HTTP/1.1"]
        for name, value in self._headers:
            if name.lower() in _FRAMING_HEADERS:
                lines.append(f"{name}: {value}".encode("latin-1"))
        connection = http_messages.get_header(
            tuple(self._headers), "connection"
        )
        if "close" in connection.lower():
            lines.append(b"Connection: close")
        self._parser = httptools.HttpRequestParser(self)
        self._is_head_known = True
        try:
            self._parser.feed_data(b"\r\n".join(lines) + b"\r\n\r\n")
        finally:
            self._is_head_known = False

    def _check_overhead(self) -> None:
        """Bound the bytes of a message that no callback reports.

        These are unfinished header lines, empty lines before a request,
        chunk extensions and trailers.
        """
        limit = self._server.limits.header_bytes * _HEAD_OVERHEAD_FACTOR
        if self._head_done:
            limit += len(self._body) * _MAX_OVERHEAD_PER_BODY_BYTE
        if self._overhead_bytes > limit + _SLICE_BYTES:
            self._reject(_HEAD_TOO_LARGE)
        elif not self._head_done:
            try:
                self._reserve_head()
            except _Rejected:
                return

    def _step(self) -> bool:
        """Begin the next request that waits, or parse a slice of data.

        Returns:
            Whether more of either can be done.
        """
        transport = self._transport
        if transport is None or transport.is_closing():
            return False
        if self._can_begin:
            self._begin(*self._pipelined.popleft())
        elif self._can_parse:
            self._parse_slice()
        if not self._unparsed and not self._failed:
            self._release_unparsed()
        return self._can_begin or self._can_parse

    @property
    def _can_begin(self) -> bool:
        return (
            self._current is None
            and bool(self._pipelined)
            and not self._writing_paused
        )

    @property
    def _can_parse(self) -> bool:
        return (
            bool(self._unparsed)
            and not self._failed
            and not self._pipelined
            and not self._writing_paused
        )

    def _parse_slice(self) -> None:
        if self._unparsed_reserved:
            # The time for which the data waited here is not the client's.
            self._first_byte_s = self._server.loop.time()
        size = _SLICE_BYTES
        if self._head_done and not self._has_small_parts:
            size = _BODY_SLICE_BYTES
        data = self._unparsed[:size]
        self._unparsed = self._unparsed[size:]
        self._parse(data)

    def _hold_unparsed(self) -> None:
        """Keep data for a later turn; the client sends no more meanwhile."""
        missing = len(self._unparsed) - self._unparsed_reserved
        if missing > 0:
            if not self._reserve(missing):
                self._reject(_UNAVAILABLE, _RETRY_AFTER)
                return
            self._unparsed_reserved += missing
        if self._transport is not None:
            self._transport.pause_reading()

    def _release_unparsed(self) -> None:
        if not self._unparsed_reserved:
            return
        self._heads.release_part(self._unparsed_reserved)
        self._unparsed_reserved = 0
        if self._transport is not None:
            self._transport.resume_reading()

    def _begin(self, exchange: Exchange, keep_alive: bool) -> None:
        self._current = exchange
        self._keep_alive = keep_alive
        self._server.connections.begin_request(self)
        self._server.handler.handle(exchange)

    def _count_head_bytes(self, size: int) -> None:
        self._head_bytes += size
        if self._head_bytes > self._server.limits.header_bytes:
            self._stop_parser(_HEAD_TOO_LARGE)

    def _reserve_head(self) -> None:
        """Reserve what the head takes so far; reject it if that is too much.

        Raises:
            _Rejected: The head was rejected.
        """
        cost = (
            request_limits.REQUEST_BYTES
            + request_limits.LINE_BYTES * len(self._headers)
            + self._overhead_bytes
        )
        missing = cost - self._head_reserved
        if missing <= 0:
            return
        if not self._reserve(missing):
            self._stop_parser(_UNAVAILABLE, _RETRY_AFTER)
        self._head_reserved += missing

    def _reserve(self, count: int) -> bool:
        """Reserve bytes; other connections' incomplete heads give way."""
        if self._heads.reserve(count):
            return True
        self._server.connections.make_room()
        return not self._failed and self._heads.reserve(count)

    def _reserve_body(self, count: int) -> bool:
        """Reserve bytes; other connections' incomplete bodies give way."""
        if self._bodies is None or self._bodies.reserve(count):
            return True
        self._server.connections.make_body_room()
        return not self._failed and self._bodies.reserve(count)

    def _stop_parser(
        self, status: int, headers: http_messages.Headers = ()
    ) -> None:
        self._reject(status, headers)
        raise _Rejected

    def _reject(
        self, status: int, headers: http_messages.Headers = ()
    ) -> None:
        if self._failed or self._transport is None:
            return
        call_metrics.REJECTIONS.labels(status).inc()
        LOG.warning(
            {
                "event": "request-rejected",
                "peer": self._peer,
                "status": status,
                "header_lines": len(self._headers),
                "body_bytes": len(self._body),
            }
        )
        self._fail()
        if not self._has_requests:
            response = http_messages.Response(status=status, headers=headers)
            self._write(http_messages.encode_response(response, close=True))
            self._close()

    def _fail(self) -> None:
        """Read nothing more, and release what is incomplete."""
        self._failed = True
        self._reading = False
        self._heads.release_part(self._head_reserved + self._unparsed_reserved)
        self._head_reserved = 0
        self._unparsed_reserved = 0
        self._unparsed = _NO_DATA
        if self._bodies is not None:
            self._bodies.release_part(len(self._body))
        self._drop_message()
        if self._transport is not None:
            self._transport.pause_reading()

    def _close(self) -> None:
        self._failed = True
        if self._transport is not None:
            self._transport.close()

    def _write_response(
        self, response: http_messages.Response, *, close: bool, head_only: bool
    ) -> None:
        is_large = len(response.body) > _MAX_JOINED_BYTES
        data = http_messages.encode_response(
            response, close=close, head_only=head_only or is_large
        )
        self._write(data)
        if is_large and not head_only:
            self._write(response.body)

    def _write(self, data: bytes) -> None:
        if self._transport is None:
            return
        self._transport.write(data)
        if self.unsent_bytes:
            self._server.bounds.unsent.update(self)
