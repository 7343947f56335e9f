"""Stops traffic to a bad version at once, without waiting for the log.

A node that rejects a version stops sending it traffic and notifies its
peers, with the looks as evidence. Each receiver runs the same comparison
over these looks, so a wrong message has no effect. A local rollback ends
when the agreed verdict arrives, whatever it says.
"""

from collections import abc

from arbutusstall import _clock
from arbutusstall import _effects
from arbutusstall._systems import comparison
from arbutusstall._systems import distribution
from arbutusstall._systems import observation
from arbutusstall._systems import running_rollouts
from arbutusstall._systems import shares
from arbutusstall._tables import agreed
from arbutusstall._tables import comparisons
from arbutusstall._tables import node
from arbutusstall._wire import messages

_RESEND_S = 1.0
# Maximum number of looks accepted as evidence for one rollback.
_MAX_LOOKS = 64
# Minimum progress at which a lack of calls of the old versions is plausible.
_SCARCE_CONTROL_PROGRESS = 0.7


def begin(
    tables: node.Tables,
    row: comparisons.LocalRollback,
    now: _clock.Instant,
    source: str = "",
) -> list[_effects.Effect]:
    """Stop traffic to a version if its looks reject it.

    Args:
        source: Peer that sent the row; empty for the node itself.
    """
    key = (row.rollout_id, row.version)
    if key in tables.rollbacks_by_version:
        return []
    if not confirms(tables, row):
        return []
    tables.rollbacks_by_version[key] = row
    effects: list[_effects.Effect] = [
        _effects.Emit(
            event="local-rollback",
            fields={
                "rollout": row.rollout_id,
                "version": row.version,
                "route": row.route,
                "reason": row.reason,
                "peer": source or "-",
            },
        )
    ]
    effects += _update_blocked(tables)
    effects += _send_notice(
        tables, [row], set(tables.links_by_peer) - {source}
    )
    return effects


def on_notice(
    tables: node.Tables,
    peer: str,
    message: messages.RollbackNotice,
    now: _clock.Instant,
) -> list[_effects.Effect]:
    """Verify the local rollbacks of a peer and apply those confirmed."""
    effects: list[_effects.Effect] = []
    for row in message.rows:
        effects += begin(tables, row, now, source=peer)
    return effects


def run(tables: node.Tables, now: _clock.Instant) -> list[_effects.Effect]:
    """End local rollbacks that have a verdict and resend the others."""
    effects = _remove_ended(tables)
    rows = list(tables.rollbacks_by_version.values())
    if not rows:
        return effects
    peers = set(tables.links_by_peer)
    if now.mono_s >= tables.next_rollback_s:
        tables.next_rollback_s = now.mono_s + _RESEND_S
        tables.rollback_synced_peers = set()
    effects += _send_notice(tables, rows, peers - tables.rollback_synced_peers)
    tables.rollback_synced_peers = peers
    return effects


def confirms(tables: node.Tables, row: comparisons.LocalRollback) -> bool:
    """Return whether the looks of a local rollback reject the version.

    Looks with too few calls of the old versions are accepted only if the
    shares in force at this node explain why there are so few.
    """
    rollout = tables.snapshot.rollouts_by_id.get(row.rollout_id)
    if rollout is None or rollout.state is not agreed.RolloutState.RUNNING:
        return False
    if row.version not in shares.rising(rollout):
        return False
    routes = running_rollouts.index(tables).routes_by_service[rollout.service]
    if row.route not in routes or not _are_consistent(row.looks):
        return False
    limit = observation.tolerance(tables, rollout, row.metric)
    detector = comparison.replay(row.looks, limit)
    if comparison.is_bad(detector, limit):
        return True
    return (
        rollout.progress >= _SCARCE_CONTROL_PROGRESS
        and comparison.is_suspect(detector, limit)
    )


def _are_consistent(looks: abc.Sequence[comparisons.Look]) -> bool:
    return len(looks) <= _MAX_LOOKS and all(
        comparison.is_consistent(look) for look in looks
    )


def _remove_ended(tables: node.Tables) -> list[_effects.Effect]:
    ended = [
        key
        for key in tables.rollbacks_by_version
        if not _is_running(tables.snapshot, key[0])
    ]
    if not ended:
        return []
    for key in ended:
        del tables.rollbacks_by_version[key]
    return _update_blocked(tables)


def _is_running(snapshot: agreed.Snapshot, rollout_id: str) -> bool:
    rollout = snapshot.rollouts_by_id.get(rollout_id)
    return rollout is not None and rollout.state is agreed.RolloutState.RUNNING


def _update_blocked(tables: node.Tables) -> list[_effects.Effect]:
    tables.blocked.clear()
    for rollout_id, version in tables.rollbacks_by_version:
        rollout = tables.snapshot.rollouts_by_id[rollout_id]
        tables.blocked.add(f"{rollout.service}/{version}")
    return [distribution.publish_view(tables)]


def _send_notice(
    tables: node.Tables,
    rows: list[comparisons.LocalRollback],
    peers: abc.Iterable[str],
) -> list[_effects.Effect]:
    notice = messages.RollbackNotice(rows=tuple(rows))
    return [_effects.Send(peer=peer, message=notice) for peer in sorted(peers)]
