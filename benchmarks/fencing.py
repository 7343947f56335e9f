"""Compares fencing inside the fold with a lease check before the append.

Usage: python benchmarks/fencing.py [--short]. Three candidates with the
real lease system share one log in simulated time. Each is paused at
random times, also between the steps of one decision, and some appends
take seconds. A decision of a replaced holder that changes the agreed
state is an error.
"""

from collections import abc
import dataclasses
import functools
import heapq
import itertools
import pathlib
import random
import sys

sys.path.insert(0, str(pathlib.Path(__file__).parent.parent / "tests"))

import log_samples  # noqa: E402
import report as reports  # noqa: E402

from arbutusstall import protocols  # noqa: E402
from arbutusstall._log import records  # noqa: E402
from arbutusstall._systems import agreement  # noqa: E402
from arbutusstall._systems import lease  # noqa: E402

SEEDS = range(1, 31)
SHORT_SEEDS = range(1, 21)
_DURATION_S = 120.0
_CANDIDATES = 3
_TICK_S = 0.05
_ONE_WAY_DELAY_S = (0.001, 0.006)
_SLOW_APPEND_SHARE = 0.01
_SLOW_APPEND_S = (1.0, 8.0)
_PAUSE_INTERVAL_S = 8.0
_PAUSE_S = (0.5, 8.0)
_ROLLOUT_ID = "to-v2/kvoty"


@dataclasses.dataclass(kw_only=True)
class Counts:
    """Counts of one trial.

    Attributes:
        decided: Decisions that candidates started.
        effective: Decisions that changed the agreed state.
        stale: Decisions of replaced holders that took effect.
        refused: Decisions that the fold refused.
        appends: Records stored in the log.
        reads: Lease checks before an append.
        takeovers: Changes of the lease.
        latencies_s: Times from a decision to its append to the log.
    """

    decided: int = 0
    effective: int = 0
    stale: int = 0
    refused: int = 0
    appends: int = 0
    reads: int = 0
    takeovers: int = 0
    latencies_s: list[float] = dataclasses.field(default_factory=list)


class Candidate:
    """One process that may hold the lease.

    Attributes:
        name: Node name.
        tables: Tables of its node core.
        paused_until_s: Time at which its current pause ends.
        decision_pending: Whether its last decision is not stored yet.
    """

    def __init__(self, name: str, rng: random.Random) -> None:
        settings = log_samples.settings(name)
        core = protocols.NodeCore(settings, rng, incarnation=1)
        self.name = name
        self.tables = core.tables
        self.tables.is_root = True
        self.paused_until_s = 0.0
        self.decision_pending = False


class Trial:
    """Candidates, a log and simulated time.

    With ``check_before``, candidates check the lease before each append and
    the fold does not check it. Without ``compare_step``, the fold does not
    compare the step of a decision with the last step.
    """

    def __init__(
        self, seed: int, *, check_before: bool, compare_step: bool
    ) -> None:
        self.counts = Counts()
        self._check_before = check_before
        self._compare_step = compare_step
        self._rng = random.Random(seed)
        self._clock = protocols.ManualClock()
        self._queue: list[tuple[float, int, abc.Callable[[], None]]] = []
        self._order = itertools.count()
        self._log = log_samples.FoldedLog()
        self._log.release("base", log_samples.BASE)
        self._log.release("first", log_samples.shares(v1=100.0))
        self._log.release("to-v2", log_samples.shares(v2=100.0))
        self._candidates = [
            Candidate(f"kvoty-{index}", self._rng)
            for index in range(_CANDIDATES)
        ]

    def run(self) -> Counts:
        """Run the trial to its end and return its counts."""
        end_s = self._now_s() + _DURATION_S
        for candidate in self._candidates:
            self._deliver(candidate)
            self._after(0.0, functools.partial(self._tick, candidate))
            self._schedule_pause(candidate)
        while self._queue and self._queue[0][0] <= end_s:
            due_s, _, action = heapq.heappop(self._queue)
            self._clock.advance(max(0.0, due_s - self._now_s()))
            action()
        return self.counts

    def _now_s(self) -> float:
        return self._clock.now().mono_s

    def _after(self, seconds: float, action: abc.Callable[[], None]) -> None:
        due_s = self._now_s() + seconds
        heapq.heappush(self._queue, (due_s, next(self._order), action))

    def _after_one_way_delay(self, action: abc.Callable[[], None]) -> None:
        self._after(self._rng.uniform(*_ONE_WAY_DELAY_S), action)

    def _when_awake(
        self, candidate: Candidate, action: abc.Callable[[], None]
    ) -> None:
        left_s = candidate.paused_until_s - self._now_s()
        if left_s > 0:
            self._after(left_s, action)
        else:
            action()

    def _schedule_pause(self, candidate: Candidate) -> None:
        def pause() -> None:
            candidate.paused_until_s = self._now_s() + self._rng.uniform(
                *_PAUSE_S
            )
            self._schedule_pause(candidate)

        self._after(self._rng.expovariate(1.0 / _PAUSE_INTERVAL_S), pause)

    def _tick(self, candidate: Candidate) -> None:
        self._after(_TICK_S, functools.partial(self._tick, candidate))
        if candidate.paused_until_s > self._now_s():
            return
        now = self._clock.now()
        for effect in lease.run(candidate.tables, now):
            assert isinstance(effect, protocols.Append)
            self._send(
                candidate, functools.partial(self._store, effect.record)
            )
        if (
            lease.is_leader(candidate.tables, now)
            and not candidate.decision_pending
        ):
            candidate.decision_pending = True
            self.counts.decided += 1
            self._decide(candidate)

    def _decide(self, candidate: Candidate) -> None:
        state = candidate.tables.agreed
        started_s = self._now_s()
        rollout = state.snapshot.rollouts_by_id[_ROLLOUT_ID]
        record = records.ShareDecision(
            record_id=f"{candidate.name}/{started_s}",
            lease=state.lease.offset,
            rollout_id=_ROLLOUT_ID,
            step=rollout.step + 1,
            percent_by_version={"v1": 95.0, "v2": 5.0},
        )
        send = functools.partial(
            self._send,
            candidate,
            functools.partial(self._store_decision, candidate, record),
            started_s,
        )
        if self._check_before:
            self._check(candidate, send)
        else:
            send()

    def _check(
        self, candidate: Candidate, send: abc.Callable[[], None]
    ) -> None:
        """Read the lease from the log, and append if it is still held."""

        def answer() -> None:
            self.counts.reads += 1
            holder = self._log.state.lease.holder

            def continue_decision() -> None:
                if holder == candidate.name:
                    send()
                else:
                    candidate.decision_pending = False

            self._after_one_way_delay(
                lambda: self._when_awake(candidate, continue_decision)
            )

        self._after_one_way_delay(answer)

    def _send(
        self,
        candidate: Candidate,
        store: abc.Callable[[], None],
        started_s: float | None = None,
    ) -> None:
        slow = self._rng.random() < _SLOW_APPEND_SHARE
        delay_s = self._rng.uniform(
            *(_SLOW_APPEND_S if slow else _ONE_WAY_DELAY_S)
        )

        def arrive() -> None:
            self.counts.appends += 1
            store()
            if started_s is not None:
                self.counts.latencies_s.append(self._now_s() - started_s)
                candidate.decision_pending = False
            for reader in self._candidates:
                self._after_one_way_delay(
                    functools.partial(self._deliver, reader)
                )

        self._after(delay_s, arrive)

    def _store(self, record: records.Record) -> None:
        before = self._log.state.lease.offset
        self._log.put(record)
        self.counts.takeovers += self._log.state.lease.offset != before

    def _store_decision(
        self, candidate: Candidate, record: records.ShareDecision
    ) -> None:
        state = self._log.state
        if self._check_before:
            # Simulates a fold without fencing: the lease always matches.
            record = dataclasses.replace(record, lease=state.lease.offset)
        if not self._compare_step:
            step = state.snapshot.rollouts_by_id[_ROLLOUT_ID].step + 1
            record = dataclasses.replace(record, step=step)
        before = self._log.state
        self._log.put(record)
        if self._log.state.snapshot is before.snapshot:
            self.counts.refused += 1
            return
        self.counts.effective += 1
        self.counts.stale += before.lease.holder != candidate.name

    def _deliver(self, candidate: Candidate) -> None:
        def read() -> None:
            start = candidate.tables.agreed.offset
            answer = self._log.read(start)
            agreement.on_read(candidate.tables, answer, self._clock.now())

        self._when_awake(candidate, read)


def report(short: bool) -> reports.Report:
    """Run all variants over all seeds and return their table."""
    seeds = SHORT_SEEDS if short else SEEDS
    rows = []
    stale = 0
    for compare_step in (True, False):
        for check_before in (False, True):
            trials = [
                Trial(
                    seed, check_before=check_before, compare_step=compare_step
                ).run()
                for seed in seeds
            ]
            name = "check before" if check_before else "fold"
            variant = "steps" if compare_step else "no step to compare"
            rows.append(_row(f"{name}, {variant}", trials))
            if not check_before:
                stale += sum(trial.stale for trial in trials)
    return reports.Report(
        title="Fencing in the fold against a check before the append",
        command="python benchmarks/fencing.py" + " --short" * short,
        header=(
            "way",
            "takeovers",
            "decisions in effect",
            "of replaced holders",
            "trials with one",
            "refused",
            "reads per decision",
            "appends per decision",
            "latency p50 ms",
            "latency p99 ms",
        ),
        rows=tuple(rows),
        bounds=(
            reports.at_most("decisions of replaced holders, fold", stale, 0),
        ),
        remarks=(
            "Records with a step also name the step that they follow, which "
            "by itself refuses most that come late; a verdict has none.",
            f"Seeds {seeds.start} to {seeds.stop - 1}, {_DURATION_S:.0f} s of "
            f"simulated time each, {_CANDIDATES} candidates, a pause of "
            f"{_PAUSE_S[0]} to {_PAUSE_S[1]} s about every "
            f"{_PAUSE_INTERVAL_S:.0f} s, {_SLOW_APPEND_SHARE:.0%} of the "
            f"appends take {_SLOW_APPEND_S[0]} to {_SLOW_APPEND_S[1]} s, one "
            f"way {_ONE_WAY_DELAY_S[0] * 1000:.0f} to "
            f"{_ONE_WAY_DELAY_S[1] * 1000:.0f} ms.",
        ),
    )


def _row(name: str, trials: list[Counts]) -> tuple[str, ...]:
    decided = sum(trial.decided for trial in trials)
    latencies_ms = [
        value * 1000.0 for trial in trials for value in trial.latencies_s
    ]
    return (
        name,
        str(sum(trial.takeovers for trial in trials)),
        str(sum(trial.effective for trial in trials)),
        str(sum(trial.stale for trial in trials)),
        f"{sum(trial.stale > 0 for trial in trials)} of {len(trials)}",
        str(sum(trial.refused for trial in trials)),
        f"{sum(trial.reads for trial in trials) / decided:.2f}",
        f"{sum(trial.appends for trial in trials) / decided:.2f}",
        f"{reports.quantile(latencies_ms, 0.5):.2f}",
        f"{reports.quantile(latencies_ms, 0.99):.2f}",
    )


if __name__ == "__main__":
    sys.exit(reports.run_main(report))
