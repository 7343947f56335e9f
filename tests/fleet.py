"""Builds sets of simulated nodes and publishes releases to them."""

import collections
from collections import abc
import dataclasses
import itertools

import driver

from arbutusstall import _notes
from arbutusstall import settings as node_settings
from arbutusstall._log import records
from arbutusstall._systems import rows
from arbutusstall._tables import agreed

_release_numbers = itertools.count()


def settings(
    index: int,
    data_centre: str,
    relay: node_settings.RelaySettings | None = None,
    **options: object,
) -> node_settings.NodeSettings:
    """Return the settings of node number ``index``."""
    host = f"10.{index >> 16}.{index >> 8 & 255}.{index & 255}"
    return node_settings.NodeSettings(
        node=f"node-{index}",
        data_centre=data_centre,
        addresses=node_settings.AddressSettings(
            callers=f"{host}:7001",
            inbound=f"{host}:7002",
            relay=f"{host}:7003",
            admin=f"{host}:7004",
        ),
        log=node_settings.LogSettings(url="http://10.255.0.1:7000"),
        relay=relay or node_settings.RelaySettings(),
        **options,
    )


def build(
    count: int,
    centres: abc.Sequence[str],
    *,
    seed: int,
    relay: node_settings.RelaySettings | None = None,
) -> driver.Driver:
    """Return a driver with ``count`` started nodes."""
    nodes = driver.Driver(seed=seed)
    for index in range(count):
        nodes.add(settings(index, centres[index % len(centres)], relay))
    return nodes


def share_members(nodes: driver.Driver) -> None:
    """Fill the member table of every node before time advances.

    In a mesh that has run for long, every node has the whole table.
    Without this its first distribution would take most of the time of a
    benchmark.
    """
    cores = list(nodes.cores_by_name.values())
    first = cores[0].tables
    now = nodes.clock.now()
    for core in cores[1:]:
        rows.put(first, core.tables.member, now)
    counts = collections.Counter(
        row.data_centre for row in first.members_by_node.values()
    )
    for core in cores:
        tables = core.tables
        tables.members_by_node = dict(first.members_by_node)
        tables.membership.bucket_checksums = list(
            first.membership.bucket_checksums
        )
        tables.membership.local_live = counts[tables.member.data_centre]


def release(name: str, services: int = 1) -> records.ReleaseRecord:
    """Return a release that adds services with one route each."""
    names = [f"{name}-{index}" for index in range(services)]
    note = _notes.ReleaseNote(
        name=name,
        add=_notes.Items(
            services=tuple(_notes.ServiceItem(name=item) for item in names),
            routes=tuple(
                _notes.RouteItem(prefix=f"/{item}", service=item)
                for item in names
            ),
        ),
    )
    return records.ReleaseRecord(
        record_id=f"release/{name}",
        note=note,
        digest=name,
        published_s=0.0,
        seen={},
    )


def publish(nodes: driver.Driver, services: int = 1) -> int:
    """Publish a release; return the version that it creates."""
    name = f"release-{next(_release_numbers)}"
    return nodes.append(release(name, services)) + 1


def publish_change(nodes: driver.Driver, service: str, timeout_ms: int) -> int:
    """Publish a change of one route; return the version it creates."""
    root = nodes.cores_by_name[nodes.roots()[0]].tables.agreed
    name = f"release-{next(_release_numbers)}"
    key = f"route//{service}"
    note = _notes.ReleaseNote(
        name=name,
        change=_notes.Items(
            routes=(
                _notes.RouteItem(
                    prefix=f"/{service}",
                    service=service,
                    timeout_ms=timeout_ms,
                ),
            )
        ),
    )
    record = records.ReleaseRecord(
        record_id=f"release/{name}",
        note=note,
        digest=name,
        published_s=0.0,
        seen={key: root.item_offsets_by_key.get(key, agreed.NO_OFFSET)},
    )
    return nodes.append(record) + 1


def wait_converged(
    nodes: driver.Driver, version: int, limit_s: float
) -> float:
    """Wait until all nodes have ``version``; return the simulated seconds.

    Raises:
        AssertionError: Some nodes lack it after ``limit_s``.
    """
    begin_s = nodes.now_s
    while nodes.now_s - begin_s < limit_s:
        nodes.run(0.02)
        if not nodes_behind(nodes, version):
            return nodes.now_s - begin_s
    raise AssertionError(
        f"without version {version}: {nodes_behind(nodes, version)[:8]}"
    )


def nodes_behind(nodes: driver.Driver, version: int) -> list[str]:
    """Return the names of the nodes that do not have ``version`` yet."""
    return [
        name
        for name, core in nodes.cores_by_name.items()
        if core.tables.snapshot.version < version
    ]


def wait_until(
    nodes: driver.Driver,
    condition: abc.Callable[[], bool],
    limit_s: float,
    step_s: float = 0.1,
) -> float:
    """Wait until ``condition`` holds; return the simulated seconds.

    Raises:
        AssertionError: It did not hold within ``limit_s``.
    """
    begin_s = nodes.now_s
    while not condition():
        assert nodes.now_s - begin_s < limit_s, (
            "the condition did not hold in time"
        )
        nodes.run(step_s)
    return nodes.now_s - begin_s


def is_settled(nodes: driver.Driver, roots: int) -> bool:
    """Return whether there are ``roots`` roots and all nodes are attached."""
    tables = [core.tables for core in nodes.cores_by_name.values()]
    return len(nodes.roots()) == roots and all(
        table.relay.attached for table in tables
    )


@dataclasses.dataclass(frozen=True, kw_only=True)
class ShapeReport:
    """Faults of a tree that `check_shape` found, as lines of text."""

    faults: tuple[str, ...]


def check_shape(nodes: driver.Driver) -> ShapeReport:
    """Check the labels along the links and the number of children."""
    faults = []
    for name, core in nodes.cores_by_name.items():
        children = [
            link
            for link in core.tables.links_by_peer.values()
            if link.role.value == "child"
        ]
        if len(children) > core.tables.settings.relay.fan_out:
            faults.append(f"{name} has {len(children)} children")
        parent = nodes.cores_by_name.get(nodes.parent(name))
        if parent is None:
            continue
        label = core.tables.relay.label
        if parent.tables.relay.label >= label and core.tables.relay.attached:
            faults.append(f"{name} is not below its parent")
    return ShapeReport(faults=tuple(faults))
