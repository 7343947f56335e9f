"""Distributes the member rows: endpoints and their states."""

from collections import abc
import dataclasses

from arbutusstall import _clock
from arbutusstall import _effects
from arbutusstall._systems import distribution
from arbutusstall._systems import rows as member_rows
from arbutusstall._tables import links
from arbutusstall._tables import members
from arbutusstall._tables import node
from arbutusstall._wire import messages

_FLUSH_INTERVAL_S = 0.5
_MAX_ROWS_PER_MESSAGE = 500
_MIN_COMPARE_INTERVAL_S = 5.0
_FLAP_HALF_LIFE_S = 15.0
_MAX_FLAP_PENALTY = 4.0


def run(tables: node.Tables, now: _clock.Instant) -> list[_effects.Effect]:
    """Send changed rows, and release a row held back for flapping."""
    effects = _release_held(tables, now)
    effects += _flush(tables, now)
    if tables.membership.view_due:
        effects.append(distribution.publish_view(tables))
    if now.mono_s >= tables.membership.next_sweep_s:
        tables.membership.next_sweep_s = now.mono_s + 1.0
        member_rows.sweep(tables, now)
    return effects


def on_announced(
    tables: node.Tables, event: _effects.Announced, now: _clock.Instant
) -> list[_effects.Effect]:
    """Put the local target into service.

    The row is held back while the flap penalty is too high.
    """
    own = tables.member
    row = dataclasses.replace(
        own,
        state=members.MemberState.SERVING,
        service=event.service,
        version=event.version,
        target=event.address,
        slots=event.slots,
        departed="",
    )
    if row == own:
        tables.membership.held_row = None
        return []
    if _flap_penalty(tables, now) >= _MAX_FLAP_PENALTY:
        tables.membership.held_row = row
        return [
            _effects.Emit(
                event="endpoint-held", fields={"service": row.service}
            )
        ]
    return _change_own(tables, row, "endpoint-serving", now)


def on_left(
    tables: node.Tables, event: _effects.Left, now: _clock.Instant
) -> list[_effects.Effect]:
    """Take the local target out of service at once."""
    tables.membership.held_row = None
    row = dataclasses.replace(
        tables.member,
        state=members.MemberState.LEAVING,
        departed=event.departed or tables.member.departed,
    )
    if row == tables.member:
        return []
    tables.membership.flap_penalty = _flap_penalty(tables, now) + 1.0
    tables.membership.flap_penalty_updated_s = now.mono_s
    effects = _change_own(tables, row, "endpoint-leaving", now)
    effects += _flush(tables, now)
    if tables.membership.view_due:
        effects.append(distribution.publish_view(tables))
    return effects


def on_roster(
    tables: node.Tables, event: _effects.RosterRead, now: _clock.Instant
) -> list[_effects.Effect]:
    """Load stored rows, which are valid until newer ones are received."""
    for row in event.rows:
        is_other = row.node != tables.member.node
        if is_other and member_rows.is_newer(tables, row):
            member_rows.put(tables, row, now)
    if not tables.membership.view_due:
        return []
    return [distribution.publish_view(tables)]


def on_update(
    tables: node.Tables,
    peer: str,
    message: messages.MemberUpdate,
    now: _clock.Instant,
) -> list[_effects.Effect]:
    """Merge rows of a peer and forward those that are newer.

    Rows of nodes that leave or died are forwarded at once. Rows that a
    tombstone supersedes are answered with the tombstone's row.
    """
    urgent = False
    dead_rows: list[members.Member] = []
    effects: list[_effects.Effect] = []
    for row in message.rows:
        if row.node == tables.member.node:
            effects += _earlier_departure(tables, row)
            _refute(tables, row, now)
            continue
        if not member_rows.is_newer(tables, row):
            dead_rows += _tombstone_rows(tables, row)
            continue
        known = tables.members_by_node.get(row.node)
        member_rows.put(tables, row, now)
        _queue_update(tables, row, peer, now)
        urgent = urgent or (known is not None and not row.live)
    if dead_rows:
        reply = messages.MemberUpdate(rows=tuple(dead_rows))
        effects.append(_effects.Send(peer=peer, message=reply))
    if urgent:
        effects += _flush(tables, now)
    # Rows from a node that is not linked come with a configuration for a
    # node that has none, which can serve once it has both.
    urgent = urgent or peer not in tables.links_by_peer
    if urgent and tables.membership.view_due:
        effects.append(distribution.publish_view(tables))
    return effects


def on_digest(
    tables: node.Tables,
    peer: str,
    message: messages.MemberDigest,
    now: _clock.Instant,
) -> list[_effects.Effect]:
    """Send the rows of the buckets that differ."""
    if len(message.buckets) != member_rows.BUCKETS:
        return []
    own = member_rows.bucket_checksums(tables)
    differing = {
        index
        for index, value in enumerate(message.buckets)
        if value != own[index]
    }
    effects: list[_effects.Effect] = []
    if message.reply and differing:
        effects.append(send_digest(tables, peer, reply=False))
    return effects + _send_buckets(tables, peer, differing)


def rows_for(
    tables: node.Tables, peer: str, name: str
) -> list[_effects.Effect]:
    """Return the effects that send ``peer`` what a node needs at its start.

    These are the rows of all live nodes and its own.

    Args:
        peer: Peer to send to.
        name: Node id of the peer.
    """
    rows = [
        row
        for row in tables.members_by_node.values()
        if row.live or row.node == name
    ]
    return _send_rows(peer, rows)


def send_digest(tables: node.Tables, peer: str, reply: bool) -> _effects.Send:
    """Return the effect that starts a table comparison with ``peer``."""
    return _effects.Send(
        peer=peer,
        message=messages.MemberDigest(
            buckets=member_rows.bucket_checksums(tables), reply=reply
        ),
    )


def compare(
    tables: node.Tables, peer: str, checksum: int, now: _clock.Instant
) -> list[_effects.Effect]:
    """Start a table comparison if a peer's checksum differs."""
    if (
        checksum == member_rows.checksum(tables)
        or tables.membership.pending_rows_by_node
    ):
        return []
    compared = tables.membership.compared_s_by_peer
    if now.mono_s < compared.get(peer, 0.0) + _MIN_COMPARE_INTERVAL_S:
        return []
    compared[peer] = now.mono_s
    return [send_digest(tables, peer, reply=True)]


def mark_silent(
    tables: node.Tables, names: list[str], now: _clock.Instant
) -> None:
    """Declare nodes dead that have not been reported alive."""
    for name in names:
        old = tables.members_by_node[name]
        row = dataclasses.replace(
            old, state=members.MemberState.SILENT, sequence=old.sequence + 1
        )
        member_rows.put(tables, row, now)
        _queue_update(tables, row, "", now)


def _tombstone_rows(
    tables: node.Tables, row: members.Member
) -> list[members.Member]:
    # A peer that still has a live row missed the death and is sent the dead
    # row. If the node is alive after all, that row reaches it and the node
    # refutes it.
    tombstone = tables.membership.tombstones_by_node.get(row.node)
    if tombstone is None or not row.live:
        return []
    return [tombstone.row]


def _earlier_departure(
    tables: node.Tables, row: members.Member
) -> list[_effects.Effect]:
    """Report a departure that an earlier process of this node announced.

    That process may have ended before the roster had it.
    """
    if not row.departed or row.incarnation >= tables.member.incarnation:
        return []
    return [_effects.TargetDeparted(start=row.departed)]


def _refute(
    tables: node.Tables, row: members.Member, now: _clock.Instant
) -> None:
    own = tables.member
    if row.rank < own.rank or row == own:
        return
    # Another node has declared this node dead, or has a row of an earlier
    # process of this node whose clock was ahead.
    sequence = max(row.sequence, own.sequence) + 1
    incarnation = max(row.incarnation, own.incarnation)
    tables.member = dataclasses.replace(
        own, sequence=sequence, incarnation=incarnation
    )
    member_rows.put(tables, tables.member, now)
    _queue_update(tables, tables.member, "", now)


def _change_own(
    tables: node.Tables,
    row: members.Member,
    event: str,
    now: _clock.Instant,
) -> list[_effects.Effect]:
    row = dataclasses.replace(row, sequence=row.sequence + 1)
    tables.member = row
    member_rows.put(tables, row, now)
    _queue_update(tables, row, "", now)
    emit = _effects.Emit(
        event=event, fields={"service": row.service, "version": row.version}
    )
    return [emit]


def _flap_penalty(tables: node.Tables, now: _clock.Instant) -> float:
    elapsed_s = now.mono_s - tables.membership.flap_penalty_updated_s
    decay: float = 0.5 ** (elapsed_s / _FLAP_HALF_LIFE_S)
    return tables.membership.flap_penalty * decay


def _release_held(
    tables: node.Tables, now: _clock.Instant
) -> list[_effects.Effect]:
    held = tables.membership.held_row
    if held is None or _flap_penalty(tables, now) >= _MAX_FLAP_PENALTY:
        return []
    tables.membership.held_row = None
    row = dataclasses.replace(held, sequence=tables.member.sequence)
    return _change_own(tables, row, "endpoint-serving", now)


def _queue_update(
    tables: node.Tables, row: members.Member, peer: str, now: _clock.Instant
) -> None:
    state = tables.membership
    if not state.pending_rows_by_node:
        state.flush_due_s = now.mono_s + _FLUSH_INTERVAL_S
    state.pending_rows_by_node[row.node] = (row, peer)
    if not row.live:
        state.flush_due_s = now.mono_s


def _flush(tables: node.Tables, now: _clock.Instant) -> list[_effects.Effect]:
    state = tables.membership
    if not state.pending_rows_by_node or now.mono_s < state.flush_due_s:
        return []
    if not tables.links_by_peer:
        # A peer that links later gets the rows when the tables are compared.
        state.pending_rows_by_node.clear()
        return []
    chosen = _take_pending_rows(tables, now)
    update_by_group: dict[str, messages.MemberUpdate] = {}
    sources = {peer for _, peer in chosen}
    effects: list[_effects.Effect] = []
    for link in tables.links_by_peer.values():
        group = _recipient_group(tables, link, sources)
        if group not in update_by_group:
            update_by_group[group] = messages.MemberUpdate(
                rows=tuple(
                    row
                    for row, peer in chosen
                    if _should_forward(tables, link, peer)
                )
            )
        if update_by_group[group].rows:
            effects.append(
                _effects.Send(peer=link.peer, message=update_by_group[group])
            )
    return effects


def _take_pending_rows(
    tables: node.Tables, now: _clock.Instant
) -> list[tuple[members.Member, str]]:
    state = tables.membership
    limit = max(1, round(tables.settings.relay.rows_per_s * _FLUSH_INTERVAL_S))
    ordered = sorted(
        state.pending_rows_by_node.values(), key=lambda item: item[0].live
    )
    not_live = sum(not row.live for row, _ in ordered)
    chosen = ordered[: max(limit, not_live)]
    for row, _ in chosen:
        del state.pending_rows_by_node[row.node]
    state.flush_due_s = now.mono_s + _FLUSH_INTERVAL_S
    return chosen


def _recipient_group(
    tables: node.Tables, link: links.Link, sources: set[str]
) -> str:
    if link.role is links.LinkRole.ROOT:
        return "roots"
    return link.peer if link.peer in sources else ""


def _should_forward(
    tables: node.Tables, link: links.Link, source: str
) -> bool:
    if source == link.peer:
        return False
    if link.role is not links.LinkRole.ROOT:
        return True
    # All roots are linked to each other, so rows from one root are not
    # forwarded to another.
    origin = tables.links_by_peer.get(source)
    return origin is None or origin.role is not links.LinkRole.ROOT


def _send_buckets(
    tables: node.Tables, peer: str, differing: set[int]
) -> list[_effects.Effect]:
    if not differing:
        return []
    found = [
        row
        for row in tables.members_by_node.values()
        if member_rows.bucket_index(row.node) in differing
    ]
    return _send_rows(peer, found)


def _send_rows(
    peer: str, rows: abc.Sequence[members.Member]
) -> list[_effects.Effect]:
    return [
        _effects.Send(
            peer=peer,
            message=messages.MemberUpdate(
                rows=tuple(rows[start : start + _MAX_ROWS_PER_MESSAGE])
            ),
        )
        for start in range(0, len(rows), _MAX_ROWS_PER_MESSAGE)
    ]
