"""Collects outcome counts and passes them towards the roots.

Rows are cumulative and belong to one running rollout, so a lost, doubled
or reordered report changes nothing. Every root gets every row: a root's
own subtree sends them up, and roots hand them to each other.
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

_MOST_ROWS = 100_000
_ROWS_PER_REPORT = 500
_ROLLOUTS_AT_FULL_RATE = 20


def on_observed(
    tables: node.Tables, event: _effects.Observed, now: _clock.Instant
) -> list[_effects.Effect]:
    """Add counts of the own inbound proxy."""
    rollout = running_rollouts.index(tables).rollouts_by_service.get(
        event.key.service
    )
    if rollout is None or not event.added.is_sound:
        return []
    key = dataclasses.replace(
        event.key,
        reporter=tables.member.node,
        incarnation=tables.member.incarnation,
        rollout=rollout.offset,
    )
    old = tables.outcomes_by_key.get(key, outcomes.OutcomeCounts())
    row = messages.OutcomeRow(key=key, counts=old.plus(event.added))
    _keep(tables, row, event.added, "", now)
    return []


def on_report(
    tables: node.Tables,
    peer: str,
    message: messages.OutcomeReport,
    now: _clock.Instant,
) -> list[_effects.Effect]:
    """Keep the newest counts of each reporter."""
    rollouts = running_rollouts.index(tables).rollouts_by_service
    for row in message.rows:
        rollout = rollouts.get(row.key.service)
        if rollout is None or rollout.offset != row.key.rollout:
            continue
        added = _added(tables, row)
        if added is not None:
            _keep(tables, row, added, peer, now)
    return []


def run(tables: node.Tables, now: _clock.Instant) -> list[_effects.Effect]:
    """Forget rows of ended rollouts and report what is new."""
    if now.mono_s < tables.next_outcome_report_s:
        return []
    tables.next_outcome_report_s = now.mono_s + interval_s(tables)
    _forget(tables)
    effects: list[_effects.Effect] = []
    above = [
        link
        for link in tables.links_by_peer.values()
        if link.role is not links.LinkRole.CHILD
    ]
    for link in above:
        effects += _report(tables, link)
    tables.outcome_synced_peers = {link.peer for link in above}
    tables.unreported_outcomes.clear()
    return effects


def interval_s(tables: node.Tables) -> float:
    """Return the interval of reports.

    It grows with the number of running rollouts beyond a few, so that
    the roots' work does not grow with it. All nodes count the same.
    """
    running = len(running_rollouts.index(tables).rollouts_by_service)
    return tables.settings.rollout.report_s * max(
        1.0, running / _ROLLOUTS_AT_FULL_RATE
    )


def _added(
    tables: node.Tables, row: messages.OutcomeRow
) -> outcomes.OutcomeCounts | None:
    """Return what a row adds; None if it is old, or cannot be right."""
    known = tables.outcomes_by_key.get(row.key)
    if known is None:
        full = len(tables.outcomes_by_key) >= _MOST_ROWS
        return None if full or not row.counts.is_sound else row.counts
    if row.counts.calls <= known.calls:
        return None
    if len(row.counts.durations) != len(known.durations):
        return None
    added = row.counts.minus(known)
    return added if added.is_sound else None


def _keep(
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


def _forget(tables: node.Tables) -> None:
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
        if not _from_above(tables, key)
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


def _from_above(tables: node.Tables, key: outcomes.OutcomeKey) -> bool:
    """Tell whether the row came from another root."""
    source = tables.unreported_outcomes.get(key, "")
    link = tables.links_by_peer.get(source)
    return link is not None and link.role is links.LinkRole.ROOT
