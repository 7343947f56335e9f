"""Run times of the requests that start within one window."""

import dataclasses

from arbutusstall._concurrency import ratio_histogram

_MIN_RUNS = 16
_MAX_RUNS = 32
_RUNS_PER_SLOT = 3
# Longer than most disturbances by neighbours on the same machine.
_MIN_LENGTH_MS = 250
# The window ends when this share of its runs has ended. The others count
# as long, so that short runs are not overrepresented in the median.
_ENDED_SHARE = 0.9


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Summary:
    """Result of a window.

    Attributes:
        limit: Concurrency limit that was in force.
        run_ratio: Median of the run times, each as a multiple of the
            usual one of its route.
        is_absolute: Whether most of the usual run times were known.
        slowness: Median of the target's own figure; None if it sent none.
    """

    limit: int
    run_ratio: float
    is_absolute: bool
    slowness: float | None = None


class Window:
    """Collects the runs of one window at a time. Not thread-safe.

    Attributes:
        number: Number of the current window.
        began_ms: Time at which it began.
    """

    def __init__(self) -> None:
        self.number = 0
        self.began_ms = 0
        self._limit = 0
        self._started = 0
        self._ended = 0
        self._known = 0
        self._is_closed = False
        self._run_ratios = ratio_histogram.RatioHistogram()
        self._slowness = ratio_histogram.RatioHistogram()

    def begin(self, limit: int, now_ms: int) -> None:
        """Begin the next window; the runs of earlier ones are ignored."""
        self.number += 1
        self.began_ms = now_ms
        self._limit = limit
        self._started = self._ended = self._known = 0
        self._is_closed = False
        self._run_ratios.clear()
        self._slowness.clear()

    def start(self, now_ms: int) -> int:
        """Record the start of a run; return its window, 0 for none."""
        if self._is_closed:
            return 0
        self._started += 1
        min_runs = min(_MAX_RUNS, max(_MIN_RUNS, _RUNS_PER_SLOT * self._limit))
        self._is_closed = (
            self._started >= min_runs
            and now_ms - self.began_ms >= _MIN_LENGTH_MS
        )
        return self.number

    @property
    def is_closed(self) -> bool:
        """Whether enough runs have started."""
        return self._is_closed

    def drop(self) -> None:
        """Remove a run of this window whose run time tells nothing.

        Further runs take its place, so that few runs never decide.
        """
        self._started -= 1
        self._is_closed = False

    def end(
        self, run_ratio: float, is_known: bool, slowness: float | None
    ) -> None:
        """Record the end of a run of this window."""
        self._ended += 1
        self._known += is_known
        self._run_ratios.add(run_ratio)
        if slowness is not None:
            self._slowness.add(slowness)

    def summary(self) -> Summary | None:
        """Return the result, or None while runs are missing."""
        enough = self._ended >= self._started * _ENDED_SHARE
        if not self._is_closed or not enough or not self._ended:
            return None
        self._run_ratios.add_long(self._started - self._ended)
        has_slowness = self._slowness.total * 2 >= self._ended
        return Summary(
            limit=self._limit,
            run_ratio=self._run_ratios.median(),
            is_absolute=self._known * 2 >= self._ended,
            slowness=self._slowness.median() if has_slowness else None,
        )
