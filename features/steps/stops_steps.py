"""Steps for stops of the callers' server, on one event loop.

The clients are blocking sockets in the loop's own thread, so the server
handles nothing between two of their calls.
"""

import asyncio
import contextlib
import socket

import behave
import ports

from arbutusstall import settings
from arbutusstall._proxy import frame_server
from arbutusstall._proxy import http_messages
from arbutusstall._proxy import http_server
from arbutusstall._wire import messages

_REQUEST = b"GET /1 HTTP/1.1\r\nHost: a.example\r\n\r\n"
_SETTLE_S = 0.05
_ANSWER_S = 0.02
_LARGE_BYTES = 8_000_000
_POLL_S = 0.02


class _LargeAnswer:
    """Answers each request at once with a large body."""

    def handle(self, exchange):
        """Answer the request."""
        exchange.answer(
            http_messages.Response(status=200, body=bytes(_LARGE_BYTES))
        )


class _LargeMessages:
    """Owner of a connection between nodes; answers with a large message."""

    busy = False

    def on_message(self, connection, message):
        """Answer the greeting."""
        connection.send(
            messages.CallAnswer(call_id="c", body=bytes(_LARGE_BYTES))
        )

    def on_lost(self, connection, reason):
        """Ignore the end of the connection."""


class _SlowEcho:
    """Handler that answers each request 20 ms later."""

    def handle(self, exchange):
        """Answer later."""
        response = http_messages.Response(status=200, body=b"whole")
        loop = asyncio.get_running_loop()
        loop.call_later(_ANSWER_S, exchange.answer, response)


@behave.given("a server in this process")
def choose_port(context):
    """Choose its port; each later step runs the server."""
    context.port = ports.take()
    context.expected = 1


def _connect(context):
    return socket.create_connection(("127.0.0.1", context.port))


async def _receive(sock):
    sock.setblocking(False)
    loop = asyncio.get_running_loop()
    parts = []
    with contextlib.suppress(ConnectionResetError):
        while part := await loop.sock_recv(sock, 65_536):
            parts.append(part)
    return b"".join(parts)


def _stop(context, count, prepare, after=None):
    async def work():
        server = http_server.HttpServer(
            f"127.0.0.1:{context.port}", _SlowEcho()
        )
        await server.start()
        loop = asyncio.get_running_loop()
        context.clients = await prepare(count)
        server.close_listener()
        began_s = loop.time()
        receiving = asyncio.gather(*map(_receive, context.clients))
        if after is not None:
            await after()
        context.answers = await asyncio.wait_for(receiving, 5.0)
        context.open_s = loop.time() - began_s
        server.close()
        for client in context.clients:
            client.close()

    asyncio.run(work())


def _open_all(context, count, data=b""):
    return _send_all([_connect(context) for _ in range(count)], data)


def _send_all(clients, data):
    for client in clients:
        client.sendall(data)
    return clients


@behave.when(
    "{count:d} clients sent requests that wait to be accepted"
    " and it stops listening"
)
def waiting(context, count):
    """Connect and send without a turn of the loop."""

    async def prepare(number):
        return _open_all(context, number, _REQUEST)

    _stop(context, count, prepare)


@behave.when(
    "{count:d} clients sent requests on new connections and it stops listening"
)
def unread(context, count):
    """Let the server accept, then send without a turn of the loop."""

    async def prepare(number):
        clients = _open_all(context, number)
        await asyncio.sleep(_SETTLE_S)
        return _send_all(clients, _REQUEST)

    _stop(context, count, prepare)


async def _use(context, number):
    clients = _open_all(context, number, _REQUEST)
    await asyncio.sleep(_SETTLE_S + _ANSWER_S)
    for client in clients:
        assert b"whole" in client.recv(65_536)
    return clients


@behave.when(
    "{count:d} clients sent requests again on used connections"
    " and it stops listening"
)
def unread_again(context, count):
    """Send a second request without a turn of the loop."""

    async def prepare(number):
        clients = await _use(context, number)
        return _send_all(clients, _REQUEST)

    _stop(context, count, prepare)


@behave.when(
    "{count:d} clients connected and send requests 100 ms later"
    " and it stops listening"
)
def sent_later(context, count):
    """Send the first request shortly after the listener has closed."""

    async def prepare(number):
        clients = _open_all(context, number)
        await asyncio.sleep(_SETTLE_S)
        return clients

    async def after():
        await asyncio.sleep(0.1)
        _send_all(context.clients, _REQUEST)

    _stop(context, count, prepare, after)


@behave.when(
    "{count:d} clients sent three requests at once and it stops listening"
)
def pipelined(context, count):
    """Send three requests on each connection, and let one turn pass."""
    context.expected = 3

    async def prepare(number):
        clients = _open_all(context, number, 3 * _REQUEST)
        await asyncio.sleep(_ANSWER_S / 2)
        return clients

    _stop(context, count, prepare)


@behave.when("{count:d} clients have used connections and it stops listening")
def used(context, count):
    """Leave the connections idle after one answer."""

    async def prepare(number):
        return await _use(context, number)

    _stop(context, count, prepare)


@behave.then("each client gets a whole answer")
def all_answered(context):
    """Check the number of answers on each connection."""
    counts = [answer.count(b"whole") for answer in context.answers]
    assert counts == [context.expected] * len(counts), counts


@behave.then("no connection is left open after {seconds:g} second")
@behave.then("no connection is left open after {seconds:g} seconds")
def all_closed(context, seconds):
    """Check the time until the server had closed every connection."""
    assert context.open_s < seconds, context.open_s


@behave.given("a server of {kind} in this process")
def choose_kind(context, kind):
    """Build it on a free port; the next step runs it."""
    context.port = ports.take()
    address = f"127.0.0.1:{context.port}"
    if kind == "HTTP":
        context.request = _REQUEST
        context.build = lambda: http_server.HttpServer(address, _LargeAnswer())
    else:
        greeting = messages.encode(messages.CallGreeting(node="n"))
        context.request = len(greeting).to_bytes(4, "big") + greeting
        context.build = lambda: frame_server.FrameServer(
            address, _LargeMessages, settings.ReadSettings()
        )


@behave.when("it answers 8 MB to a client that does not read yet")
def answer_unread(context):
    """Look at the server before and after the client reads."""

    async def work():
        server = context.build()
        await server.start()
        client = _connect(context)
        client.sendall(context.request)
        await asyncio.sleep(_SETTLE_S)
        context.was_busy = bool(server.busy)
        context.received = await _receive_some(client, _LARGE_BYTES)
        await asyncio.sleep(_POLL_S)
        context.is_busy = bool(server.busy)
        server.close()
        client.close()

    asyncio.run(work())


async def _receive_some(sock, count):
    sock.setblocking(False)
    loop = asyncio.get_running_loop()
    received = 0
    while received < count:
        part = await asyncio.wait_for(loop.sock_recv(sock, 65_536), 5.0)
        assert part, received
        received += len(part)
    return received


@behave.then("it is busy")
def was_busy(context):
    """Check it before the client read."""
    assert context.was_busy


@behave.then("it is idle after the client has read the whole answer")
def is_idle(context):
    """Check it after the client read."""
    assert context.received >= _LARGE_BYTES, context.received
    assert not context.is_busy
