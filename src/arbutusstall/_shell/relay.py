"""Streams between nodes that carry configuration and membership."""

from arbutusstall import _effects
from arbutusstall import _settings
from arbutusstall._proxy import frame_server
from arbutusstall._proxy import frames
from arbutusstall._proxy import request_limits
from arbutusstall._proxy import streams
from arbutusstall._shell import control
from arbutusstall._shell import loop_thread
from arbutusstall._wire import messages


class Relay:
    """Executes the link effects of a core on the loop of a thread.

    The core's thread calls the executors; received messages are queued as
    events from the thread of the loop.
    """

    def __init__(
        self,
        address: str,
        reads: _settings.ReadSettings,
        loop: control.ControlLoop,
        thread: loop_thread.LoopThread,
        bounds: request_limits.ServerBounds,
    ) -> None:
        self._thread = thread
        self._streams = streams.Streams(loop.put, reads)
        self._server = frame_server.FrameServer(
            address, self._make_owner, reads, bounds
        )

    def start(self) -> None:
        """Start to accept streams."""
        self._thread.run(self._server.start())

    def stop(self) -> None:
        """Close all streams once what was sent is written."""
        self._thread.run(self._stop())

    def connect(self, effect: _effects.Connect) -> None:
        """Open a stream to another node."""
        self._thread.call(self._streams.connect, effect)

    def disconnect(self, effect: _effects.Disconnect) -> None:
        """Close the stream to a peer once all sent data is written."""
        self._thread.call(self._streams.disconnect, effect)

    def send(self, effect: _effects.Send) -> None:
        """Send a message; the stream is cut if its peer does not read."""
        self._thread.call(self._streams.send, effect)

    async def _stop(self) -> None:
        self._server.close()
        self._streams.close()

    def _make_owner(self) -> frames.AcceptingOwner:
        return _Joiner(self._streams)


class _Joiner:
    """A connection whose first message has to be a hello."""

    def __init__(self, node_streams: streams.Streams) -> None:
        self._streams = node_streams

    @property
    def busy(self) -> bool:
        """Always false; it is a stream from its hello on."""
        return False

    def on_message(
        self, connection: frames.FrameConnection, message: messages.Message
    ) -> None:
        """Accept the stream, or close the connection."""
        if isinstance(message, messages.Hello):
            self._streams.greet(connection, message)
        else:
            frames.reject(connection, message)

    def on_lost(self, connection: frames.FrameConnection, reason: str) -> None:
        """Do nothing; the connection carried no stream."""
