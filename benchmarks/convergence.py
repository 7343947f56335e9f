"""Convergence time, control bytes and log load in the simulated driver.

Usage: ``python benchmarks/convergence.py [--short]`` with ``src`` and
``tests`` on the path. Only the decision logic is measured: each message
takes 2 ms of simulated time and processing takes none.
"""

import collections
from concurrent import futures
import dataclasses
import os
import sys

import driver
import fleet
import report as report_form

from arbutusstall import settings as node_settings

_CENTRES = ("lipno", "rozmberk", "svet", "susarna", "jih")
_COMMAND = "python benchmarks/convergence.py"
_MAX_CONVERGENCE_S = 4.0
_MAX_BYTES_S = 12_000.0
_MAX_APPENDS_S = 200.0
_CHANGES = 10
# 16,000 changes a day, evenly spread.
_CHANGE_INTERVAL_S = 5.4
_DOWNTIME_S = 30.0
_FAN_OUT = 16


@dataclasses.dataclass(frozen=True, kw_only=True)
class Case:
    """One fleet to measure.

    Attributes:
        nodes: Number of nodes.
        fan_out: Maximum number of children of a node.
        seed: Seed of the driver.
        roots: Roots per data centre; with 0, every node reads the log.
        returning: Whether a data centre is killed and comes back.
    """

    nodes: int
    fan_out: int
    seed: int
    roots: int = 3
    returning: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True)
class Figures:
    """Measured values of one case.

    Attributes:
        times_s: Seconds until each node had each change.
        bytes_s: Bytes sent per second by each node.
        reads_s: Log reads per second of the whole fleet.
        appends_s: Log appends per second of the whole fleet.
        peak_appends: Most appends in one second; if a data centre returns,
            counted from its restart on.
        reattach_s: Time until the nodes of a restarted data centre were
            attached again; 0 if none was restarted.
        depth: Levels below the roots.
    """

    times_s: tuple[float, ...]
    bytes_s: tuple[float, ...]
    reads_s: float
    appends_s: float
    peak_appends: int
    reattach_s: float
    depth: int


def measure(case: Case) -> Figures:
    """Publish changes to one fleet and, if asked, restart a data centre."""
    policy = node_settings.RelaySettings(
        fan_out=case.fan_out, roots=case.roots
    )
    nodes = fleet.build(case.nodes, _CENTRES, seed=case.seed, relay=policy)
    fleet.share_members(nodes)
    if case.roots:
        roots = case.roots * len(_CENTRES)
        fleet.wait_until(
            nodes, lambda: fleet.is_settled(nodes, roots), 60.0, 1.0
        )
    fleet.wait_converged(nodes, fleet.publish(nodes, services=30), 10.0)
    nodes.run(10.0)
    started_s = nodes.now_s
    sent = {n: t.sent_bytes for n, t in nodes.traffic_by_name.items()}
    reads, appends = nodes.reads, nodes.appends
    times_s: list[float] = []
    for _ in range(_CHANGES):
        times_s += _convergence_times_s(nodes, case)
    elapsed_s = nodes.now_s - started_s
    labels = [c.tables.relay.label for c in nodes.cores_by_name.values()]
    figures = Figures(
        times_s=tuple(times_s),
        bytes_s=tuple(
            (t.sent_bytes - sent[n]) / elapsed_s
            for n, t in nodes.traffic_by_name.items()
        ),
        reads_s=(nodes.reads - reads) / elapsed_s,
        appends_s=(nodes.appends - appends) / elapsed_s,
        peak_appends=_peak_appends(nodes, 0.0),
        reattach_s=0.0,
        depth=max(labels),
    )
    if not case.returning:
        return figures
    reattach_s, peak_appends = _restart_centre(nodes, case)
    return dataclasses.replace(
        figures, reattach_s=reattach_s, peak_appends=peak_appends
    )


def _convergence_times_s(nodes: driver.Driver, case: Case) -> list[float]:
    nodes.emitted.clear()
    published_s = nodes.now_s
    version = fleet.publish(nodes)
    nodes.run(_CHANGE_INTERVAL_S)
    seen: dict[str, float] = {}
    for at_s, name, emit in nodes.emitted:
        if emit.event != "config-in-force":
            continue
        if int(emit.fields["version"]) >= version:
            seen.setdefault(name, at_s - published_s)
    missing = case.nodes - len(seen)
    return [*seen.values(), *[float("inf")] * missing]


def _restart_centre(nodes: driver.Driver, case: Case) -> tuple[float, int]:
    killed = [
        core.tables.settings
        for core in nodes.cores_by_name.values()
        if core.tables.member.data_centre == _CENTRES[0]
    ]
    for settings in killed:
        nodes.kill(settings.node)
    nodes.run(_DOWNTIME_S)
    started_s = nodes.now_s
    for index in range(len(killed)):
        new = fleet.settings(
            case.nodes + index, _CENTRES[0], killed[index].relay
        )
        nodes.add(new)
    roots = case.roots * len(_CENTRES)
    reattach_s = fleet.wait_until(
        nodes, lambda: fleet.is_settled(nodes, roots), 120.0, 0.5
    )
    return reattach_s, _peak_appends(nodes, started_s)


def _peak_appends(nodes: driver.Driver, since_s: float) -> int:
    counts = collections.Counter(
        int(at_s) for at_s in nodes.append_times if at_s >= since_s
    )
    return max(counts.values(), default=0)


def cases(short: bool) -> list[Case]:
    """Return the cases to measure."""
    seeds = 2 if short else 20
    found = [
        Case(nodes=nodes, fan_out=_FAN_OUT, seed=seed)
        for nodes in ((100, 300) if short else (100, 300, 1_000))
        for seed in range(seeds)
    ]
    found += [
        Case(nodes=300, fan_out=fan_out, seed=seed)
        for fan_out in (4, 8, 32)
        for seed in range(seeds)
    ]
    found += [
        Case(nodes=nodes, fan_out=_FAN_OUT, seed=seed, roots=0)
        for nodes in (100, 300)
        for seed in range(seeds)
    ]
    found += [
        Case(nodes=300, fan_out=_FAN_OUT, seed=seed, returning=True)
        for seed in range(100, 100 + seeds)
    ]
    if not short:
        found += [
            Case(nodes=1_000, fan_out=fan_out, seed=seed)
            for fan_out in (4, 8, 32)
            for seed in range(5)
        ]
        found.append(
            Case(nodes=8_000, fan_out=_FAN_OUT, seed=1, returning=True)
        )
    return found


def report(short: bool) -> report_form.Report:
    """Measure all cases and return their table."""
    to_run = cases(short)
    # The largest first, since they take the longest.
    to_run.sort(key=lambda case: -case.nodes)
    workers = 2 if short else max(1, (os.cpu_count() or 2) // 2)
    groups: dict[tuple[int, int, int, bool], list[Figures]] = {}
    with futures.ProcessPoolExecutor(max_workers=workers) as pool:
        for case, figures in zip(
            to_run, pool.map(measure, to_run), strict=True
        ):
            key = (case.nodes, case.roots, case.fan_out, case.returning)
            groups.setdefault(key, []).append(figures)
    rows = tuple(_row(key, groups[key]) for key in sorted(groups))
    tree = [
        figures for key, group in groups.items() if key[1] for figures in group
    ]
    return report_form.Report(
        title="Convergence in the driver",
        command=_COMMAND + (" --short" if short else ""),
        header=(
            "nodes",
            "way",
            "seeds",
            "median s",
            "p99 s",
            "max s",
            "mean B/s a node",
            "max B/s a node",
            "log appends/s",
            "log reads/s",
            "most appends in 1 s",
            "levels",
            "herd back s",
        ),
        rows=rows,
        bounds=(
            report_form.at_most(
                "tree: last node in force, s",
                max(max(item.times_s) for item in tree),
                _MAX_CONVERGENCE_S,
            ),
            report_form.at_most(
                "tree: control of any node, B/s",
                max(max(item.bytes_s) for item in tree),
                _MAX_BYTES_S,
            ),
            report_form.at_most(
                "tree: most log appends in a second",
                max(item.peak_appends for item in tree),
                _MAX_APPENDS_S,
            ),
        ),
        remarks=(
            "Bytes count 120 for the frames of each message. A message"
            " takes 2 ms, processing none.",
        ),
    )


def _row(
    key: tuple[int, int, int, bool], group: list[Figures]
) -> tuple[str, ...]:
    nodes, roots, fan_out, returning = key
    times = [value for item in group for value in item.times_s]
    rates = [value for item in group for value in item.bytes_s]
    way = f"tree of {fan_out}" if roots else "every node reads the log"
    return (
        f"{nodes:,}",
        way + (", herd" if returning else ""),
        str(len(group)),
        f"{report_form.quantile(times, 0.5):.3f}",
        f"{report_form.quantile(times, 0.99):.3f}",
        f"{max(times):.3f}",
        f"{sum(rates) / len(rates):.0f}",
        f"{max(rates):.0f}",
        f"{sum(item.appends_s for item in group) / len(group):.1f}",
        f"{sum(item.reads_s for item in group) / len(group):.1f}",
        str(max(item.peak_appends for item in group)),
        str(max(item.depth for item in group)),
        f"{max(item.reattach_s for item in group):.1f}" if returning else "-",
    )


if __name__ == "__main__":
    sys.exit(report_form.run_main(report))
