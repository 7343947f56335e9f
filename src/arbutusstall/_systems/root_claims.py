"""Claims and renews the root positions of this node's data centre.

Claims and renewals are log records. The time since a position's last
renewal is counted only while the log answers, so that no holder loses its
position through an outage of the log.
"""

import math

from arbutusstall import _clock
from arbutusstall import _effects
from arbutusstall._log import records
from arbutusstall._systems import rendezvous
from arbutusstall._tables import agreed
from arbutusstall._tables import links
from arbutusstall._tables import node
from arbutusstall._tables import relay

_CLAIM_WINDOW_S = 2.0
_CLAIM_RETRY_S = 3.0
# The distribution of the claim delays works for any number of claimants
# up to this one.
_MAX_CLAIMANTS = 2_000
_JITTER = 0.2


def on_log_read(
    tables: node.Tables, event: _effects.LogRead, now: _clock.Instant
) -> None:
    """Update the time since the last renewal of each position."""
    state = tables.relay
    elapsed_s = 0.0
    if state.log_answered_s:
        # A pause of this node must not count as silence of the holders.
        elapsed_s = min(
            now.mono_s - state.log_answered_s, tables.settings.log.poll_s
        )
    state.log_answered_s = now.mono_s
    state.log_failed = False
    for key, root in tables.agreed.roots_by_key.items():
        if state.renewed_by_root.get(key) != root.renewed:
            state.renewed_by_root[key] = root.renewed
            state.age_s_by_root[key] = 0.0
        else:
            state.age_s_by_root[key] += elapsed_s


def on_log_failed(
    tables: node.Tables, event: _effects.LogFailed, now: _clock.Instant
) -> None:
    """Stop counting renewal ages until the log answers again."""
    tables.relay.log_answered_s = 0.0
    tables.relay.log_failed = True


def run(tables: node.Tables, now: _clock.Instant) -> list[_effects.Effect]:
    """Renew this node's position, step down if it is lost, or claim one."""
    if tables.relay.leaving:
        # The position is released already; the children stay attached until
        # they have found other parents.
        return []
    own = _own_root(tables)
    if own is None and tables.is_root:
        return _step_down(tables)
    if own is not None:
        return _maintain_position(tables, own, now)
    if not _may_claim(tables):
        return _stop_following_log(tables)
    return _claim_vacant(tables, now)


def vacant_positions(tables: node.Tables) -> tuple[relay.VacantRoot, ...]:
    """Return the root positions of this data centre without a holder.

    A position whose holder has not renewed it in time counts as vacant.
    """
    found = []
    for position in range(tables.settings.relay.roots):
        key = agreed.root_key(tables.member.data_centre, position)
        root = tables.agreed.roots_by_key.get(key)
        renewed = root.renewed if root else agreed.NO_OFFSET
        if root is None or _has_lapsed(tables, key, root):
            found.append(relay.VacantRoot(position=position, renewed=renewed))
    return tuple(found)


def local_roots(tables: node.Tables) -> list[agreed.Root]:
    """Return the known roots of this node's data centre."""
    state = tables.relay
    if state.roots and not state.follows_log:
        return list(state.roots)
    return [
        root
        for root in tables.agreed.roots_by_key.values()
        if root.data_centre == tables.member.data_centre
    ]


def on_vacant_positions(tables: node.Tables) -> list[_effects.Effect]:
    """Follow the log if this node is one of the preferred claimants.

    These are the first live nodes of the data centre, in rendezvous order,
    that hold no position; there is one more of them than there are vacant
    positions.
    """
    state = tables.relay
    if not state.vacant or state.follows_log or state.leaving:
        return []
    holders = {root.node for root in state.roots}
    names = [
        member.node
        for member in tables.members_by_node.values()
        if member.data_centre == tables.member.data_centre
        and member.node not in holders
        and member.live
    ]
    first = rendezvous.order(tables.member.data_centre, names)
    if tables.member.node not in first[: len(state.vacant) + 1]:
        return []
    state.reading_to_claim = True
    return follow_log(tables)


def follow_log(tables: node.Tables) -> list[_effects.Effect]:
    """Start reading the log from the last offset that was read."""
    if tables.relay.follows_log:
        return []
    tables.relay.follows_log = True
    tables.relay.source_lost = False
    tables.relay.log_answered_s = 0.0
    tables.relay.log_failed = False
    tables.caught_up = False
    return [
        _effects.FollowLog(
            offset=tables.follower.next_offset, era=tables.store_era
        )
    ]


def release_position(tables: node.Tables) -> list[_effects.Effect]:
    """Release this node's position because the node stops."""
    own = _own_root(tables)
    if own is None:
        return []
    return [_make_renewal(tables, own, released=True)]


def _own_root(tables: node.Tables) -> agreed.Root | None:
    name = tables.member.node
    for root in tables.agreed.roots_by_key.values():
        if root.node == name:
            return root
    return None


def _step_down(tables: node.Tables) -> list[_effects.Effect]:
    tables.is_root = False
    tables.relay.label = relay.NO_LABEL
    tables.relay.attached = False
    # A child of a root may have any label above 0. This node would need a
    # label between those of its next parent and of its children, and there
    # may be none, so all links are closed.
    peers = list(tables.links_by_peer)
    tables.links_by_peer.clear()
    effects: list[_effects.Effect] = [
        _effects.Disconnect(peer=peer) for peer in peers
    ]
    return [_effects.Emit(event="root-role-lost"), *effects]


def _maintain_position(
    tables: node.Tables, own: agreed.Root, now: _clock.Instant
) -> list[_effects.Effect]:
    if own.incarnation != tables.member.incarnation:
        # The claim was made before a restart; its addresses may be outdated.
        return _reclaim(tables, own, now)
    effects: list[_effects.Effect] = []
    if not tables.is_root:
        if not tables.caught_up:
            return []
        effects += _become_root(tables, own)
    if now.mono_s >= tables.next_root_record_s:
        wait_s = tables.settings.relay.root_renew_s
        wait_s *= 1.0 - _JITTER * tables.rng.random()
        tables.next_root_record_s = now.mono_s + wait_s
        effects.append(_make_renewal(tables, own, released=False))
    return effects


def _reclaim(
    tables: node.Tables, own: agreed.Root, now: _clock.Instant
) -> list[_effects.Effect]:
    if not tables.caught_up or now.mono_s < tables.next_root_record_s:
        return []
    tables.next_root_record_s = now.mono_s + _CLAIM_RETRY_S
    return [_make_claim(tables, own.position, own.offset)]


def _become_root(
    tables: node.Tables, own: agreed.Root
) -> list[_effects.Effect]:
    tables.is_root = True
    tables.relay.label = relay.ROOT_LABEL
    tables.relay.attached = True
    tables.relay.claim_due_s = 0.0
    tables.relay.reading_to_claim = False
    tables.relay.moving_from = ""
    tables.relay.candidate_addresses.clear()
    tables.attaching_to = ""
    tables.membership.last_alive_s_by_node.clear()
    effects: list[_effects.Effect] = [
        _effects.Emit(
            event="root-role-taken", fields={"position": own.position}
        )
    ]
    for link in list(tables.links_by_peer.values()):
        if link.role is links.LinkRole.PARENT:
            del tables.links_by_peer[link.peer]
            effects.append(_effects.Disconnect(peer=link.peer))
    return effects


def _has_lapsed(tables: node.Tables, key: str, root: agreed.Root) -> bool:
    if root.node == tables.member.node:
        return False
    reported = {root.renewed for root in tables.relay.vacant}
    if root.renewed in reported:
        return True
    limit_s = tables.settings.relay.root_expire_s
    if root.node not in tables.links_by_peer and (
        root.address in tables.relay.retry_s_by_address
    ):
        # The holder could not be reached over the network either, so half
        # the limit suffices: by default, about two missed renewals.
        limit_s /= 2
    return tables.relay.age_s_by_root.get(key, 0.0) > limit_s


def _may_claim(tables: node.Tables) -> bool:
    state = tables.relay
    if tables.is_root or state.leaving or not state.follows_log:
        return False
    return tables.caught_up and bool(vacant_positions(tables))


def _stop_following_log(tables: node.Tables) -> list[_effects.Effect]:
    state = tables.relay
    state.claim_due_s = 0.0
    attached = any(
        link.role is links.LinkRole.PARENT
        for link in tables.links_by_peer.values()
    )
    if not (attached and state.attached and state.follows_log):
        return []
    if tables.is_root:
        return []
    if state.reading_to_claim and not tables.caught_up:
        return []
    state.reading_to_claim = False
    state.follows_log = False
    return [_effects.StopLog()]


def _claim_vacant(
    tables: node.Tables, now: _clock.Instant
) -> list[_effects.Effect]:
    state = tables.relay
    if not state.claim_due_s:
        state.claim_due_s = now.mono_s + _claim_delay_s(tables)
        return []
    if now.mono_s < state.claim_due_s:
        return []
    state.claim_due_s = now.mono_s + _CLAIM_RETRY_S + _claim_delay_s(tables)
    vacant_by_name = {
        str(root.position): root for root in vacant_positions(tables)
    }
    position = vacant_by_name[
        rendezvous.order(tables.member.node, vacant_by_name)[0]
    ].position
    key = agreed.root_key(tables.member.data_centre, position)
    root = tables.agreed.roots_by_key.get(key)
    replaces = root.offset if root else agreed.NO_OFFSET
    return [_make_claim(tables, position, replaces)]


def _claim_delay_s(tables: node.Tables) -> float:
    # With this distribution only a few claimants draw a short delay however
    # many there are: doubling their number shifts the shortest delay by a
    # constant.
    draw = max(tables.rng.random(), 1.0 / _MAX_CLAIMANTS)
    return _CLAIM_WINDOW_S * (1.0 + math.log(draw) / math.log(_MAX_CLAIMANTS))


def _make_claim(
    tables: node.Tables, position: int, replaces: int
) -> _effects.Append:
    own = tables.member
    tables.relay.claim_count += 1
    name = f"{own.node}/{own.incarnation}/{tables.relay.claim_count}"
    return _effects.Append(
        record=records.RootClaim(
            record_id=f"root/{name}",
            node=own.node,
            incarnation=own.incarnation,
            data_centre=own.data_centre,
            address=own.relay,
            admin=tables.settings.advertise.admin
            or tables.settings.addresses.admin,
            position=position,
            replaces=replaces,
        )
    )


def _make_renewal(
    tables: node.Tables, own: agreed.Root, released: bool
) -> _effects.Append:
    tables.relay.claim_count += 1
    name = f"{own.node}/{own.incarnation}/{tables.relay.claim_count}"
    return _effects.Append(
        record=records.RootRenewal(
            record_id=f"root-renewal/{name}",
            data_centre=own.data_centre,
            position=own.position,
            claim=own.offset,
            released=released,
        )
    )
