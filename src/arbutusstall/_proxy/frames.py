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
from arbutusstall._shell import failures
from arbutusstall._wire import messages

LOG = logging.getLogger(__name__)

_LENGTH = struct.Struct(">I")
_TCP_USER_TIMEOUT_MS = 3_000
# Bodies are sent in chunks, so that small messages can go between them.
_CHUNK_BYTES = 8 * 1024
# A larger message is written apart from its length, not copied.
_MAX_JOINED_BYTES = 64 * 1024
_WRITE_HIGH_WATER_BYTES = 32 * 1024


class Owner(Protocol):
    """Receives the messages and the end of one connection."""

    def on_message(
        self, connection: "FrameConnection", message: messages.Message
    ) -> None:
        """Process a received message."""
        ...

    def on_lost(self, connection: "FrameConnection", reason: str) -> None:
        """Handle the end of the connection."""
        ...


class AcceptingOwner(Owner, Protocol):
    """The owner of a connection that another node has opened."""

    @property
    def busy(self) -> bool:
        """Whether the connection is needed, and is not closed for others."""
        ...


class FrameConnection(reading.DataProtocol):
    """A connection that carries messages both ways.

    Args:
        reads: Limits of the frame size and of the unsent data.
        on_connected: Called once the connection is open.

    Attributes:
        message_bytes: Size of the message that the owner got last.
        last_received_s: Loop time at which data was last received.
        owner: Receives the messages; may be replaced.
    """

    def __init__(
        self,
        owner: Owner,
        reads: _settings.ReadSettings,
        on_connected: abc.Callable[["FrameConnection"], None] | None = None,
    ) -> None:
        super().__init__()
        self.owner = owner
        self._reads = reads
        self.message_bytes = 0
        self.last_received_s = asyncio.get_running_loop().time()
        self._on_connected = on_connected
        self._transport: asyncio.Transport | None = None
        self._buffer = bytearray()
        self._bodies_by_id: collections.OrderedDict[str, memoryview] = (
            collections.OrderedDict()
        )
        self._paused = False

    @property
    def frame_limit(self) -> int:
        """Maximum size of a message in bytes, also decompressed."""
        return self._reads.frame_bytes

    @property
    def is_open(self) -> bool:
        """Whether messages can be sent."""
        return self._transport is not None and (
            not self._transport.is_closing()
        )

    @property
    def has_unsent(self) -> bool:
        """Whether the peer has not taken all that was sent to it."""
        transport = self._transport
        return transport is not None and (
            bool(self._bodies_by_id) or transport.get_write_buffer_size() > 0
        )

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set the socket options and report that the connection is open."""
        self._transport = cast(asyncio.Transport, transport)
        sock = transport.get_extra_info("socket")
        if sock is not None:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            sock.setsockopt(
                socket.IPPROTO_TCP,
                socket.TCP_USER_TIMEOUT,
                _TCP_USER_TIMEOUT_MS,
            )
        self._transport.set_write_buffer_limits(high=_WRITE_HIGH_WATER_BYTES)
        if self._on_connected is not None:
            self._on_connected(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Report the end of the connection to the owner."""
        self._transport = None
        self._bodies_by_id.clear()
        self.owner.on_lost(self, str(exc or "closed by the peer"))

    def data_received(self, data: bytes) -> None:
        """Decode the complete frames and pass their messages to the owner."""
        self.last_received_s = asyncio.get_running_loop().time()
        self._buffer += data
        while self._process_frame():
            pass

    def _process_frame(self) -> bool:
        """Pass the message of one complete frame to the owner.

        Returns:
            Whether there was one.
        """
        buffer = self._buffer
        if len(buffer) < _LENGTH.size:
            return False
        (size,) = _LENGTH.unpack_from(buffer)
        if size > self.frame_limit:
            self._fail(
                f"frame of {size} bytes exceeds the limit of"
                f" {self.frame_limit} bytes"
            )
            return False
        end = _LENGTH.size + size
        if len(buffer) < end:
            return False
        self.message_bytes = size
        try:
            message = messages.decode(
                memoryview(buffer)[_LENGTH.size : end], self.frame_limit
            )
        except errors.WireError as exc:
            self._fail(exc.reason)
            return False
        del buffer[:end]
        with failures.Logged(type(message).__name__):
            self.owner.on_message(self, message)
        return True

    def pause_writing(self) -> None:
        """Stop sending chunks of bodies until the write buffer drains."""
        self._paused = True

    def resume_writing(self) -> None:
        """Continue to send the bodies."""
        self._paused = False
        self._send_chunks()

    def send_body(self, call_id: str, body: bytes) -> None:
        """Send a body in chunks; several bodies take turns, one chunk each."""
        self._bodies_by_id[call_id] = memoryview(body)
        self._send_chunks()

    def cancel_body(self, call_id: str) -> None:
        """Send no further chunk of a body."""
        self._bodies_by_id.pop(call_id, None)

    def _send_chunks(self) -> None:
        while self._bodies_by_id and not self._paused:
            call_id, rest = self._bodies_by_id.popitem(last=False)
            part = messages.CallBody(
                call_id=call_id,
                data=bytes(rest[:_CHUNK_BYTES]),
                last=len(rest) <= _CHUNK_BYTES,
            )
            if not part.last:
                self._bodies_by_id[call_id] = rest[_CHUNK_BYTES:]
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
            self._fail(
                "the peer reads too slowly: more than"
                f" {self._reads.unsent_bytes} bytes are unsent"
            )
            return False
        length = _LENGTH.pack(len(data))
        if len(data) > _MAX_JOINED_BYTES:
            transport.write(length)
            transport.write(data)
        else:
            transport.write(length + data)
        return True

    @property
    def unsent_bytes(self) -> int:
        """Bytes that were written and the peer has not taken."""
        transport = self._transport
        return 0 if transport is None else transport.get_write_buffer_size()

    def _drop_buffer(self) -> None:
        self._buffer = bytearray()

    def _pause_reading(self) -> None:
        if self._transport is not None:
            self._transport.pause_reading()

    def _resume_reading(self) -> None:
        if self._transport is not None:
            self._transport.resume_reading()

    def close(self) -> None:
        """Close the connection once the sent data is written."""
        if self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """Close the connection at once; unsent data is lost."""
        if self._transport is not None:
            self._transport.abort()

    def _fail(self, reason: str) -> None:
        LOG.warning(
            {"event": "connection-dropped", "reason": reason},
        )
        self.abort()


def reject(connection: FrameConnection, message: messages.Message) -> None:
    """Close a connection that has sent a message it must not send."""
    LOG.warning(
        {"event": "message-unexpected", "kind": type(message).__name__}
    )
    connection.abort()


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
            _, connection = await asyncio.get_running_loop().create_connection(
                lambda: FrameConnection(owner, reads), host, int(port)
            )
    except (OSError, TimeoutError, ValueError, OverflowError) as exc:
        raise errors.PeerUnavailable(
            step="peer.connect",
            peer=address,
            reason=str(exc) or "no connection in time",
        ) from exc
    return connection
