"""Has the leader record in the roster which nodes are gone.

A target whose node cannot reach the roster when the target leaves, and a
node that dies, stay in the roster as they were. After a restart of all
nodes they would be in use again.
"""

from arbutusstall import _clock
from arbutusstall import _effects
from arbutusstall._systems import lease
from arbutusstall._tables import members
from arbutusstall._tables import node

# A node that leaves has this time to record it, or to start again.
_MIN_GONE_S = 4.0
_RETRY_INTERVAL_S = 5.0


def run(tables: node.Tables, now: _clock.Instant) -> list[_effects.Effect]:
    """Record the nodes that are gone for some time, if this node leads."""
    state = tables.membership
    if now.mono_s < state.next_absence_s or not lease.is_leader(tables, now):
        return []
    rows = tuple(
        row
        for row in _gone_rows(tables, now)
        if state.absent_by_node.get(row.node) != row
    )
    if not rows:
        return []
    state.next_absence_s = now.mono_s + _RETRY_INTERVAL_S
    return [_effects.RecordAbsence(rows=rows)]


def on_recorded(
    tables: node.Tables, event: _effects.AbsenceRecorded, now: _clock.Instant
) -> list[_effects.Effect]:
    """Remember which rows the roster reflects."""
    state = tables.membership
    state.absent_by_node = {
        name: row
        for name, row in state.absent_by_node.items()
        if name in state.gone_s_by_node or name in state.tombstones_by_node
    }
    state.absent_by_node.update((row.node, row) for row in event.rows)
    return []


def _gone_rows(
    tables: node.Tables, now: _clock.Instant
) -> list[members.Member]:
    state = tables.membership
    rows = [
        tables.members_by_node[name]
        for name, gone_s in state.gone_s_by_node.items()
        if now.mono_s - gone_s >= _MIN_GONE_S and name != tables.member.node
    ]
    rows += [tombstone.row for tombstone in state.tombstones_by_node.values()]
    return rows
