"""Estimates how long a caller has waited before it sent a request.

A caller that was refused comes back with a new request that has less
time left than its first one. The longest time that callers of a route
have had lately is taken for what they start with.
"""

import dataclasses

_WINDOW_S = 10.0
# A caller that comes back after one refusal has waited for a part of its
# time. One with much less time left is taken for another kind of caller.
_MOST_WAITED_PART = 0.45
_MOST_ROUTES = 2_000


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _Longest:
    """Longest times left, in this window and in the one before it."""

    since_s: float
    now_ms: int
    before_ms: int = 0


class CallerWaits:
    """The time that callers of each route start with."""

    def __init__(self) -> None:
        self._longest_by_route: dict[str, _Longest] = {}

    def waited_ms(self, route: str, left_ms: int, now_s: float) -> int:
        """Note a request and estimate how long its caller has waited.

        Args:
            route: Prefix of the request's route.
            left_ms: Time left to the caller's deadline.
            now_s: Monotonic time.

        Returns:
            Milliseconds; zero if nothing speaks for an earlier attempt.
        """
        longest_ms = self._note(route, left_ms, now_s)
        waited_ms = longest_ms - left_ms
        if waited_ms > longest_ms * _MOST_WAITED_PART:
            return 0
        return waited_ms

    def _note(self, route: str, left_ms: int, now_s: float) -> int:
        known = self._longest_by_route.get(route)
        if known is None or now_s - known.since_s > 2 * _WINDOW_S:
            known = _Longest(since_s=now_s, now_ms=left_ms)
        elif now_s - known.since_s > _WINDOW_S:
            known = _Longest(
                since_s=now_s, now_ms=left_ms, before_ms=known.now_ms
            )
        elif left_ms > known.now_ms:
            known = dataclasses.replace(known, now_ms=left_ms)
        if len(self._longest_by_route) >= _MOST_ROUTES:
            self._longest_by_route.clear()
        self._longest_by_route[route] = known
        return max(known.now_ms, known.before_ms)
