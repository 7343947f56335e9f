"""Limit of the requests that a cold target gets."""

from arbutusstall import _settings
from arbutusstall._systems import rate_limit

# Part of the permitted excess over the rate that the bucket may hold. The
# rest covers requests that are sent some time after they were counted, such
# as those that wait for a new connection.
_BURST_SHARE = 0.75
# Burst above one second at the rate.
_MAX_BURST_ABOVE_RATE = 4.0
_MIN_BURST = 2.0
# The rate is lowered until one second of it and the smallest burst fit into
# this part of the permitted requests.
_MAX_SHARE = 0.85


_NO_SETTINGS = _settings.ColdSettings()


class ColdLimit:
    """Token bucket that applies while the target is cold.

    It also applies while nothing has told whether the target is cold. The
    bucket starts nearly empty, since what was sent before is not counted.
    Not thread-safe. Times are milliseconds on one monotonic clock.

    Args:
        settings: Permitted excess over the rate.
    """

    def __init__(
        self, settings: _settings.ColdSettings = _NO_SETTINGS
    ) -> None:
        self._settings = settings
        self._rate_per_s: float | None = 0.0
        self._start = ""
        # None as long as nothing has told whether the target is cold.
        self._cold_until_ms: int | None = None
        self._bucket = rate_limit.RateLimit(burst=self._burst)

    def set_rate(self, rate_per_s: float | None, now_ms: int) -> None:
        """Adopt the rate of the configuration; 0 if there is no bound.

        None means that there is no configuration yet. The permitted excess
        is then used as the rate if the settings name one, as it is allowed
        whatever the rate is.
        """
        self._rate_per_s = rate_per_s
        self._apply(now_ms)

    def learn(self, start: str, cold_s: float | None, now_ms: int) -> None:
        """Adopt what a start of the target, or its health check, tells.

        The latest end that a start has named counts, since heartbeats may
        overtake each other.

        Args:
            start: The target's start, as `members.target_start` returns it.
            cold_s: Remaining time for which it is cold, in seconds; None
                if it is unknown.
        """
        if start != self._start:
            self._start = start
            self._cold_until_ms = None
        if cold_s is not None:
            until_ms = now_ms + int(cold_s * 1000)
            known_ms = self._cold_until_ms
            self._cold_until_ms = (
                until_ms if known_ms is None else max(known_ms, until_ms)
            )
        self._apply(now_ms)

    def applies(self, now_ms: int) -> bool:
        """Return whether requests to the target are limited now."""
        if self._rate_per_s == 0.0:
            return False
        if self._rate_per_s is None and not self._settings.named:
            return False
        return self._cold_until_ms is None or now_ms < self._cold_until_ms

    def has_room(self, rank: int, queued: int, now_ms: int) -> bool:
        """Return whether a request may be sent, as `RateLimit.has_room`."""
        self._apply(now_ms)
        return self._bucket.has_room(rank, queued, now_ms)

    def count_excess(self, queued: int, now_ms: int) -> int:
        """Return how many of the queued requests exceed the limit."""
        self._apply(now_ms)
        return self._bucket.count_excess(queued, now_ms)

    def record_sent(self, now_ms: int) -> None:
        """Count one request to the target."""
        self._apply(now_ms)
        self._bucket.record_sent(now_ms)

    def record_refused(self, now_ms: int) -> int:
        """Count a refusal; return its retry delay in milliseconds.

        The delay ends no later than the coldness of the target.
        """
        wait_ms = self._bucket.record_refused(now_ms)
        if self._cold_until_ms is None:
            return wait_ms
        return max(1, min(wait_ms, self._cold_until_ms - now_ms))

    @property
    def _excess(self) -> float:
        """Requests in a second that are permitted at the rate 0."""
        return max(0.0, self._settings.slack)

    def _permitted(self, rate_per_s: float) -> float:
        """Return the permitted number of requests in any second."""
        return rate_per_s * self._settings.overshoot + self._excess

    def _apply(self, now_ms: int) -> None:
        rate_per_s = self._rate_per_s
        if not self.applies(now_ms):
            self._bucket.set_rate(None, now_ms)
            return
        if rate_per_s is None:
            rate_per_s = self._excess / 2
        most = self._permitted(rate_per_s) * _MAX_SHARE - _MIN_BURST
        self._bucket.set_rate(min(rate_per_s, most), now_ms)

    def _burst(self, rate_per_s: float) -> float:
        """Return the capacity of the bucket at a rate."""
        if self._rate_per_s is None:
            return max(_MIN_BURST, self._excess / 4)
        spare = self._permitted(self._rate_per_s) - rate_per_s
        burst = min(spare * _BURST_SHARE, rate_per_s + _MAX_BURST_ABOVE_RATE)
        return max(_MIN_BURST, burst)
