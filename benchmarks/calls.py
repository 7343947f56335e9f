"""Latency added by the mesh, CPU time per call and goodput under overload.

Usage: python benchmarks/calls.py [--short].
"""

import pathlib
import sys
import tempfile

import psutil

sys.path.insert(0, str(pathlib.Path(__file__).parent.parent / "tests"))

import call_bench  # noqa: E402
import report as reports  # noqa: E402

_MAX_ADDED_MS = 0.74
_CALLERS = (1, 16, 64)
_LOAD_FACTORS = (0.5, 1.0, 1.5, 2.0, 4.0)
_DELAY_S = 0.05
_SLOTS = 10
_UNLIMITED = {
    "calls": {"queue": 1_000, "queue_ms": 60_000, "connections": 500}
}


def report(short: bool) -> reports.Report:
    """Measure the call path.

    Args:
        short: Whether to measure for less time and without overload.
    """
    rows, bounds = _latency(1.0 if short else 5.0)
    if not short:
        overload_rows, overload_bounds = _overload()
        rows, bounds = rows + overload_rows, bounds + overload_bounds
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
                direct_load = call_bench.closed_loop(
                    [direct_url], count, seconds
                )
                before = _cpu_s(running)
                mesh_load = call_bench.closed_loop([mesh_url], count, seconds)
                spent_s = _cpu_s(running) - before
                rows += [
                    _row("direct", count, direct_load),
                    _row("mesh, half one hop", count, mesh_load),
                ]
                calls = max(1, mesh_load.outcomes.get("200", 0))
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
                added_ms = mesh_load.percentile_ms(
                    99
                ) - direct_load.percentile_ms(99)
                bounds.append(
                    reports.at_most(
                        f"added at p99, {count} callers, ms",
                        added_ms,
                        _MAX_ADDED_MS,
                    )
                )
        finally:
            running.stop()
    return rows, bounds


def _overload():
    rows, bounds = [], []
    goodput_by_limits = {}
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
                goodput_by_limits[name] = _measure_loads(running, name, rows)
            finally:
                running.stop()
    for load in _LOAD_FACTORS[1:]:
        # Early refusals must leave the goodput under overload at least as
        # high as at half the capacity.
        bounds.append(
            reports.at_most(
                f"goodput at 0.5 over goodput at {load}",
                goodput_by_limits["limits"][0.5]
                / max(goodput_by_limits["limits"][load], 0.01),
                1.0,
            )
        )
    return rows, bounds


def _measure_loads(running, name, rows):
    urls = [
        f"http://{node.callers}/kvoty/today"
        for node in running.nodes_by_name.values()
    ]
    capacity = 2 * _SLOTS / _DELAY_S
    goodput_by_load = {}
    for load in _LOAD_FACTORS:
        result = call_bench.open_loop(urls, load * capacity, 4.0, 200)
        rows.append(_row(f"{name}, load {load}", 200, result))
        goodput_by_load[load] = result.rate
        outcomes = ", ".join(
            f"{kind} {count}"
            for kind, count in sorted(result.outcomes.items())
        )
        rows.append((f"{name}, load {load}: {outcomes}", "", "", "", "", ""))
    return goodput_by_load


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
