"""A model of callers and targets with the node cores of the product.

Callers choose versions and endpoints from the view of a node, as the
outbound proxy does. Targets answer according to a `Behaviour`. The cores
get the outcome counts that an inbound proxy would report.
"""

from collections import abc
import dataclasses
import datetime
import random

import driver

from arbutusstall import _notes
from arbutusstall import protocols
from arbutusstall import settings as node_settings
from arbutusstall._log import records
from arbutusstall._systems import routing
from arbutusstall._tables import agreed
from arbutusstall._tables import outcomes

SERVICE = "kvoty"
TICK_S = 0.1
_DATA_CENTRES = ("lipno", "svet")


@dataclasses.dataclass(frozen=True, kw_only=True)
class Answer:
    """Result of one call.

    Attributes:
        bad: Whether the call showed the flaw of a bad version, as opposed
            to the failures and latencies that all versions have.
    """

    failed: bool
    duration_s: float
    bad: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True)
class Situation:
    """Inputs of a target's behaviour.

    Attributes:
        elapsed_s: Seconds since the release was published.
        serving_s: Seconds since the endpoint's first call.
        load: Smoothed number of calls per second of the new version.
        progress: Progress of the rollout at the leader.
    """

    version: str
    route: str
    elapsed_s: float
    serving_s: float
    load: float
    progress: float


Behaviour = abc.Callable[[Situation, random.Random], Answer]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Faults:
    """Times at which faults start and end, in seconds after the release."""

    log_down_s: tuple[float, float] | None = None
    leader_paused_s: tuple[float, float] | None = None


@dataclasses.dataclass(frozen=True, kw_only=True)
class Setup:
    """Parameters of one run of the model; times in seconds.

    Attributes:
        planned_s: Time from the release to its goal.
        limit_s: Time after which the run ends without a verdict.
        rate: Calls per second over all routes.
        routes: Share of the calls by route prefix, 0 to 1.
        endpoints: Number of endpoints of each version.
        new_endpoints: Whether the new version has endpoints.
        slots: Requests that an endpoint runs at once.
    """

    seed: int
    behaviour: Behaviour
    policy: node_settings.RolloutSettings = node_settings.RolloutSettings()
    faults: Faults = Faults()
    planned_s: float = 24.0
    limit_s: float = 60.0
    rate: float = 200.0
    routes: abc.Mapping[str, float] = dataclasses.field(
        default_factory=lambda: {"/kvoty": 0.8, "/kvoty/lake": 0.2}
    )
    endpoints: int = 4
    new_endpoints: bool = True
    slots: int = 40


@dataclasses.dataclass(kw_only=True)
class Result:
    """Results of one run; times in seconds after the release.

    Attributes:
        verdict_s: When the agreed state got the verdict.
        calls_after_bad: Calls of the new version from its first bad
            answer on.
        bad_answers: Bad answers of the new version.
        max_percent_before: Highest share of the new version before the
            first node decided to roll back, in percent.
        at_goal_s: When all nodes had the goal in force.
        decided_s: When the first node or the log rolled back.
        at_zero_s: When the last node stopped sending traffic to the new
            version.
        shares: Time and highest share of the new version in percent, at
            each step.
        held_by: Reasons for which the rollout was held.
        calls: Calls of the new version.
    """

    verdict: str = ""
    reason: str = ""
    verdict_s: float = 0.0
    calls_after_bad: int = 0
    bad_answers: int = 0
    max_percent_before: float = 0.0
    at_goal_s: float = 0.0
    decided_s: float = 0.0
    at_zero_s: float = 0.0
    shares: list[tuple[float, float]] = dataclasses.field(default_factory=list)
    held_by: set[str] = dataclasses.field(default_factory=set)
    calls: int = 0


class Model:
    """Two versions of a service, and a release that shifts traffic."""

    def __init__(self, setup: Setup) -> None:
        self.setup = setup
        self.result = Result()
        self.driver = driver.Driver(seed=setup.seed)
        self.rng = random.Random(setup.seed)
        self._node_by_name: dict[str, str] = {}
        self._first_call_s: dict[str, float] = {}
        self._new_version_load = 0.0
        self._started_s = 0.0
        self._start_nodes()

    def run(self) -> Result:
        """Publish the release and return the results."""
        self._release("first", {"v1": 100.0}, 0.0)
        self._advance(2.0)
        self._release("move", {"v2": 100.0}, self.setup.planned_s)
        self._started_s = self.driver.clock.now().mono_s
        while self._elapsed_s() < self.setup.limit_s:
            self._set_faults()
            self._advance(TICK_S)
            self._record_state()
            if self.result.verdict and self._settled():
                break
        return self.result

    def root(self) -> protocols.NodeCore:
        """Return a root whose agreed state is the newest."""
        return max(
            (
                core
                for name, core in self.driver.cores_by_name.items()
                if name not in self.driver.frozen
            ),
            key=lambda core: core.tables.agreed.offset,
        )

    def rollout(self) -> agreed.Rollout | None:
        """Return the rollout in the newest agreed state."""
        rollouts = self.root().tables.agreed.snapshot.rollouts_by_id
        return rollouts.get(f"move/{SERVICE}")

    def share(self, name: str) -> float:
        """Return the percentage of the new version in a node's view."""
        view = self.driver.views_by_name[name]
        row = view.snapshot.shares_by_service.get(SERVICE)
        if row is None or f"{SERVICE}/v2" in view.blocked:
            return 0.0
        total = sum(row.percent_by_version.values())
        return 100.0 * row.percent_by_version.get("v2", 0.0) / total

    def _start_nodes(self) -> None:
        for index in range(2 * self.setup.endpoints):
            version = ("v1", "v2")[index % 2]
            if version == "v2" and not self.setup.new_endpoints:
                version = "v1"
            name = f"{SERVICE}-{version}-{index}"
            centre = _DATA_CENTRES[index // 2 % 2]
            self.driver.add(_settings(name, centre, index, self.setup.policy))
            self._node_by_name[name] = version
        self._advance(4.0)
        for index, (name, version) in enumerate(self._node_by_name.items()):
            self.driver.put(
                name,
                protocols.Announced(
                    service=SERVICE,
                    version=version,
                    address=f"10.1.0.{index}:80",
                    slots=self.setup.slots,
                ),
            )
        self._advance(2.0)

    def _release(
        self, name: str, percents: dict[str, float], planned_s: float
    ) -> None:
        now = self.driver.clock.now()
        first = name == "first"
        note = _notes.ReleaseNote(
            name=name,
            add=_notes.Items(
                services=(_notes.ServiceItem(name=SERVICE),),
                routes=tuple(
                    _notes.RouteItem(prefix=prefix, service=SERVICE)
                    for prefix in self.setup.routes
                ),
            )
            if first
            else _notes.Items(),
            shares=(
                _notes.ShareItem(
                    service=SERVICE,
                    percent_by_version=percents,
                    by=_time(now.wall_s + planned_s),
                ),
            ),
        )
        offsets = self.root().tables.agreed.item_offsets_by_key
        key = f"shares/{SERVICE}"
        seen = {} if first else {key: offsets[key]}
        self.driver.append(
            records.ReleaseRecord(
                record_id=f"release/{name}",
                note=note,
                digest=name,
                published_s=now.wall_s,
                seen=seen,
            )
        )

    def _running_names(self) -> list[str]:
        return [
            name
            for name in self.driver.views_by_name
            if name not in self.driver.frozen
        ]

    def _elapsed_s(self) -> float:
        return self.driver.clock.now().mono_s - self._started_s

    def _set_faults(self) -> None:
        faults = self.setup.faults
        elapsed_s = self._elapsed_s()
        if faults.log_down_s:
            start_s, end_s = faults.log_down_s
            self.driver.is_log_down = start_s <= elapsed_s < end_s
        if faults.leader_paused_s:
            start_s, end_s = faults.leader_paused_s
            paused = start_s <= elapsed_s < end_s
            if paused and not self.driver.frozen:
                self.driver.frozen.add(self.root().tables.agreed.lease.holder)
            if not paused:
                self.driver.frozen.clear()

    def _advance(self, seconds: float) -> None:
        for _ in range(round(seconds / TICK_S)):
            self._call()
            self.driver.run(TICK_S)

    def _call(self) -> None:
        expected = self.setup.rate * TICK_S
        count = int(expected) + (self.rng.random() < expected % 1)
        counts_by_node_and_route: dict[
            tuple[str, str], outcomes.OutcomeCounts
        ] = {}
        names = self._running_names()
        new_version_calls = 0
        for _ in range(count if names else 0):
            view = self.driver.views_by_name[self.rng.choice(names)]
            route = self.rng.choices(
                list(self.setup.routes), list(self.setup.routes.values())
            )[0]
            version = routing.choose_version(view, SERVICE, self.rng)
            if version is None:
                continue
            member = self.rng.choice(
                [
                    row
                    for row in view.members_by_service[SERVICE]
                    if row.version == version
                ]
            )
            answer = self._answer(member.node, version, route)
            new_version_calls += version == "v2"
            row_key = (member.node, route)
            known = counts_by_node_and_route.get(
                row_key, outcomes.OutcomeCounts()
            )
            counts_by_node_and_route[row_key] = known.plus(_counts(answer))
        self._new_version_load += (
            new_version_calls / TICK_S - self._new_version_load
        ) * 0.3
        for (name, route), added in counts_by_node_and_route.items():
            key = outcomes.OutcomeKey(
                reporter=name,
                incarnation=0,
                service=SERVICE,
                version=self._node_by_name[name],
                route=route,
            )
            self.driver.put(name, protocols.Observed(key=key, added=added))

    def _answer(self, name: str, version: str, route: str) -> Answer:
        elapsed_s = self._elapsed_s() if self._started_s else -1.0
        first_s = self._first_call_s.setdefault(name, elapsed_s)
        rollout = self.rollout()
        situation = Situation(
            version=version,
            route=route,
            elapsed_s=elapsed_s,
            serving_s=elapsed_s - first_s,
            load=self._new_version_load,
            progress=rollout.progress if rollout else 0.0,
        )
        answer = self.setup.behaviour(situation, self.rng)
        if version == "v2":
            self._count_answer(answer)
        return answer

    def _count_answer(self, answer: Answer) -> None:
        self.result.calls += 1
        self.result.bad_answers += answer.bad
        if self.result.bad_answers:
            self.result.calls_after_bad += 1

    def _record_state(self) -> None:
        result = self.result
        elapsed_s = self._elapsed_s()
        rollout = self.rollout()
        percents = [self.share(name) for name in self._running_names()]
        result.shares.append((elapsed_s, max(percents)))
        if rollout is not None:
            result.held_by.add(rollout.held_by)
            state = rollout.state
            if state is not agreed.RolloutState.RUNNING and not result.verdict:
                result.verdict = state.value
                result.reason = rollout.reason
                result.verdict_s = elapsed_s
        rolled_back_locally = any(
            core.tables.rollbacks_by_version
            for core in self.driver.cores_by_name.values()
        )
        if not result.decided_s and (
            rolled_back_locally or result.verdict == "rolled-back"
        ):
            result.decided_s = elapsed_s
        if not result.decided_s:
            result.max_percent_before = max(
                result.max_percent_before, max(percents)
            )
        if result.decided_s and not result.at_zero_s and not max(percents):
            result.at_zero_s = elapsed_s
        if not result.at_goal_s and min(percents) >= 100.0:
            result.at_goal_s = elapsed_s

    def _settled(self) -> bool:
        if self.result.verdict == "done":
            return True
        return bool(self.result.at_zero_s)


def _settings(
    name: str,
    centre: str,
    index: int,
    policy: node_settings.RolloutSettings,
) -> node_settings.NodeSettings:
    base = f"10.0.0.{index}"
    return node_settings.NodeSettings(
        node=name,
        data_centre=centre,
        addresses=node_settings.AddressSettings(
            callers=f"{base}:1",
            inbound=f"{base}:2",
            relay=f"{base}:3",
            admin=f"{base}:4",
        ),
        log=node_settings.LogSettings(url="http://log"),
        relay=node_settings.RelaySettings(roots=2),
        rollout=policy,
    )


def _counts(answer: Answer) -> outcomes.OutcomeCounts:
    durations = list(outcomes.NO_DURATIONS)
    duration_ms = answer.duration_s * 1000.0
    bucket = sum(bound < duration_ms for bound in outcomes.BOUNDS_MS)
    durations[bucket] = 1
    return outcomes.OutcomeCounts(
        calls=1, failures=int(answer.failed), durations=tuple(durations)
    )


def _time(wall_s: float) -> datetime.datetime:
    return datetime.datetime.fromtimestamp(wall_s, datetime.UTC)
