"""Spreads which endpoints there are and what state they are in."""

import dataclasses

from arbutusstall import _clock
from arbutusstall import _effects
from arbutusstall._systems import distribution
from arbutusstall._tables import members
from arbutusstall._tables import node
from arbutusstall._wire import messages


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
        return []
    return _change_own(tables, row, "endpoint-serving")


def on_left(
    tables: node.Tables, event: _effects.Left, now: _clock.Instant
) -> list[_effects.Effect]:
    """Take the target beside this node out of service."""
    row = dataclasses.replace(tables.member, state=members.MemberState.LEAVING)
    return _change_own(tables, row, "endpoint-leaving")


def on_update(
    tables: node.Tables,
    peer: str,
    message: messages.MemberUpdate,
    now: _clock.Instant,
) -> list[_effects.Effect]:
    """Merge rows of a neighbour and pass on those that were news."""
    news = [row for row in message.rows if _is_news(tables, row)]
    return _spread(tables, news, skip=peer)


def everything(tables: node.Tables, peer: str) -> _effects.Send:
    """Return the effect that hands the whole table to ``peer``."""
    rows = tuple(tables.members_by_node.values())
    return _effects.Send(peer=peer, message=messages.MemberUpdate(rows=rows))


def _change_own(
    tables: node.Tables, row: members.Member, event: str
) -> list[_effects.Effect]:
    row = dataclasses.replace(row, sequence=row.sequence + 1)
    tables.member = row
    emit = _effects.Emit(
        event=event, fields={"service": row.service, "version": row.version}
    )
    return [emit, *_spread(tables, [row], skip="")]


def _is_news(tables: node.Tables, row: members.Member) -> bool:
    if row.node == tables.member.node:
        return False
    known = tables.members_by_node.get(row.node)
    return known is None or row.rank > known.rank


def _spread(
    tables: node.Tables, rows: list[members.Member], skip: str
) -> list[_effects.Effect]:
    if not rows:
        return []
    for row in rows:
        tables.members_by_node[row.node] = row
    effects: list[_effects.Effect] = [distribution.view(tables)]
    update = messages.MemberUpdate(rows=tuple(rows))
    for peer in tables.links_by_peer:
        if peer != skip:
            effects.append(_effects.Send(peer=peer, message=update))
    return effects
