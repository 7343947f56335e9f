"""A limit of the bytes that several threads hold together."""

import threading


class SharedBudget:
    """Counts reserved bytes against a limit; thread-safe.

    Args:
        limit: Maximum number of bytes reserved at the same time.
    """

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self._held = 0
        self._lock = threading.Lock()

    def reserve(self, count: int) -> bool:
        """Reserve ``count`` more bytes; false if that exceeds the limit."""
        with self._lock:
            if self._held + count > self.limit:
                return False
            self._held += count
            return True

    def release(self, count: int) -> None:
        """Release ``count`` reserved bytes."""
        with self._lock:
            self._held -= count
