"""Messages between nodes as length-prefixed frames on a TCP connection."""

import asyncio
import collections
from collections import abc
import logging
import socket
import struct
from typing import cast
from typing import Protocol

from arbutusstall import _settings
from arbutusstall import errors
from arbutusstall._proxy import reading
from arbutusstall._wire import messages

LOG = logging.getLogger(__name__)

_LENGTH = struct.Struct(">I")
_USER_TIMEOUT_MS = 3_000
# Bodies are sent in parts, so that small messages go in between.
_PART_BYTES = 8 * 1024
_PAUSE_ABOVE_BYTES = 32 * 1024
_BACKLOG = 512


class Owner(Protocol):
    """Uses one connection."""

    def on_message(
        self, connection: "FrameConnection", message: messages.Message
    ) -> None:
        """Take a message in."""
        ...

    def on_lost(self, connection: "FrameConnection", reason: str) -> None:
        """Note that the connection has ended."""
        ...


class FrameConnection(reading.DataProtocol):
    """A connection that carries messages both ways.

    Args:
        reads: Bounds on what is read and on what waits to be sent.

    Attributes:
        last_received_s: Loop time at which bytes arrived last.
        owner: Gets what arrives; may be replaced.
    """

    def __init__(
        self,
        owner: Owner,
        reads: _settings.ReadSettings,
        on_made: abc.Callable[["FrameConnection"], None] | None = None,
    ) -> None:
        super().__init__()
        self.owner = owner
        self._reads = reads
        self.last_received_s = asyncio.get_running_loop().time()
        self._on_made = on_made
        self._transport: asyncio.Transport | None = None
        self._buffer = bytearray()
        self._bodies_by_id: collections.OrderedDict[str, memoryview] = (
            collections.OrderedDict()
        )
        self._paused = False

    @property
    def is_open(self) -> bool:
        """Whether messages can be sent."""
        return self._transport is not None and (
            not self._transport.is_closing()
        )

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Use the transport."""
        self._transport = cast(asyncio.Transport, transport)
        sock = transport.get_extra_info("socket")
        if sock is not None:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            sock.setsockopt(
                socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _USER_TIMEOUT_MS
            )
        self._transport.set_write_buffer_limits(high=_PAUSE_ABOVE_BYTES)
        if self._on_made is not None:
            self._on_made(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Tell the owner."""
        self._transport = None
        self._bodies_by_id.clear()
        self.owner.on_lost(self, str(exc or "closed by the peer"))

    def data_received(self, data: bytes) -> None:
        """Hand on each whole message."""
        self.last_received_s = asyncio.get_running_loop().time()
        buffer = self._buffer
        buffer += data
        start = 0
        while len(buffer) - start >= _LENGTH.size:
            (size,) = _LENGTH.unpack_from(buffer, start)
            end = start + _LENGTH.size + size
            if size > self._reads.frame_bytes:
                self._fail("a frame is too large")
                return
            if len(buffer) < end:
                break
            frame = bytes(buffer[start + _LENGTH.size : end])
            start = end
            try:
                message = messages.decode(frame)
            except errors.WireError as exc:
                self._fail(exc.reason)
                return
            self.owner.on_message(self, message)
        del buffer[:start]

    def pause_writing(self) -> None:
        """Send no parts of bodies until the peer has read on."""
        self._paused = True

    def resume_writing(self) -> None:
        """Go on with the bodies."""
        self._paused = False
        self._send_parts()

    def send_body(self, call_id: str, body: bytes) -> None:
        """Send a body in parts; several bodies take turns."""
        self._bodies_by_id[call_id] = memoryview(body)
        self._send_parts()

    def cancel_body(self, call_id: str) -> None:
        """Send no further part of a body."""
        self._bodies_by_id.pop(call_id, None)

    def _send_parts(self) -> None:
        while self._bodies_by_id and not self._paused:
            call_id, rest = self._bodies_by_id.popitem(last=False)
            part = messages.CallBody(
                call_id=call_id,
                data=bytes(rest[:_PART_BYTES]),
                last=len(rest) <= _PART_BYTES,
            )
            if not part.last:
                self._bodies_by_id[call_id] = rest[_PART_BYTES:]
            if not self.send(part):
                return

    def send(self, message: messages.Message) -> bool:
        """Send a message; false if the connection has ended."""
        return self.send_encoded(messages.encode(message))

    def send_encoded(self, data: bytes) -> bool:
        """Send an encoded message; false if the connection has ended."""
        transport = self._transport
        if transport is None or transport.is_closing():
            return False
        if transport.get_write_buffer_size() > self._reads.unsent_bytes:
            self._fail("the peer does not keep up")
            return False
        transport.write(_LENGTH.pack(len(data)) + data)
        return True

    def close(self) -> None:
        """End the connection after what was sent before."""
        if self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """End the connection at once."""
        if self._transport is not None:
            self._transport.abort()

    def _fail(self, reason: str) -> None:
        LOG.warning(
            {"event": "connection-dropped", "reason": reason},
        )
        self.abort()


class FrameServer:
    """Accepts connections of other nodes."""

    def __init__(
        self,
        address: str,
        make_owner: abc.Callable[[], Owner],
        reads: _settings.ReadSettings,
    ) -> None:
        self._address = address
        self._make_owner = make_owner
        self._reads = reads
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Begin to accept."""
        host, _, port = self._address.rpartition(":")
        self._server = await asyncio.get_running_loop().create_server(
            lambda: FrameConnection(self._make_owner(), self._reads),
            host,
            int(port),
            backlog=_BACKLOG,
            reuse_address=True,
        )

    def close(self) -> None:
        """Accept no further connection."""
        if self._server is not None:
            self._server.close()


async def connect(
    address: str,
    owner: Owner,
    reads: _settings.ReadSettings,
    timeout_s: float,
) -> FrameConnection:
    """Open a connection to another node.

    Raises:
        PeerUnavailable: It could not be opened in time.
    """
    host, _, port = address.rpartition(":")
    try:
        async with asyncio.timeout(timeout_s):
            _, made = await asyncio.get_running_loop().create_connection(
                lambda: FrameConnection(owner, reads), host, int(port)
            )
    except (OSError, TimeoutError) as exc:
        raise errors.PeerUnavailable(
            step="peer.connect",
            peer=address,
            reason=str(exc) or "no connection in time",
        ) from exc
    return made
