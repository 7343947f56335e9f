"""Finds and keeps this node's place in the distribution tree.

Loops cannot form: a node keeps its label as long as it has children, and
a link goes only from a lower label to a higher one.
"""

import dataclasses

from arbutusstall import _clock
from arbutusstall import _effects
from arbutusstall._staleness import decisions as staleness
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
from arbutusstall._tenants import freshness
from arbutusstall._wire import messages

# If this node did not run for longer than this, silence of its peers may be
# due to its own pause and is not counted.
_MIN_PAUSE_S = 1.0
# Parents and other roots get only every third heartbeat.
_SLOW_HEARTBEAT_INTERVAL = 3
_DETACHED_TIMEOUT_S = 5.0


def run(tables: node.Tables, now: _clock.Instant) -> list[_effects.Effect]:
    """Check the links, look for missing ones and send heartbeats."""
    state = tables.relay
    if now.mono_s - state.last_run_s > _MIN_PAUSE_S:
        _restart_silence_timers(tables, now)
    state.last_run_s = now.mono_s
    effects = _drop_silent_links(tables, now)
    effects += _check_detached_parent(tables, now)
    effects += attach.run(tables, now)
    effects += invitations.run(tables, now)
    effects += _heartbeat(tables, now)
    return effects


def _restart_silence_timers(tables: node.Tables, now: _clock.Instant) -> None:
    """Restart all silence timers after a pause of this node."""
    last_received = tables.relay.last_received_s_by_peer
    last_received.update(dict.fromkeys(last_received, now.mono_s))
    alive = tables.membership.last_alive_s_by_node
    alive.update(dict.fromkeys(alive, now.mono_s))
    tables.lease_seen_s = now.mono_s


def on_hello(
    tables: node.Tables,
    peer: str,
    message: messages.Hello,
    now: _clock.Instant,
) -> list[_effects.Effect]:
    """Admit a child or another root, refuse it, or accept an invitation."""
    if message.invite:
        return invitations.on_invited(tables, message, now)
    refusal = admit.refusal(tables, message, now)
    if refusal is not None:
        tables.links_by_peer.pop(peer, None)
        return [
            *invitations.on_refused_hello(tables, peer, message),
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
    tables.relay.last_received_s_by_peer[peer] = now.mono_s
    progress.schedule_report(tables, now)
    welcome = messages.Welcome(
        node=tables.member.node,
        data_centre=tables.member.data_centre,
        label=tables.relay.label,
        local_size=admit.local_size(tables),
        evacuations=tables.evacuations.if_known,
    )
    effects: list[_effects.Effect] = []
    if tables.snapshot.version and not message.version:
        # A node that has just started can serve as soon as it has the
        # configuration, so it gets the rows before.
        effects += membership.rows_for(tables, peer, message.node)
    effects += [
        _effects.Send(peer=peer, message=welcome),
        membership.send_digest(tables, peer, reply=True),
    ]
    if role is links.LinkRole.CHILD:
        effects.append(
            _effects.Send(peer=peer, message=_make_roots_update(tables))
        )
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
    """Add the link to a parent or another root that admitted this node."""
    state = tables.relay
    address = tables.attaching_to
    tables.attaching_to = ""
    state.local_size = max(message.local_size, 1)
    state.last_received_s_by_peer[peer] = now.mono_s
    # The first stamp to the parent is answered with its evidence.
    state.heartbeat_all |= tables.settings.tenants.revoke_s > 0
    if tables.is_root:
        return _add_root_link(tables, peer, address, message, now)
    parent = attach.parent(tables)
    if parent is not None and parent.peer == peer:
        # After a pause the parent may answer two hellos of this node.
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
    """Ask the suggested candidates, or retry later."""
    state = tables.relay
    state.local_size = max(state.local_size, message.local_size)
    link = tables.links_by_peer.get(peer)
    if link is not None and link.role is links.LinkRole.PARENT:
        # The parent is stopping. Its link stays in use until this node has
        # another parent.
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
    """Update the link and compare the peer's state with this node's."""
    link = tables.links_by_peer.get(peer)
    if link is None:
        return [_effects.Disconnect(peer=peer)]
    tables.links_by_peer[peer] = dataclasses.replace(
        link,
        attached=message.attached,
        label=message.label,
        reads_source=message.reads_source,
    )
    staleness.on_heartbeat(tables, link, message, now)
    effects = freshness.on_heartbeat(tables, peer, message, now)
    if link.role is links.LinkRole.PARENT:
        effects += _set_attached(tables, message.attached, now)
        if not message.attached:
            effects += _follow_log_while_detached(tables)
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
    """Store the root positions sent by the parent, and pass them on."""
    state = tables.relay
    same = (state.roots, state.vacant) == (message.roots, message.vacant)
    if tables.is_root or same:
        return []
    state.roots = message.roots
    state.vacant = message.vacant
    effects = _send_to_children(tables, message)
    return effects + root_claims.on_vacant_positions(tables)


def on_lost(
    tables: node.Tables, event: _effects.LinkLost, now: _clock.Instant
) -> list[_effects.Effect]:
    """Remove a link; ``run`` looks for a replacement."""
    state = tables.relay
    if tables.attaching_to == event.peer:
        attach.on_failed(tables, now)
    link = tables.links_by_peer.pop(event.peer, None)
    state.last_received_s_by_peer.pop(event.peer, None)
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
    return [
        emit,
        *_set_attached(tables, False, now),
        *_follow_log_while_detached(tables),
    ]


def on_left(
    tables: node.Tables, event: _effects.Left, now: _clock.Instant
) -> list[_effects.Effect]:
    """Hand over the children and the position if the whole node stops."""
    if not event.stopping:
        return []
    tables.relay.leaving = True
    refusal = messages.Refusal(
        node=tables.member.node,
        retry_after_s=tables.settings.relay.retry_cap_s,
        others=admit.other_parents(tables),
        local_size=admit.local_size(tables),
    )
    return root_claims.release_position(tables) + _send_to_children(
        tables, refusal
    )


def on_log_failed(
    tables: node.Tables, event: _effects.LogFailed, now: _clock.Instant
) -> list[_effects.Effect]:
    """Stop counting renewal ages while the log is unavailable."""
    root_claims.on_log_failed(tables, event, now)
    return []


def on_log_read(
    tables: node.Tables, event: _effects.LogRead, now: _clock.Instant
) -> list[_effects.Effect]:
    """Update the renewal ages; at a root, send changes to the children."""
    root_claims.on_log_read(tables, event, now)
    claims = frozenset(root.offset for root in root_claims.local_roots(tables))
    if claims - tables.relay.seen_claim_offsets:
        attach.reset_backoff(tables, now)
    tables.relay.seen_claim_offsets = claims
    if not tables.is_root:
        return []
    update = _make_roots_update(tables)
    state = tables.relay
    if (state.roots, state.vacant) == (update.roots, update.vacant):
        return []
    state.roots = update.roots
    # At a root ``vacant`` is only a copy of what the children were sent;
    # the root derives the vacant positions from the log.
    state.vacant = update.vacant
    return _send_to_children(tables, update)


def _add_root_link(
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


def _follow_log_while_detached(tables: node.Tables) -> list[_effects.Effect]:
    """Read the log and the source while no parent receives updates.

    This is limited to data centres of at most ``detached_readers``
    members, because the log cannot serve every node of a larger one.
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
    heartbeat = _make_heartbeat(tables, now)
    return _send_to_children(tables, heartbeat)


def _check_detached_parent(
    tables: node.Tables, now: _clock.Instant
) -> list[_effects.Effect]:
    # A parent without a path to a root is left only after a time-out: it
    # usually finds a new parent sooner than its whole subtree could.
    state = tables.relay
    link = attach.parent(tables)
    if link is None or state.attached or state.moving_from:
        return []
    limit_s = _DETACHED_TIMEOUT_S * (1.0 + state.label)
    if now.mono_s - state.detached_since_s >= limit_s:
        state.moving_from = link.peer
        tables.next_attach_s = now.mono_s
    return []


def _drop_silent_links(
    tables: node.Tables, now: _clock.Instant
) -> list[_effects.Effect]:
    limit_s = tables.settings.relay.silent_s
    last_received = tables.relay.last_received_s_by_peer
    effects: list[_effects.Effect] = []
    for peer, link in list(tables.links_by_peer.items()):
        age_s = now.mono_s - last_received.setdefault(peer, now.mono_s)
        is_parent = link.role is links.LinkRole.PARENT
        if age_s <= (
            limit_s if is_parent else limit_s * _SLOW_HEARTBEAT_INTERVAL
        ):
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
    # A child depends on its parent and gets every heartbeat. The other
    # directions may be slower, which halves the work of a root.
    state.heartbeat_count += 1
    to_all = (
        state.heartbeat_all
        or state.heartbeat_count % _SLOW_HEARTBEAT_INTERVAL == 0
    )
    state.heartbeat_all = False
    heartbeat = _make_heartbeat(tables, now)
    return [
        _effects.Send(
            peer=link.peer,
            message=freshness.stamp(tables, link, heartbeat, now),
        )
        for link in tables.links_by_peer.values()
        if to_all or _is_due_each_time(tables, link)
    ]


def _is_due_each_time(tables: node.Tables, link: links.Link) -> bool:
    """Return whether a peer depends on each heartbeat of this node.

    A root that cannot read the source depends on the other roots, which
    matters where configurations have to be in force in time.
    """
    if link.role is links.LinkRole.ROOT:
        return tables.settings.relay.apply_s > 0
    return link.role is links.LinkRole.CHILD


def _make_heartbeat(
    tables: node.Tables, now: _clock.Instant
) -> messages.Heartbeat:
    return messages.Heartbeat(
        attached=tables.relay.attached and not _is_cut_off_from_source(tables),
        label=max(tables.relay.label, relay.ROOT_LABEL),
        version=tables.snapshot.version,
        members=rows.checksum(tables),
        reads_source=tables.is_root and not tables.relay.source_lost,
        news=staleness.reported(tables, now),
        evacuations=tables.evacuations.if_known,
    )


def _is_cut_off_from_source(tables: node.Tables) -> bool:
    """Return whether no update of the source can reach this root.

    A root reports ``reads_source`` only if it reads the source itself.
    Otherwise two roots that cannot read it would each treat the other as
    a path to the source.
    """
    if not (tables.is_root and tables.relay.source_lost):
        return False
    return not any(
        link.role is links.LinkRole.ROOT and link.reads_source
        for link in tables.links_by_peer.values()
    )


def _make_roots_update(tables: node.Tables) -> messages.RootsUpdate:
    if not tables.is_root:
        return messages.RootsUpdate(
            roots=tables.relay.roots, vacant=tables.relay.vacant
        )
    # The offsets of renewals are left out: they change every few seconds,
    # and each change would be sent down the whole tree.
    vacant = root_claims.vacant_positions(tables)
    roots = tuple(
        dataclasses.replace(root, renewed=root.offset)
        for root in root_claims.local_roots(tables)
    )
    return messages.RootsUpdate(roots=roots, vacant=vacant)


def _send_to_children(
    tables: node.Tables, message: messages.Message
) -> list[_effects.Effect]:
    return [
        _effects.Send(peer=link.peer, message=message)
        for link in tables.links_by_peer.values()
        if link.role is links.LinkRole.CHILD
    ]
