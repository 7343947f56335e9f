"""Decides whose body is sent to this node next, a few at a time."""

from collections import abc
import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _Waiting:
    call_id: str
    rank: int


class Transfers:
    """Bodies on their way here, and those that wait for their turn.

    Args:
        limit: Most bodies on their way at the same time.
    """

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._running: set[str] = set()
        self._waiting: list[_Waiting] = []

    @property
    def running(self) -> int:
        """Number of bodies on their way."""
        return len(self._running)

    def offer(self, call_id: str, rank: int) -> tuple[str, ...]:
        """Note that a body can be had; return whose are to be sent now.

        Args:
            rank: Bodies of a lower rank go first, then the older ones.
        """
        place = len(self._waiting)
        while place and self._waiting[place - 1].rank > rank:
            place -= 1
        self._waiting.insert(place, _Waiting(call_id=call_id, rank=rank))
        return self._begin()

    def end(self, call_id: str) -> tuple[str, ...]:
        """Note that a body has come or will not; return who is next."""
        self._running.discard(call_id)
        self._waiting = [
            item for item in self._waiting if item.call_id != call_id
        ]
        return self._begin()

    def _begin(self) -> tuple[str, ...]:
        begun: list[str] = []
        while self._waiting and len(self._running) < self._limit:
            call_id = self._waiting.pop(0).call_id
            self._running.add(call_id)
            begun.append(call_id)
        return tuple(begun)


Wanted = abc.Callable[[str], None]
"""Asks for the body of the call with an id."""
