"""Measures the share of a target's slots that each rank used recently."""

import math

_DECAY_MS = 1_000.0


class Demand:
    """Started work by rank, with exponential decay.

    Not thread-safe. Times are milliseconds on one monotonic clock. A
    lower rank is a higher priority.
    """

    def __init__(self) -> None:
        self._work_ms_by_rank: dict[int, float] = {}
        self._decayed_at_ms = 0

    def record_started(self, rank: int, work_ms: float, now_ms: int) -> None:
        """Record a request expected to occupy its slot for ``work_ms``."""
        self._decay(now_ms)
        recent_ms = self._work_ms_by_rank.get(rank, 0.0)
        self._work_ms_by_rank[rank] = recent_ms + work_ms

    def higher_priority_share(
        self, rank: int, slots: int, now_ms: int
    ) -> float:
        """Return the share of the slots, 0 to 1, used by lower ranks."""
        self._decay(now_ms)
        work_ms = sum(
            work_ms
            for other, work_ms in self._work_ms_by_rank.items()
            if other < rank
        )
        return min(1.0, work_ms / (_DECAY_MS * max(1, slots)))

    def _decay(self, now_ms: int) -> None:
        elapsed_ms = now_ms - self._decayed_at_ms
        if elapsed_ms <= 0:
            return
        self._decayed_at_ms = now_ms
        factor = math.exp(-elapsed_ms / _DECAY_MS)
        for rank in self._work_ms_by_rank:
            self._work_ms_by_rank[rank] *= factor
