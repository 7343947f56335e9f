"""Collects outcome counts and passes them towards the leader."""

from arbutusstall import _clock
from arbutusstall import _effects
from arbutusstall._tables import links
from arbutusstall._tables import node
from arbutusstall._tables import outcomes
from arbutusstall._wire import messages


def on_observed(
    tables: node.Tables, event: _effects.Observed, now: _clock.Instant
) -> list[_effects.Effect]:
    """Add counts of the own inbound proxy and report the sums."""
    old = tables.outcomes_by_key.get(event.key, outcomes.OutcomeCounts())
    counts = outcomes.OutcomeCounts(
        calls=old.calls + event.added.calls,
        failures=old.failures + event.added.failures,
        slow=old.slow + event.added.slow,
    )
    row = messages.OutcomeRow(key=event.key, counts=counts)
    return _spread(tables, [row], skip="")


def on_report(
    tables: node.Tables,
    peer: str,
    message: messages.OutcomeReport,
    now: _clock.Instant,
) -> list[_effects.Effect]:
    """Keep the highest counts of each reporter and pass news on."""
    news = [row for row in message.rows if _is_news(tables, row)]
    return _spread(tables, news, skip=peer)


def _is_news(tables: node.Tables, row: messages.OutcomeRow) -> bool:
    known = tables.outcomes_by_key.get(row.key)
    return known is None or row.counts.calls > known.calls


def _spread(
    tables: node.Tables, rows: list[messages.OutcomeRow], skip: str
) -> list[_effects.Effect]:
    if not rows:
        return []
    for row in rows:
        tables.outcomes_by_key[row.key] = row.counts
    report = messages.OutcomeReport(rows=tuple(rows))
    return [
        _effects.Send(peer=link.peer, message=report)
        for link in tables.links_by_peer.values()
        if link.role is not links.LinkRole.CHILD and link.peer != skip
    ]
