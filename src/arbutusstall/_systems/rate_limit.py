"""Rate limit of the requests that are sent to a target."""

from collections import abc

# Burst that is allowed after an idle period, as time at the limit's rate.
_BURST_S = 0.5
_MIN_BURST = 2.0
# Tokens when a limit is first set. What was sent before, perhaps by an
# earlier process, is not known.
_INITIAL_TOKENS = 1.0
# Lower limits are raised to this rate: without any request, no answer could
# tell that the limit has ended.
_MIN_RATE_PER_S = 0.25
# Interval at which the retry delay is adapted.
_INTERVAL_MS = 250
# Intended rate of refusals as a share of the limit. With fewer refusals a
# part of the limit would stay unused.
_REFUSED_SHARE = 0.5
# Refusals up to this rate are too cheap to lengthen the retry delay.
_FREE_REFUSALS_PER_S = 10.0
_MIN_RETRY_AFTER_MS = 20.0
_MAX_RETRY_AFTER_MS = 8_000.0
_INITIAL_RETRY_AFTER_MS = 100.0


class RateLimit:
    """Token bucket with a reserve for requests of a higher priority.

    It also adapts the retry delay of refused callers to the rate of
    refusals. Not thread-safe. Times are milliseconds on one monotonic
    clock.

    Args:
        burst: Returns the capacity of the bucket at a rate; by default
            half a second at the rate.
    """

    def __init__(
        self, burst: abc.Callable[[float], float] | None = None
    ) -> None:
        self._burst_at = burst or _default_burst
        self._rate_per_s: float | None = None
        self._tokens = _INITIAL_TOKENS
        self._filled_ms = 0
        self._interval_began_ms = 0
        self._refusals = 0
        self._retry_after_ms = _INITIAL_RETRY_AFTER_MS

    def set_rate(self, limit_per_s: float | None, now_ms: int) -> None:
        """Adopt a limit in requests a second; None lifts it."""
        if limit_per_s is None:
            self._rate_per_s = None
            return
        if self._rate_per_s is None:
            self._tokens = _INITIAL_TOKENS
            self._filled_ms = now_ms
            self._retry_after_ms = _INITIAL_RETRY_AFTER_MS
        self._fill(now_ms)
        self._rate_per_s = max(limit_per_s, _MIN_RATE_PER_S)
        self._tokens = min(self._tokens, self._burst)

    def has_room(self, rank: int, queued: int, now_ms: int) -> bool:
        """Return whether a request may be sent, or queued to be sent.

        Args:
            rank: Priority of the request, at least -1; a lower rank is
                served first.
            queued: Number of requests that wait in front of the target.
            now_ms: Current time.
        """
        if self._rate_per_s is None:
            return True
        self._fill(now_ms)
        reserve = min(rank + 1.0, (self._burst - 1.0) / 2)
        return self._tokens - queued >= 1.0 + reserve

    def count_excess(self, queued: int, now_ms: int) -> int:
        """Return how many of the queued requests exceed the limit."""
        if self._rate_per_s is None:
            return 0
        self._fill(now_ms)
        return max(0, queued - int(self._tokens))

    def record_sent(self, now_ms: int) -> None:
        """Count one request to the target."""
        if self._rate_per_s is not None:
            self._fill(now_ms)
            self._tokens -= 1.0

    def record_refused(self, now_ms: int) -> int:
        """Count a refusal; return its retry delay in milliseconds.

        The delay grows while refusals are more frequent than intended, so
        it adapts to the number of callers and to their load.
        """
        elapsed_ms = now_ms - self._interval_began_ms
        if elapsed_ms >= _INTERVAL_MS:
            self._adjust_retry_after(1_000.0 * self._refusals / elapsed_ms)
            self._interval_began_ms = now_ms
            self._refusals = 0
        self._refusals += 1
        return int(self._retry_after_ms)

    @property
    def _burst(self) -> float:
        return self._burst_at(self._rate_per_s or 0.0)

    def _fill(self, now_ms: int) -> None:
        elapsed_s = max(0, now_ms - self._filled_ms) / 1000
        self._filled_ms = now_ms
        added = elapsed_s * (self._rate_per_s or 0.0)
        self._tokens = min(self._burst, self._tokens + added)

    def _adjust_retry_after(self, refused_per_s: float) -> None:
        aim_per_s = max(
            _FREE_REFUSALS_PER_S, _REFUSED_SHARE * (self._rate_per_s or 0.0)
        )
        factor = min(2.0, max(0.5, refused_per_s / aim_per_s))
        self._retry_after_ms = min(
            _MAX_RETRY_AFTER_MS,
            max(_MIN_RETRY_AFTER_MS, self._retry_after_ms * factor),
        )


def _default_burst(rate_per_s: float) -> float:
    return max(_MIN_BURST, rate_per_s * _BURST_S)
