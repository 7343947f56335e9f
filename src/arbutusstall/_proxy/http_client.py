"""HTTP/1.1 connections to a target; httptools parses the responses.

Requests are not retried here: one that gets no answer is reported as lost,
and the outbound proxy decides about a retry.
"""

import asyncio
from collections import abc
import dataclasses
import logging
import re
import socket
from typing import cast

import httptools

from arbutusstall import _settings
from arbutusstall import errors
from arbutusstall._proxy import background
from arbutusstall._proxy import body_buffer
from arbutusstall._proxy import byte_budget
from arbutusstall._proxy import http_messages
from arbutusstall._proxy import reading
from arbutusstall._proxy import request_limits

LOG = logging.getLogger(__name__)

_CONNECT_TIMEOUT_S = 1.0
_DEFAULT_IDLE_TIMEOUT_S = 8.0
# Fraction of the target's idle timeout for which a connection is reused. The
# target starts to count earlier than this side, and a request that is sent
# while the target closes the connection is lost.
_IDLE_TIMEOUT_FRACTION = 0.7
_MIN_FINAL_STATUS = 200
_MAX_STATUS = 599
_MIN_STATUS = 100
_SWITCHING_PROTOCOLS = 101
# Interim (1xx) answers accepted for one request. A target that sends more has
# its connection closed, and the outcome is unknown.
_MAX_INTERIM_ANSWERS = 16
# A chunk of one byte has five bytes of chunked encoding around it.
_MAX_OVERHEAD_PER_BODY_BYTE = 8
_KEEP_ALIVE_TIMEOUT = re.compile(r"timeout=(\d{1,9})")

ResponseFilter = abc.Callable[[http_messages.Response], bool]
ResponseCallback = abc.Callable[
    [http_messages.Response | errors.ArbutusstallError], None
]


class Connection(reading.DataProtocol):
    """A connection to a target; it carries one request at a time.

    Attributes:
        reusable: Whether another request may follow the current one.
        idle_until_s: Loop time until which it may be reused.
    """

    def __init__(self, pool: "Pool") -> None:
        super().__init__()
        self.reusable = True
        self.idle_until_s = 0.0
        self._aborted = False
        self._pool = pool
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._accepts: ResponseFilter | None = None
        self._done: ResponseCallback | None = None
        self._head_request = False
        self._received_bytes = 0
        self._foreign_answers = 0
        self._interim_answers = 0
        self._reservation = byte_budget.Reservation(pool.budget)
        self._start_message()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set the socket options."""
        self._transport = cast(asyncio.Transport, transport)
        sock = transport.get_extra_info("socket")
        if sock is not None:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def connection_lost(self, exc: Exception | None) -> None:
        """End the request in flight, if there is one."""
        self._transport = None
        self.reusable = False
        self._reservation.release()
        self._pool.remove(self)
        if self._done is not None:
            self._end_request(exc)
        # The parser refers to this connection and holds what it has read;
        # without the cycle both are freed at once.
        del self._parser

    def _end_request(self, exc: Exception | None) -> None:
        if exc is None and not self._aborted and self._body_ends_at_close():
            self._complete()
        else:
            reason = str(exc or "closed by the target")
            self._finish(self._outcome_unknown(reason))

    def data_received(self, data: bytes) -> None:
        """Parse received data; close the connection if none is expected."""
        if self._done is None:
            # No request is in flight, so this data answers none.
            self.close()
            return
        self._received_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self.reusable = False
        except httptools.HttpParserError as exc:
            self._give_up(f"unreadable answer: {exc}")
        self._check_overhead()

    def send(
        self,
        data: bytes,
        *,
        head_only: bool,
        accepts: ResponseFilter,
        done: ResponseCallback,
    ) -> None:
        """Send a request.

        Args:
            data: The encoded request.
            head_only: Whether the method is HEAD.
            accepts: Returns whether a response belongs to the request;
                any other response is dropped.
            done: Called once with the response, or with
                `errors.OutcomeUnknown`.
        """
        self._accepts = accepts
        self._done = done
        self._head_request = head_only
        self._received_bytes = 0
        self._foreign_answers = 0
        self._interim_answers = 0
        self._start_message()
        if self._transport is None:
            self._finish(self._outcome_unknown("closed before the request"))
            return
        self._transport.write(data)

    def close(self) -> None:
        """Close the connection at once; a request in flight is lost."""
        self.reusable = False
        self._aborted = True
        if self._transport is not None:
            self._transport.abort()

    def release(self) -> None:
        """Return the connection to its pool after its request."""
        self._pool.release(self)

    @property
    def is_open(self) -> bool:
        """Whether the connection can carry another request."""
        transport = self._transport
        return (
            self.reusable
            and transport is not None
            and not transport.is_closing()
        )

    # Called by the parser.

    def on_message_begin(self) -> None:
        """Reset the state for a new response."""
        self._start_message()
        if self._done is None:
            self.reusable = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header within the limits of what is held."""
        if self._done is None:
            return
        size = request_limits.LINE_BYTES + len(name) + len(value)
        if not self._reserve(size):
            return
        self._headers.append((name.decode("latin-1"), value.decode("latin-1")))

    def on_headers_complete(self) -> None:
        """Check the status; finish the response to a HEAD request."""
        self._head_done = True
        problem = self._status_problem()
        if problem:
            self._give_up(problem)
            return
        is_final = self._parser.get_status_code() >= _MIN_FINAL_STATUS
        if self._head_request and is_final and self._done is not None:
            # The parser would wait for the body that Content-Length
            # announces.
            self.reusable = False
            self._complete()

    def _status_problem(self) -> str:
        """Return why no response can have this status; empty if one can."""
        status = self._parser.get_status_code()
        if not _MIN_STATUS <= status <= _MAX_STATUS:
            return f"invalid status {status:03}"
        if status == _SWITCHING_PROTOCOLS:
            return "a change of protocol that was not requested"
        if status < _MIN_FINAL_STATUS:
            self._interim_answers += 1
        if self._interim_answers > _MAX_INTERIM_ANSWERS:
            return "too many interim answers"
        return ""

    def on_body(self, body: bytes) -> None:
        """Store a part of the body within the limits of its size."""
        if self._done is None:
            return
        self._body.append(body)
        limit = self._pool.reads.answer_bytes
        if len(self._body) > limit:
            self._give_up(f"a body of more than {limit} bytes")
        else:
            self._reserve(len(body))

    def on_message_complete(self) -> None:
        """Finish a response; interim responses (1xx) are skipped."""
        if self._done is None:
            self.reusable = False
            return
        if self._parser.get_status_code() < _MIN_FINAL_STATUS:
            return
        if not self._parser.should_keep_alive():
            self.reusable = False
        self._complete()

    def _complete(self) -> None:
        response = http_messages.Response(
            status=self._parser.get_status_code(),
            headers=tuple(self._headers),
            body=self._body.take(),
        )
        accepts = self._accepts
        if accepts is None or not accepts(response):
            self._drop_foreign_answer()
            return
        if self._transport and self._transport.get_write_buffer_size():
            # The target answered before it had read the whole request, and
            # the rest of that would precede the next request.
            self.reusable = False
        self._set_idle_deadline()
        self._finish(response)

    def _drop_foreign_answer(self) -> None:
        """Drop an answer to another request; the expected one may follow."""
        self.reusable = False
        self._received_bytes = 0
        self._foreign_answers += 1
        if self._transport is None:
            self._finish(
                self._outcome_unknown("only an answer to another request")
            )
        elif self._foreign_answers > self._pool.reads.foreign_answers:
            self._give_up("too many answers to other requests")

    def _check_overhead(self) -> None:
        """Abort an answer with too many bytes outside its body."""
        if self._done is None:
            return
        body_bytes = len(self._body)
        allowed = self._pool.reads.overhead_bytes
        allowed += _MAX_OVERHEAD_PER_BODY_BYTE * body_bytes
        if self._received_bytes - body_bytes > allowed:
            self._give_up(f"more than {allowed} bytes beside the body")

    def _reserve(self, count: int) -> bool:
        """Reserve bytes of the answer, or give it up."""
        if self._reservation.reserve(count):
            return True
        limit = self._pool.budget.limit
        self._give_up(f"more than {limit} bytes of answers are held")
        return False

    def _give_up(self, reason: str) -> None:
        """Close the connection and report a request in flight as lost."""
        self.reusable = False
        if self._done is not None:
            LOG.warning(
                {
                    "event": "answer-dropped",
                    "peer": self._pool.address,
                    "received_bytes": self._received_bytes,
                    "reason": reason,
                }
            )
            self._finish(self._outcome_unknown(reason))
        self._headers.clear()
        self._body.clear()
        self.close()

    def _set_idle_deadline(self) -> None:
        value = http_messages.get_header(tuple(self._headers), "keep-alive")
        found = _KEEP_ALIVE_TIMEOUT.search(value)
        limit_s = float(found.group(1)) if found else _DEFAULT_IDLE_TIMEOUT_S
        now_s = asyncio.get_running_loop().time()
        self.idle_until_s = now_s + limit_s * _IDLE_TIMEOUT_FRACTION

    def _finish(
        self, outcome: http_messages.Response | errors.ArbutusstallError
    ) -> None:
        done, self._done = self._done, None
        self._accepts = None
        self._reservation.release()
        if done is not None:
            done(outcome)

    def _body_ends_at_close(self) -> bool:
        if not self._head_done or self._head_request:
            return False
        if self._parser.get_status_code() < _MIN_FINAL_STATUS:
            return False
        names = {name.lower() for name, _ in self._headers}
        return not names & {"content-length", "transfer-encoding"}

    def _outcome_unknown(self, reason: str) -> errors.OutcomeUnknown:
        return errors.OutcomeUnknown(
            step="target.exchange", peer=self._pool.address, reason=reason
        )

    def _start_message(self) -> None:
        self._headers: list[tuple[str, str]] = []
        self._body = body_buffer.BodyBuffer()
        self._reservation.release()
        self._head_done = False


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class AcquiredConnection:
    """A connection acquired from a pool for one request.

    Attributes:
        is_new: Whether it has carried no request yet.
    """

    connection: Connection
    is_new: bool


class Pool:
    """Connections to one target; the last used idle one goes first.

    Args:
        limit: Maximum number of open connections.
        reads: Limits of what the target sends.
        budget: Bounds the bodies that are being read; if None, the pool
            gets a budget of its own.
    """

    def __init__(
        self,
        address: str,
        limit: int,
        reads: _settings.ReadSettings,
        budget: byte_budget.ByteBudget | None = None,
    ) -> None:
        self.address = address
        self.limit = limit
        self.reads = reads
        self.budget = budget or byte_budget.ByteBudget(reads.held_bytes)
        self._idle: list[Connection] = []
        self._open: set[Connection] = set()
        self._opening = 0
        self._tasks = background.Tasks()
        self._closed = False

    def acquire(
        self,
        callback: abc.Callable[
            [AcquiredConnection | errors.PeerUnavailable], None
        ],
    ) -> None:
        """Acquire an idle connection, or open a new one.

        ``callback`` is called at once with an idle connection or when the
        limit is reached, otherwise when the new connection is open or has
        failed.
        """
        now_s = asyncio.get_running_loop().time()
        while self._idle:
            connection = self._idle.pop()
            if connection.is_open and connection.idle_until_s > now_s:
                callback(
                    AcquiredConnection(connection=connection, is_new=False)
                )
                return
            connection.close()
        if len(self._open) + self._opening >= self.limit:
            callback(self._unavailable("too many connections"))
            return
        self._opening += 1
        self._tasks.spawn(self._connect(callback))

    def release(self, connection: Connection) -> None:
        """Take a connection back after its request has ended.

        It is reused only after all data received with the answer has been
        parsed, since more than the answer may have arrived; such data
        makes the connection unusable.
        """
        asyncio.get_running_loop().call_soon(self._return_to_idle, connection)

    def _return_to_idle(self, connection: Connection) -> None:
        if connection.is_open and not self._closed:
            self._idle.append(connection)
        else:
            connection.close()

    def remove(self, connection: Connection) -> None:
        """Remove a connection that has ended."""
        self._open.discard(connection)
        if connection in self._idle:
            self._idle.remove(connection)

    def close(self) -> None:
        """Close the idle connections now and the others after their use."""
        self._closed = True
        idle, self._idle = self._idle, []
        for connection in idle:
            connection.close()

    async def _connect(
        self,
        callback: abc.Callable[
            [AcquiredConnection | errors.PeerUnavailable], None
        ],
    ) -> None:
        host, _, port = self.address.rpartition(":")
        loop = asyncio.get_running_loop()
        result: AcquiredConnection | errors.PeerUnavailable
        try:
            async with asyncio.timeout(_CONNECT_TIMEOUT_S):
                _, connection = await loop.create_connection(
                    lambda: Connection(self), host, int(port)
                )
        except ConnectionRefusedError as exc:
            result = errors.ConnectionRefused(
                step="target.connect", peer=self.address, reason=str(exc)
            )
        except (OSError, TimeoutError, ValueError, OverflowError) as exc:
            result = self._unavailable(str(exc) or "no connection in time")
        else:
            self._open.add(connection)
            result = AcquiredConnection(connection=connection, is_new=True)
        self._opening -= 1
        callback(result)

    def _unavailable(self, reason: str) -> errors.PeerUnavailable:
        return errors.PeerUnavailable(
            step="target.connect", peer=self.address, reason=reason
        )
