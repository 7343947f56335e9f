"""Measures the CPU time that running rollouts take at a leading root.

Every endpoint reports rows of realistic size at the report interval, and
the root runs its outcome and rollout systems at each tick.
"""

import pathlib
import random
import sys
import time

sys.path[:0] = [str(pathlib.Path(__file__).resolve().parent)]

import report as reports  # noqa: E402

from arbutusstall import protocols  # noqa: E402
from arbutusstall import settings as node_settings  # noqa: E402
from arbutusstall._systems import outcomes as outcomes_system  # noqa: E402
from arbutusstall._systems import rollout as rollout_system  # noqa: E402
from arbutusstall._tables import agreed  # noqa: E402
from arbutusstall._tables import outcomes  # noqa: E402
from arbutusstall._wire import messages  # noqa: E402

_COMMAND = "PYTHONPATH=src:tests python benchmarks/move_slopes.py"
_ROLLOUTS = (10, 50, 300)
_ENDPOINTS = 27
_ROUTES = 2
_SECONDS = 10
_SHORT_SECONDS = 3
_TICK_S = 0.1
_CALLS_PER_REPORT = 120
_MAX_NODE_BYTES_PER_S = 12_000.0
_MAX_NODE_CPU_PERCENT = 2.5


def report(short: bool) -> reports.Report:
    """Measure each number of rollouts in turn."""
    seconds = _SHORT_SECONDS if short else _SECONDS
    rows, bounds = [], []
    row_bytes = 0.0
    for count in _ROLLOUTS:
        figures = _RootWithRollouts(count).run(seconds)
        row_bytes = figures[3]
        rows.append((str(count), *(f"{value:.4g}" for value in figures)))
        bounds.append(
            reports.at_most(
                f"root with {count} rollouts, % of a core",
                figures[-1],
                _MAX_NODE_CPU_PERCENT,
            )
        )
    policy = node_settings.RolloutSettings()
    endpoint_bytes_s = row_bytes * _ROUTES / policy.report_s
    return reports.Report(
        title="Cost of running rollouts at a root",
        command=_COMMAND,
        header=(
            "rollouts",
            "decisions: core, %",
            "per rollout and tick, us",
            "per row received, us",
            "bytes per row",
            "rows received per s",
            "all: core, %",
        ),
        rows=tuple(rows),
        bounds=(
            *bounds,
            reports.at_most(
                "report bytes/s of an endpoint while its service moves",
                endpoint_bytes_s,
                _MAX_NODE_BYTES_PER_S,
            ),
        ),
        remarks=(
            f"{_ENDPOINTS} endpoints and {_ROUTES} routes a service, a "
            f"report every {policy.report_s} s up to 20 rollouts and less "
            f"often beyond, a tick every {_TICK_S} s, "
            f"{seconds} s of the root's time; CPU time of one process.",
        ),
    )


class _RootWithRollouts:
    def __init__(self, count: int) -> None:
        self._rng = random.Random(count)
        self._core = _core()
        self._clock = protocols.ManualClock()
        self._rollouts = [_rollout(index) for index in range(count)]
        self._calls = 0
        snapshot = _snapshot(self._rollouts)
        tables = self._core.tables
        tables.agreed = agreed.Agreed(snapshot=snapshot)
        tables.snapshot = snapshot
        tables.is_root = True

    def run(self, seconds: int) -> tuple[float, ...]:
        """Run for ``seconds`` of simulated time; return one row's figures."""
        decided_s = received_s = 0.0
        received = size = 0
        next_report_s = 0.0
        ticks = round(seconds / _TICK_S)
        for _ in range(ticks):
            now = self._clock.now()
            if now.mono_s >= next_report_s:
                next_report_s = now.mono_s + outcomes_system.interval_s(
                    self._core.tables
                )
                encoded = [messages.encode(row) for row in self._reports()]
                size += sum(map(len, encoded))
                started_s = time.process_time()
                for data in encoded:
                    message = messages.decode(data)
                    assert isinstance(message, messages.OutcomeReport)
                    outcomes_system.on_report(
                        self._core.tables, "peer", message, now
                    )
                    received += len(message.rows)
                received_s += time.process_time() - started_s
            started_s = time.process_time()
            outcomes_system.run(self._core.tables, now)
            rollout_system.run(self._core.tables, now)
            decided_s += time.process_time() - started_s
            self._clock.advance(_TICK_S)
        return (
            100.0 * decided_s / seconds,
            1e6 * decided_s / ticks / len(self._rollouts),
            1e6 * received_s / received,
            size / received,
            received / seconds,
            100.0 * (decided_s + received_s) / seconds,
        )

    def _reports(self) -> list[messages.OutcomeReport]:
        self._calls += _CALLS_PER_REPORT
        return [
            messages.OutcomeReport(
                rows=tuple(
                    self._row(rollout, endpoint, route)
                    for route in range(_ROUTES)
                )
            )
            for rollout in self._rollouts
            for endpoint in range(_ENDPOINTS)
        ]

    def _row(
        self, rollout: agreed.Rollout, endpoint: int, route: int
    ) -> messages.OutcomeRow:
        durations = list(outcomes.NO_DURATIONS)
        for bucket, part in ((3, 0.3), (4, 0.4), (5, 0.2), (7, 0.1)):
            durations[bucket] = int(self._calls * part)
        return messages.OutcomeRow(
            key=outcomes.OutcomeKey(
                reporter=f"{rollout.service}-node-{endpoint}",
                incarnation=1_800_000_000_000,
                service=rollout.service,
                version="v2" if endpoint % 4 == 0 else "v1",
                route=f"/{rollout.service}/{route}",
                rollout=rollout.offset,
            ),
            counts=outcomes.OutcomeCounts(
                calls=self._calls, failures=0, durations=tuple(durations)
            ),
        )


def _core() -> protocols.NodeCore:
    settings = node_settings.NodeSettings(
        node="root",
        data_centre="lipno",
        addresses=node_settings.AddressSettings(
            callers="127.0.0.1:1",
            inbound="127.0.0.1:2",
            relay="127.0.0.1:3",
            admin="127.0.0.1:4",
        ),
        log=node_settings.LogSettings(url="http://127.0.0.1:5"),
    )
    return protocols.NodeCore(settings, random.Random(1), 1)


def _rollout(index: int) -> agreed.Rollout:
    return agreed.Rollout(
        rollout_id=f"move/service-{index}",
        release="move",
        service=f"service-{index}",
        start={"v1": 100.0},
        goal={"v2": 100.0},
        started_s=1_800_000_000.0,
        by_s=1_800_000_600.0,
        progress=0.05,
        offset=index + 1,
    )


def _snapshot(rollouts: list[agreed.Rollout]) -> agreed.Snapshot:
    return agreed.Snapshot(
        version=1,
        services_by_name={
            rollout.service: agreed.Service(name=rollout.service)
            for rollout in rollouts
        },
        routes_by_prefix={
            f"/{rollout.service}/{route}": agreed.Route(
                prefix=f"/{rollout.service}/{route}", service=rollout.service
            )
            for rollout in rollouts
            for route in range(_ROUTES)
        },
        rollouts_by_id={rollout.rollout_id: rollout for rollout in rollouts},
    )


if __name__ == "__main__":
    sys.exit(reports.run_main(report))
