"""Limits of the rate of requests that are sent to one target."""

from arbutusstall._systems import cold_limit
from arbutusstall._systems import rate_limit


class TargetLimit:
    """The limit that a target names, and the one while it is cold.

    A request has to fit into both. The methods are those of
    `rate_limit.RateLimit`.

    Attributes:
        cold: Limit while the target is cold.
    """

    def __init__(self) -> None:
        self.cold = cold_limit.ColdLimit()
        self._named = rate_limit.RateLimit()

    def set_rate(self, limit_per_s: float | None, now_ms: int) -> None:
        """Adopt the limit that the target names; None lifts it."""
        self._named.set_rate(limit_per_s, now_ms)

    def has_room(self, rank: int, queued: int, now_ms: int) -> bool:
        """Return whether a request may be sent, or queued to be sent."""
        return self._named.has_room(
            rank, queued, now_ms
        ) and self.cold.has_room(rank, queued, now_ms)

    def count_excess(self, queued: int, now_ms: int) -> int:
        """Return how many of the queued requests exceed a limit."""
        return max(
            self._named.count_excess(queued, now_ms),
            self.cold.count_excess(queued, now_ms),
        )

    def record_sent(self, now_ms: int) -> None:
        """Count one request to the target."""
        self._named.record_sent(now_ms)
        self.cold.record_sent(now_ms)

    def record_refused(self, rank: int, queued: int, now_ms: int) -> int:
        """Count a refusal; return its retry delay in milliseconds.

        It is the delay of the limit that leaves no room for the request.
        """
        if self._named.has_room(rank, queued, now_ms):
            return self.cold.record_refused(now_ms)
        return self._named.record_refused(now_ms)
