"""Steps for peers that send bytes without end."""

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

from arbutusstall import _settings
from arbutusstall import errors
from arbutusstall._proxy import byte_budget
from arbutusstall._proxy import http_client
from arbutusstall._proxy import http_messages
from arbutusstall._proxy import http_server
from arbutusstall._tables import agreed
from arbutusstall.platform import store

_MB = 1_000_000
_WAIT_S = 10.0
_STALL_S = 0.02
_READS = _settings.ReadSettings(answer_bytes=250_000)
_REQUEST = b"GET / HTTP/1.1\r\nHost: a\r\nX-Request-Id: r\r\n\r\n"
_OK = b"HTTP/1.1 200 OK\r\n"
_CHUNKED = _OK + b"Transfer-Encoding: chunked\r\n\r\n"
_BLOCK = b"x" * 4_000
_OTHER = b"HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: 2\r\n\r\nab"

# How an answer begins, and what follows until the connection is closed.
_ENDLESS = {
    "a reason phrase": (b"HTTP/1.1 200 ", _BLOCK),
    "a header name": (_OK, _BLOCK),
    "a header value": (_OK + b"X-Long: ", _BLOCK),
    "header lines": (_OK, b"X-More: 1\r\n" * 300),
    "interim answers": (b"", b"HTTP/1.1 103 Early Hints\r\n\r\n" * 100),
    "chunk extensions": (_CHUNKED + b"4;", _BLOCK),
    "trailers": (_CHUNKED + b"0\r\n", b"X-More: 1\r\n" * 300),
    "a body in chunks": (_CHUNKED, b"fa0\r\n" + _BLOCK + b"\r\n"),
    "a body with a length": (
        _OK + b"Content-Length: 100000000000\r\n\r\n",
        _BLOCK,
    ),
    "a body without length": (_OK + b"\r\n", _BLOCK),
    "answers to others": (b"", _OTHER * 50),
}


class _RawTarget:
    """Writes given bytes on each connection until it is closed."""

    def __init__(self, context, first, then) -> None:
        self._first = first
        self._then = then
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
            for part in self._then:
                sock.sendall(part)
            sock.recv(1)
        self.closed.set()


@behave.given("a target that sends {what} without end")
def endless_target(context, what):
    """The peer never stops by itself."""
    first, then = _ENDLESS[what]
    context.raw = _RawTarget(context, first, itertools.repeat(then))


@behave.given("a target that answers with {count:d} chunks of one byte")
def small_chunks(context, count):
    """Six bytes on the wire for each."""
    context.raw = _RawTarget(
        context, _CHUNKED, [b"1\r\nx\r\n" * count + b"0\r\n\r\n"]
    )


@behave.given("a target that sends a body without length and then waits")
def half_target(context):
    """Its end would be the end of the connection."""
    context.raw = _RawTarget(context, _OK + b"\r\nhalf", [])


class _Watch:
    """Notes the longest step of a running loop, in processor time."""

    def __init__(self) -> None:
        self.longest_s = 0.0
        self._loop = asyncio.get_running_loop()
        self._before_s = time.thread_time()
        self._handle = self._loop.call_soon(self._step)

    def _step(self) -> None:
        now_s = time.thread_time()
        self.longest_s = max(self.longest_s, now_s - self._before_s)
        self._before_s = now_s
        self._handle = self._loop.call_later(0.001, self._step)

    def stop(self) -> None:
        self._handle.cancel()


async def _ask(pool, break_off=False):
    done = asyncio.get_running_loop().create_future()

    def use(lease):
        connection = lease.connection
        connection.send(
            _REQUEST,
            head_only=False,
            accepts=lambda response: (
                http_messages.get(response.headers, "x-id") != "other"
            ),
            done=lambda outcome: done.set_result((connection, outcome)),
        )
        if break_off:
            asyncio.get_running_loop().call_later(0.2, connection.close)

    pool.acquire(use)
    connection, outcome = await asyncio.wait_for(done, _WAIT_S)
    pool.release(connection)
    await asyncio.sleep(0.05)
    return outcome


def _run(context, asked, traced):
    if traced:
        tracemalloc.start()
    try:
        outcomes = asyncio.run(asked())
        context.held_bytes = tracemalloc.get_traced_memory()[1]
    finally:
        tracemalloc.stop()
    return outcomes


@behave.when("a request is sent to it")
def send_one(context):
    """Once to count bytes, once to watch the loop."""
    context.open_after = []

    async def asked():
        pool = http_client.Pool(context.raw.address, 8, _READS)
        watch = _Watch()
        outcome = await _ask(pool)
        watch.stop()
        context.longest_s = watch.longest_s
        return outcome

    context.outcome = _run(context, asked, traced=True)
    # As a node does after its start: the collector's look at what the
    # test process has gathered is no part of the loop's work.
    gc.collect()
    gc.freeze()
    asyncio.run(asked())
    gc.unfreeze()


@behave.when("a request is sent to it and broken off")
def send_and_break(context):
    """As for a caller that has gone."""

    async def asked():
        pool = http_client.Pool(context.raw.address, 8, _READS)
        return await _ask(pool, break_off=True)

    context.outcome = asyncio.run(asked())


@behave.when(
    "{count:d} requests are sent to it that may hold {held:d} bytes together"
)
def send_many(context, count, held):
    """At the same time."""

    async def asked():
        budget = byte_budget.ByteBudget(held)
        pool = http_client.Pool(context.raw.address, count, _READS, budget)
        found = await asyncio.gather(*(_ask(pool) for _ in range(count)))
        assert budget.held == 0, budget.held
        return found

    context.outcomes = _run(context, asked, traced=True)


@behave.then('the request is lost for "{reason}"')
def request_lost(context, reason):
    """It may have run."""
    assert isinstance(context.outcome, errors.OutcomeUnknown), context.outcome
    assert reason in context.outcome.reason, context.outcome.reason


@behave.then("less than 2 MB were held for it")
def little_held(context):
    """At the peak, the loop's own buffers included."""
    assert context.held_bytes < 2 * _MB, context.held_bytes


@behave.then("the target's connection is closed and not used again")
def connection_closed(context):
    """Two requests, two connections."""
    assert context.raw.closed.wait(2.0)
    assert context.raw.opened == 2, context.raw.opened


@behave.then("no step of the loop took 20 ms of processor time")
def no_stall(context):
    """Others are served meanwhile."""
    assert context.longest_s < _STALL_S, context.longest_s


@behave.then("its answer has {count:d} bytes")
def answer_whole(context, count):
    """Nothing is given up."""
    assert context.outcome.body == b"x" * count


@behave.then("all requests are lost and less than 2 MB were held for them")
def many_lost(context):
    """Although each alone is within its limit."""
    kinds = {type(outcome) for outcome in context.outcomes}
    assert kinds == {errors.OutcomeUnknown}, kinds
    assert context.held_bytes < 2 * _MB, context.held_bytes


class _Counting:
    """Answers at once and counts."""

    def __init__(self) -> None:
        self.seen = 0

    def handle(self, exchange):
        """Answer one request."""
        self.seen += 1
        exchange.answer(http_messages.Response(status=200))


def _serve_callers(context, limits, bodies=None):
    port = ports.take()
    loop = asyncio.new_event_loop()
    started = threading.Event()
    context.handler = _Counting()

    async def serve():
        server = http_server.HttpServer(
            f"127.0.0.1:{port}", context.handler, limits, bodies
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


@behave.given("a server of callers with a header timeout of {limit:d} ms")
def server_with_timeout(context, limit):
    """Other limits as usual."""
    _serve_callers(context, agreed.CallerLimits(header_timeout_ms=limit))


@behave.given("a server of callers that holds {count:d} bytes of bodies")
def server_with_budget(context, count):
    """Other limits as usual."""
    budget = byte_budget.ByteBudget(count)
    _serve_callers(context, agreed.CallerLimits(), budget)


def _call(context):
    sock = socket.create_connection(("127.0.0.1", context.port), _WAIT_S)
    context.add_cleanup(sock.close)
    return sock


@behave.when("a caller sends a byte of its head every 100 ms")
def trickle(context):
    """Until it is answered or a minute's worth is sent."""
    sock = _call(context)
    sock.settimeout(0.1)
    began_s = time.monotonic()
    context.talked = b""
    sock.sendall(b"GET / HTTP/1.1\r\nX: ")
    for _ in range(100):
        with contextlib.suppress(TimeoutError):
            context.talked = sock.recv(65_536)
            break
        sock.sendall(b"x")
    context.taken_s = time.monotonic() - began_s


@behave.then("it gets {status:d} within {limit:d} seconds")
def refused_in_time(context, status, limit):
    """Not after the last byte."""
    begin = f"HTTP/1.1 {status} ".encode()
    assert context.talked.startswith(begin), context.talked
    assert context.taken_s < limit, context.taken_s


def _body_request(count):
    return b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n" % count


@behave.when("a caller sends {count:d} bytes of a body and waits")
def half_body(context, count):
    """One byte is missing."""
    context.first = _call(context)
    context.first.sendall(_body_request(count + 1) + b"x" * count)
    time.sleep(0.2)


@behave.when("another caller sends a whole body of {count:d} bytes")
def whole_body(context, count):
    """While the first one is held."""
    context.body = _body_request(count) + b"x" * count
    other = _call(context)
    other.sendall(context.body)
    context.talked = other.recv(65_536)


@behave.then("the other one gets 503 with a Retry-After and did not run")
def turned_away(context):
    """The refusal is true."""
    assert context.talked.startswith(b"HTTP/1.1 503 "), context.talked
    assert b"Retry-After: " in context.talked, context.talked
    assert context.handler.seen == 0


@behave.then("it is served when the first one has gone")
def served_later(context):
    """What a caller held is given back with its connection."""
    context.first.close()
    time.sleep(0.2)
    other = _call(context)
    other.sendall(context.body)
    assert other.recv(65_536).startswith(b"HTTP/1.1 200 ")


@behave.when("the store client reads from it")
def store_reads(context):
    """As for records."""
    client = store.Store(
        _settings.LogSettings(
            url=f"http://{context.raw.address}",
            request_timeout_s=5.0,
            answer_bytes=_MB,
        )
    )
    began_s = time.monotonic()
    context.problem = None
    try:
        client.read("topic", 0, 0.0)
    except errors.LogUnavailable as exc:
        context.problem = exc
    context.taken_s = time.monotonic() - began_s


@behave.then("it is unavailable within {limit:d} seconds")
def store_unavailable(context, limit):
    """Before the time limit of the request."""
    assert context.problem is not None
    assert context.taken_s < limit, context.taken_s
