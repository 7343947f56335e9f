"""A base for protocols that read into one buffer per thread.

`asyncio.Protocol` allocates a new object of 256 KiB for each read, which
costs more than processing most reads.
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
    """A protocol that receives each read as bytes in `data_received`."""

    def __init__(self) -> None:
        # Shared by all protocols of the thread: `buffer_updated` copies the
        # data before the loop starts the next read.
        self._read_buffer = _buffer()

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer for the next read."""
        return self._read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Pass a copy of the read data to `data_received`."""
        self.data_received(bytes(self._read_buffer[:nbytes]))

    def data_received(self, data: bytes) -> None:
        """Process received data."""
        raise NotImplementedError
