"""A limit of the bytes that several threads hold together."""

import threading

from arbutusstall._proxy import byte_budget


class SharedBudget(byte_budget.ByteBudget):
    """A byte budget that is thread-safe; see `byte_budget.ByteBudget`."""

    def __init__(self, limit: int) -> None:
        super().__init__(limit)
        self._lock = threading.Lock()

    def reserve(self, count: int) -> bool:
        """Reserve ``count`` more bytes; false if that exceeds the limit."""
        with self._lock:
            return super().reserve(count)

    def release(self, count: int) -> None:
        """Release ``count`` reserved bytes."""
        with self._lock:
            super().release(count)
