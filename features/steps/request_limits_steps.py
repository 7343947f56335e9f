"""Steps for the bounds of one server for callers."""

import asyncio
import contextlib
import socket
import threading
import time

import behave
import ports

from arbutusstall._proxy import byte_budget
from arbutusstall._proxy import http_messages
from arbutusstall._proxy import http_server
from arbutusstall._proxy import request_limits
from arbutusstall._tables import agreed

_TIMEOUT_S = 10.0
_QUIET_S = 0.5
_DRIP_INTERVAL_S = 0.1
_GET = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"
_LAST = b"GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"


class _Recorder:
    """Answers at once and keeps the requests."""

    def __init__(self, answer_bytes=2) -> None:
        self.requests = []
        self._body = b"x" * answer_bytes

    def handle(self, exchange):
        """Answer one request."""
        self.requests.append(exchange.request)
        exchange.answer(
            http_messages.Response(status=200, body=self._body),
        )


def _serve(
    context,
    *,
    heads=10_000_000,
    bodies=1_000_000,
    connections=1_000,
    answer_bytes=2,
    **limits,
):
    loop = asyncio.new_event_loop()
    started = threading.Event()
    context.recorder = _Recorder(answer_bytes)
    context.server_port = ports.take()

    async def serve():
        server = http_server.HttpServer(
            f"127.0.0.1:{context.server_port}",
            context.recorder,
            agreed.CallerLimits(**limits),
            request_limits.ServerBounds(
                heads=byte_budget.ByteBudget(heads),
                bodies=byte_budget.ByteBudget(bodies),
                connections=connections,
            ),
        )
        await server.start()
        started.set()

    def run():
        asyncio.set_event_loop(loop)
        loop.create_task(serve())
        loop.run_forever()

    threading.Thread(target=run, daemon=True).start()
    assert started.wait(_TIMEOUT_S)
    context.add_cleanup(loop.call_soon_threadsafe, loop.stop)


def _connect(context):
    address = ("127.0.0.1", context.server_port)
    sock = socket.create_connection(address, _TIMEOUT_S)
    context.add_cleanup(sock.close)
    return sock


def _receive_all(sock):
    """Return what arrives until the connection is closed."""
    received = b""
    with contextlib.suppress(ConnectionError):
        while data := sock.recv(65_536):
            received += data
    return received


@behave.given("a server whose header timeout is {limit:d} ms")
def short_header_timeout(context, limit):
    """Start it with a head limit of 16 KB."""
    _serve(context, header_timeout_ms=limit, header_bytes=16_384)


@behave.given("a server whose answers have {count:d} bytes")
def large_answers(context, count):
    """Start it with the defaults of all limits."""
    _serve(context, answer_bytes=count)


@behave.given("a server that holds at most {count:d} connections")
def few_connections(context, count):
    """Start it with the defaults of all other limits."""
    _serve(context, connections=count)


@behave.given("a server that holds at most {count:d} bytes of heads")
def few_head_bytes(context, count):
    """Start it with the defaults of all other limits."""
    _serve(context, heads=count)


@behave.given("a server that holds at most {count:d} bytes of bodies")
def few_body_bytes(context, count):
    """Start it with the defaults of all other limits."""
    _serve(context, bodies=count)


def _body_head(size):
    return b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n" % size


def _drip(socks, stopped):
    while not stopped.wait(_DRIP_INTERVAL_S):
        for sock in socks:
            with contextlib.suppress(OSError):
                sock.sendall(b"x")


@behave.when(
    "{count:d} clients send {size:d} bytes of a body each,"
    " then a byte now and then"
)
def drip_bodies(context, count, size):
    """Send twice as much as their sizes, one after the other."""
    context.drippers = []
    for _ in range(count):
        sock = _connect(context)
        sock.sendall(_body_head(2 * size) + b"x" * size)
        context.drippers.append(sock)
        time.sleep(_DRIP_INTERVAL_S)
    stopped = threading.Event()
    context.add_cleanup(stopped.set)
    threading.Thread(target=_drip, args=(context.drippers, stopped)).start()


@behave.then("a new client's body of {size:d} bytes is taken")
def body_taken(context, size):
    """Send it whole."""
    sock = _connect(context)
    sock.sendall(_body_head(size) + b"x" * size)
    received = sock.recv(65_536)
    assert received.startswith(b"HTTP/1.1 200 "), received
    assert len(context.recorder.requests[0].body) == size


@behave.then("the client that began first gets 503")
def first_refused(context):
    """Check the first of those whose bodies are incomplete."""
    received = _receive_all(context.drippers[0])
    assert received.startswith(b"HTTP/1.1 503 "), received


@behave.when("one client sends {count:d} requests at once")
def send_pipelined(context, count):
    """Send them in one write; the last one asks to close."""
    sock = _connect(context)
    sock.sendall(_GET * (count - 1) + _LAST)
    context.received = _receive_all(sock)


@behave.then("it gets {count:d} answers")
def count_answers(context, count):
    """Count the status lines."""
    found = context.received.count(b"HTTP/1.1 200 ")
    assert found == count, context.received[-300:]


@behave.when(
    "one client sends a head over the limit and a whole request after it"
)
def send_after_rejected(context):
    """Send both in one write."""
    sock = _connect(context)
    head = b"GET / HTTP/1.1\r\n" + b"X-Long: 1\r\n" * 3_000 + b"\r\n"
    sock.sendall(head + _LAST)
    context.received = _receive_all(sock)


@behave.then("it gets 431 once and no request has run")
def rejected_once(context):
    """Check the only status and the requests that the handler got."""
    assert context.received.startswith(b"HTTP/1.1 431 "), context.received
    assert context.received.count(b"HTTP/1.1 ") == 1, context.received
    assert not context.recorder.requests


@behave.when("one client sends an empty line every 100 ms")
def send_empty_lines(context):
    """Send until the connection is closed, or for five seconds."""
    sock = _connect(context)
    sock.settimeout(0.1)
    started_s = time.monotonic()
    while time.monotonic() - started_s < 5.0:
        try:
            sock.sendall(b"\r\n")
            sock.recv(1)
            break
        except TimeoutError:
            continue
        except ConnectionError:
            break
    context.taken_s = time.monotonic() - started_s


@behave.then("its connection is closed within {limit:d} seconds")
def closed_in_time(context, limit):
    """Check the time, which has a margin of one second."""
    assert context.taken_s < limit, context.taken_s


@behave.when(
    "one client sends a request, an empty line and {pause:g} seconds later"
    " a request"
)
def send_empty_line_between(context, pause):
    """Wait for longer than the header timeout and a sweep."""
    sock = _connect(context)
    sock.sendall(_GET)
    time.sleep(0.1)
    sock.sendall(b"\r\n")
    time.sleep(pause)
    sock.sendall(_LAST)
    context.received = _receive_all(sock)


@behave.when('one client sends a chunked body and the trailer "{line}"')
def send_trailer(context, line):
    """Send a body of one byte."""
    sock = _connect(context)
    sock.sendall(
        b"POST / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n"
        b"Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n"
        + line.encode()
        + b"\r\n\r\n"
    )
    context.received = _receive_all(sock)


@behave.then('the request runs without the header "{name}"')
def without_header(context, name):
    """Check the headers that the handler got."""
    (request,) = context.recorder.requests
    assert request.body == b"x"
    assert name not in dict(request.headers), request.headers


_BODY = b"charge=1"
_CHUNKED_BODY = b"8\r\ncharge=1\r\n0\r\n\r\n"
_BODIES_BY_FRAMING = {
    "with its length": b"Content-Length: 8\r\n\r\n" + _BODY,
    "in chunks": b"Transfer-Encoding: chunked\r\n\r\n" + _CHUNKED_BODY,
    "in chunks, in pieces": b"Transfer-Encoding: chunked\r\n\r\n"
    + _CHUNKED_BODY,
    "without any bytes": b"Content-Length: 0\r\n\r\n",
}


@behave.when(
    "one client offers an upgrade with a body, {framing}, and sends a request"
)
def offer_upgrade(context, framing):
    """Send both in one write, or byte by byte."""
    context.body = b"" if framing == "without any bytes" else _BODY
    sock = _connect(context)
    data = (
        b"POST /charge HTTP/1.1\r\nHost: a\r\n"
        b"Connection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c\r\n"
        + _BODIES_BY_FRAMING[framing]
        + _LAST
    )
    size = 1 if framing.endswith("in pieces") else len(data)
    for start in range(0, len(data), size):
        sock.sendall(data[start : start + size])
    context.received = _receive_all(sock)


@behave.then("the first request has run with that body")
def upgrade_keeps_body(context):
    """Check what the handler got."""
    first, second = context.recorder.requests
    assert (first.method, first.target) == ("POST", "/charge"), first
    assert first.body == context.body, first
    assert second.method == "GET", second


@behave.when("one client sends {count:d} requests at once and takes no answer")
def take_no_answer(context, count):
    """Wait until the number of requests that ran stays the same."""
    _connect(context).sendall(_GET * count)
    before = -1
    while before != len(context.recorder.requests):
        before = len(context.recorder.requests)
        time.sleep(_QUIET_S)


@behave.then("at most {count:d} requests have run")
def few_requests_ran(context, count):
    """Check it; the kernel takes a few answers of 1 MB."""
    found = len(context.recorder.requests)
    assert 0 < found <= count, found


@behave.when(
    "one client is answered and {count:d} others connect and send nothing"
)
def crowd_connects(context, count):
    """Keep the connections open."""
    context.first_client = _connect(context)
    _check_answered(context.first_client)
    context.others = [_connect(context) for _ in range(count)]
    time.sleep(_QUIET_S)


@behave.then("the first client is answered again on its connection")
def first_answered(context):
    """Send a second request."""
    _check_answered(context.first_client)


@behave.then("a new client is answered")
def new_answered(context):
    """Open a connection of its own."""
    _check_answered(_connect(context))


@behave.when("{count:d} clients send {lines:d} lines of a head each and wait")
def send_parts_of_heads(context, count, lines):
    """Keep the connections open; no head is complete."""
    context.others = [_connect(context) for _ in range(count)]
    for sock in context.others:
        sock.sendall(b"GET / HTTP/1.1\r\n" + b"a:b\r\n" * lines)
    time.sleep(_QUIET_S)


@behave.then("at least one of the others gets 503")
def one_refused(context):
    """Read what has arrived for each."""
    statuses = []
    for sock in context.others:
        sock.settimeout(0.1)
        with contextlib.suppress(OSError):
            statuses.append(sock.recv(65_536)[:12])
    assert b"HTTP/1.1 503" in statuses, statuses


def _check_answered(sock):
    sock.sendall(_GET)
    received = sock.recv(65_536)
    assert received.startswith(b"HTTP/1.1 200 "), received


class _Peer:
    """A connection as the register sees it; closed in a later turn."""

    head_held = 0

    def __init__(self, busy=False):
        self.busy = busy
        self.is_aborted = False

    def shed(self):
        """Refuse an incomplete head; there is none."""

    def abort(self):
        """Note the call."""
        self.is_aborted = True


@behave.given("a register of at most {count:d} connections, all busy")
def busy_register(context, count):
    """Fill it with connections whose requests are being answered."""
    bounds = request_limits.ServerBounds(
        heads=byte_budget.ByteBudget(1_000_000),
        bodies=None,
        connections=count,
    )
    context.register = request_limits.Connections(bounds)
    for _ in range(count):
        peer = _Peer(busy=True)
        context.register.add(peer)
        context.register.begin_request(peer)


@behave.when("{count:d} more connect at once")
def connect_more(context, count):
    """Add them in one turn of the loop, before any end is reported."""
    context.newcomers = [_Peer() for _ in range(count)]
    for peer in context.newcomers:
        context.register.add(peer)


@behave.then("{held:d} connections are held and the {closed:d} were closed")
def newcomers_closed(context, held, closed):
    """Check that none of the new ones was registered."""
    assert len(context.register.all) == held, context.register.all
    aborted = [peer.is_aborted for peer in context.newcomers]
    assert aborted == [True] * closed, aborted
