"""Added latency, goodput under load and retry amplification of calls.

Usage: python benchmarks/calls.py [--short].
"""

import pathlib
import sys
import tempfile

import psutil

sys.path.insert(0, str(pathlib.Path(__file__).parent.parent / "tests"))

import call_bench  # noqa: E402
import report as reports  # noqa: E402

_TARGET_ADDED_MS = 0.74
_CALLERS = (1, 16, 64)
_LOADS = (0.5, 1.0, 1.5, 2.0, 4.0)
_DELAY_S = 0.05
_SLOTS = 10
_UNLIMITED = {
    "calls": {"queue": 1_000, "queue_ms": 60_000, "connections": 500}
}


def report(short: bool) -> reports.Report:
    """Measure the call path.

    Args:
        short: Whether to leave out the longer parts.
    """
    rows, bounds = _latency(1.0 if short else 5.0)
    if not short:
        more, goodput = _overload()
        rows, bounds = rows + more, bounds + goodput
    return reports.Report(
        title="Calls",
        command="python benchmarks/calls.py" + (" --short" if short else ""),
        header=("case", "callers", "p50 ms", "p99 ms", "p99.9 ms", "calls/s"),
        rows=tuple(rows),
        bounds=tuple(bounds),
        remarks=(
            "Added latency is the difference of the percentiles to direct"
            " calls in the same run. Goodput rows give the load as a"
            " multiple of the capacity, and outcomes by kind.",
        ),
    )


def _latency(seconds: float):
    rows, bounds = [], []
    with tempfile.TemporaryDirectory() as scratch:
        running = call_bench.start_mesh(pathlib.Path(scratch), 2, 64, {})
        try:
            target = running.nodes_by_name["kvoty-0"].target
            callers = running.nodes_by_name["kvoty-0"].callers
            direct_url = f"http://{target}/kvoty/today"
            mesh_url = f"http://{callers}/kvoty/today"
            call_bench.closed_loop([mesh_url], 4, 1.0)
            for count in _CALLERS:
                direct = call_bench.closed_loop([direct_url], count, seconds)
                before = _cpu_s(running)
                through = call_bench.closed_loop([mesh_url], count, seconds)
                spent_s = _cpu_s(running) - before
                rows += [
                    _row("direct", count, direct),
                    _row("mesh, half one hop", count, through),
                ]
                calls = max(1, through.outcomes.get("200", 0))
                rows.append(
                    (
                        "node CPU per call, ms",
                        str(count),
                        f"{spent_s / calls * 1000:.3f}",
                        "",
                        "",
                        f"{calls / max(spent_s, 1e-9):.0f} per core",
                    )
                )
                added_ms = through.percentile_ms(99) - direct.percentile_ms(99)
                bounds.append(
                    reports.at_most(
                        f"added at p99, {count} callers, ms",
                        added_ms,
                        _TARGET_ADDED_MS,
                    )
                )
        finally:
            running.stop()
    return rows, bounds


def _overload():
    rows, bounds = [], []
    best = {}
    for name, settings in (("limits", {}), ("no limits", _UNLIMITED)):
        slots = _SLOTS if name == "limits" else 500
        with tempfile.TemporaryDirectory() as scratch:
            running = call_bench.start_mesh(
                pathlib.Path(scratch), 2, slots, settings
            )
            try:
                for number in range(2):
                    running.set_behaviour(
                        f"kvoty-{number}", delay_s=_DELAY_S, capacity=_SLOTS
                    )
                best[name] = _loads(running, name, rows)
            finally:
                running.stop()
    for load in _LOADS[1:]:
        # Refused early, the rest must still be served: at least as much
        # as at half the capacity.
        bounds.append(
            reports.at_most(
                f"goodput at 0.5 over goodput at {load}",
                best["limits"][0.5] / max(best["limits"][load], 0.01),
                1.0,
            )
        )
    return rows, bounds


def _loads(running, name, rows):
    urls = [
        f"http://{node.callers}/kvoty/today"
        for node in running.nodes_by_name.values()
    ]
    capacity = 2 * _SLOTS / _DELAY_S
    good = {}
    for load in _LOADS:
        result = call_bench.open_loop(urls, load * capacity, 4.0, 200)
        rows.append(_row(f"{name}, load {load}", 200, result))
        good[load] = result.rate
        kinds = ", ".join(
            f"{kind} {count}"
            for kind, count in sorted(result.outcomes.items())
        )
        rows.append((f"{name}, load {load}: {kinds}", "", "", "", "", ""))
    return good


def _row(name, callers, load):
    return (
        name,
        str(callers),
        f"{load.percentile_ms(50):.3f}",
        f"{load.percentile_ms(99):.3f}",
        f"{load.percentile_ms(99.9):.3f}",
        f"{load.rate:.0f}",
    )


def _cpu_s(running) -> float:
    total = 0.0
    for name in running.nodes_by_name:
        times = psutil.Process(running.processes_by_name[name].pid).cpu_times()
        total += times.user + times.system
    return total


if __name__ == "__main__":
    raise SystemExit(reports.run_main(report))
