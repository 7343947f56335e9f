"""Puts configuration versions in force and hands them to children."""

import msgspec
import xxhash

from arbutusstall import _clock
from arbutusstall import _effects
from arbutusstall._systems import rollout_events
from arbutusstall._systems import shares
from arbutusstall._tables import agreed
from arbutusstall._tables import links
from arbutusstall._tables import members
from arbutusstall._tables import node
from arbutusstall._wire import messages


def digest(snapshot: agreed.Snapshot) -> str:
    """Return the hash of a snapshot's canonical encoding."""
    data = msgspec.json.encode(snapshot, order="sorted")
    return xxhash.xxh3_128_hexdigest(data)


def adopt(
    tables: node.Tables, snapshot: agreed.Snapshot, now: _clock.Instant
) -> list[_effects.Effect]:
    """Put ``snapshot`` in force unless a newer one is already."""
    if snapshot.version <= tables.snapshot.version:
        return []
    if dangling(snapshot):
        return [
            _effects.Emit(
                event="config-refused", fields={"version": snapshot.version}
            )
        ]
    before = tables.snapshot
    tables.snapshot = snapshot
    tables.digest = digest(snapshot)
    tables.next_report_s = now.mono_s
    effects: list[_effects.Effect] = [
        _effects.Emit(
            event="config-in-force", fields={"version": snapshot.version}
        )
    ]
    effects += rollout_events.between(before, snapshot)
    effects.append(view(tables))
    update = messages.SnapshotUpdate(digest=tables.digest, snapshot=snapshot)
    for link in tables.links_by_peer.values():
        if link.role is links.LinkRole.CHILD:
            effects.append(_effects.Send(peer=link.peer, message=update))
    return effects


def dangling(snapshot: agreed.Snapshot) -> bool:
    """Tell whether a route or share names a service that is not there."""
    services = snapshot.services_by_name
    routes = snapshot.routes_by_prefix.values()
    return any(route.service not in services for route in routes) or any(
        service not in services for service in snapshot.shares_by_service
    )


def view(tables: node.Tables) -> _effects.PutInForce:
    """Return the effect that hands the tables to the call path."""
    serving: dict[str, list[members.Member]] = {}
    for member in tables.members_by_node.values():
        if member.state is members.MemberState.SERVING:
            serving.setdefault(member.service, []).append(member)
    return _effects.PutInForce(
        view=_effects.View(
            snapshot=shares.override(
                tables.snapshot, tables.rollbacks_by_version
            ),
            members_by_service={
                name: tuple(rows) for name, rows in serving.items()
            },
            blocked=tables.snapshot.blocked | frozenset(tables.blocked),
        )
    )


def on_update(
    tables: node.Tables,
    peer: str,
    message: messages.SnapshotUpdate,
    now: _clock.Instant,
) -> list[_effects.Effect]:
    """Check and adopt a configuration from the parent."""
    if digest(message.snapshot) != message.digest:
        return [
            _effects.Emit(
                event="config-damaged",
                fields={"peer": peer, "version": message.snapshot.version},
            )
        ]
    return adopt(tables, message.snapshot, now)


def on_in_force(
    tables: node.Tables,
    peer: str,
    message: messages.InForce,
    now: _clock.Instant,
) -> list[_effects.Effect]:
    """Note how far the nodes at and below a child are."""
    link = tables.links_by_peer.get(peer)
    if link is None:
        return []
    tables.links_by_peer[peer] = links.Link(
        peer=peer,
        address=link.address,
        role=link.role,
        version=message.version,
        known=message.known,
        in_force=message.in_force,
    )
    tables.next_report_s = now.mono_s
    return []


def summary(tables: node.Tables) -> messages.InForce:
    """Sum up this node and everything below it."""
    known = 1
    in_force = 1
    for link in tables.links_by_peer.values():
        if link.role is not links.LinkRole.CHILD:
            continue
        known += link.known
        if link.version == tables.snapshot.version:
            in_force += link.in_force
    return messages.InForce(
        version=tables.snapshot.version, known=known, in_force=in_force
    )
