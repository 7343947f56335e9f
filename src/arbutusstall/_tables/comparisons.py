"""Comparison of the versions of a rollout: counts, evidence, results."""

from collections import abc
import dataclasses
import enum
import math

from arbutusstall._tables import agreed
from arbutusstall._tables import outcomes

_DECAY_PER_LOOK = 0.9


class Metric(enum.Enum):
    """Property of a call that is compared between two versions."""

    ERRORS = "errors"
    SLOW = "slow"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Look:
    """One interim look of a sequential test: the counts of one interval.

    All counts belong to one route and one metric.

    Attributes:
        new_calls: Calls of the version under test.
        new_bad: Calls among ``new_calls`` that failed or were slow.
        old_calls: Calls of the versions it replaces.
        old_bad: Calls among ``old_calls`` that failed or were slow.
    """

    new_calls: int
    new_bad: int
    old_calls: int
    old_bad: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class DetectorKey:
    """Identifies one comparison within a rollout."""

    version: str
    route: str
    metric: Metric


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Detector:
    """State of the sequential test of a version against the old ones.

    Attributes:
        relatives: Log e-values for the version being worse than the old
            versions over the same intervals, one per effect size.
        absolutes: Log e-values for the version exceeding the tolerated
            rate, one per effect size.
        looks: The most recent looks, oldest first.
    """

    relatives: tuple[float, ...] = (0.0, 0.0, 0.0)
    absolutes: tuple[float, ...] = (0.0, 0.0, 0.0)
    looks: tuple[Look, ...] = ()

    @property
    def relative(self) -> float:
        """Log of the mean relative e-value over the effect sizes."""
        return _log_of_mean(self.relatives)

    @property
    def absolute(self) -> float:
        """Log of the mean absolute e-value over the effect sizes."""
        return _log_of_mean(self.absolutes)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LocalRollback:
    """A version that a node sends no traffic to, with the evidence.

    Attributes:
        rollout_id: Running rollout that increased the version's share.
        looks: Looks that reject the version for ``metric``.
    """

    rollout_id: str
    version: str
    route: str
    metric: Metric
    looks: tuple[Look, ...]

    @property
    def reason(self) -> str:
        """Summary of the evidence, used as the reason of the verdict."""
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
class DecayedCounts:
    """Counts of the old versions on one route, decayed at each look.

    Attributes:
        timed: Calls whose duration was counted.
        slow: Calls among ``timed`` that were slow.
    """

    calls: float = 0.0
    failures: float = 0.0
    timed: float = 0.0
    slow: float = 0.0

    def plus(
        self, *, calls: int, failures: int, timed: int, slow: int
    ) -> "DecayedCounts":
        """Return the decayed counts with those of one look added."""
        return DecayedCounts(
            calls=self.calls * _DECAY_PER_LOOK + calls,
            failures=self.failures * _DECAY_PER_LOOK + failures,
            timed=self.timed * _DECAY_PER_LOOK + timed,
            slow=self.slow * _DECAY_PER_LOOK + slow,
        )

    def rate(self, metric: Metric, min_calls: int) -> float:
        """Return the bad fraction of the calls, 0 to 1.

        It is zero if there are fewer than ``min_calls`` calls.
        """
        calls, bad = self.calls, self.failures
        if metric is Metric.SLOW:
            calls, bad = self.timed, self.slow
        return bad / calls if calls >= min_calls else 0.0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RolloutIndex:
    """Running rollouts of one snapshot and the routes they affect.

    Attributes:
        snapshot: Snapshot that was indexed; None before the first.
        routes_by_service: Prefixes of the routes that use the service.
    """

    snapshot: agreed.Snapshot | None = None
    rollouts_by_service: abc.Mapping[str, agreed.Rollout] = dataclasses.field(
        default_factory=dict
    )
    routes_by_service: abc.Mapping[str, tuple[str, ...]] = dataclasses.field(
        default_factory=dict
    )


def _log_of_mean(logs: tuple[float, ...]) -> float:
    highest = max(logs)
    total = sum(math.exp(value - highest) for value in logs)
    return highest + math.log(total / len(logs))


Cell = tuple[str, str]
"""Version and route prefix that a count belongs to."""


@dataclasses.dataclass(kw_only=True, slots=True)
class Watch:
    """This node's view of one running rollout: counts, tests and stage.

    Times are monotonic seconds unless stated otherwise.

    Attributes:
        last_look_s_by_route: Time of the last look at each route.
        recent_by_route: Recent counts of the old versions.
        step: The newest step seen by this node; -1 before the first.
        progress: The progress in force since ``entered_s``.
        entered_s: Time at which this node saw the current stage.
        entered_wall_s: ``entered_s`` in seconds since the epoch.
        first_share_s: Time at which the version got its first traffic.
        next_look_s: Time from which the next looks are due.
        last_look_s: Time of the last looks; zero before the first.
        pending_by_cell: Counts that no look has used yet.
        totals_by_cell: Counts since the start of the rollout that looks
            have used.
        stage_calls_by_cell: Calls with a counted duration in this stage;
            those of a version that is warming up are not included.
        first_seen_s_by_row: Time at which each counter row first arrived.
        suspected: Comparison in which the version is worse than the old
            versions were, with too few of their calls to compare now.
        suspected_s: Time at which ``suspected`` was set; zero if it is
            None.
        held_by: Why this node holds the rollout; empty if it does not.
        held_since_s: Time at which ``held_by`` last changed.
        probes: How often the share was lowered, to compare the versions
            with more traffic on the old ones.
        calls: Calls since the rate was last updated.
        calls_per_s: Smoothed rate of all calls of the service.
    """

    last_look_s_by_route: dict[str, float] = dataclasses.field(
        default_factory=dict
    )
    recent_by_route: dict[str, DecayedCounts] = dataclasses.field(
        default_factory=dict
    )
    step: int = -1
    progress: float = 0.0
    entered_s: float = 0.0
    entered_wall_s: float = 0.0
    first_share_s: float = 0.0
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
