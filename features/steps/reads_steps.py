"""Steps for peers that send data without end."""

import asyncio
import contextlib
import gc
import itertools
import socket
import threading
import time
import tracemalloc

import behave
import ports
from standins import endless

from arbutusstall import _settings
from arbutusstall import errors
from arbutusstall._proxy import byte_budget
from arbutusstall._proxy import http_client
from arbutusstall._proxy import http_messages
from arbutusstall._proxy import http_server
from arbutusstall._proxy import request_limits
from arbutusstall._tables import agreed
from arbutusstall.platform import store

_MB = 1_000_000
_TIMEOUT_S = 10.0
_MAX_STEP_S = 0.02
_READS = _settings.ReadSettings(answer_bytes=250_000)
_REQUEST = b"GET / HTTP/1.1\r\nHost: a\r\nX-Request-Id: r\r\n\r\n"


class _ScriptedTarget:
    """Writes given bytes on each connection until it is closed."""

    def __init__(self, context, first, then) -> None:
        self._first = first
        self._parts = then
        self.closed = threading.Event()
        self.opened = 0
        self._listener = socket.create_server(("127.0.0.1", 0))
        context.add_cleanup(self._listener.close)
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        with contextlib.suppress(OSError):
            while True:
                sock, _ = self._listener.accept()
                self.opened += 1
                threading.Thread(
                    target=self._serve, args=(sock,), daemon=True
                ).start()

    def _serve(self, sock) -> None:
        with contextlib.suppress(OSError), sock:
            sock.recv(65_536)
            sock.sendall(self._first)
            for part in self._parts:
                sock.sendall(part)
            sock.recv(1)
        self.closed.set()


@behave.given("a target that sends {what} without end")
def endless_target(context, what):
    """Repeat the data until the connection is closed."""
    first, then = endless.ANSWERS_BY_NAME[what]
    context.scripted_target = _ScriptedTarget(
        context, first, itertools.repeat(then)
    )


@behave.given("a target that answers with {count:d} chunks of one byte")
def small_chunk_target(context, count):
    """Send one body; each byte of it takes six on the wire."""
    context.scripted_target = _ScriptedTarget(
        context, endless.CHUNKED, [b"1\r\nx\r\n" * count + b"0\r\n\r\n"]
    )


@behave.given("a target that sends a body without length and then waits")
def unfinished_target(context):
    """Send a body that would end with the connection."""
    context.scripted_target = _ScriptedTarget(
        context, endless.OK + b"\r\nhalf", []
    )


class _LoopMonitor:
    """Records the longest step of an event loop in CPU time."""

    def __init__(self) -> None:
        self.longest_s = 0.0
        self._loop = asyncio.get_running_loop()
        self._previous_s = time.thread_time()
        self._handle = self._loop.call_soon(self._step)

    def _step(self) -> None:
        now_s = time.thread_time()
        self.longest_s = max(self.longest_s, now_s - self._previous_s)
        self._previous_s = now_s
        self._handle = self._loop.call_later(0.001, self._step)

    def stop(self) -> None:
        self._handle.cancel()


async def _send_request(pool, abort=False):
    done = asyncio.get_running_loop().create_future()

    def use(acquired):
        connection = acquired.connection
        connection.send(
            _REQUEST,
            head_only=False,
            accepts=lambda response: (
                http_messages.get_header(response.headers, "x-id") != "other"
            ),
            done=lambda outcome: done.set_result((connection, outcome)),
        )
        if abort:
            asyncio.get_running_loop().call_later(0.2, connection.close)

    pool.acquire(use)
    connection, outcome = await asyncio.wait_for(done, _TIMEOUT_S)
    pool.release(connection)
    await asyncio.sleep(0.05)
    return outcome


def _run(context, work, traced):
    if traced:
        tracemalloc.start()
    try:
        outcomes = asyncio.run(work())
        context.held_bytes = tracemalloc.get_traced_memory()[1]
    finally:
        tracemalloc.stop()
    return outcomes


@behave.when("a request is sent to it")
def send_one(context):
    """Send it once to count bytes and once to measure the loop's steps."""
    context.open_after = []

    async def work():
        pool = http_client.Pool(context.scripted_target.address, 8, _READS)
        monitor = _LoopMonitor()
        outcome = await _send_request(pool)
        monitor.stop()
        context.longest_s = monitor.longest_s
        return outcome

    context.outcome = _run(context, work, traced=True)
    # A node does the same after its start. Otherwise the time to collect
    # the garbage of the test process would count as a step of the loop.
    gc.collect()
    gc.freeze()
    asyncio.run(work())
    gc.unfreeze()


@behave.when("a request is sent to it and aborted")
def send_and_abort(context):
    """Close the connection after 200 ms, as for a caller that left."""

    async def work():
        pool = http_client.Pool(context.scripted_target.address, 8, _READS)
        return await _send_request(pool, abort=True)

    context.outcome = asyncio.run(work())


@behave.when(
    "{count:d} requests are sent to it that may hold {held:d} bytes together"
)
def send_many(context, count, held):
    """Send the requests at the same time over one budget."""

    async def work():
        budget = byte_budget.ByteBudget(held)
        pool = http_client.Pool(
            context.scripted_target.address, count, _READS, budget
        )
        outcomes = await asyncio.gather(
            *(_send_request(pool) for _ in range(count))
        )
        assert budget.held == 0, budget.held
        return outcomes

    context.outcomes = _run(context, work, traced=True)


@behave.then('the outcome is unknown because of "{reason}"')
def request_lost(context, reason):
    """Check the unknown outcome; the request may have run."""
    assert isinstance(context.outcome, errors.OutcomeUnknown), context.outcome
    assert reason in context.outcome.reason, context.outcome.reason


@behave.then("less than 2 MB were held for it")
def held_bounded(context):
    """Check the peak memory, with the event loop's own buffers."""
    assert context.held_bytes < 2 * _MB, context.held_bytes


@behave.then("the target's connection is closed and not used again")
def connection_closed(context):
    """Check that the two requests used two connections."""
    assert context.scripted_target.closed.wait(2.0)
    assert context.scripted_target.opened == 2, context.scripted_target.opened


@behave.then("no step of the event loop took 20 ms of CPU time")
def no_long_step(context):
    """Check the longest step, during which no other call is served."""
    assert context.longest_s < _MAX_STEP_S, context.longest_s


@behave.then("its answer has {count:d} bytes")
def answer_whole(context, count):
    """Check that the complete answer was accepted."""
    assert context.outcome.body == b"x" * count


@behave.then("all outcomes are unknown and less than 2 MB were held for them")
def all_lost(context):
    """Check all outcomes; each answer alone is within its limit."""
    kinds = {type(outcome) for outcome in context.outcomes}
    assert kinds == {errors.OutcomeUnknown}, kinds
    assert context.held_bytes < 2 * _MB, context.held_bytes


class _CountingHandler:
    """Counts the requests, and answers each at once unless it is paused."""

    def __init__(self) -> None:
        self.request_count = 0
        self.is_paused = False

    def handle(self, exchange):
        """Answer one request."""
        self.request_count += 1
        if not self.is_paused:
            exchange.answer(http_messages.Response(status=200))


def _serve_callers(context, limits, bounds=None):
    port = ports.take()
    loop = asyncio.new_event_loop()
    started = threading.Event()
    context.handler = _CountingHandler()

    async def serve():
        server = http_server.HttpServer(
            f"127.0.0.1:{port}", context.handler, limits, bounds
        )
        await server.start()
        started.set()

    def run():
        asyncio.set_event_loop(loop)
        loop.create_task(serve())
        loop.run_forever()

    threading.Thread(target=run, daemon=True).start()
    assert started.wait(5.0)
    context.add_cleanup(loop.call_soon_threadsafe, loop.stop)
    context.port = port


@behave.given("a server for callers with a header timeout of {limit:d} ms")
def server_with_timeout(context, limit):
    """Start the server; its other limits have defaults."""
    _serve_callers(context, agreed.CallerLimits(header_timeout_ms=limit))


@behave.given(
    "a server for callers that holds at most {count:d} bytes of bodies"
)
def server_with_budget(context, count):
    """Start the server; its other limits have defaults."""
    reads = _settings.ReadSettings(held_bytes=count)
    bounds = request_limits.ProcessBounds(reads).callers()
    _serve_callers(context, agreed.CallerLimits(), bounds)


def _connect(context):
    sock = socket.create_connection(("127.0.0.1", context.port), _TIMEOUT_S)
    context.add_cleanup(sock.close)
    return sock


@behave.when("a caller sends a byte of its head every 100 ms")
def send_head_slowly(context):
    """Send until the answer arrives, or for about ten seconds."""
    sock = _connect(context)
    sock.settimeout(0.1)
    started_s = time.monotonic()
    context.received = b""
    sock.sendall(b"GET / HTTP/1.1\r\nX: ")
    for _ in range(100):
        with contextlib.suppress(TimeoutError):
            context.received = sock.recv(65_536)
            break
        sock.sendall(b"x")
    context.taken_s = time.monotonic() - started_s


@behave.then("it gets {status:d} within {limit:d} seconds")
def refused_in_time(context, status, limit):
    """Check the status and that the server did not wait for the head."""
    begin = f"HTTP/1.1 {status} ".encode()
    assert context.received.startswith(begin), context.received
    assert context.taken_s < limit, context.taken_s


def _body_request(count):
    return b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n" % count


@behave.when("a caller sends {count:d} bytes of a body and waits")
def send_partial_body(context, count):
    """Leave out the last byte and keep the connection open."""
    context.first_socket = _connect(context)
    context.first_socket.sendall(_body_request(count + 1) + b"x" * count)
    time.sleep(0.2)


@behave.when(
    "a caller sends a complete body of {count:d} bytes and gets no answer yet"
)
def send_unanswered_body(context, count):
    """Keep the connection open; its request runs."""
    context.handler.is_paused = True
    context.first_socket = _connect(context)
    context.first_socket.sendall(_body_request(count) + b"x" * count)
    time.sleep(0.2)
    assert context.handler.request_count == 1


@behave.when("another caller sends a complete body of {count:d} bytes")
def send_complete_body(context, count):
    """Send it while the first body occupies the budget."""
    context.body = _body_request(count) + b"x" * count
    other_socket = _connect(context)
    other_socket.sendall(context.body)
    context.received = other_socket.recv(65_536)


@behave.then(
    "the other one gets 503 with a Retry-After and its request has not run"
)
def refused_before_run(context):
    """Check the refusal and that the handler got only the first request."""
    assert context.received.startswith(b"HTTP/1.1 503 "), context.received
    assert b"Retry-After: " in context.received, context.received
    assert context.handler.request_count == 1


@behave.then("the other one is served")
def other_served(context):
    """Check its answer."""
    assert context.received.startswith(b"HTTP/1.1 200 "), context.received


@behave.then(
    "the first one gets 503 with a Retry-After and its request has not run"
)
def first_refused(context):
    """Check the refusal and that the handler got only the other request."""
    received = context.first_socket.recv(65_536)
    assert received.startswith(b"HTTP/1.1 503 "), received
    assert b"Retry-After: " in received, received
    assert context.handler.request_count == 1


@behave.then("it is served once the first one has disconnected")
def served_after_release(context):
    """Check that a closed connection returns its part of the budget."""
    context.handler.is_paused = False
    context.first_socket.close()
    time.sleep(0.2)
    other_socket = _connect(context)
    other_socket.sendall(context.body)
    assert other_socket.recv(65_536).startswith(b"HTTP/1.1 200 ")


@behave.when("the store client reads from it")
def store_reads(context):
    """Read records as a follower does."""
    client = store.Store(
        _settings.LogSettings(
            url=f"http://{context.scripted_target.address}",
            request_timeout_s=5.0,
            answer_bytes=_MB,
        )
    )
    started_s = time.monotonic()
    context.problem = None
    try:
        client.read("topic", 0, 0.0)
    except errors.LogUnavailable as exc:
        context.problem = exc
    context.taken_s = time.monotonic() - started_s


@behave.then("the store is reported unavailable within {limit:d} seconds")
def store_unavailable(context, limit):
    """Check that the read fails before the request's time limit."""
    assert context.problem is not None
    assert context.taken_s < limit, context.taken_s


_NEWEST_HEAD = endless.OK + b"Content-Length: %d\r\n\r\n"
_PAGE = b'{"items":[{"key":"config","value":"%s","offset":0}],%s'
_PAGE_END = b'"more":false,"endOffset":1}'
_PARTS = 24


def _slow_parts(data, seconds):
    size = -(-len(data) // _PARTS)
    for start in range(0, len(data), size):
        time.sleep(seconds / _PARTS)
        yield data[start : start + size]


def _drip():
    while True:
        time.sleep(0.2)
        yield b" "


@behave.given(
    "a store that sends a configuration of {size:d} KB"
    " within {seconds:g} seconds"
)
def slow_store(context, size, seconds):
    """Send the page of one record in parts."""
    data = _PAGE % (b"A" * size * 1_000, _PAGE_END)
    context.scripted_target = _ScriptedTarget(
        context, _NEWEST_HEAD % len(data), _slow_parts(data, seconds)
    )


@behave.given("a store that sends {what}")
def silent_store(context, what):
    """Send a part of an answer, or one that does not end in time."""
    head = _NEWEST_HEAD % 1_000
    first, then = {
        "nothing": (b"", []),
        "half of an answer": (head + b" " * 500, []),
        "a byte every 0.2 s and never end": (head, _drip()),
    }[what]
    context.scripted_target = _ScriptedTarget(context, first, then)


@behave.when(
    "a client with a request timeout of {seconds:g} s reads the newest records"
)
def read_newest(context, seconds):
    """Read them as a node that has lost its parent does."""
    client = store.Store(
        _settings.LogSettings(
            url=f"http://{context.scripted_target.address}",
            request_timeout_s=seconds,
            transfer_s=3.0,
        )
    )
    started_s = time.monotonic()
    context.problem = None
    try:
        context.newest = client.read_newest("topic")
    except errors.LogUnavailable as exc:
        context.problem = exc
    context.taken_s = time.monotonic() - started_s


@behave.then("it has the configuration")
def has_configuration(context):
    """Check the record."""
    assert context.problem is None, context.problem
    assert [record.key for record in context.newest.records] == ["config"]
