"""Finds and keeps this node's place in the distribution tree.

Loops are impossible: a node keeps its label as long as it has links,
and a link goes only from a lower label to a higher one.
"""

import dataclasses

from arbutusstall import _clock
from arbutusstall import _effects
from arbutusstall._systems import admit
from arbutusstall._systems import attach
from arbutusstall._systems import distribution
from arbutusstall._systems import invitations
from arbutusstall._systems import membership
from arbutusstall._systems import progress
from arbutusstall._systems import root_claims
from arbutusstall._systems import rows
from arbutusstall._tables import links
from arbutusstall._tables import node
from arbutusstall._tables import relay
from arbutusstall._tables import versions
from arbutusstall._wire import messages

# A node that did not run for so long cannot judge its links by silence.
_PAUSE_S = 1.0
# Between roots and upwards every third heartbeat is sent.
_UP_BEATS = 3
_DETACHED_S = 5.0


def run(tables: node.Tables, now: _clock.Instant) -> list[_effects.Effect]:
    """Watch the links, look for missing ones and send heartbeats."""
    state = tables.relay
    if now.mono_s - state.last_run_s > _PAUSE_S:
        _excuse_silence(tables, now)
    state.last_run_s = now.mono_s
    effects = _drop_silent_links(tables, now)
    effects += _follow_parent(tables, now)
    effects += attach.run(tables, now)
    effects += invitations.run(tables, now)
    effects += _heartbeat(tables, now)
    return effects


def _excuse_silence(tables: node.Tables, now: _clock.Instant) -> None:
    """Take nobody's silence into account that fell into a pause."""
    heard = tables.relay.heard_s_by_peer
    heard.update(dict.fromkeys(heard, now.mono_s))
    alive = tables.membership.last_alive_s_by_node
    alive.update(dict.fromkeys(alive, now.mono_s))
    tables.lease_seen_s = now.mono_s


def on_hello(
    tables: node.Tables,
    peer: str,
    message: messages.Hello,
    now: _clock.Instant,
) -> list[_effects.Effect]:
    """Admit a child or another root, or turn it away."""
    if message.invite:
        invitations.on_invited(tables, message, now)
        return []
    refusal = admit.refusal(tables, message, now)
    if refusal is not None:
        tables.links_by_peer.pop(peer, None)
        return [
            _effects.Send(peer=peer, message=refusal),
            _effects.Disconnect(peer=peer),
        ]
    role = links.LinkRole.ROOT if message.root else links.LinkRole.CHILD
    tables.links_by_peer[peer] = links.Link(
        peer=peer,
        address=message.address,
        role=role,
        version=message.version,
        minimum=message.version,
        data_centre=message.data_centre,
    )
    tables.relay.heard_s_by_peer[peer] = now.mono_s
    progress.schedule_report(tables, now)
    welcome = messages.Welcome(
        node=tables.member.node,
        data_centre=tables.member.data_centre,
        label=tables.relay.label,
        local_size=admit.local_size(tables),
    )
    effects: list[_effects.Effect] = [
        _effects.Send(peer=peer, message=welcome),
        membership.send_digest(tables, peer, reply=True),
    ]
    if role is links.LinkRole.CHILD:
        effects.append(_effects.Send(peer=peer, message=_roots_update(tables)))
        effects += distribution.send_update(tables, peer)
    if versions.has_newer_part(message.version, tables.snapshot.version):
        effects += distribution.request_snapshot(tables, peer, now)
    return effects


def on_welcome(
    tables: node.Tables,
    peer: str,
    message: messages.Welcome,
    now: _clock.Instant,
) -> list[_effects.Effect]:
    """Use the link to a parent or another root."""
    state = tables.relay
    address = tables.attaching_to
    tables.attaching_to = ""
    state.local_size = max(message.local_size, 1)
    state.heard_s_by_peer[peer] = now.mono_s
    if tables.is_root:
        return _link_root(tables, peer, address, message, now)
    parent = attach.parent(tables)
    if parent is not None and parent.peer == peer:
        # The parent found two hellos of this node when it woke.
        return []
    if parent is not None and not state.moving_from:
        return [_effects.Disconnect(peer=peer)]
    if not attach.can_be_parent(tables, message.label):
        return [_effects.Disconnect(peer=peer)]
    effects = _leave_old_parent(tables, peer)
    if not attach.has_children(tables):
        state.label = message.label + 1
    tables.links_by_peer[peer] = links.Link(
        peer=peer,
        address=address,
        role=links.LinkRole.PARENT,
        data_centre=message.data_centre,
        attached=True,
        label=message.label,
    )
    state.attach_rounds = 0
    state.candidate_addresses.clear()
    progress.schedule_report(tables, now)
    effects.append(
        _effects.Emit(
            event="parent-attached",
            fields={"peer": peer, "label": state.label},
        )
    )
    return effects + _set_attached(tables, True, now)


def on_refusal(
    tables: node.Tables,
    peer: str,
    message: messages.Refusal,
    now: _clock.Instant,
) -> list[_effects.Effect]:
    """Ask the named candidates, or the same one later."""
    state = tables.relay
    state.local_size = max(state.local_size, message.local_size)
    link = tables.links_by_peer.get(peer)
    if link is not None and link.role is links.LinkRole.PARENT:
        # The parent stops; its link is used until another one is found.
        state.moving_from = peer
        attach.prepend_candidates(tables, message.others)
        tables.next_attach_s = now.mono_s
        return []
    attach.on_refused(tables, message, now)
    return [_effects.Disconnect(peer=peer)]


def on_heartbeat(
    tables: node.Tables,
    peer: str,
    message: messages.Heartbeat,
    now: _clock.Instant,
) -> list[_effects.Effect]:
    """Compare what the neighbour has with what is here."""
    link = tables.links_by_peer.get(peer)
    if link is None:
        return [_effects.Disconnect(peer=peer)]
    tables.links_by_peer[peer] = dataclasses.replace(
        link,
        attached=message.attached,
        label=message.label,
        reads_source=message.reads_source,
    )
    effects: list[_effects.Effect] = []
    if link.role is links.LinkRole.PARENT:
        effects += _set_attached(tables, message.attached, now)
        if not message.attached:
            effects += _read_alone(tables)
    if versions.has_newer_part(message.version, tables.snapshot.version):
        effects += distribution.request_snapshot(tables, peer, now)
    if link.role is not links.LinkRole.CHILD:
        effects += membership.compare(tables, peer, message.members, now)
    return effects


def on_roots(
    tables: node.Tables,
    peer: str,
    message: messages.RootsUpdate,
    now: _clock.Instant,
) -> list[_effects.Effect]:
    """Keep the root positions that the parent tells, and pass them on."""
    state = tables.relay
    same = (state.roots, state.vacant) == (message.roots, message.vacant)
    if tables.is_root or same:
        return []
    state.roots = message.roots
    state.vacant = message.vacant
    effects = _to_children(tables, message)
    return effects + root_claims.on_vacant_positions(tables)


def on_lost(
    tables: node.Tables, event: _effects.LinkLost, now: _clock.Instant
) -> list[_effects.Effect]:
    """Forget a link; `run` looks for another one."""
    state = tables.relay
    if tables.attaching_to == event.peer:
        attach.on_failed(tables, now)
    link = tables.links_by_peer.pop(event.peer, None)
    state.heard_s_by_peer.pop(event.peer, None)
    if state.moving_from == event.peer:
        state.moving_from = ""
    if link is None:
        return []
    progress.schedule_report(tables, now)
    invitations.on_lost(tables, link, now)
    if link.role is not links.LinkRole.CHILD:
        attach.deprioritize(tables, link.address, now)
    if link.role is not links.LinkRole.PARENT:
        return []
    tables.next_attach_s = now.mono_s
    emit = _effects.Emit(
        event="parent-lost",
        fields={"peer": event.peer, "reason": event.reason},
    )
    return [emit, *_set_attached(tables, False, now), *_read_alone(tables)]


def on_left(
    tables: node.Tables, event: _effects.Left, now: _clock.Instant
) -> list[_effects.Effect]:
    """Hand the children and the position over if the whole node stops."""
    if not event.stopping:
        return []
    tables.relay.leaving = True
    refusal = messages.Refusal(
        node=tables.member.node,
        retry_after_s=tables.settings.relay.retry_cap_s,
        others=admit.other_parents(tables),
        local_size=admit.local_size(tables),
    )
    return root_claims.release_position(tables) + _to_children(tables, refusal)


def on_log_failed(
    tables: node.Tables, event: _effects.LogFailed, now: _clock.Instant
) -> list[_effects.Effect]:
    """Draw no conclusion from silence while the log is out."""
    root_claims.on_log_failed(tables, event, now)
    return []


def on_log_read(
    tables: node.Tables, event: _effects.LogRead, now: _clock.Instant
) -> list[_effects.Effect]:
    """Watch the positions; at a root, tell the children of changes."""
    root_claims.on_log_read(tables, event, now)
    claims = frozenset(root.offset for root in root_claims.local_roots(tables))
    if claims - tables.relay.seen_claim_offsets:
        attach.reset_backoff(tables, now)
    tables.relay.seen_claim_offsets = claims
    if not tables.is_root:
        return []
    update = _roots_update(tables)
    state = tables.relay
    if (state.roots, state.vacant) == (update.roots, update.vacant):
        return []
    state.roots = update.roots
    # `vacant` is what is told; a root judges by the log alone.
    state.vacant = update.vacant
    return _to_children(tables, update)


def _link_root(
    tables: node.Tables,
    peer: str,
    address: str,
    message: messages.Welcome,
    now: _clock.Instant,
) -> list[_effects.Effect]:
    tables.links_by_peer[peer] = links.Link(
        peer=peer,
        address=address,
        role=links.LinkRole.ROOT,
        data_centre=message.data_centre,
    )
    tables.relay.retry_s_by_address.pop(address, None)
    progress.schedule_report(tables, now)
    return []


def _leave_old_parent(tables: node.Tables, new: str) -> list[_effects.Effect]:
    old = tables.relay.moving_from
    tables.relay.moving_from = ""
    if not old or old == new or old not in tables.links_by_peer:
        return []
    del tables.links_by_peer[old]
    return [_effects.Disconnect(peer=old)]


def _read_alone(tables: node.Tables) -> list[_effects.Effect]:
    """Read log and source until there is a parent that hears of news.

    In a large data centre that would be more than the log can serve.
    """
    if admit.local_size(tables) > tables.settings.relay.detached_readers:
        return []
    return root_claims.follow_log(tables)


def _set_attached(
    tables: node.Tables, attached: bool, now: _clock.Instant
) -> list[_effects.Effect]:
    state = tables.relay
    if state.attached == attached:
        return []
    state.attached = attached
    state.detached_since_s = now.mono_s
    beat = _beat(tables)
    return _to_children(tables, beat)


def _follow_parent(
    tables: node.Tables, now: _clock.Instant
) -> list[_effects.Effect]:
    # A parent without a way to a root is left only when it stays so:
    # it mostly finds another one sooner than its whole subtree could.
    state = tables.relay
    link = attach.parent(tables)
    if link is None or state.attached or state.moving_from:
        return []
    limit_s = _DETACHED_S * (1.0 + state.label)
    if now.mono_s - state.detached_since_s >= limit_s:
        state.moving_from = link.peer
        tables.next_attach_s = now.mono_s
    return []


def _drop_silent_links(
    tables: node.Tables, now: _clock.Instant
) -> list[_effects.Effect]:
    limit_s = tables.settings.relay.silent_s
    heard = tables.relay.heard_s_by_peer
    effects: list[_effects.Effect] = []
    for peer, link in list(tables.links_by_peer.items()):
        age_s = now.mono_s - heard.setdefault(peer, now.mono_s)
        down = link.role is links.LinkRole.PARENT
        if age_s <= (limit_s if down else limit_s * _UP_BEATS):
            continue
        effects.append(_effects.Disconnect(peer=peer))
        lost = _effects.LinkLost(peer=peer, reason="silent")
        effects += on_lost(tables, lost, now)
    return effects


def _heartbeat(
    tables: node.Tables, now: _clock.Instant
) -> list[_effects.Effect]:
    state = tables.relay
    if now.mono_s < state.next_heartbeat_s and not state.heartbeat_all:
        return []
    state.next_heartbeat_s = now.mono_s + tables.settings.relay.heartbeat_s
    # A child depends on its parent and hears from it at each beat; the
    # other directions may be slower, which spares a root half its work.
    state.heartbeat_count += 1
    slow = state.heartbeat_all or state.heartbeat_count % _UP_BEATS == 0
    state.heartbeat_all = False
    beat = _beat(tables)
    return [
        _effects.Send(peer=link.peer, message=beat)
        for link in tables.links_by_peer.values()
        if slow or link.role is links.LinkRole.CHILD
    ]


def _beat(tables: node.Tables) -> messages.Heartbeat:
    return messages.Heartbeat(
        attached=tables.relay.attached and not _is_cut_off(tables),
        label=max(tables.relay.label, relay.ROOT_LABEL),
        version=tables.snapshot.version,
        members=rows.checksum(tables),
        reads_source=tables.is_root and not tables.relay.source_lost,
    )


def _is_cut_off(tables: node.Tables) -> bool:
    """Tell whether no news of the source can reach this root.

    Roots tell each other only what they read themselves: two that are
    cut off would else take each other for a way to the source.
    """
    if not (tables.is_root and tables.relay.source_lost):
        return False
    return not any(
        link.role is links.LinkRole.ROOT and link.reads_source
        for link in tables.links_by_peer.values()
    )


def _roots_update(tables: node.Tables) -> messages.RootsUpdate:
    if not tables.is_root:
        return messages.RootsUpdate(
            roots=tables.relay.roots, vacant=tables.relay.vacant
        )
    # Renewals are left out: they would be news every few seconds.
    vacant = root_claims.vacant_positions(tables)
    roots = tuple(
        dataclasses.replace(root, renewed=root.offset)
        for root in root_claims.local_roots(tables)
    )
    return messages.RootsUpdate(roots=roots, vacant=vacant)


def _to_children(
    tables: node.Tables, message: messages.Message
) -> list[_effects.Effect]:
    return [
        _effects.Send(peer=link.peer, message=message)
        for link in tables.links_by_peer.values()
        if link.role is links.LinkRole.CHILD
    ]
