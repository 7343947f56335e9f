"""Builds fleets of nodes for the driver and publishes to them."""

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

_numbers = itertools.count()


def settings(
    index: int,
    data_centre: str,
    relay: node_settings.RelaySettings | None = None,
    **options: object,
) -> node_settings.NodeSettings:
    """Return the settings of the node number ``index``."""
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
    made = driver.Driver(seed=seed)
    for index in range(count):
        made.add(settings(index, centres[index % len(centres)], relay))
    return made


def share_members(made: driver.Driver) -> None:
    """Let all nodes know each other before time begins to move.

    Nodes that were there for long know the table; without this its
    first spread would take most of a benchmark's time.
    """
    cores = list(made.cores_by_name.values())
    first = cores[0].tables
    now = made.clock.now()
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
    """Return a release that adds services with a route each."""
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


def publish(made: driver.Driver, services: int = 1) -> int:
    """Publish a release; return the version that it makes."""
    name = f"release-{next(_numbers)}"
    return made.append(release(name, services)) + 1


def publish_change(made: driver.Driver, service: str, timeout_ms: int) -> int:
    """Publish a change of one route; return the version it makes."""
    root = made.cores_by_name[made.roots()[0]].tables.agreed
    name = f"release-{next(_numbers)}"
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
    return made.append(record) + 1


def wait_converged(made: driver.Driver, version: int, limit_s: float) -> float:
    """Return the seconds until all nodes have ``version``.

    Raises:
        AssertionError: They did not within ``limit_s``.
    """
    begin_s = made.now_s
    while made.now_s - begin_s < limit_s:
        made.run(0.02)
        if not nodes_behind(made, version):
            return made.now_s - begin_s
    raise AssertionError(f"lack {version}: {nodes_behind(made, version)[:8]}")


def nodes_behind(made: driver.Driver, version: int) -> list[str]:
    """Return the nodes that do not have ``version`` yet."""
    return [
        name
        for name, core in made.cores_by_name.items()
        if core.tables.snapshot.version < version
    ]


def wait_until(
    made: driver.Driver,
    condition: abc.Callable[[], bool],
    limit_s: float,
    step_s: float = 0.1,
) -> float:
    """Return the seconds until ``condition`` holds.

    Raises:
        AssertionError: It did not within ``limit_s``.
    """
    begin_s = made.now_s
    while not condition():
        assert made.now_s - begin_s < limit_s, "did not hold in time"
        made.run(step_s)
    return made.now_s - begin_s


def is_settled(made: driver.Driver, roots: int) -> bool:
    """Tell whether all positions are held and all nodes are attached."""
    tables = [core.tables for core in made.cores_by_name.values()]
    return len(made.roots()) == roots and all(
        table.relay.attached for table in tables
    )


@dataclasses.dataclass(frozen=True, kw_only=True)
class ShapeReport:
    """What can be wrong with a tree, as found by `check_shape`."""

    faults: tuple[str, ...]


def check_shape(made: driver.Driver) -> ShapeReport:
    """Look for links that do not lead down, and for too many children."""
    faults = []
    for name, core in made.cores_by_name.items():
        children = [
            link
            for link in core.tables.links_by_peer.values()
            if link.role.value == "child"
        ]
        if len(children) > core.tables.settings.relay.fan_out:
            faults.append(f"{name} has {len(children)} children")
        parent = made.cores_by_name.get(made.parent(name))
        if parent is None:
            continue
        label = core.tables.relay.label
        if parent.tables.relay.label >= label and core.tables.relay.attached:
            faults.append(f"{name} is not below its parent")
    return ShapeReport(faults=tuple(faults))
