"""Measures rollouts: good versions in time, bad ones rolled back.

Real node cores run over the model of ``tests/rollout_model.py``. Two
baselines run with the same seeds: a ramp that follows the clock only, and
a ramp that stops when the new version's error share passes a threshold.
"""

from collections import abc
from concurrent import futures
import contextlib
import dataclasses
import os
import pathlib
import sys
from unittest import mock

_ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path[:0] = [str(_ROOT / "tests"), str(_ROOT / "benchmarks")]

import report as reports  # noqa: E402
import rollout_kinds  # noqa: E402
import rollout_model  # noqa: E402

from arbutusstall import protocols  # noqa: E402
from arbutusstall import settings as node_settings  # noqa: E402
from arbutusstall._log import records  # noqa: E402
from arbutusstall._systems import observation  # noqa: E402
from arbutusstall._systems import rollout  # noqa: E402
from arbutusstall._tables import agreed  # noqa: E402
from arbutusstall._tables import comparisons  # noqa: E402
from arbutusstall._tables import node  # noqa: E402

_COMMAND = "PYTHONPATH=src:tests python benchmarks/moves.py"
_SEEDS = 20
_SHORT_SEEDS = 2
_PLANNED_S = rollout_model.Setup.planned_s
_MAX_ZERO_DELAY_S = 2.0
_WORKERS = 8

_THRESHOLD_MIN_CALLS = 20
_MAX_ERROR_SHARE = 0.2

POLICIES = {
    "default": node_settings.RolloutSettings(),
    "co-op": rollout_kinds.SPEED,
    "association": rollout_kinds.SAFETY,
}
WAYS = (*POLICIES, "timed ramp", "error threshold")
FAULTS = {
    "none": rollout_model.Faults(),
    "log out 8-18 s": rollout_model.Faults(log_down_s=(8.0, 18.0)),
    "leader paused 8-18 s": rollout_model.Faults(leader_paused_s=(8.0, 18.0)),
}


@dataclasses.dataclass(frozen=True, kw_only=True)
class Case:
    """One run of the model.

    Attributes:
        way: Policy or baseline that decides, from `WAYS`.
        kind: Behaviour of the new version.
        faults: Key in `FAULTS`.
        seed: Seed of the model.
    """

    way: str
    kind: str
    faults: str
    seed: int


def report(short: bool) -> reports.Report:
    """Run all cases; the short form has fewer seeds and no faults."""
    seeds = _SHORT_SEEDS if short else _SEEDS
    cases = [
        Case(way=way, kind=kind, faults=faults, seed=seed)
        for faults in (list(FAULTS)[:1] if short else FAULTS)
        for kind in (*rollout_kinds.BAD, *rollout_kinds.GOOD)
        for way in WAYS
        for seed in range(seeds)
    ]
    workers = min(_WORKERS, os.cpu_count() or 1)
    with futures.ProcessPoolExecutor(max_workers=workers) as pool:
        results = list(pool.map(run_case, cases, chunksize=4))
    groups: dict[tuple[str, str, str], list[rollout_model.Result]] = {}
    for case, result in zip(cases, results, strict=True):
        key = (case.faults, case.kind, case.way)
        groups.setdefault(key, []).append(result)
    return reports.Report(
        title="Moves of traffic between versions",
        command=_COMMAND,
        header=(
            "fault",
            "version",
            "way",
            "done",
            "in time",
            "taken back",
            "calls after its first bad answer",
            "highest share before the decision, %",
            "decision to zero, s",
        ),
        rows=tuple(_row(key, rows) for key, rows in groups.items()),
        bounds=_bounds(groups),
        remarks=(
            f"{seeds} seeds each; 8 nodes, 2 routes (80 and 20 percent of "
            f"200 calls/s), {_PLANNED_S:.0f} s to the goal; median (least-"
            "most). A leader that is paused takes no calls.",
        ),
    )


def run_case(case: Case) -> rollout_model.Result:
    """Run one case and clear the shares, which the report ignores."""
    kinds = {**rollout_kinds.BAD, **rollout_kinds.GOOD}
    setup = rollout_model.Setup(
        seed=case.seed,
        behaviour=kinds[case.kind],
        policy=POLICIES.get(case.way, POLICIES["default"]),
        faults=FAULTS[case.faults],
    )
    with _decisions_of(case.way):
        result = rollout_model.Model(setup).run()
    result.shares.clear()
    return result


@contextlib.contextmanager
def _decisions_of(way: str) -> abc.Iterator[None]:
    """Replace the rollout decisions by a baseline's, if one is named."""
    if way in POLICIES:
        yield
        return
    use_threshold = way == "error threshold"

    def decide(
        tables: node.Tables,
        running: agreed.Rollout,
        watch: comparisons.Watch,
        now: protocols.Instant,
    ) -> list[records.Record]:
        return _baseline(tables, running, watch, now, use_threshold)

    with (
        mock.patch.object(rollout, "_decide", decide),
        mock.patch.object(observation, "_update_detector", lambda *_: False),
    ):
        yield


def _baseline(
    tables: node.Tables,
    running: agreed.Rollout,
    watch: comparisons.Watch,
    now: protocols.Instant,
    use_threshold: bool,
) -> list[records.Record]:
    if use_threshold and _over_threshold(watch):
        return [rollout._verdict(tables, running, False, "v2 errors")]
    planned_s = running.by_s - running.started_s
    progress = min(1.0, (now.wall_s - running.started_s) / planned_s)
    if running.progress >= 1.0:
        return [rollout._verdict(tables, running, True, "time passed")]
    if now.mono_s - watch.entered_s < tables.settings.rollout.step_s:
        return []
    return [rollout._share_decision(tables, running, max(progress, 0.05), "")]


def _over_threshold(watch: comparisons.Watch) -> bool:
    return any(
        counts.calls >= _THRESHOLD_MIN_CALLS
        and counts.failures > counts.calls * _MAX_ERROR_SHARE
        for (version, _), counts in watch.totals_by_cell.items()
        if version == "v2"
    )


def _row(
    key: tuple[str, str, str], rows: list[rollout_model.Result]
) -> tuple[str, ...]:
    faults, kind, way = key
    done = sum(row.verdict == "done" for row in rows)
    rolled_back = sum(row.verdict == "rolled-back" for row in rows)
    in_time = sum(0 < row.at_goal_s <= _PLANNED_S + 1.0 for row in rows)
    zero_delays_s = [
        row.at_zero_s - row.decided_s for row in rows if row.at_zero_s
    ]
    bad = kind in rollout_kinds.BAD
    return (
        faults,
        kind,
        way,
        f"{done}/{len(rows)}",
        "-" if bad else f"{in_time}/{len(rows)}",
        f"{rolled_back}/{len(rows)}",
        reports.spread([row.calls_after_bad for row in rows], 0)
        if bad
        else "-",
        reports.spread([row.max_percent_before for row in rows], 0)
        if bad
        else "-",
        f"{max(zero_delays_s):.1f}" if zero_delays_s else "-",
    )


def _bounds(
    groups: abc.Mapping[tuple[str, str, str], list[rollout_model.Result]],
) -> tuple[reports.Bound, ...]:
    bounds = []
    for way, policy in POLICIES.items():
        own_groups = {
            key: rows for key, rows in groups.items() if key[2] == way
        }
        bad = [
            row
            for key, rows in own_groups.items()
            for row in rows
            if key[1] in rollout_kinds.BAD
        ]
        good = [
            row
            for key, rows in own_groups.items()
            for row in rows
            if key[1] in rollout_kinds.GOOD
        ]
        max_percents_at_once = [
            row.max_percent_before
            for key, rows in own_groups.items()
            for row in rows
            if key[1] == "fails at once"
        ]
        bounds += [
            reports.at_most(
                f"{way}: bad versions not taken back",
                sum(row.verdict != "rolled-back" for row in bad),
                0,
            ),
            reports.at_most(
                f"{way}: good versions not done, of {len(good)}",
                sum(row.verdict != "done" for row in good),
                policy.false_rollbacks * len(good),
            ),
            reports.at_most(
                f"{way}: highest share of a version that fails at once, %",
                max(max_percents_at_once),
                policy.first_percent + 0.01,
            ),
            reports.at_most(
                f"{way}: decision to zero at every node, s",
                max(
                    row.at_zero_s - row.decided_s if row.at_zero_s else 99.0
                    for row in bad
                ),
                _MAX_ZERO_DELAY_S,
            ),
        ]
    return tuple(bounds)


if __name__ == "__main__":
    sys.exit(reports.run_main(report))
