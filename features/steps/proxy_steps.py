"""Steps that check the fault proxy itself."""

import contextlib
import socket
import threading

import behave
import fault_proxy
import mesh

_TIMEOUT_S = 5.0
_SILENCE_TIMEOUT_S = 0.2


class _Echo:
    """Echo server that records the chunks that it receives."""

    def __init__(self, address: str) -> None:
        host, _, port = address.rpartition(":")
        self.received: list[bytes] = []
        self.server = socket.create_server((host, int(port)))
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        with contextlib.suppress(OSError):
            while True:
                peer, _ = self.server.accept()
                threading.Thread(
                    target=self._serve, args=(peer,), daemon=True
                ).start()

    def _serve(self, peer: socket.socket) -> None:
        with contextlib.suppress(OSError):
            while data := peer.recv(1000):
                self.received.append(data)
                peer.sendall(data)


@behave.given("an echo server behind a fault proxy")
def start_echo(context):
    """Start both in this process."""
    listen, upstream = mesh.free_addresses(2)
    context.echo = _Echo(upstream)
    context.proxy = fault_proxy.FaultProxy(listen, upstream)
    context.add_cleanup(context.echo.server.close)
    context.add_cleanup(context.proxy.stop)


def _connect(context):
    host, _, port = context.proxy.listen.rpartition(":")
    client = socket.create_connection((host, int(port)), timeout=_TIMEOUT_S)
    context.add_cleanup(client.close)
    return client


def _exchange(client, data: bytes) -> bytes:
    client.sendall(data)
    return client.recv(1000)


def _is_silent(client) -> bool:
    client.settimeout(_SILENCE_TIMEOUT_S)
    try:
        return not client.recv(1000)
    except TimeoutError:
        return True


def _is_reset(client) -> bool:
    try:
        client.recv(1000)
    except ConnectionResetError:
        return True
    return False


@behave.then("bytes pass both ways")
def passes(context):
    """Exchange bytes without faults, then with latency."""
    context.client = _connect(context)
    assert _exchange(context.client, b"one") == b"one"
    context.proxy.set(latency_s=0.01, spread_s=0.01)
    assert _exchange(_connect(context), b"late") == b"late"
    context.proxy.set()


@behave.then("a new connection is refused and the next one works")
def refuses(context):
    """Refuse a connection, then accept the next."""
    context.proxy.set(refuse=True)
    try:
        _connect(context)
    except ConnectionRefusedError:
        refused = True
    else:
        refused = False
    context.proxy.set()
    assert refused
    assert _exchange(_connect(context), b"two") == b"two"


@behave.then("an open connection goes silent while a new one works")
def silences(context):
    """Silence only the connections that are open."""
    client = _connect(context)
    assert _exchange(client, b"three") == b"three"
    assert context.proxy.silence_open() >= 1
    client.sendall(b"lost")
    assert _is_silent(client)
    assert b"lost" not in context.echo.received
    assert _exchange(_connect(context), b"four") == b"four"


@behave.then("the bytes of one direction vanish")
def vanishes(context):
    """Drop the bytes to the client, then those to the server."""
    client = _connect(context)
    context.proxy.set(vanish=frozenset({fault_proxy.DOWN}))
    client.sendall(b"unanswered")
    assert _is_silent(client)
    assert b"unanswered" in context.echo.received
    context.proxy.set(vanish=frozenset({fault_proxy.UP}))
    client.sendall(b"unseen")
    assert _is_silent(client)
    assert b"unseen" not in context.echo.received
    context.proxy.set()


@behave.then("a connection is reset at byte {count:d} of each direction")
def resets(context, count):
    """Reset after this number of bytes to the server, then to the client."""
    client = _connect(context)
    context.proxy.set(reset_at={fault_proxy.UP: count}, once=True)
    client.sendall(b"abcdef")
    assert _is_reset(client) or _is_reset(client)
    assert b"abcdef" not in context.echo.received
    client = _connect(context)
    context.proxy.set(reset_at={fault_proxy.DOWN: count}, once=True)
    client.sendall(b"ghijkl")
    assert _is_reset(client) or _is_reset(client)
    assert b"ghijkl" in context.echo.received


@behave.then("the answer is cut after the request went through")
def cuts_answer(context):
    """Reset when the answer passes; the next exchange succeeds."""
    client = _connect(context)
    context.proxy.set(reset_on={fault_proxy.DOWN: b"paid"}, once=True)
    client.sendall(b"paid")
    assert _is_reset(client)
    assert b"paid" in context.echo.received
    assert context.proxy.resets == 3
    assert _exchange(_connect(context), b"after") == b"after"
