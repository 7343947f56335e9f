"""Accepts connections of other nodes, within bounds for all of them."""

import asyncio
from collections import abc

from arbutusstall import _settings
from arbutusstall._bounds import fair_queue
from arbutusstall._proxy import byte_budget
from arbutusstall._proxy import frames
from arbutusstall._proxy import listening
from arbutusstall._proxy import request_limits
from arbutusstall._tables import agreed

# Frames that are decoded before other connections have a turn.
_FRAMES_PER_STEP = 8
# A decoded message may take this many times the bytes of its frame.
_DECODED_FACTOR = 32
# A call's frame holds the lines of a head, and up to 8 KiB of a body.
_CALL_OVERHEAD_BYTES = 64 * 1024
# A line without a value takes four bytes in a frame, and one counts.
_LINE_FACTOR = 4


class AcceptedConnection(frames.FrameConnection):
    """A connection that another node, or anybody else, has opened."""

    def __init__(
        self,
        owner: frames.AcceptingOwner,
        reads: _settings.ReadSettings,
        server: "FrameServer",
    ) -> None:
        super().__init__(owner, reads)
        self.owner: frames.AcceptingOwner = owner
        self._server = server
        self._is_admitted = False
        self._held = byte_budget.Reservation(server.bounds.heads)
        self._began_s = 0.0
        self._turns = fair_queue.Flow(
            server.bounds.turns, self._step, self.abort
        )

    @property
    def busy(self) -> bool:
        """Whether calls run, or it is the link of an admitted child."""
        return self.owner.busy or self.has_unsent

    @property
    def head_held(self) -> int:
        """Bytes held for data that is not decoded."""
        return self._held.held

    @property
    def body_held(self) -> int:
        """Zero; parts of bodies are messages of their own."""
        return 0

    @property
    def began_s(self) -> float:
        """Loop time at which the first byte not decoded arrived."""
        return self._began_s

    @property
    def frame_limit(self) -> int:
        """Maximum size of a message in bytes, also decompressed."""
        if self._is_admitted:
            return self._reads.frame_bytes
        return self._server.first_frame_limit

    def admit(self) -> None:
        """Accept messages of any size that other nodes send."""
        self._is_admitted = True

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection; see `frames.FrameConnection`."""
        super().connection_made(transport)
        self._server.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Release what it holds, and report the end to the owner."""
        self._turns.close()
        self._server.connections.remove(self)
        self._server.bounds.unsent.remove(self)
        self._held.release()
        self._drop_buffer()
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Decode frames now, or when it is this connection's turn."""
        now_s = asyncio.get_running_loop().time()
        self.last_received_s = now_s
        if not self._buffer:
            self._began_s = now_s
        self._buffer += data
        self._turns.wake()
        self._count_held()

    def resume_writing(self) -> None:
        """Continue to send, and count what the peer has taken."""
        super().resume_writing()
        self._server.bounds.unsent.update(self)

    def send_encoded(self, data: bytes) -> bool:
        """Send an encoded message; false if the connection has ended."""
        is_sent = super().send_encoded(data)
        if self.unsent_bytes:
            self._server.bounds.unsent.update(self)
        return is_sent

    def shed(self) -> None:
        """Close the connection, whose data makes room for others."""
        self._fail("no room for an incomplete message")
        self._held.release()
        self._drop_buffer()

    def _step(self) -> bool:
        for _ in range(_FRAMES_PER_STEP):
            if not self.is_open or not self._process_frame():
                self._count_held()
                return False
            self._server.connections.begin_request(self)
            self._server.connections.end_request(self)
        self._count_held()
        return True

    def _count_held(self) -> None:
        """Reserve the data that is not decoded; read no more while it waits.

        Others' data gives way if there is no room, or that of this one.
        """
        if not self.is_open:
            return
        missing = len(self._buffer) - self._held.held
        if missing < 0:
            self._held.release_part(-missing)
        elif missing > 0 and not self._held.reserve(missing):
            self._server.connections.make_room()
            if not self.is_open or not self._held.reserve(missing):
                self.shed()
                return
        if self._turns.is_waiting:
            self._pause_reading()
        else:
            self._resume_reading()


class FrameServer:
    """Accepts connections from other nodes.

    Args:
        bounds: Bounds of all connections together.

    Attributes:
        limits: Limits of callers' requests, which calls contain.
        connections: The open connections.
    """

    def __init__(
        self,
        address: str,
        make_owner: abc.Callable[[], frames.AcceptingOwner],
        reads: _settings.ReadSettings,
        bounds: request_limits.ServerBounds | None = None,
    ) -> None:
        self.limits = agreed.CallerLimits()
        self.bounds = bounds or request_limits.ProcessBounds(reads).peers()
        self.connections: request_limits.Connections[AcceptedConnection] = (
            request_limits.Connections(self.bounds)
        )
        self._address = address
        self._make_owner = make_owner
        self._reads = reads
        self._listener: listening.Listener | None = None

    @property
    def first_frame_limit(self) -> int:
        """Maximum bytes of a message until the sender is admitted as a child.

        It has room for each call within the limits of callers.
        """
        call = self.limits.header_bytes * _LINE_FACTOR + _CALL_OVERHEAD_BYTES
        share = self._reads.head_bytes // _DECODED_FACTOR
        return min(self._reads.frame_bytes, max(call, share))

    @property
    def busy(self) -> int:
        """Number of connections whose peer has not taken all messages."""
        return sum(item.has_unsent for item in self.connections.all)

    async def start(self) -> None:
        """Listen on the address."""
        self._listener = await listening.listen(
            self._address, self._make_connection
        )

    def close(self) -> None:
        """Accept no further connections; open ones are kept."""
        if self._listener is not None:
            self._listener.server.close()
            self._listener = None

    def _make_connection(self) -> AcceptedConnection:
        return AcceptedConnection(self._make_owner(), self._reads, self)
