"""Memory and CPU time of one node's control work at 8,000 nodes.

Usage: ``python benchmarks/slopes.py [--short]`` with ``src`` and
``tests`` on the path.
"""

import dataclasses
import gc
import random
import sys
import time
import tracemalloc

import fleet
import report as report_form

from arbutusstall import protocols
from arbutusstall._systems import deltas
from arbutusstall._systems import distribution
from arbutusstall._systems import progress
from arbutusstall._systems import rows as table
from arbutusstall._tables import agreed
from arbutusstall._tables import links
from arbutusstall._tables import members
from arbutusstall._wire import messages

_NODES = 8_000
_SERVICES = 300
_FAN_OUT = 16
_CENTRES = ("lipno", "rozmberk", "svet", "susarna", "jih")
_NODES_BELOW_ROOT = _NODES // 15
_COMMAND = "python benchmarks/slopes.py"
_MAX_MEMORY_MB = 256.0
_MAX_CORE_PERCENT = 2.5


def member(index: int) -> members.Member:
    """Return the row of a serving node."""
    host = f"10.{index >> 16}.{index >> 8 & 255}.{index & 255}"
    return members.Member(
        node=f"node-{index}",
        data_centre=_CENTRES[index % len(_CENTRES)],
        incarnation=1_800_000_000_000 + index * 37,
        sequence=1,
        state=members.MemberState.SERVING,
        service=f"service-{index % _SERVICES}",
        version="v1",
        target=f"{host}:7000",
        slots=20,
        inbound=f"{host}:7002",
        relay=f"{host}:7003",
    )


def snapshot(version: int, timeout_ms: int = 5_000) -> agreed.Snapshot:
    """Return a configuration of 300 services with two routes each."""
    names = [f"service-{index}" for index in range(_SERVICES)]
    routes = {}
    for name in names:
        for prefix in (f"/{name}", f"/{name}/v2"):
            routes[prefix] = agreed.Route(
                prefix=prefix, service=name, timeout_ms=timeout_ms
            )
    changed = "/service-0"
    routes[changed] = agreed.Route(
        prefix=changed, service="service-0", timeout_ms=version
    )
    return agreed.Snapshot(
        version=version,
        services_by_name={name: agreed.Service(name=name) for name in names},
        routes_by_prefix=routes,
        shares_by_service={
            name: agreed.Shares(service=name, percent_by_version={"v1": 100.0})
            for name in names
        },
    )


class NodeCosts:
    """One node with 8,000 member rows and 17 links.

    Attributes:
        core: The node core that is measured.
        clock: Its clock.
        rows: The decoded member rows.
        table_bytes: Memory of the member table and its rows.
        put_s: Time to merge all rows once more.
    """

    def __init__(self, repeats: int) -> None:
        self._repeats = repeats
        settings = fleet.settings(1, _CENTRES[0])
        self.core = protocols.NodeCore(settings, random.Random(1), 1)
        self.clock = protocols.ManualClock()
        full_update = messages.MemberUpdate(
            rows=tuple(member(index) for index in range(_NODES))
        )
        data = messages.encode(full_update)
        gc.collect()
        tracemalloc.start()
        before = tracemalloc.get_traced_memory()[0]
        now = self.clock.now()
        # Decoded inside the measurement, as at a joining node, so that the
        # memory of the rows themselves counts.
        update = messages.decode(data)
        assert isinstance(update, messages.MemberUpdate)
        self.rows = update.rows
        for row in self.rows:
            table.put(self.core.tables, row, now)
        self.table_bytes = tracemalloc.get_traced_memory()[0] - before
        tracemalloc.stop()
        started_s = time.perf_counter()
        for row in self.rows:
            table.put(self.core.tables, row, now)
        self.put_s = time.perf_counter() - started_s
        self._add_links()

    def _add_links(self) -> None:
        tables = self.core.tables
        tables.links_by_peer["parent"] = links.Link(
            peer="parent",
            address="10.9.9.9:1",
            role=links.LinkRole.PARENT,
            attached=True,
        )
        tables.relay.attached = True
        tables.relay.follows_log = False
        for index in range(_FAN_OUT):
            tables.links_by_peer[f"child-{index}"] = links.Link(
                peer=f"child-{index}",
                address=f"10.9.9.{index}:1",
                role=links.LinkRole.CHILD,
            )

    def time_ms(self, work: object) -> float:
        """Return the median milliseconds of one call of ``work``."""
        times = []
        for _ in range(self._repeats):
            started_s = time.perf_counter()
            work()  # type: ignore[operator]
            times.append(time.perf_counter() - started_s)
        return report_form.quantile(times, 0.5) * 1000

    def tick_ms(self) -> float:
        """Return the mean milliseconds of an idle tick with heartbeats."""
        core = self.core
        peers = list(core.tables.links_by_peer)
        count = 200
        sent = 0
        started_s = time.perf_counter()
        for _ in range(count):
            self.clock.advance(0.1)
            now = self.clock.now()
            for peer in peers:
                core.tables.relay.last_received_s_by_peer[peer] = now.mono_s
            for effect in core.tick(now):
                if isinstance(effect, protocols.Send):
                    sent += len(messages.encode(effect.message))
        return (time.perf_counter() - started_s) / count * 1000


def report(short: bool) -> report_form.Report:
    """Measure one node and return the table."""
    costs = NodeCosts(20 if short else 100)
    now = costs.clock.now()
    tables = costs.core.tables
    old, new = snapshot(1), snapshot(2)
    full_update = messages.SnapshotUpdate(digest="x" * 32, snapshot=new)
    delta = deltas.difference(old, new, deltas.digest(new))
    update = messages.MemberUpdate(rows=costs.rows[:500])
    one = messages.MemberUpdate(rows=costs.rows[:1])
    alive = messages.Alive(
        nodes=tuple(row.node for row in costs.rows[:_NODES_BELOW_ROOT])
    )
    tick_ms = costs.tick_ms()
    digest_ms = costs.time_ms(lambda: deltas.digest(new))
    apply_ms = costs.time_ms(lambda: deltas.apply(old, delta))

    fresh = dict(tables.links_by_peer)

    def adopt() -> None:
        tables.snapshot = old
        tables.links_by_peer = {
            peer: dataclasses.replace(link, version=1)
            for peer, link in fresh.items()
        }
        distribution.adopt(tables, new, now, delta.digest)

    figures = (
        ("member table, 8,000 rows, KB", costs.table_bytes / 1000),
        ("member row merged, us", costs.put_s / _NODES * 1e6),
        ("member row alone on the wire, bytes", len(messages.encode(one))),
        (
            "member row in a batch of 500, bytes",
            len(messages.encode(update)) / 500,
        ),
        (
            "batch of 500 rows encoded, ms",
            costs.time_ms(lambda: messages.encode(update)),
        ),
        (
            "batch of 500 rows decoded, ms",
            costs.time_ms(lambda: messages.decode(messages.encode(update))),
        ),
        ("report of 533 nodes alive, bytes", len(messages.encode(alive))),
        ("whole configuration, KB", len(messages.encode(full_update)) / 1000),
        ("delta of one route, bytes", len(messages.encode(delta))),
        ("digest of the configuration, ms", digest_ms),
        ("delta applied and checked, ms", apply_ms),
        ("change put in force for 16 children, ms", costs.time_ms(adopt)),
        (
            "difference to the last version, ms",
            costs.time_ms(lambda: deltas.difference(old, new, "x")),
        ),
        (
            "sum of the subtree, ms",
            costs.time_ms(lambda: progress.summary(tables)),
        ),
        (
            "view for the call path, ms",
            costs.time_ms(lambda: distribution.publish_view(tables)),
        ),
        ("idle tick with 17 links, ms", tick_ms),
    )
    # 16,000 changes a day and 10 ticks per second, in percent of a core.
    change_ms = 2 * (apply_ms + costs.time_ms(adopt))
    ordinary_percent = 100 * (
        16_000 / 86_400 * change_ms / 1000 + tick_ms / 100
    )
    return report_form.Report(
        title="Control work of one node at 8,000 nodes and 300 services",
        command=_COMMAND,
        header=("what", "figure"),
        rows=tuple((name, f"{value:.4g}") for name, value in figures),
        bounds=(
            report_form.at_most(
                "decision logic on an ordinary day, % of a core",
                ordinary_percent,
                _MAX_CORE_PERCENT,
            ),
            report_form.at_most(
                "member table, MB", costs.table_bytes / 1e6, _MAX_MEMORY_MB
            ),
        ),
        remarks=("One process, no sockets; medians of repeated calls.",),
    )


if __name__ == "__main__":
    sys.exit(report_form.run_main(report))
