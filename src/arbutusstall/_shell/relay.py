"""gRPC streams between nodes for configuration and membership."""

from collections import abc
from concurrent import futures
import queue
import threading

import grpc

from arbutusstall import _effects
from arbutusstall import errors
from arbutusstall._shell import control
from arbutusstall._wire import messages

_METHOD = "/arbutusstall.Relay/Attach"
_MAX_STREAMS = 64
_END = None

_Outbox = queue.SimpleQueue[messages.Message | None]


class Relay:
    """Carries out the link effects of a core."""

    def __init__(self, address: str, loop: control.ControlLoop) -> None:
        self._loop = loop
        self._outboxes: dict[str, _Outbox] = {}
        self._lock = threading.Lock()
        self._server = grpc.server(
            futures.ThreadPoolExecutor(max_workers=_MAX_STREAMS)
        )
        handler = grpc.stream_stream_rpc_method_handler(
            self._serve,
            request_deserializer=messages.decode,
            response_serializer=messages.encode,
        )
        self._server.add_generic_rpc_handlers(
            (
                grpc.method_handlers_generic_handler(
                    "arbutusstall.Relay", {"Attach": handler}
                ),
            )
        )
        self._server.add_insecure_port(address)

    def start(self) -> None:
        """Begin to accept streams."""
        self._server.start()

    def stop(self) -> None:
        """Close all streams."""
        with self._lock:
            outboxes = list(self._outboxes.values())
        for outbox in outboxes:
            outbox.put(_END)
        self._server.stop(grace=0.5).wait()

    def connect(self, effect: _effects.Connect) -> None:
        """Open a stream to another node."""
        threading.Thread(
            target=self._run_client, args=(effect,), daemon=True
        ).start()

    def disconnect(self, effect: _effects.Disconnect) -> None:
        """Close the stream to a peer."""
        with self._lock:
            outbox = self._outboxes.get(effect.peer)
        if outbox is not None:
            outbox.put(_END)

    def send(self, effect: _effects.Send) -> None:
        """Queue a message for a peer; drop it if the stream is gone."""
        with self._lock:
            outbox = self._outboxes.get(effect.peer)
        if outbox is not None:
            outbox.put(effect.message)

    def _run_client(self, effect: _effects.Connect) -> None:
        outbox: _Outbox = queue.SimpleQueue()
        outbox.put(effect.hello)
        peer = effect.address
        reason = "closed by the peer"
        try:
            with grpc.insecure_channel(effect.address) as channel:
                attach = channel.stream_stream(
                    _METHOD,
                    request_serializer=messages.encode,
                    response_deserializer=messages.decode,
                )
                for message in attach(_drain(outbox)):
                    if isinstance(
                        message, messages.Welcome | messages.Refusal
                    ):
                        peer = message.node
                        self._register(peer, outbox)
                    self._loop.put(
                        _effects.Received(peer=peer, message=message)
                    )
        except grpc.RpcError as exc:
            reason = str(exc.code())
        finally:
            self._closed(peer, outbox, reason)
            if peer != effect.address:
                self._closed(effect.address, outbox, reason)

    def _serve(
        self,
        incoming: abc.Iterator[messages.Message],
        context: grpc.ServicerContext,
    ) -> abc.Iterator[messages.Message]:
        hello = next(incoming, None)
        if not isinstance(hello, messages.Hello):
            context.abort(grpc.StatusCode.INVALID_ARGUMENT, "hello expected")
            return
        outbox: _Outbox = queue.SimpleQueue()
        self._register(hello.node, outbox)
        context.add_callback(lambda: outbox.put(_END))
        self._loop.put(_effects.Received(peer=hello.node, message=hello))
        threading.Thread(
            target=self._pump, args=(hello.node, incoming), daemon=True
        ).start()
        yield from _drain(outbox)
        self._closed(hello.node, outbox, "stream ended")

    def _pump(
        self, peer: str, incoming: abc.Iterator[messages.Message]
    ) -> None:
        try:
            for message in incoming:
                self._loop.put(_effects.Received(peer=peer, message=message))
        except (grpc.RpcError, errors.WireError):
            return

    def _register(self, peer: str, outbox: _Outbox) -> None:
        with self._lock:
            old = self._outboxes.get(peer)
            self._outboxes[peer] = outbox
        if old is not None and old is not outbox:
            old.put(_END)

    def _closed(self, peer: str, outbox: _Outbox, reason: str) -> None:
        outbox.put(_END)
        with self._lock:
            current = self._outboxes.get(peer)
            if current is not None and current is not outbox:
                return
            self._outboxes.pop(peer, None)
        self._loop.put(_effects.LinkLost(peer=peer, reason=reason))


def _drain(outbox: _Outbox) -> abc.Iterator[messages.Message]:
    while True:
        message = outbox.get()
        if message is _END:
            return
        yield message
