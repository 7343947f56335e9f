"""Convergence time, control bytes, CPU and memory of real processes.

Usage: ``python benchmarks/convergence_processes.py [--short]`` with
``src`` and ``tests`` on the path. The nodes have no targets; all
processes share one machine and its loopback interface.
"""

import dataclasses
import pathlib
import re
import sys
import tempfile
import time

import mesh
import psutil
import report as report_form

from arbutusstall._shell import http

_CENTRES = ("lipno", "rozmberk", "svet", "susarna")
_COMMAND = "python benchmarks/convergence_processes.py"
_CHANGES = 20
_PAUSE_S = 1.0
_IDLE_S = 15.0
_START_TIMEOUT_S = 240.0
_MAX_MEMORY_SHARE = 0.5
_MAX_CONVERGENCE_S = 4.0
_MAX_BYTES_S = 12_000.0
_MAX_MEMORY_MB = 256.0
_MAX_CPU_PERCENT = 2.5
_VERSION_LINE = re.compile(r"ts=(\S+) .*\bversion=(\d+)")
_SENT_BYTES_METRIC = re.compile(
    r"^arbutusstall_relay_sent_bytes_total (\S+)$", re.M
)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Figures:
    """Measured values of one mesh.

    Attributes:
        nodes: Number of nodes.
        start_s: Time until the nodes formed one mesh.
        times_s: Seconds until each node had each change, counted from the
            first node that had it.
        bytes_s: Bytes sent per second by each idle node.
        cpu: CPU time of each idle node in percent of a core.
        memory_mb: Resident memory of each node.
        appends_s: Log appends per second of the idle mesh.
        reads_s: Log reads per second of the idle mesh.
    """

    nodes: int
    start_s: float
    times_s: tuple[float, ...]
    bytes_s: tuple[float, ...]
    cpu: tuple[float, ...]
    memory_mb: tuple[float, ...]
    appends_s: float
    reads_s: float


def measure(count: int) -> Figures | None:
    """Start a mesh and measure it.

    Returns:
        The figures, or None if more than half of the machine's memory was
        in use before all nodes had started.
    """
    with tempfile.TemporaryDirectory() as name:
        running = mesh.Mesh(pathlib.Path(name))
        try:
            return _measure(running, count)
        finally:
            running.stop()


def _measure(running: mesh.Mesh, count: int) -> Figures | None:
    running.start_log()
    started_s = time.monotonic()
    for index in range(count):
        centre = _CENTRES[index % len(_CENTRES)]
        spec = mesh.NodeSpec(
            name=f"node-{index}",
            data_centre=centre,
            service="kvoty",
            version="v1",
        )
        running.start_node(spec, target=False)
        if psutil.virtual_memory().percent > 100 * _MAX_MEMORY_SHARE:
            return None
    names = list(running.nodes_by_name)
    if not running.wait_until(
        lambda: _is_complete(running, count), _START_TIMEOUT_S
    ):
        raise TimeoutError(f"{count} nodes did not become one mesh")
    start_s = time.monotonic() - started_s
    time.sleep(10.0)
    processes = [
        psutil.Process(running.processes_by_name[name].pid) for name in names
    ]
    counts = running.log_counts()
    sent = {name: _sent_bytes(running, name) for name in names}
    cpu = [sum(process.cpu_times()[:2]) for process in processes]
    started_s = time.monotonic()
    time.sleep(_IDLE_S)
    elapsed_s = time.monotonic() - started_s
    spent = [
        100 * (sum(process.cpu_times()[:2]) - before) / elapsed_s
        for process, before in zip(processes, cpu, strict=True)
    ]
    after = running.log_counts()
    rates = [
        (_sent_bytes(running, name) - sent[name]) / elapsed_s for name in names
    ]
    return Figures(
        nodes=count,
        start_s=start_s,
        times_s=tuple(_publish_changes(running, names)),
        bytes_s=tuple(rates),
        cpu=tuple(spent),
        memory_mb=tuple(
            process.memory_info().rss / 1e6 for process in processes
        ),
        appends_s=(int(after["appends"]) - int(counts["appends"])) / elapsed_s,
        reads_s=(int(after["reads"]) - int(counts["reads"])) / elapsed_s,
    )


def _is_complete(running: mesh.Mesh, count: int) -> bool:
    # Each root counts the nodes of the whole mesh, so one root is enough.
    for name in running.nodes_by_name:
        status = running.status(name)
        if status["root"]:
            return int(status["known"]) == count == int(status["in_force"])
    return False


def _sent_bytes(running: mesh.Mesh, name: str) -> float:
    url = f"http://{running.nodes_by_name[name].admin}/metrics"
    body = http.send(http.Request(method="GET", url=url)).body.decode()
    found = _SENT_BYTES_METRIC.search(body)
    return float(found.group(1)) if found else 0.0


def _publish_changes(running: mesh.Mesh, names: list[str]) -> list[float]:
    published: dict[int, float] = {}
    for number in range(_CHANGES):
        name = f"change-{number}"
        sent_s = time.time()
        done = running.publish(
            {"name": name, "add": {"services": [{"name": name}]}}
        )
        offset = int(done.stdout.rsplit("offset ", 1)[1].split()[0])
        # This time is earlier than the append, because the tool has to
        # start and to read the log first.
        published[offset + 1] = sent_s
        time.sleep(_PAUSE_S)
    time.sleep(_MAX_CONVERGENCE_S)
    # Times count from the first node that has the change, which read it
    # from the log; the time before the append is the tool's.
    seen = [_times_by_version(running, name, published) for name in names]
    times_s = []
    for version in published:
        in_force_s = [each.get(version, float("inf")) for each in seen]
        first_s = min(in_force_s)
        times_s += [at_s - first_s for at_s in in_force_s]
    return times_s


def _times_by_version(
    running: mesh.Mesh, name: str, versions: dict[int, float]
) -> dict[int, float]:
    found: dict[int, float] = {}
    text = (running.directory / f"{name}.log").read_text()
    for line in text.splitlines():
        match = _VERSION_LINE.search(line)
        if match is None or "=config-in-force " not in line:
            continue
        for version in versions:
            if int(match.group(2)) >= version:
                found.setdefault(version, float(match.group(1)))
    return found


def report(short: bool) -> report_form.Report:
    """Measure the meshes and return their table."""
    measured = []
    failed: list[report_form.Bound] = []
    remarks = [
        "Times count from the first node that has a change, a root;"
        " bytes are those of the messages, without frames."
    ]
    for count in (14,) if short else (14, 100, 300):
        try:
            figures = measure(count)
        except TimeoutError as exc:
            failed.append(
                report_form.Bound(
                    name=str(exc),
                    figure=_START_TIMEOUT_S,
                    limit=_START_TIMEOUT_S,
                    ok=False,
                )
            )
            continue
        if figures is None:
            remarks.append(
                f"{count} nodes: not run, they need more than half of the"
                " machine's memory."
            )
            continue
        measured.append(figures)
    return report_form.Report(
        title="Convergence of real processes",
        command=_COMMAND + (" --short" if short else ""),
        header=(
            "nodes",
            "one mesh after s",
            "median s",
            "p99 s",
            "max s",
            "mean B/s a node",
            "max B/s",
            "mean CPU %",
            "max CPU %",
            "max MB",
            "log appends/s",
            "log reads/s",
        ),
        rows=tuple(_row(item) for item in measured),
        bounds=(*_bounds(measured), *failed),
        remarks=tuple(remarks),
    )


def _row(item: Figures) -> tuple[str, ...]:
    return (
        str(item.nodes),
        f"{item.start_s:.1f}",
        f"{report_form.quantile(item.times_s, 0.5):.3f}",
        f"{report_form.quantile(item.times_s, 0.99):.3f}",
        f"{max(item.times_s):.3f}",
        f"{sum(item.bytes_s) / item.nodes:.0f}",
        f"{max(item.bytes_s):.0f}",
        f"{sum(item.cpu) / item.nodes:.2f}",
        f"{max(item.cpu):.2f}",
        f"{max(item.memory_mb):.0f}",
        f"{item.appends_s:.1f}",
        f"{item.reads_s:.1f}",
    )


def _bounds(measured: list[Figures]) -> tuple[report_form.Bound, ...]:
    pairs = (
        (
            "last node in force, s",
            _MAX_CONVERGENCE_S,
            lambda item: item.times_s,
        ),
        ("control of a node, B/s", _MAX_BYTES_S, lambda item: item.bytes_s),
        ("idle node, % of a core", _MAX_CPU_PERCENT, lambda item: item.cpu),
        ("memory of a node, MB", _MAX_MEMORY_MB, lambda item: item.memory_mb),
    )
    if not measured:
        return ()
    return tuple(
        report_form.at_most(
            name, max(max(values(item)) for item in measured), limit
        )
        for name, limit, values in pairs
    )


if __name__ == "__main__":
    sys.exit(report_form.run_main(report))
