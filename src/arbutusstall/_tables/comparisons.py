"""What a node knows of how the versions of a rollout compare."""

from collections import abc
import dataclasses
import enum
import math

from arbutusstall._tables import agreed
from arbutusstall._tables import outcomes

_FADE = 0.9


class Metric(enum.Enum):
    """What is compared between two versions."""

    ERRORS = "errors"
    SLOW = "slow"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Look:
    """Counts of one route that came in within one interval.

    Attributes:
        new_calls: Calls of the version under test.
        new_bad: Those of them that failed, or were slow.
        old_calls: Calls of the versions it replaces.
        old_bad: Those of them that failed, or were slow.
    """

    new_calls: int
    new_bad: int
    old_calls: int
    old_bad: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class DetectorKey:
    """Names one comparison of a rollout."""

    version: str
    route: str
    metric: Metric


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Detector:
    """Sequential comparison of a version with those it replaces.

    Attributes:
        relatives: Log e-value that the version is worse than the old
            ones at the same time, one for each degree of badness.
        absolutes: Log e-value that it is worse than the tolerated
            rate, likewise.
        looks: The newest looks, oldest first.
    """

    relatives: tuple[float, ...] = (0.0, 0.0, 0.0)
    absolutes: tuple[float, ...] = (0.0, 0.0, 0.0)
    looks: tuple[Look, ...] = ()

    @property
    def relative(self) -> float:
        """Log of the mean e-value over the degrees of badness."""
        return _log_mean(self.relatives)

    @property
    def absolute(self) -> float:
        """Log of the mean e-value over the degrees of badness."""
        return _log_mean(self.absolutes)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LocalRollback:
    """A version that a node gives no traffic, with the counts behind it.

    Attributes:
        rollout_id: The running rollout that raised the version.
        looks: Looks that pass the comparison for ``metric``.
    """

    rollout_id: str
    version: str
    route: str
    metric: Metric
    looks: tuple[Look, ...]

    @property
    def reason(self) -> str:
        """One line for the verdict."""
        calls = sum(look.new_calls for look in self.looks)
        bad = sum(look.new_bad for look in self.looks)
        old_calls = sum(look.old_calls for look in self.looks)
        old_bad = sum(look.old_bad for look in self.looks)
        what = "failed" if self.metric is Metric.ERRORS else "was slow on"
        return (
            f"{self.version} {what} {bad} of {calls} calls on {self.route}, "
            f"the old versions {old_bad} of {old_calls}"
        )


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Recent:
    """Counts of the old versions on one route, fading with each look."""

    calls: float = 0.0
    failures: float = 0.0
    timed: float = 0.0
    slow: float = 0.0

    def plus(
        self, *, calls: int, failures: int, timed: int, slow: int
    ) -> "Recent":
        """Return the counts after one more look."""
        return Recent(
            calls=self.calls * _FADE + calls,
            failures=self.failures * _FADE + failures,
            timed=self.timed * _FADE + timed,
            slow=self.slow * _FADE + slow,
        )

    def rate(self, metric: Metric, least: int) -> float:
        """Return the bad part of the calls; zero below ``least`` calls."""
        calls, bad = self.calls, self.failures
        if metric is Metric.SLOW:
            calls, bad = self.timed, self.slow
        return bad / calls if calls >= least else 0.0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RolloutIndex:
    """Running rollouts and their services' routes in one snapshot."""

    snapshot: agreed.Snapshot | None = None
    rollouts_by_service: abc.Mapping[str, agreed.Rollout] = dataclasses.field(
        default_factory=dict
    )
    routes_by_service: abc.Mapping[str, tuple[str, ...]] = dataclasses.field(
        default_factory=dict
    )


def _log_mean(logs: tuple[float, ...]) -> float:
    highest = max(logs)
    total = sum(math.exp(value - highest) for value in logs)
    return highest + math.log(total / len(logs))


Cell = tuple[str, str]
"""Version and route."""


@dataclasses.dataclass(kw_only=True, slots=True)
class Watch:
    """Outcome counts of one running rollout, as they came in here.

    Attributes:
        pending_by_cell: Counts since the last look.
        totals_by_cell: Counts since the rollout began.
        stage_calls_by_cell: Calls of warm endpoints in this stage.
        first_seen_s_by_row: When a row came in first, monotonic time.
        looked_s_by_route: When a route was looked at last.
        recent_by_route: What the old versions did lately.
        step: The newest step seen here.
        progress: The progress in force since ``entered_s``.
        entered_s: Monotonic time at which this node saw the stage.
        entered_wall_s: The same in seconds since the epoch.
        begun_s: Monotonic time at which the first share was in force.
        suspected: Comparison in which the version is worse than the old
            one has been, with too few calls to compare at this time.
        suspected_s: Monotonic time since when; zero if it is not.
        held_by: What holds the rollout as this node sees it.
        held_since_s: Monotonic time since when.
        probes: How often the share was lowered to compare.
        calls: Calls since the rate was measured last.
        calls_per_s: Smoothed rate of all calls of the service.
    """

    looked_s_by_route: dict[str, float] = dataclasses.field(
        default_factory=dict
    )
    recent_by_route: dict[str, Recent] = dataclasses.field(
        default_factory=dict
    )
    step: int = -1
    progress: float = 0.0
    entered_s: float = 0.0
    entered_wall_s: float = 0.0
    begun_s: float = 0.0
    next_look_s: float = 0.0
    last_look_s: float = 0.0
    pending_by_cell: dict[Cell, outcomes.OutcomeCounts] = dataclasses.field(
        default_factory=dict
    )
    totals_by_cell: dict[Cell, outcomes.OutcomeCounts] = dataclasses.field(
        default_factory=dict
    )
    stage_calls_by_cell: dict[Cell, int] = dataclasses.field(
        default_factory=dict
    )
    detectors_by_key: dict[DetectorKey, Detector] = dataclasses.field(
        default_factory=dict
    )
    first_seen_s_by_row: dict[outcomes.OutcomeKey, float] = dataclasses.field(
        default_factory=dict
    )
    suspected: DetectorKey | None = None
    suspected_s: float = 0.0
    held_by: str = ""
    held_since_s: float = 0.0
    probes: int = 0
    calls: int = 0
    calls_per_s: float = 0.0
