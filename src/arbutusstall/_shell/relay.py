"""gRPC streams between nodes that carry configuration and membership."""

from collections import abc
from concurrent import futures
import logging
import queue
import threading

import grpc
import prometheus_client

from arbutusstall import _effects
from arbutusstall import errors
from arbutusstall._shell import control
from arbutusstall._wire import messages

LOG = logging.getLogger(__name__)

_SENT_BYTES = prometheus_client.Counter(
    "arbutusstall_relay_sent_bytes",
    "Size of the messages queued for other nodes, in bytes.",
)
_RECEIVED_BYTES = prometheus_client.Counter(
    "arbutusstall_relay_received_bytes",
    "Size of the messages received from other nodes, in bytes.",
)

_METHOD = "/arbutusstall.Relay/Attach"
# Each accepted stream occupies a thread. Children, other roots and joining
# nodes that are about to be refused have one stream each.
_MAX_STREAMS = 64
_MAX_QUEUED_MESSAGES = 2_000
_MAX_QUEUED_BYTES = 8 * 1024 * 1024
_MAX_MESSAGE_BYTES = 64 * 1024 * 1024
_OPTIONS = (
    ("grpc.max_receive_message_length", _MAX_MESSAGE_BYTES),
    ("grpc.max_send_message_length", _MAX_MESSAGE_BYTES),
    # Each stream gets a connection of its own: an unresponsive connection
    # must not be reused by the attempt that replaces it.
    ("grpc.use_local_subchannel_pool", 1),
    ("grpc.enable_retries", 0),
    ("grpc.so_reuseport", 0),
)


class Outbox:
    """Queue of encoded messages for one stream, bounded in number and size.

    Thread-safe.

    Attributes:
        closed: Whether further messages are discarded.
    """

    def __init__(self) -> None:
        self._queue: queue.SimpleQueue[bytes | None] = queue.SimpleQueue()
        self._lock = threading.Lock()
        self._queued_bytes = 0
        self.closed = False

    def put(self, data: bytes) -> bool:
        """Queue a message; return false if the queue is full."""
        with self._lock:
            if self.closed:
                return True
            full = self._queue.qsize() >= _MAX_QUEUED_MESSAGES
            if full or self._queued_bytes + len(data) > _MAX_QUEUED_BYTES:
                return False
            self._queued_bytes += len(data)
        _SENT_BYTES.inc(len(data))
        self._queue.put(data)
        return True

    def close(self) -> None:
        """End the stream after the messages that are queued already."""
        with self._lock:
            self.closed = True
        self._queue.put(None)

    def drain(self) -> abc.Iterator[bytes]:
        """Yield the messages until the outbox is closed; blocks meanwhile."""
        while True:
            data = self._queue.get()
            if data is None:
                return
            with self._lock:
                self._queued_bytes -= len(data)
            yield data


class _Stream:
    """One open stream.

    Attributes:
        peer: Node id, or the address until the node is known.
        cancel: Aborts the stream.
        closed: Whether the stream has ended or was closed by this side;
            its end is not reported again.
    """

    def __init__(self, peer: str) -> None:
        self.peer = peer
        self.outbox = Outbox()
        self.cancel: abc.Callable[[], object] = lambda: None
        self.closed = False


class Relay:
    """Executes the link effects of a core.

    The core's thread calls the executors; received messages are queued as
    events from the threads of the streams.
    """

    def __init__(self, address: str, loop: control.ControlLoop) -> None:
        self._loop = loop
        self._streams: dict[str, _Stream] = {}
        self._lock = threading.Lock()
        self._last_encoded: tuple[messages.Message, bytes] | None = None
        self._server = grpc.server(
            futures.ThreadPoolExecutor(max_workers=_MAX_STREAMS),
            options=_OPTIONS,
            maximum_concurrent_rpcs=_MAX_STREAMS,
        )
        handler = grpc.stream_stream_rpc_method_handler(self._serve)
        self._server.add_generic_rpc_handlers(
            (
                grpc.method_handlers_generic_handler(
                    "arbutusstall.Relay", {"Attach": handler}
                ),
            )
        )
        self._server.add_insecure_port(address)

    def start(self) -> None:
        """Start to accept streams."""
        self._server.start()

    def stop(self) -> None:
        """Close all streams."""
        with self._lock:
            streams = list(self._streams.values())
        for stream in streams:
            stream.outbox.close()
        self._server.stop(grace=0.5).wait()

    def connect(self, effect: _effects.Connect) -> None:
        """Open a stream to another node."""
        stream = _Stream(effect.address)
        stream.outbox.put(messages.encode(effect.hello))
        self._register(stream)
        threading.Thread(
            target=self._run_client,
            args=(stream, effect.address),
            name=f"relay-{effect.address}",
            daemon=True,
        ).start()

    def disconnect(self, effect: _effects.Disconnect) -> None:
        """Close the stream to a peer once all queued messages are sent.

        It is aborted if it has not ended after one second.
        """
        with self._lock:
            stream = self._streams.pop(effect.peer, None)
        if stream is None:
            return
        stream.closed = True
        stream.outbox.close()
        # The stream does not end on its own if the peer does not respond.
        timer = threading.Timer(1.0, stream.cancel)
        timer.daemon = True
        timer.start()

    def send(self, effect: _effects.Send) -> None:
        """Queue a message; abort the stream if its queue is full."""
        with self._lock:
            stream = self._streams.get(effect.peer)
        if stream is None:
            return
        if stream.outbox.put(self._encode(effect.message)):
            return
        LOG.warning("relay-cut", extra={"peer": effect.peer})
        stream.outbox.close()
        stream.cancel()

    def _encode(self, message: messages.Message) -> bytes:
        # The same message is sent to all children in succession, so it is
        # encoded only once.
        if self._last_encoded is None or self._last_encoded[0] is not message:
            self._last_encoded = (message, messages.encode(message))
        return self._last_encoded[1]

    def _run_client(self, stream: _Stream, address: str) -> None:
        reason = "closed by the peer"
        try:
            with grpc.insecure_channel(address, options=_OPTIONS) as channel:
                attach = channel.stream_stream(_METHOD)
                call = attach(stream.outbox.drain())
                stream.cancel = call.cancel
                for data in call:
                    _RECEIVED_BYTES.inc(len(data))
                    self._receive(stream, messages.decode(data))
        except grpc.RpcError as exc:
            reason = str(exc.code())
        except errors.WireError as exc:
            reason = exc.reason
        finally:
            self._on_closed(stream, reason)

    def _receive(self, stream: _Stream, message: messages.Message) -> None:
        if isinstance(message, messages.Welcome | messages.Refusal):
            self._rekey(stream, message.node)
        if not stream.closed:
            self._loop.put(
                _effects.Received(peer=stream.peer, message=message)
            )

    def _serve(
        self, incoming: abc.Iterator[bytes], context: grpc.ServicerContext
    ) -> abc.Iterator[bytes]:
        hello = _decode_hello(next(incoming, b""))
        if hello is None:
            context.abort(grpc.StatusCode.INVALID_ARGUMENT, "hello expected")
            return
        if hello.invite:
            # An invitation is all that this stream carries; it does not
            # become a link.
            self._loop.put(_effects.Received(peer=hello.node, message=hello))
            return
        stream = _Stream(hello.node)
        stream.cancel = context.cancel
        self._register(stream)
        if not context.add_callback(stream.outbox.close):
            self._on_closed(stream, "stream ended")
            return
        self._loop.put(_effects.Received(peer=hello.node, message=hello))
        threading.Thread(
            target=self._receive_all,
            args=(stream, incoming),
            name=f"relay-{hello.node}",
            daemon=True,
        ).start()
        yield from stream.outbox.drain()
        self._on_closed(stream, "stream ended")

    def _receive_all(
        self, stream: _Stream, incoming: abc.Iterator[bytes]
    ) -> None:
        try:
            for data in incoming:
                _RECEIVED_BYTES.inc(len(data))
                self._receive(stream, messages.decode(data))
        except errors.WireError:
            stream.cancel()
        # gRPC raises a bare `Exception` here if the stream is cancelled.
        except Exception:  # noqa: BLE001
            LOG.debug("relay-ended", extra={"peer": stream.peer})
        finally:
            stream.outbox.close()

    def _register(self, stream: _Stream) -> None:
        with self._lock:
            old = self._streams.get(stream.peer)
            self._streams[stream.peer] = stream
        if old is not None:
            _close(old)

    def _rekey(self, stream: _Stream, peer: str) -> None:
        with self._lock:
            if self._streams.get(stream.peer) is stream:
                del self._streams[stream.peer]
            stream.peer = peer
            if stream.closed:
                return
            old = self._streams.get(peer)
            self._streams[peer] = stream
        if old is not None:
            _close(old)

    def _on_closed(self, stream: _Stream, reason: str) -> None:
        stream.outbox.close()
        with self._lock:
            if self._streams.get(stream.peer) is stream:
                del self._streams[stream.peer]
            if stream.closed:
                return
            stream.closed = True
        self._loop.put(_effects.LinkLost(peer=stream.peer, reason=reason))


def _close(stream: _Stream) -> None:
    stream.closed = True
    stream.outbox.close()
    stream.cancel()


def _decode_hello(data: bytes) -> messages.Hello | None:
    try:
        message = messages.decode(data)
    except errors.WireError:
        return None
    return message if isinstance(message, messages.Hello) else None
