"""Puts configuration versions in force and sends them to peers."""

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

_MAX_KEPT_VERSIONS = 64
_MIN_REQUEST_INTERVAL_S = 1.0


def adopt(
    tables: node.Tables,
    snapshot: agreed.Snapshot,
    now: _clock.Instant,
    digest: str = "",
) -> list[_effects.Effect]:
    """Put the newer parts of ``snapshot`` in force.

    A configuration with dangling references is refused as a whole.

    Args:
        tables: The node's tables.
        snapshot: A complete configuration.
        now: Current time.
        digest: Digest of ``snapshot`` if it is verified already; otherwise
            it is computed.

    Returns:
        Effects; empty if nothing in ``snapshot`` is newer.
    """
    before = tables.snapshot
    if not versions.has_newer_part(snapshot.version, before.version):
        return []
    merged = _merge_newest(before, snapshot)
    if merged is not snapshot:
        snapshot, digest = merged, ""
    if has_dangling_references(snapshot):
        return [
            _effects.Emit(
                event="config-refused", fields={"version": snapshot.version}
            )
        ]
    tables.snapshots_by_version[before.version] = before
    while len(tables.snapshots_by_version) > _MAX_KEPT_VERSIONS:
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
    """Return whether a route or share names a service that is missing."""
    services = snapshot.services_by_name
    routes = snapshot.routes_by_prefix.values()
    named = {name for route in routes for name in route.services}
    if not snapshot.source_version:
        # An external source withdraws services but not their shares, so the
        # shares are checked only without such a source.
        named |= snapshot.shares_by_service.keys()
    return not named <= services.keys()


def publish_view(tables: node.Tables) -> _effects.PutInForce:
    """Return the effect that passes the current view to the call path."""
    membership = tables.membership
    membership.view_due = False
    return _effects.PutInForce(
        view=_effects.View(
            snapshot=shares.apply_rollbacks(
                tables.snapshot, tables.rollbacks_by_version
            ),
            members_by_service=dict(membership.tuples_by_service),
            blocked=tables.snapshot.blocked | frozenset(tables.blocked),
            evacuated=frozenset(tables.evacuations.data_centres),
        )
    )


def send_update(tables: node.Tables, peer: str) -> list[_effects.Effect]:
    """Send a peer the update from its version to the current one."""
    link = tables.links_by_peer[peer]
    version = tables.snapshot.version
    base = versions.newest_parts(link.version, link.sent_version)
    if not versions.has_newer_part(version, base):
        return []
    message = _update_from(tables, base)
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
    """Verify the digest of a complete configuration and adopt it."""
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
    """Adopt the result of a delta, or request the complete configuration."""
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
    """Request a peer's complete configuration, at a limited rate."""
    requested = tables.relay.snapshot_requested_s_by_peer
    if now.mono_s < requested.get(peer, 0.0) + _MIN_REQUEST_INTERVAL_S:
        return []
    requested[peer] = now.mono_s
    message = messages.SnapshotWanted(version=tables.snapshot.version)
    return [_effects.Send(peer=peer, message=message)]


def on_snapshot_wanted(
    tables: node.Tables,
    peer: str,
    message: messages.SnapshotWanted,
    now: _clock.Instant,
) -> list[_effects.Effect]:
    """Send the complete configuration if it is newer than the peer's."""
    link = tables.links_by_peer.get(peer)
    version = tables.snapshot.version
    if link is None or not versions.has_newer_part(version, message.version):
        return []
    tables.links_by_peer[peer] = dataclasses.replace(
        link, sent_version=version
    )
    return [complete_update(tables, peer)]


def complete_update(tables: node.Tables, peer: str) -> _effects.Send:
    """Return the effect that sends ``peer`` the complete configuration."""
    return _effects.Send(peer=peer, message=_complete_update(tables))


def _merge_newest(
    old: agreed.Snapshot, new: agreed.Snapshot
) -> agreed.Snapshot:
    """Combine the newer source part with the newer log part.

    Return ``old`` or ``new`` itself if it has both.
    """
    newest_source, newest_log = old, old
    if new.source_version >= old.source_version:
        newest_source = new
    if versions.log_part(new.version) >= versions.log_part(old.version):
        newest_log = new
    if newest_source is newest_log:
        return newest_source
    return dataclasses.replace(
        newest_source,
        version=versions.newest_parts(old.version, new.version),
        shares_by_service=newest_log.shares_by_service,
        rollouts_by_id=newest_log.rollouts_by_id,
        blocked=newest_log.blocked,
    )


def _propagate(tables: node.Tables) -> list[_effects.Effect]:
    # Peers with the same base share one message object, which the shell
    # encodes once.
    version = tables.snapshot.version
    by_base: dict[int, messages.Message] = {}
    effects: list[_effects.Effect] = []
    for link in list(tables.links_by_peer.values()):
        base = versions.newest_parts(link.version, link.sent_version)
        downstream = link.role is not links.LinkRole.PARENT
        if not downstream or not versions.has_newer_part(version, base):
            continue
        if base not in by_base:
            by_base[base] = _update_from(tables, base)
        tables.links_by_peer[link.peer] = dataclasses.replace(
            link, sent_version=version
        )
        effects.append(_effects.Send(peer=link.peer, message=by_base[base]))
    return effects


def _update_from(tables: node.Tables, base: int) -> messages.Message:
    old = tables.snapshots_by_version.get(base)
    if old is None or base == 0:
        return _complete_update(tables)
    return deltas.difference(old, tables.snapshot, tables.digest)


def _complete_update(tables: node.Tables) -> messages.SnapshotUpdate:
    return messages.SnapshotUpdate(
        digest=tables.digest,
        snapshot=tables.snapshot,
        evacuations=tables.evacuations.if_known,
    )
