"""Measures the fold, the agreed state and checkpoints at 300 services.

Usage: python benchmarks/fold.py [--short].
"""

import dataclasses
import pathlib
import sys
import time
import tracemalloc

sys.path.insert(0, str(pathlib.Path(__file__).parent.parent / "tests"))

import log_samples  # noqa: E402
import report as reports  # noqa: E402

from arbutusstall import settings as node_settings  # noqa: E402
from arbutusstall._log import checkpoint  # noqa: E402
from arbutusstall._log import fold  # noqa: E402
from arbutusstall._log import publishing  # noqa: E402
from arbutusstall._log import records  # noqa: E402
from arbutusstall._log import releases  # noqa: E402
from arbutusstall._tables import agreed  # noqa: E402

_SERVICES = 300
_ROUTES_PER_SERVICE = 2
_CHANGES_PER_DAY = 16_000
_STEPS_PER_MOVE = 20
_DAY_S = 86_400.0
_PEAK_APPENDS_PER_S = 300.0
_KIB = 1024.0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Sizes:
    """Size of a state, encoded and in memory, in bytes."""

    encoded: int
    resident: int


def mesh_state(services: int, routes: int, outcomes: int) -> agreed.Agreed:
    """Return the agreed state of a mesh.

    Args:
        services: Number of services, each with a running rollout.
        routes: Number of routes of each service.
        outcomes: Number of further releases, each of which leaves an
            outcome.
    """
    state = agreed.Agreed()
    offset = 0

    def put(record: records.Record) -> None:
        nonlocal state, offset
        state = fold.apply_entry(state, offset, records.encode(record)).state
        offset += 1

    for index in range(services):
        name = f"service-{index}"
        prefixes = [f"/{name}/{number}" for number in range(routes)]
        added = [{"prefix": path, "service": name} for path in prefixes]
        body = {
            "add": {"services": [{"name": name}], "routes": added},
            "shares": _shares(name, "v1"),
        }
        put(_record(f"add-{name}", body, state))
        put(_record(f"move-{name}", {"shares": _shares(name, "v2")}, state))
    for index in range(outcomes):
        route = {"prefix": "/service-0/0", "service": "service-0"}
        route |= {"timeout_ms": index + 1}
        body = {"change": {"routes": [route]}}
        put(_record(f"release-{index:08d}", body, state))
    claim = records.LeaseClaim(record_id="c", holder="leader", replaces=-1)
    put(claim)
    return state


def _shares(service: str, version: str) -> list[dict[str, object]]:
    return [{"service": service, "percent_by_version": {version: 100.0}}]


def _record(
    name: str, body: dict[str, object], state: agreed.Agreed
) -> records.ReleaseRecord:
    return publishing.release_record(log_samples.note(name, body), state)


def sizes(services: int, routes: int, outcomes: int) -> Sizes:
    """Build a state and return its size, encoded and in memory."""
    tracemalloc.start()
    state = mesh_state(services, routes, outcomes)
    resident, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return Sizes(encoded=len(checkpoint.encode(state)), resident=resident)


def bytes_per_item() -> list[tuple[str, ...]]:
    """Return rows with the bytes per service, route and outcome."""
    cases = {
        "service (with shares and a running move)": (
            sizes(50, 0, 0),
            sizes(250, 0, 0),
            200,
        ),
        "route": (sizes(50, 1, 0), sizes(50, 5, 0), 200),
        "release outcome": (sizes(10, 1, 100), sizes(10, 1, 1_100), 1_000),
    }
    return [
        (
            f"bytes for each {name}",
            f"{(after.encoded - before.encoded) / count:.0f} encoded, "
            f"{(after.resident - before.resident) / count:.0f} in memory",
        )
        for name, (before, after, count) in cases.items()
    ]


def rate(state: agreed.Agreed, data: list[bytes], runs: int) -> float:
    """Return the records decoded and folded per second in the best run."""
    best = 0.0
    for _ in range(runs):
        current = state
        started_s = time.perf_counter()
        for index, entry in enumerate(data):
            result = fold.apply_entry(current, state.offset + index, entry)
            assert not result.problem, result.problem
            current = result.state
        best = max(best, len(data) / (time.perf_counter() - started_s))
        assert (
            current.snapshot is not state.snapshot
            or current.lease != state.lease
        )
    return best


def renewals(state: agreed.Agreed, count: int) -> list[bytes]:
    """Return encoded lease renewals."""
    return [
        records.encode(
            records.LeaseRenewal(
                record_id=f"renew/{index}",
                lease=state.lease.offset,
                sequence=index + 1,
            )
        )
        for index in range(count)
    ]


def steps(state: agreed.Agreed, count: int) -> list[bytes]:
    """Return encoded share decisions, in turn for each rollout."""
    return [
        records.encode(
            records.ShareDecision(
                record_id=f"step/{index}",
                lease=state.lease.offset,
                rollout_id=f"move-service-{index % _SERVICES}/"
                f"service-{index % _SERVICES}",
                step=index // _SERVICES + 1,
                percent_by_version={"v1": 90.0, "v2": 10.0},
            )
        )
        for index in range(count)
    ]


def changes(state: agreed.Agreed, count: int) -> list[bytes]:
    """Return encoded releases that change one route each."""
    encoded_releases = []
    for index in range(count):
        service = f"service-{index % _SERVICES}"
        route = {"prefix": f"/{service}/1", "service": service}
        route |= {"timeout_ms": index + 1}
        record = _record(f"c{index}", {"change": {"routes": [route]}}, state)
        if index >= _SERVICES:
            # The same route was last changed `_SERVICES` records earlier.
            seen = {f"route/{route['prefix']}": state.offset + index}
            seen = {key: value - _SERVICES for key, value in seen.items()}
            record = dataclasses.replace(record, seen=seen)
        encoded_releases.append(records.encode(record))
    return encoded_releases


def checkpoint_rows(state: agreed.Agreed, chunk_bytes: int):
    """Return rows on one checkpoint, and its number of chunks."""
    begin = records.CheckpointBegin(
        record_id="b", lease=state.lease.offset, made_s=1.0
    )
    started_s = time.perf_counter()
    state_at_begin = fold.apply(state, state.offset, begin)
    begin_s = time.perf_counter() - started_s
    started_s = time.perf_counter()
    chunks = checkpoint.chunks(state_at_begin, chunk_bytes)
    chunks_s = time.perf_counter() - started_s
    started_s = time.perf_counter()
    assert checkpoint.assemble(chunks) == state_at_begin
    assemble_s = time.perf_counter() - started_s
    encoded = len(checkpoint.encode(state)) / _KIB
    compressed = sum(len(chunk.data) for chunk in chunks) / _KIB
    rows = [
        (
            "checkpoint",
            f"{encoded:.0f} KiB encoded, {compressed:.0f} KiB packed, "
            f"{len(chunks)} chunks",
        ),
        ("digest at its begin, every reader", f"{begin_s * 1000:.1f} ms"),
        ("chunks, the leader", f"{chunks_s * 1000:.1f} ms"),
        ("assembly, a fresh reader", f"{assemble_s * 1000:.1f} ms"),
    ]
    return rows, len(chunks)


def report(short: bool) -> reports.Report:
    """Measure sizes, rates and a checkpoint, and return the report."""
    count, runs = (2_000, 2) if short else (10_000, 5)
    state = mesh_state(_SERVICES, _ROUTES_PER_SERVICE, releases.RELEASES_KEPT)
    rows = [] if short else bytes_per_item()
    rates = {
        "lease renewals": rate(state, renewals(state, count), runs),
        "share decisions": rate(state, steps(state, count), runs),
        "releases": rate(state, changes(state, count // 5), runs),
    }
    for name, value in rates.items():
        rows.append((f"{name} folded per second", f"{value:.0f}"))
    policy = node_settings.CheckpointSettings()
    lease = node_settings.LeaseSettings()
    more_rows, chunks = checkpoint_rows(state, policy.chunk_bytes)
    appends_s_by_kind = {
        "renewals": 1.0 / lease.renew_s,
        "checkpoints": (chunks + 1) / policy.every_s,
        "releases": _CHANGES_PER_DAY / _DAY_S,
        "steps": _CHANGES_PER_DAY * _STEPS_PER_MOVE / _DAY_S,
    }
    text = ", ".join(
        f"{name} {value:.2f}" for name, value in appends_s_by_kind.items()
    )
    rows += [*more_rows, ("appends a second, ordinary day", text)]
    appends_per_s = sum(appends_s_by_kind.values())
    fold_core_share = sum(
        (
            appends_s_by_kind["renewals"] / rates["lease renewals"],
            appends_s_by_kind["steps"] / rates["share decisions"],
            appends_s_by_kind["releases"] / rates["releases"],
        )
    )
    tail_s = policy.every_records / min(rates.values())
    return reports.Report(
        title="The fold at 300 services",
        command="python benchmarks/fold.py" + " --short" * short,
        header=("figure", "value"),
        rows=tuple(rows),
        bounds=(
            reports.at_most("appends a second", appends_per_s, 200.0),
            reports.at_most(
                "share of a core, root, folding", fold_core_share, 0.025
            ),
            reports.at_most("seconds to fold the longest tail", tail_s, 60.0),
            reports.at_most(
                "share of a core at the log's peak rate",
                _PEAK_APPENDS_PER_S / rates["share decisions"],
                1.0,
            ),
        ),
        remarks=(
            f"{_SERVICES} services with a running move each, "
            f"{_ROUTES_PER_SERVICE} routes a service, "
            f"{releases.RELEASES_KEPT} outcomes. The day assumes that every "
            f"change is a move of {_STEPS_PER_MOVE} steps. Rates are the "
            f"best of {runs} runs of {count} records ({count // 5} releases).",
        ),
    )


if __name__ == "__main__":
    sys.exit(reports.run_main(report))
