"""Measures which part of a target's slots each rank has taken lately."""

import math

_MEMORY_MS = 1_000.0


class Demand:
    """Work that was started, by rank, and fades with time.

    Not thread-safe. Times are milliseconds on one monotonic clock.
    """

    def __init__(self) -> None:
        self._work_ms_by_rank: dict[int, float] = {}
        self._faded_ms = 0

    def record_started(self, rank: int, work_ms: float, now_ms: int) -> None:
        """Note a request that will hold its slot for ``work_ms``."""
        self._fade(now_ms)
        known_ms = self._work_ms_by_rank.get(rank, 0.0)
        self._work_ms_by_rank[rank] = known_ms + work_ms

    def higher_priority_share(
        self, rank: int, slots: int, now_ms: int
    ) -> float:
        """Return the part of the slots, 0 to 1, that lower ranks take."""
        self._fade(now_ms)
        work_ms = sum(
            work_ms
            for other, work_ms in self._work_ms_by_rank.items()
            if other < rank
        )
        return min(1.0, work_ms / (_MEMORY_MS * max(1, slots)))

    def _fade(self, now_ms: int) -> None:
        elapsed_ms = now_ms - self._faded_ms
        if elapsed_ms <= 0:
            return
        self._faded_ms = now_ms
        part = math.exp(-elapsed_ms / _MEMORY_MS)
        for rank in self._work_ms_by_rank:
            self._work_ms_by_rank[rank] *= part
