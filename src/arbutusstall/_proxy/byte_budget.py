"""One bound for the bodies that a process holds at the same time."""


class ByteBudget:
    """Counts bytes against a limit; not thread-safe.

    Args:
        limit: Most bytes that may be held.
    """

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self._held = 0

    @property
    def held(self) -> int:
        """Bytes that are held now."""
        return self._held

    def reserve(self, count: int) -> bool:
        """Hold ``count`` more bytes; false if they do not fit."""
        if self._held + count > self.limit:
            return False
        self._held += count
        return True

    def release(self, count: int) -> None:
        """Hold ``count`` bytes less."""
        self._held -= count


class Reservation:
    """The bytes that one holder has taken from a budget."""

    __slots__ = ("_budget", "_held")

    def __init__(self, budget: ByteBudget) -> None:
        self._budget = budget
        self._held = 0

    def reserve(self, count: int) -> bool:
        """Hold ``count`` more bytes; false if they do not fit."""
        if not self._budget.reserve(count):
            return False
        self._held += count
        return True

    def release(self) -> None:
        """Give back all that is held."""
        self._budget.release(self._held)
        self._held = 0
