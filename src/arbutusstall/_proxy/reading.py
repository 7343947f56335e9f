"""Reads from sockets into one buffer per thread.

asyncio's plain protocols get a new object of 256 KiB for each read,
which costs more than most reads are worth.
"""

import asyncio
import threading

_BUFFER_BYTES = 64 * 1024

_local = threading.local()


def _buffer() -> memoryview:
    """Return the buffer of the thread that runs the event loop."""
    found: memoryview | None = getattr(_local, "buffer", None)
    if found is None:
        found = _local.buffer = memoryview(bytearray(_BUFFER_BYTES))
    return found


class DataProtocol(asyncio.BufferedProtocol):
    """A protocol that gets each read as bytes in `data_received`."""

    def __init__(self) -> None:
        # A read is taken over before the loop begins the next one.
        self._read_buffer = _buffer()

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return where to read to."""
        return self._read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Hand on what was read."""
        self.data_received(bytes(self._read_buffer[:nbytes]))

    def data_received(self, data: bytes) -> None:
        """Take what has arrived."""
        raise NotImplementedError
