"""Puts configuration versions in force and hands them to neighbours."""

import dataclasses

from arbutusstall import _clock
from arbutusstall import _effects
from arbutusstall._systems import deltas
from arbutusstall._systems import progress
from arbutusstall._systems import rollout_events
from arbutusstall._systems import shares
from arbutusstall._tables import agreed
from arbutusstall._tables import links
from arbutusstall._tables import node
from arbutusstall._tables import versions
from arbutusstall._wire import messages

_VERSIONS_KEPT = 64
_ASK_AGAIN_S = 1.0


def adopt(
    tables: node.Tables,
    snapshot: agreed.Snapshot,
    now: _clock.Instant,
    digest: str = "",
) -> list[_effects.Effect]:
    """Put in force what is newer in ``snapshot``.

    Args:
        tables: The node's tables.
        snapshot: A whole configuration.
        now: Current time.
        digest: Its digest if that was checked already.
    """
    before = tables.snapshot
    if not versions.has_newer_part(snapshot.version, before.version):
        return []
    merged = _merged(before, snapshot)
    if merged is not snapshot:
        snapshot, digest = merged, ""
    if has_dangling_references(snapshot):
        return [
            _effects.Emit(
                event="config-refused", fields={"version": snapshot.version}
            )
        ]
    tables.snapshots_by_version[before.version] = before
    while len(tables.snapshots_by_version) > _VERSIONS_KEPT:
        tables.snapshots_by_version.popitem(last=False)
    tables.snapshot = snapshot
    tables.digest = digest or deltas.digest(snapshot)
    progress.schedule_report(tables, now)
    effects: list[_effects.Effect] = [
        _effects.Emit(
            event="config-in-force",
            fields={
                "version": versions.log_part(snapshot.version),
                "source_version": snapshot.source_version,
            },
        )
    ]
    effects += rollout_events.between(before, snapshot)
    effects.append(publish_view(tables))
    return effects + _propagate(tables)


def has_dangling_references(snapshot: agreed.Snapshot) -> bool:
    """Tell whether a route or share names a service that is not there."""
    services = snapshot.services_by_name
    routes = snapshot.routes_by_prefix.values()
    named = {name for route in routes for name in route.services}
    if not snapshot.source_version:
        # An external source withdraws services without their shares.
        named |= snapshot.shares_by_service.keys()
    return not named <= services.keys()


def publish_view(tables: node.Tables) -> _effects.PutInForce:
    """Return the effect that hands the tables to the call path."""
    spread = tables.membership
    spread.view_due = False
    return _effects.PutInForce(
        view=_effects.View(
            snapshot=shares.apply_rollbacks(
                tables.snapshot, tables.rollbacks_by_version
            ),
            members_by_service=dict(spread.tuples_by_service),
            blocked=tables.snapshot.blocked | frozenset(tables.blocked),
        )
    )


def send_update(tables: node.Tables, peer: str) -> list[_effects.Effect]:
    """Bring one neighbour from the version it has to the current one."""
    link = tables.links_by_peer[peer]
    version = tables.snapshot.version
    base = versions.newest_parts(link.version, link.sent_version)
    if not versions.has_newer_part(version, base):
        return []
    message = _update(tables, base)
    tables.links_by_peer[peer] = dataclasses.replace(
        link, sent_version=version
    )
    return [_effects.Send(peer=peer, message=message)]


def on_update(
    tables: node.Tables,
    peer: str,
    message: messages.SnapshotUpdate,
    now: _clock.Instant,
) -> list[_effects.Effect]:
    """Check and adopt a whole configuration."""
    if deltas.digest(message.snapshot) != message.digest:
        return [
            _effects.Emit(
                event="config-damaged",
                fields={"peer": peer, "version": message.snapshot.version},
            )
        ]
    return adopt(tables, message.snapshot, now, message.digest)


def on_delta(
    tables: node.Tables,
    peer: str,
    message: messages.SnapshotDelta,
    now: _clock.Instant,
) -> list[_effects.Effect]:
    """Apply a difference aside; adopt it, or ask for the whole."""
    known = tables.snapshot.version
    if not versions.has_newer_part(message.changed.version, known):
        return []
    snapshot = deltas.apply(tables.snapshot, message)
    if snapshot is None:
        return request_snapshot(tables, peer, now)
    return adopt(tables, snapshot, now, message.digest)


def request_snapshot(
    tables: node.Tables, peer: str, now: _clock.Instant
) -> list[_effects.Effect]:
    """Ask a neighbour for its whole configuration, not too often."""
    wanted = tables.relay.snapshot_requested_s_by_peer
    if now.mono_s < wanted.get(peer, 0.0) + _ASK_AGAIN_S:
        return []
    wanted[peer] = now.mono_s
    message = messages.SnapshotWanted(version=tables.snapshot.version)
    return [_effects.Send(peer=peer, message=message)]


def on_snapshot_wanted(
    tables: node.Tables,
    peer: str,
    message: messages.SnapshotWanted,
    now: _clock.Instant,
) -> list[_effects.Effect]:
    """Answer with the whole configuration if it is newer."""
    link = tables.links_by_peer.get(peer)
    version = tables.snapshot.version
    if link is None or not versions.has_newer_part(version, message.version):
        return []
    tables.links_by_peer[peer] = dataclasses.replace(
        link, sent_version=version
    )
    return [_effects.Send(peer=peer, message=_whole(tables))]


def _merged(old: agreed.Snapshot, new: agreed.Snapshot) -> agreed.Snapshot:
    """Return the newer of each part; ``new`` itself if it has both."""
    configured, moved = old, old
    if new.source_version >= old.source_version:
        configured = new
    if versions.log_part(new.version) >= versions.log_part(old.version):
        moved = new
    if configured is moved:
        return configured
    return dataclasses.replace(
        configured,
        version=versions.newest_parts(old.version, new.version),
        shares_by_service=moved.shares_by_service,
        rollouts_by_id=moved.rollouts_by_id,
        blocked=moved.blocked,
    )


def _propagate(tables: node.Tables) -> list[_effects.Effect]:
    # Neighbours with the same base share one message object, which the
    # shell encodes once.
    version = tables.snapshot.version
    by_base: dict[int, messages.Message] = {}
    effects: list[_effects.Effect] = []
    for link in list(tables.links_by_peer.values()):
        base = versions.newest_parts(link.version, link.sent_version)
        down = link.role is not links.LinkRole.PARENT
        if not down or not versions.has_newer_part(version, base):
            continue
        if base not in by_base:
            by_base[base] = _update(tables, base)
        tables.links_by_peer[link.peer] = dataclasses.replace(
            link, sent_version=version
        )
        effects.append(_effects.Send(peer=link.peer, message=by_base[base]))
    return effects


def _update(tables: node.Tables, base: int) -> messages.Message:
    old = tables.snapshots_by_version.get(base)
    if old is None or base == 0:
        return _whole(tables)
    return deltas.difference(old, tables.snapshot, tables.digest)


def _whole(tables: node.Tables) -> messages.SnapshotUpdate:
    return messages.SnapshotUpdate(
        digest=tables.digest, snapshot=tables.snapshot
    )
