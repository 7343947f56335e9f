"""A limit of the total size of the bodies that a process holds."""


class ByteBudget:
    """Counts reserved bytes against a limit; not thread-safe.

    Args:
        limit: Maximum number of bytes reserved at the same time.
    """

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self._held = 0

    @property
    def held(self) -> int:
        """Number of bytes reserved now."""
        return self._held

    def reserve(self, count: int) -> bool:
        """Reserve ``count`` more bytes; false if that exceeds the limit."""
        if self._held + count > self.limit:
            return False
        self._held += count
        return True

    def release(self, count: int) -> None:
        """Release ``count`` reserved bytes."""
        self._held -= count


class Reservation:
    """The bytes of a budget that one holder has reserved."""

    __slots__ = ("_budget", "_held")

    def __init__(self, budget: ByteBudget) -> None:
        self._budget = budget
        self._held = 0

    @property
    def held(self) -> int:
        """Number of bytes reserved now."""
        return self._held

    def reserve(self, count: int) -> bool:
        """Reserve ``count`` more bytes; false if that exceeds the limit."""
        if not self._budget.reserve(count):
            return False
        self._held += count
        return True

    def release(self) -> None:
        """Release all bytes of this reservation."""
        self._budget.release(self._held)
        self._held = 0

    def release_part(self, count: int) -> None:
        """Release some bytes; at most what the reservation still holds."""
        count = min(count, self._held)
        self._budget.release(count)
        self._held -= count
