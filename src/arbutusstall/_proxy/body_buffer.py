"""Collects a body without moving what has arrived.

A buffer that grows is copied to a larger place again and again. When many
bodies arrive at the same time, the places that they leave stay unused.
"""

# Smaller parts are joined, since each one has a header of its own.
_MIN_PART_BYTES = 1_024
_JOINED_BYTES = 16_384


class BodyBuffer:
    """The part of a body that has arrived."""

    __slots__ = ("_parts", "_size", "_tail")

    def __init__(self) -> None:
        self._parts: list[bytes] = []
        self._tail = bytearray()
        self._size = 0

    def __len__(self) -> int:
        return self._size

    def append(self, data: bytes) -> None:
        """Add the next part."""
        self._size += len(data)
        if len(data) < _MIN_PART_BYTES:
            self._tail += data
            if len(self._tail) < _JOINED_BYTES:
                return
            data = b""
        self._flush_tail()
        if data:
            self._parts.append(data)

    def take(self) -> bytes:
        """Return the whole body and forget it."""
        self._flush_tail()
        parts, self._parts = self._parts, []
        self._size = 0
        return parts[0] if len(parts) == 1 else b"".join(parts)

    def clear(self) -> None:
        """Forget what has arrived."""
        self._parts = []
        self._tail = bytearray()
        self._size = 0

    def _flush_tail(self) -> None:
        if self._tail:
            self._parts.append(bytes(self._tail))
            self._tail.clear()
