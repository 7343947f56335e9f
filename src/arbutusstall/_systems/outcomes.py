"""Collects outcome counts and reports them to the roots.

Rows are cumulative and belong to one running rollout, so lost, duplicated
or reordered reports do no harm. Every root gets every row: children
report to their parents, and roots forward their subtree's rows to each
other.
"""

import dataclasses

from arbutusstall import _clock
from arbutusstall import _effects
from arbutusstall._systems import observation
from arbutusstall._systems import running_rollouts
from arbutusstall._tables import links
from arbutusstall._tables import node
from arbutusstall._tables import outcomes
from arbutusstall._wire import messages

_MAX_ROWS = 100_000
_ROWS_PER_REPORT = 500
_MAX_ROLLOUTS_AT_FULL_RATE = 20


def on_observed(
    tables: node.Tables, event: _effects.Observed, now: _clock.Instant
) -> list[_effects.Effect]:
    """Add counts of this node's inbound proxy to its own rows."""
    rollout = running_rollouts.index(tables).rollouts_by_service.get(
        event.key.service
    )
    if rollout is None or not event.added.is_consistent:
        return []
    key = dataclasses.replace(
        event.key,
        reporter=tables.member.node,
        incarnation=tables.member.incarnation,
        rollout=rollout.offset,
    )
    old = tables.outcomes_by_key.get(key, outcomes.OutcomeCounts())
    row = messages.OutcomeRow(key=key, counts=old.plus(event.added))
    _store(tables, row, event.added, "", now)
    return []


def on_report(
    tables: node.Tables,
    peer: str,
    message: messages.OutcomeReport,
    now: _clock.Instant,
) -> list[_effects.Effect]:
    """Store newer counts of running rollouts and discard other rows."""
    rollouts = running_rollouts.index(tables).rollouts_by_service
    for row in message.rows:
        rollout = rollouts.get(row.key.service)
        if rollout is None or rollout.offset != row.key.rollout:
            continue
        added = _increment(tables, row)
        if added is not None:
            _store(tables, row, added, peer, now)
    return []


def run(tables: node.Tables, now: _clock.Instant) -> list[_effects.Effect]:
    """Remove rows of ended rollouts and report new rows to the peers.

    Reports go to the parent and to other roots. A peer that was not sent
    the previous report gets all rows.
    """
    if now.mono_s < tables.next_outcome_report_s:
        return []
    tables.next_outcome_report_s = now.mono_s + interval_s(tables)
    _remove_ended(tables)
    effects: list[_effects.Effect] = []
    upstream = [
        link
        for link in tables.links_by_peer.values()
        if link.role is not links.LinkRole.CHILD
    ]
    for link in upstream:
        effects += _report(tables, link)
    tables.outcome_synced_peers = {link.peer for link in upstream}
    tables.unreported_outcomes.clear()
    return effects


def interval_s(tables: node.Tables) -> float:
    """Return the interval between reports in seconds.

    Beyond ``_MAX_ROLLOUTS_AT_FULL_RATE`` running rollouts it grows with
    their number, which bounds the work at the roots. All nodes have the
    same number of running rollouts and so the same interval.
    """
    running = len(running_rollouts.index(tables).rollouts_by_service)
    return tables.settings.rollout.report_s * max(
        1.0, running / _MAX_ROLLOUTS_AT_FULL_RATE
    )


def _increment(
    tables: node.Tables, row: messages.OutcomeRow
) -> outcomes.OutcomeCounts | None:
    """Return what a row adds to the known counts.

    None means that the row is old or inconsistent, or that it is new and
    the table is full.
    """
    known = tables.outcomes_by_key.get(row.key)
    if known is None:
        full = len(tables.outcomes_by_key) >= _MAX_ROWS
        return None if full or not row.counts.is_consistent else row.counts
    if row.counts.calls <= known.calls:
        return None
    if len(row.counts.durations) != len(known.durations):
        return None
    added = row.counts.minus(known)
    return added if added.is_consistent else None


def _store(
    tables: node.Tables,
    row: messages.OutcomeRow,
    added: outcomes.OutcomeCounts,
    source: str,
    now: _clock.Instant,
) -> None:
    tables.outcomes_by_key[row.key] = row.counts
    tables.unreported_outcomes[row.key] = source
    if tables.is_root:
        observation.add_counts(tables, row.key, added, now)


def _remove_ended(tables: node.Tables) -> None:
    offsets = {
        rollout.offset
        for rollout in running_rollouts.index(
            tables
        ).rollouts_by_service.values()
    }
    for key in list(tables.outcomes_by_key):
        if key.rollout not in offsets:
            del tables.outcomes_by_key[key]
            tables.unreported_outcomes.pop(key, None)


def _report(tables: node.Tables, link: links.Link) -> list[_effects.Effect]:
    if link.peer in tables.outcome_synced_peers:
        keys = list(tables.unreported_outcomes)
    else:
        keys = list(tables.outcomes_by_key)
    rows = [
        messages.OutcomeRow(key=key, counts=tables.outcomes_by_key[key])
        for key in keys
        if not _is_from_root(tables, key)
    ]
    return [
        _effects.Send(
            peer=link.peer,
            message=messages.OutcomeReport(
                rows=tuple(rows[start : start + _ROWS_PER_REPORT])
            ),
        )
        for start in range(0, len(rows), _ROWS_PER_REPORT)
    ]


def _is_from_root(tables: node.Tables, key: outcomes.OutcomeKey) -> bool:
    """Return whether the row came from another root.

    Such a row is not forwarded: its sender reports to all roots itself.
    """
    source = tables.unreported_outcomes.get(key, "")
    link = tables.links_by_peer.get(source)
    return link is not None and link.role is links.LinkRole.ROOT
