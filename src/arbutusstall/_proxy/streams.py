"""Streams between nodes for configuration and membership messages."""

from collections import abc

import prometheus_client

from arbutusstall import _effects
from arbutusstall import _settings
from arbutusstall import errors
from arbutusstall._proxy import background
from arbutusstall._proxy import bodies
from arbutusstall._proxy import frame_server
from arbutusstall._proxy import frames
from arbutusstall._proxy import inbound
from arbutusstall._wire import messages

QuotaAnswer = abc.Callable[
    [messages.QuotaPledge | messages.QuotaRequest],
    messages.QuotaPledged | messages.QuotaGrant | None,
]

_SENT_BYTES = prometheus_client.Counter(
    "arbutusstall_relay_sent_bytes",
    "Size of the messages sent over streams to other nodes, in bytes.",
)
_RECEIVED_BYTES = prometheus_client.Counter(
    "arbutusstall_relay_received_bytes",
    "Size of the messages received over streams, in bytes.",
)
_CONNECT_TIMEOUT_S = 1.0


class _Stream:
    """A stream to another node.

    Attributes:
        peer: Id of the node; its address until it has answered.
        closed: Whether this side has closed the stream or its loss was
            reported; no further loss is reported then.
    """

    def __init__(self, streams: "Streams", peer: str) -> None:
        self.peer = peer
        self.connection: frames.FrameConnection | None = None
        self.closed = False
        self._is_admitted = False
        self._streams = streams

    @property
    def busy(self) -> bool:
        """Whether the peer was admitted as a child."""
        return self._is_admitted

    def admit(self) -> None:
        """Let the peer send whatever children send."""
        self._is_admitted = True
        if isinstance(self.connection, frame_server.AcceptedConnection):
            self.connection.admit()

    def send(self, data: bytes) -> None:
        if self.connection is not None:
            _SENT_BYTES.inc(len(data))
            self.connection.send_encoded(data)

    def close(self) -> None:
        self.closed = True
        if self.connection is not None:
            self.connection.close()

    def on_message(
        self,
        connection: frames.FrameConnection,
        message: messages.Message,
    ) -> None:
        _RECEIVED_BYTES.inc(connection.message_bytes)
        if isinstance(message, messages.Welcome | messages.Refusal):
            self._streams.rekey(self, message.node)
        if not self.closed:
            self._streams.deliver(self, message)

    def on_lost(self, connection: frames.FrameConnection, reason: str) -> None:
        self._streams.on_closed(self, reason)


class Streams:
    """Executes the link effects of a core.

    Args:
        put: Queues the resulting events for the core.
    """

    def __init__(
        self,
        put: abc.Callable[[_effects.Event], None],
        reads: _settings.ReadSettings,
    ) -> None:
        self._put = put
        self._reads = reads
        self._streams_by_peer: dict[str, _Stream] = {}
        self._tasks = background.Tasks()
        self._last_encoded: tuple[messages.Message, bytes] | None = None

    def connect(self, effect: _effects.Connect) -> None:
        """Open a stream to another node in the background."""
        stream = _Stream(self, effect.address)
        self._register(stream)
        self._tasks.spawn(self._open(stream, effect))

    def accept(
        self, connection: frames.FrameConnection, hello: messages.Hello
    ) -> None:
        """Use a connection that another node has opened as a stream.

        Its messages are small until the node is admitted.
        """
        stream = _Stream(self, hello.node)
        stream.connection = connection
        connection.owner = stream
        self._register(stream)
        self._put(_effects.Received(peer=hello.node, message=hello))

    def deliver_invitation(self, hello: messages.Hello) -> None:
        """Pass an invitation to the core.

        The connection that carried it does not become a stream.
        """
        self._put(_effects.Received(peer=hello.node, message=hello))

    def greet(
        self, connection: frames.FrameConnection, hello: messages.Hello
    ) -> None:
        """Accept a stream, or pass on an invitation and close."""
        if hello.invite:
            self.deliver_invitation(hello)
            connection.close()
        else:
            self.accept(connection, hello)

    def disconnect(self, effect: _effects.Disconnect) -> None:
        """Close the stream to a peer once all sent data is written."""
        stream = self._streams_by_peer.pop(effect.peer, None)
        if stream is not None:
            stream.close()

    def send(self, effect: _effects.Send) -> None:
        """Send a message over the stream to a peer, if there is one."""
        stream = self._streams_by_peer.get(effect.peer)
        if stream is not None:
            if isinstance(effect.message, messages.Welcome):
                stream.admit()
            stream.send(self._encode(effect.message))

    def close(self) -> None:
        """Close all streams."""
        for stream in list(self._streams_by_peer.values()):
            stream.close()
        self._streams_by_peer.clear()

    def deliver(self, stream: _Stream, message: messages.Message) -> None:
        """Pass a received message to the core."""
        self._put(_effects.Received(peer=stream.peer, message=message))

    def rekey(self, stream: _Stream, peer: str) -> None:
        """Register a stream under the id of the node that answered."""
        if self._streams_by_peer.get(stream.peer) is stream:
            del self._streams_by_peer[stream.peer]
        stream.peer = peer
        if not stream.closed:
            self._register(stream)

    def on_closed(self, stream: _Stream, reason: str) -> None:
        """Remove a stream that has ended, and report its loss once."""
        if self._streams_by_peer.get(stream.peer) is stream:
            del self._streams_by_peer[stream.peer]
        if stream.closed:
            return
        stream.closed = True
        self._put(_effects.LinkLost(peer=stream.peer, reason=reason))

    async def _open(self, stream: _Stream, effect: _effects.Connect) -> None:
        try:
            connection = await frames.connect(
                effect.address, stream, self._reads, _CONNECT_TIMEOUT_S
            )
        except errors.PeerUnavailable as exc:
            self.on_closed(stream, exc.reason)
            return
        if stream.closed:
            connection.close()
            return
        stream.connection = connection
        connection.send(effect.hello)

    def _register(self, stream: _Stream) -> None:
        old = self._streams_by_peer.get(stream.peer)
        self._streams_by_peer[stream.peer] = stream
        if old is not None and old is not stream:
            old.close()

    def _encode(self, message: messages.Message) -> bytes:
        # A message to all children is the same object, sent in a row: it is
        # encoded once.
        if self._last_encoded is None or self._last_encoded[0] is not message:
            self._last_encoded = (message, messages.encode(message))
        return self._last_encoded[1]


class Acceptor:
    """Serves the connections that other nodes open.

    A connection carries calls until a hello turns it into a stream.

    Args:
        answer_quota: Answers as a quota server; None leaves a message
            without an answer.
    """

    def __init__(
        self,
        streams: Streams,
        proxy: inbound.Inbound,
        receiver: bodies.BodyReceiver,
        answer_quota: QuotaAnswer = lambda message: None,
    ) -> None:
        self._streams = streams
        self._proxy = proxy
        self._receiver = receiver
        self._answer_quota = answer_quota

    def owner(self) -> frames.AcceptingOwner:
        """Return an owner for a new connection."""
        return _PeerConnection(
            self._streams, self._proxy, self._receiver, self._answer_quota
        )


class _PeerConnection:
    """A connection that another node has opened."""

    def __init__(
        self,
        streams: Streams,
        proxy: inbound.Inbound,
        receiver: bodies.BodyReceiver,
        answer_quota: QuotaAnswer,
    ) -> None:
        self._streams = streams
        self._proxy = proxy
        self._receiver = receiver
        self._answer_quota = answer_quota
        self._call_ids: set[str] = set()

    @property
    def busy(self) -> bool:
        """Whether calls of this connection have no answer yet."""
        return bool(self._call_ids)

    def on_message(
        self,
        connection: frames.FrameConnection,
        message: messages.Message,
    ) -> None:
        match message:
            case messages.CallRequest():
                self._call(connection, message)
            case messages.CallBody():
                self._receiver.add_part(message)
            case messages.CallRevoke(cancel=True):
                self._call_ids.discard(message.call_id)
                self._receiver.drop(message.call_id)
                self._proxy.cancel(message.call_id)
            case messages.CallRevoke():
                self._receiver.drop(message.call_id)
                self._proxy.revoke(
                    message, lambda revoked: _reply(connection, revoked)
                )
            case messages.CallGreeting():
                connection.send(self._proxy.greet())
            case messages.QuotaPledge() | messages.QuotaRequest():
                reply = self._answer_quota(message)
                if reply is not None:
                    connection.send(reply)
            case messages.Hello():
                self._streams.greet(connection, message)
            case _:
                frames.reject(connection, message)

    def on_lost(self, connection: frames.FrameConnection, reason: str) -> None:
        for call_id in list(self._call_ids):
            if not self._receiver.drop(call_id):
                self._proxy.on_connection_lost(call_id)
        self._call_ids.clear()

    def _call(
        self,
        connection: frames.FrameConnection,
        call: messages.CallRequest,
    ) -> None:
        self._call_ids.add(call.call_id)

        def answered(answer: messages.CallAnswer) -> None:
            self._call_ids.discard(call.call_id)
            connection.send(answer)

        def request_body(call_id: str) -> None:
            connection.send(messages.CallBodyWanted(call_id=call_id))

        if call.body_bytes:
            self._receiver.announce(call, request_body, answered)
        else:
            self._proxy.submit(call, answered)


def _reply(
    connection: frames.FrameConnection, message: messages.Message
) -> None:
    connection.send(message)
