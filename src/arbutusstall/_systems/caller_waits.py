"""Estimates how long a caller has been retrying before a request.

A refused caller retries with a new request that has less time left until
its deadline. The longest time left on a route recently is assumed to be
the time with which all its callers start.
"""

import dataclasses

_WINDOW_S = 10.0
# A caller that retries after one refusal has used up only a share of its
# time. A request with much less time left is attributed to a caller with
# a shorter deadline.
_MAX_WAITED_SHARE = 0.45
_MAX_ROUTES = 2_000


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _WindowMaxima:
    """Longest time left in the current and in the previous window.

    Attributes:
        since_s: Monotonic start time of the current window.
        current_ms: Maximum in the current window.
        previous_ms: Maximum in the previous window.
    """

    since_s: float
    current_ms: int
    previous_ms: int = 0


class CallerWaits:
    """Tracks, by route, the time to the deadline with which callers start."""

    def __init__(self) -> None:
        self._maxima_by_route: dict[str, _WindowMaxima] = {}

    def waited_ms(self, route: str, left_ms: int, now_s: float) -> int:
        """Record a request and estimate how long its caller has waited.

        Args:
            route: Prefix of the request's route.
            left_ms: Time left to the caller's deadline.
            now_s: Monotonic time.

        Returns:
            Milliseconds; 0 if there probably was no earlier attempt.
        """
        longest_ms = self._record(route, left_ms, now_s)
        waited_ms = longest_ms - left_ms
        if waited_ms > longest_ms * _MAX_WAITED_SHARE:
            return 0
        return waited_ms

    def _record(self, route: str, left_ms: int, now_s: float) -> int:
        known = self._maxima_by_route.get(route)
        if known is None or now_s - known.since_s > 2 * _WINDOW_S:
            known = _WindowMaxima(since_s=now_s, current_ms=left_ms)
        elif now_s - known.since_s > _WINDOW_S:
            known = _WindowMaxima(
                since_s=now_s, current_ms=left_ms, previous_ms=known.current_ms
            )
        elif left_ms > known.current_ms:
            known = dataclasses.replace(known, current_ms=left_ms)
        if len(self._maxima_by_route) >= _MAX_ROUTES:
            self._maxima_by_route.clear()
        self._maxima_by_route[route] = known
        return max(known.current_ms, known.previous_ms)
