"""Decides whose body is sent to this node next, a few at a time.

Times are milliseconds on one monotonic clock.
"""

from collections import abc
import dataclasses

_SMOOTHING = 0.2
# Assumed until bodies have come: a link of 8 Mbit/s.
_START_BYTES_PER_MS = 1_000.0
_LEAST_MS = 1
_MEASURE_MS = 500


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Body:
    """A body that another node can send.

    Attributes:
        rank: Bodies of a lower rank go first, then the older ones.
    """

    call_id: str
    rank: int
    size: int


class Transfers:
    """Bodies on their way here, and those that wait for their turn.

    Args:
        limit: Most bodies on their way at the same time.
    """

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._running_by_id: dict[str, Body] = {}
        self._waiting: list[Body] = []
        self._bytes_per_ms = _START_BYTES_PER_MS
        self._busy_since_ms = 0
        self._come_bytes = 0

    @property
    def running(self) -> int:
        """Number of bodies on their way."""
        return len(self._running_by_id)

    @property
    def pending(self) -> int:
        """Number of bodies on their way or waiting."""
        return len(self._running_by_id) + len(self._waiting)

    def wait_ms(self, rank: int) -> int:
        """Return how long a new body of ``rank`` is likely to wait."""
        if len(self._running_by_id) < self._limit:
            return 0
        ahead = [body for body in self._waiting if body.rank <= rank]
        # Of those on their way about half has come.
        size = sum(body.size for body in self._running_by_id.values()) / 2
        size += sum(body.size for body in ahead)
        return int(size / self._bytes_per_ms)

    def offer(self, body: Body, now_ms: int) -> tuple[str, ...]:
        """Note that a body can be had; return whose are to be sent now."""
        place = len(self._waiting)
        while place and self._waiting[place - 1].rank > body.rank:
            place -= 1
        self._waiting.insert(place, body)
        return self._begin(now_ms)

    def end(
        self, call_id: str, now_ms: int, *, complete: bool
    ) -> tuple[str, ...]:
        """Note that a body has come or will not; return who is next.

        Args:
            complete: Whether the whole body has arrived.
        """
        body = self._running_by_id.pop(call_id, None)
        if body is not None and complete:
            self._come_bytes += body.size
        lasted_ms = now_ms - self._busy_since_ms
        if not self._running_by_id or lasted_ms >= _MEASURE_MS:
            self._learn(lasted_ms)
            self._busy_since_ms = now_ms
        self._waiting = [
            item for item in self._waiting if item.call_id != call_id
        ]
        return self._begin(now_ms)

    def _begin(self, now_ms: int) -> tuple[str, ...]:
        begun: list[str] = []
        while self._waiting and len(self._running_by_id) < self._limit:
            body = self._waiting.pop(0)
            if not self._running_by_id:
                self._busy_since_ms = now_ms
            self._running_by_id[body.call_id] = body
            begun.append(body.call_id)
        return tuple(begun)

    def _learn(self, lasted_ms: int) -> None:
        """Learn the rate from a time in which bodies came."""
        if not self._come_bytes:
            return
        rate = self._come_bytes / max(_LEAST_MS, lasted_ms)
        self._bytes_per_ms += _SMOOTHING * (rate - self._bytes_per_ms)
        self._come_bytes = 0


RequestBody = abc.Callable[[str], None]
"""Asks for the body of the call with an id."""
