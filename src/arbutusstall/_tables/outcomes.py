"""Counts of call outcomes at the inbound proxies."""

import dataclasses
import operator

BOUNDS_MS = tuple(round(2.0 ** (half / 2), 3) for half in range(29))
"""Upper bounds of the duration buckets; the last bucket has none."""

NO_DURATIONS = (0,) * (len(BOUNDS_MS) + 1)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class OutcomeKey:
    """Identifies one cumulative counter row.

    Attributes:
        reporter: Node whose inbound proxy counts the calls.
        incarnation: Incarnation of the reporter; counts restart with it.
        rollout: Log offset of the release whose rollout the row belongs
            to; counting starts when the reporter learns of the rollout.
    """

    reporter: str
    incarnation: int
    service: str
    version: str
    route: str
    rollout: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class OutcomeCounts:
    """Cumulative counts of one row.

    Attributes:
        calls: Number of finished calls.
        failures: Calls that ended in an error of the target, or for which
            the target did not accept a connection.
        durations: Finished calls per duration bucket, see `BOUNDS_MS`.
    """

    calls: int = 0
    failures: int = 0
    durations: tuple[int, ...] = NO_DURATIONS

    def plus(self, other: "OutcomeCounts") -> "OutcomeCounts":
        """Return the sum of two counts."""
        return OutcomeCounts(
            calls=self.calls + other.calls,
            failures=self.failures + other.failures,
            durations=tuple(
                map(operator.add, self.durations, other.durations)
            ),
        )

    def minus(self, other: "OutcomeCounts") -> "OutcomeCounts":
        """Return the counts added since the earlier ``other``."""
        return OutcomeCounts(
            calls=self.calls - other.calls,
            failures=self.failures - other.failures,
            durations=tuple(
                map(operator.sub, self.durations, other.durations)
            ),
        )

    def without_durations(self) -> "OutcomeCounts":
        """Return a copy with the durations set to zero."""
        return OutcomeCounts(calls=self.calls, failures=self.failures)

    @property
    def is_consistent(self) -> bool:
        """Whether the counts have the expected shape and do not conflict."""
        return (
            len(self.durations) == len(NO_DURATIONS)
            and 0 <= self.failures <= self.calls
            and min(self.durations) >= 0
            and sum(self.durations) <= self.calls
        )

    @property
    def mean_s(self) -> float:
        """Mean duration in seconds; zero without timed calls.

        Each call counts with its bucket's upper bound, those of the last
        bucket with twice the highest bound.
        """
        timed = sum(self.durations)
        if not timed:
            return 0.0
        bounds = (*BOUNDS_MS, 2 * BOUNDS_MS[-1])
        total_ms: float = sum(map(operator.mul, self.durations, bounds))
        return total_ms / timed / 1000.0

    def slower_than(self, bucket: int) -> int:
        """Return the number of calls above the bound of ``bucket``."""
        return sum(self.durations[bucket + 1 :])
