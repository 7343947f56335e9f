"""Spreads which endpoints there are and what state they are in."""

import dataclasses

from arbutusstall import _clock
from arbutusstall import _effects
from arbutusstall._systems import distribution
from arbutusstall._systems import rows as table
from arbutusstall._tables import links
from arbutusstall._tables import members
from arbutusstall._tables import node
from arbutusstall._wire import messages

_SPREAD_S = 0.5
_ROWS_PER_MESSAGE = 500
_SYNC_AGAIN_S = 5.0
_FLAP_HALF_LIFE_S = 15.0
_FLAP_LIMIT = 4.0


def run(tables: node.Tables, now: _clock.Instant) -> list[_effects.Effect]:
    """Send changed rows and serve again after flapping."""
    effects = _release_held(tables, now)
    effects += _flush(tables, now)
    if tables.membership.view_due:
        effects.append(distribution.publish_view(tables))
    if now.mono_s >= tables.membership.next_sweep_s:
        tables.membership.next_sweep_s = now.mono_s + 1.0
        table.sweep(tables, now)
    return effects


def on_announced(
    tables: node.Tables, event: _effects.Announced, now: _clock.Instant
) -> list[_effects.Effect]:
    """Make the target beside this node known."""
    own = tables.member
    row = dataclasses.replace(
        own,
        state=members.MemberState.SERVING,
        service=event.service,
        version=event.version,
        target=event.address,
        slots=event.slots,
    )
    if row == own:
        tables.membership.held_row = None
        return []
    if _penalty(tables, now) >= _FLAP_LIMIT:
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
    """Take the target beside this node out of service at once."""
    tables.membership.held_row = None
    row = dataclasses.replace(tables.member, state=members.MemberState.LEAVING)
    if row == tables.member:
        return []
    tables.membership.flap_penalty = _penalty(tables, now) + 1.0
    tables.membership.flap_penalty_updated_s = now.mono_s
    effects = _change_own(tables, row, "endpoint-leaving", now)
    effects += _flush(tables, now)
    if tables.membership.view_due:
        effects.append(distribution.publish_view(tables))
    return effects


def on_roster(
    tables: node.Tables, event: _effects.RosterRead, now: _clock.Instant
) -> list[_effects.Effect]:
    """Use kept rows until the nodes themselves are heard of."""
    for row in event.rows:
        other = row.node != tables.member.node
        if other and table.is_newer(tables, row):
            table.put(tables, row, now)
    if not tables.membership.view_due:
        return []
    return [distribution.publish_view(tables)]


def on_update(
    tables: node.Tables,
    peer: str,
    message: messages.MemberUpdate,
    now: _clock.Instant,
) -> list[_effects.Effect]:
    """Merge rows of a neighbour and pass on those that were news."""
    urgent = False
    buried: list[members.Member] = []
    for row in message.rows:
        if row.node == tables.member.node:
            _refute(tables, row, now)
            continue
        if not table.is_newer(tables, row):
            buried += _buried(tables, row)
            continue
        known = tables.members_by_node.get(row.node)
        table.put(tables, row, now)
        _note(tables, row, peer, now)
        urgent = urgent or (known is not None and not row.live)
    effects: list[_effects.Effect] = []
    if buried:
        reply = messages.MemberUpdate(rows=tuple(buried))
        effects.append(_effects.Send(peer=peer, message=reply))
    if urgent:
        effects += _flush(tables, now)
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
    if len(message.buckets) != table.BUCKETS:
        return []
    own = table.bucket_checksums(tables)
    differing = {
        index
        for index, value in enumerate(message.buckets)
        if value != own[index]
    }
    effects: list[_effects.Effect] = []
    if message.reply and differing:
        effects.append(send_digest(tables, peer, reply=False))
    return effects + _send_buckets(tables, peer, differing)


def send_digest(tables: node.Tables, peer: str, reply: bool) -> _effects.Send:
    """Return the effect that begins to compare tables with ``peer``."""
    return _effects.Send(
        peer=peer,
        message=messages.MemberDigest(
            buckets=table.bucket_checksums(tables), reply=reply
        ),
    )


def compare(
    tables: node.Tables, peer: str, total: int, now: _clock.Instant
) -> list[_effects.Effect]:
    """Begin to compare tables if a neighbour's total differs."""
    if (
        total == table.checksum(tables)
        or tables.membership.pending_rows_by_node
    ):
        return []
    synced = tables.membership.compared_s_by_peer
    if now.mono_s < synced.get(peer, 0.0) + _SYNC_AGAIN_S:
        return []
    synced[peer] = now.mono_s
    return [send_digest(tables, peer, reply=True)]


def mark_silent(
    tables: node.Tables, names: list[str], now: _clock.Instant
) -> None:
    """Take nodes for dead that nobody has reported alive."""
    for name in names:
        old = tables.members_by_node[name]
        row = dataclasses.replace(
            old, state=members.MemberState.SILENT, sequence=old.sequence + 1
        )
        table.put(tables, row, now)
        _note(tables, row, "", now)


def _buried(tables: node.Tables, row: members.Member) -> list[members.Member]:
    # A neighbour that missed the death is told; if it is the node
    # itself that lives, the word reaches it and it refutes.
    tombstone = tables.membership.tombstones_by_node.get(row.node)
    if tombstone is None or not row.live:
        return []
    return [tombstone.row]


def _refute(
    tables: node.Tables, row: members.Member, now: _clock.Instant
) -> None:
    own = tables.member
    if row.rank < own.rank or row == own:
        return
    # Somebody took this node for dead, or has a row of an earlier
    # process whose clock ran ahead.
    sequence = max(row.sequence, own.sequence) + 1
    incarnation = max(row.incarnation, own.incarnation)
    tables.member = dataclasses.replace(
        own, sequence=sequence, incarnation=incarnation
    )
    table.put(tables, tables.member, now)
    _note(tables, tables.member, "", now)


def _change_own(
    tables: node.Tables,
    row: members.Member,
    event: str,
    now: _clock.Instant,
) -> list[_effects.Effect]:
    row = dataclasses.replace(row, sequence=row.sequence + 1)
    tables.member = row
    table.put(tables, row, now)
    _note(tables, row, "", now)
    emit = _effects.Emit(
        event=event, fields={"service": row.service, "version": row.version}
    )
    return [emit]


def _penalty(tables: node.Tables, now: _clock.Instant) -> float:
    elapsed_s = now.mono_s - tables.membership.flap_penalty_updated_s
    decay: float = 0.5 ** (elapsed_s / _FLAP_HALF_LIFE_S)
    return tables.membership.flap_penalty * decay


def _release_held(
    tables: node.Tables, now: _clock.Instant
) -> list[_effects.Effect]:
    held = tables.membership.held_row
    if held is None or _penalty(tables, now) >= _FLAP_LIMIT:
        return []
    tables.membership.held_row = None
    row = dataclasses.replace(held, sequence=tables.member.sequence)
    return _change_own(tables, row, "endpoint-serving", now)


def _note(
    tables: node.Tables, row: members.Member, peer: str, now: _clock.Instant
) -> None:
    spread = tables.membership
    if not spread.pending_rows_by_node:
        spread.flush_due_s = now.mono_s + _SPREAD_S
    spread.pending_rows_by_node[row.node] = (row, peer)
    if not row.live:
        spread.flush_due_s = now.mono_s


def _flush(tables: node.Tables, now: _clock.Instant) -> list[_effects.Effect]:
    spread = tables.membership
    if not spread.pending_rows_by_node or now.mono_s < spread.flush_due_s:
        return []
    if not tables.links_by_peer:
        # A later neighbour gets the rows when tables are compared.
        spread.pending_rows_by_node.clear()
        return []
    chosen = _take_news(tables, now)
    by_sources: dict[str, messages.MemberUpdate] = {}
    sources = {peer for _, peer in chosen}
    effects: list[_effects.Effect] = []
    for link in tables.links_by_peer.values():
        group = _group(tables, link, sources)
        if group not in by_sources:
            by_sources[group] = messages.MemberUpdate(
                rows=tuple(
                    row for row, peer in chosen if _passes(tables, link, peer)
                )
            )
        if by_sources[group].rows:
            effects.append(
                _effects.Send(peer=link.peer, message=by_sources[group])
            )
    return effects


def _take_news(
    tables: node.Tables, now: _clock.Instant
) -> list[tuple[members.Member, str]]:
    spread = tables.membership
    limit = max(1, round(tables.settings.relay.rows_per_s * _SPREAD_S))
    ordered = sorted(
        spread.pending_rows_by_node.values(), key=lambda item: item[0].live
    )
    dead = sum(not row.live for row, _ in ordered)
    chosen = ordered[: max(limit, dead)]
    for row, _ in chosen:
        del spread.pending_rows_by_node[row.node]
    spread.flush_due_s = now.mono_s + _SPREAD_S
    return chosen


def _group(tables: node.Tables, link: links.Link, sources: set[str]) -> str:
    if link.role is links.LinkRole.ROOT:
        return "roots"
    return link.peer if link.peer in sources else ""


def _passes(tables: node.Tables, link: links.Link, source: str) -> bool:
    if source == link.peer:
        return False
    if link.role is not links.LinkRole.ROOT:
        return True
    # All roots are linked to each other: one hop is enough.
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
        if table.bucket_index(row.node) in differing
    ]
    return [
        _effects.Send(
            peer=peer,
            message=messages.MemberUpdate(
                rows=tuple(found[start : start + _ROWS_PER_MESSAGE])
            ),
        )
        for start in range(0, len(found), _ROWS_PER_MESSAGE)
    ]
