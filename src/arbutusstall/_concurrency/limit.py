"""Concurrency limit of a target, found by trials of lower and higher ones.

A target that is slow for any reason has more requests in flight, so slow
runs at a high concurrency do not prove that the concurrency is the cause.
The limit therefore changes only after a trial. See
docs/design/0057-concurrency-limits.md.
"""

import enum
import math

from arbutusstall._concurrency import usual_times
from arbutusstall._concurrency import window

LOW_CONCURRENCY = -1
"""Returned by `ConcurrencyLimit.on_start` for a run beside few others."""

_MIN_LIMIT = 2
_MIN_SLOTS_SHARE = 0.25
_LOW_SLOTS_SHARE = 0.25
# Runs that start with this share of the limit in use count as saturated.
_SATURATED_SHARE = 0.8
# Nested calls and noise alone raise the median by less than this.
_SUSPICIOUS_RATIO = 1.3
_MIN_STEP = 0.7
_MAX_STEP = 0.85
# Time for which all windows must be suspicious. Targets that are slow for
# 0.6 s at a time are not tried while they catch up.
_SUSPICIOUS_MS = 1_200
# Run times as a power of the concurrency. With an exponent above 1 a lower
# limit gains throughput, with one below a higher limit does. The margin of
# the higher one keeps the limit from swinging.
_MIN_LOWER_EXPONENT = 1.0
_MAX_RAISE_EXPONENT = 0.8
_MAX_SLOWNESS_CHANGE = 1.25
_MIN_LOWER_PAUSE_MS = 5_000
_MAX_LOWER_PAUSE_MS = 60_000
_MIN_RAISE_PAUSE_MS = 2_000
_MAX_RAISE_PAUSE_MS = 8_000
# After a raise that was kept, the next one follows soon.
_NEXT_RAISE_PAUSE_MS = 500
_DISTURBED_PAUSE_MS = 1_000
_MAX_TRIAL_WINDOW_MS = 4_000
_UNSATURATED_MS = 10_000


class _Phase(enum.Enum):
    """What the current window is for.

    Attributes:
        HOLD: Observation at the limit that is in force.
        LOWER: Trial of a lower limit.
        RETURN: Return to the higher limit, to compare with the trial.
        RAISE: Trial of a higher limit.
    """

    HOLD = "hold"
    LOWER = "lower"
    RETURN = "return"
    RAISE = "raise"


class ConcurrencyLimit:
    """Limit of the requests that run at a target at the same time.

    Not thread-safe. Times are milliseconds on one monotonic clock.

    Args:
        slots: Number of requests that the target says it runs.

    Attributes:
        current: Limit in force, which may be under trial.
        settled: Limit in force outside of trials.
    """

    def __init__(self, slots: int) -> None:
        self.current = slots
        self.settled = slots
        self._slots = slots
        self._usual_times = usual_times.UsualTimes()
        self._window = window.Window()
        self._phase = _Phase.HOLD
        self._before: window.Summary | None = None
        self._trial: window.Summary | None = None
        self._lower_pause_ms = _MIN_LOWER_PAUSE_MS
        self._raise_pause_ms = _MIN_RAISE_PAUSE_MS
        self._next_lower_ms = 0
        self._next_raise_ms = 0
        self._suspicious_from_ms = -1

    @property
    def run_ratio(self) -> float:
        """Run time at the limit before the last trial, 1.0 as usual."""
        return round(self._before.run_ratio, 2) if self._before else 1.0

    @property
    def floor(self) -> int:
        """The lowest limit that is ever in force."""
        share = math.ceil(self._slots * _MIN_SLOTS_SHARE)
        return min(self._slots, max(_MIN_LIMIT, share))

    def reset(self, slots: int) -> None:
        """Start again for a target that was replaced."""
        self.current = self.settled = self._slots = slots
        self._usual_times = usual_times.UsualTimes()
        self._lower_pause_ms = _MIN_LOWER_PAUSE_MS
        self._raise_pause_ms = _MIN_RAISE_PAUSE_MS
        self._next_lower_ms = self._next_raise_ms = 0
        self._suspicious_from_ms = -1
        # The next run begins a window; those of the target before are not
        # counted in it.
        self._window.begin(slots, 0)
        self._phase = _Phase.HOLD

    def on_start(self, in_flight: int, now_ms: int) -> int:
        """Record the start of a run.

        Args:
            in_flight: Number of runs, this one included.

        Returns:
            A mark of the run, for `on_end`.
        """
        if not self._window.began_ms:
            self._begin(_Phase.HOLD, self.settled, now_ms)
        self._expire(now_ms)
        # First, since the lowest limit counts as a low concurrency too.
        saturated = self.current * _SATURATED_SHARE
        if saturated <= in_flight <= self.current:
            return self._window.start(now_ms)
        if in_flight <= max(1, self._slots * _LOW_SLOTS_SHARE):
            return LOW_CONCURRENCY
        return 0

    def on_end(
        self,
        mark: int,
        in_flight: int,
        now_ms: int,
        route: str = "",
        run_ms: int | None = None,
        slowness: float | None = None,
    ) -> None:
        """Record the end of a run.

        Args:
            mark: Result of `on_start`.
            in_flight: Number of other runs.
            route: Run times are compared within a route.
            run_ms: Run time; None if it tells nothing, since the run was
                cancelled or failed.
            slowness: How long work takes at the target now, as the target
                says, with 1.0 as usual; None if it does not say.
        """
        if mark == LOW_CONCURRENCY:
            is_alone = in_flight < max(1, self._slots * 2 * _LOW_SLOTS_SHARE)
            if run_ms is not None and is_alone and self._phase is _Phase.HOLD:
                self._usual_times.record(route, run_ms)
            return
        if not mark or mark != self._window.number:
            return
        if run_ms is None:
            self._window.drop()
        else:
            self._window.end(
                self._usual_times.ratio(route, run_ms),
                self._usual_times.is_known(route),
                slowness,
            )
        summary = self._window.summary()
        if summary is not None:
            self._decide(summary, now_ms)

    def _decide(self, summary: window.Summary, now_ms: int) -> None:
        """Act on a window that is complete."""
        if self._phase is _Phase.HOLD:
            self._begin_trial(summary, now_ms)
        elif self._phase is _Phase.LOWER:
            self._trial = summary
            if _exponent(summary, self._before) >= _MIN_LOWER_EXPONENT:
                self._begin(_Phase.RETURN, self.settled, now_ms)
            else:
                self._reject_lower(now_ms)
        elif self._phase is _Phase.RETURN:
            self._end_lower(summary, now_ms)
        else:
            self._end_raise(summary, now_ms)

    def _begin_trial(self, summary: window.Summary, now_ms: int) -> None:
        self._before = summary
        if not _is_suspicious(summary):
            self._suspicious_from_ms = -1
        elif self._suspicious_from_ms < 0:
            self._suspicious_from_ms = self._window.began_ms
        if (
            self._suspicious_from_ms >= 0
            and now_ms - self._suspicious_from_ms >= _SUSPICIOUS_MS
            and now_ms >= self._next_lower_ms
        ):
            step = _MIN_STEP
            if summary.is_absolute:
                step = min(_MAX_STEP, max(step, 1.0 / summary.run_ratio))
            lower = max(self.floor, round(self.settled * step))
            if lower < self.settled:
                self._begin(_Phase.LOWER, lower, now_ms)
                return
        if self.settled < self._slots and now_ms >= self._next_raise_ms:
            higher = max(self.settled + 1, round(self.settled / _MIN_STEP))
            self._begin(_Phase.RAISE, min(self._slots, higher), now_ms)
            return
        self._begin(_Phase.HOLD, self.settled, now_ms)

    def _end_lower(self, after: window.Summary, now_ms: int) -> None:
        if self._is_disturbed(after):
            self._next_lower_ms = now_ms + _DISTURBED_PAUSE_MS
            self._begin(_Phase.HOLD, self.settled, now_ms)
            return
        trial = self._trial
        if trial is None or _exponent(trial, after) < _MIN_LOWER_EXPONENT:
            self._reject_lower(now_ms)
            return
        self.settled = trial.limit
        self._lower_pause_ms = _MIN_LOWER_PAUSE_MS
        self._raise_pause_ms = _MIN_RAISE_PAUSE_MS
        self._next_lower_ms = now_ms
        self._next_raise_ms = now_ms + self._raise_pause_ms
        self._begin(_Phase.HOLD, self.settled, now_ms)

    def _reject_lower(self, now_ms: int) -> None:
        self._next_lower_ms = now_ms + self._lower_pause_ms
        self._lower_pause_ms = min(
            _MAX_LOWER_PAUSE_MS, 2 * self._lower_pause_ms
        )
        self._begin(_Phase.HOLD, self.settled, now_ms)

    def _end_raise(self, summary: window.Summary, now_ms: int) -> None:
        if _exponent(self._before, summary) > _MAX_RAISE_EXPONENT:
            self._next_raise_ms = now_ms + self._raise_pause_ms
            self._raise_pause_ms = min(
                _MAX_RAISE_PAUSE_MS, 2 * self._raise_pause_ms
            )
        else:
            self.settled = summary.limit
            self._raise_pause_ms = _MIN_RAISE_PAUSE_MS
            self._next_raise_ms = now_ms + _NEXT_RAISE_PAUSE_MS
        self._begin(_Phase.HOLD, self.settled, now_ms)

    def _is_disturbed(self, after: window.Summary) -> bool:
        """Return whether the machine changed between two equal limits."""
        before = self._before
        if before is None or not before.slowness or not after.slowness:
            return False
        change = after.slowness / before.slowness
        return not 1 / _MAX_SLOWNESS_CHANGE < change < _MAX_SLOWNESS_CHANGE

    def _expire(self, now_ms: int) -> None:
        """Give up a window for which there are too few runs."""
        age_ms = now_ms - self._window.began_ms
        if self._phase is not _Phase.HOLD:
            if age_ms > _MAX_TRIAL_WINDOW_MS:
                if self._phase is _Phase.RAISE and not self._window.is_closed:
                    # Too few runs reached the higher limit, so that it does
                    # not bind.
                    self.settled = self.current
                self._next_lower_ms = now_ms + self._lower_pause_ms
                self._next_raise_ms = now_ms + self._raise_pause_ms
                self._begin(_Phase.HOLD, self.settled, now_ms)
        elif age_ms > _UNSATURATED_MS:
            self._suspicious_from_ms = -1
            self.settled = self._slots
            self._begin(_Phase.HOLD, self.settled, now_ms)

    def _begin(self, phase: _Phase, limit: int, now_ms: int) -> None:
        self._phase = phase
        self.current = limit
        # Zero stands for no window.
        self._window.begin(limit, max(1, now_ms))


def _is_suspicious(summary: window.Summary) -> bool:
    """Return whether runs at the limit may be slow because of it.

    Without known run times the target's own figure decides. If there is
    none either, nothing is tried: trials of healthy targets cost callers
    room.
    """
    if summary.is_absolute:
        return summary.run_ratio > _SUSPICIOUS_RATIO
    slowness = summary.slowness
    return slowness is not None and slowness > _SUSPICIOUS_RATIO


def _exponent(
    low: window.Summary | None, high: window.Summary | None
) -> float:
    """Return the power of the concurrency by which run times grow.

    Args:
        low: Window at the lower limit.
        high: Window at the higher limit.
    """
    if low is None or high is None:
        return 0.0
    growth = math.log(high.run_ratio / low.run_ratio)
    return growth / math.log(high.limit / low.limit)
