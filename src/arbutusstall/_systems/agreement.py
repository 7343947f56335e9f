"""Folds what the log holds into the agreed state."""

from arbutusstall import _clock
from arbutusstall import _effects
from arbutusstall import errors
from arbutusstall._log import fold
from arbutusstall._log import records
from arbutusstall._systems import distribution
from arbutusstall._tables import node


def on_read(
    tables: node.Tables, event: _effects.LogRead, now: _clock.Instant
) -> list[_effects.Effect]:
    """Apply the entries of one log read."""
    effects: list[_effects.Effect] = []
    before = tables.agreed
    for entry in event.entries:
        if entry.offset < tables.agreed.offset:
            continue
        effects += _apply(tables, entry)
    if tables.agreed.lease.renewed != tables.lease_seen_offset:
        tables.lease_seen_offset = tables.agreed.lease.renewed
        tables.lease_seen_s = now.mono_s
    tables.caught_up = tables.agreed.offset >= event.next_offset
    effects += _report(before.releases_by_name, tables)
    if tables.agreed.snapshot.version > tables.snapshot.version:
        effects += distribution.adopt(tables, tables.agreed.snapshot, now)
    return effects


def _apply(
    tables: node.Tables, entry: _effects.LogEntry
) -> list[_effects.Effect]:
    try:
        record = records.decode(entry.data)
    except errors.WireError as exc:
        tables.agreed = fold.skip(tables.agreed, entry.offset)
        return [
            _effects.Emit(
                event="record-skipped",
                fields={"offset": entry.offset, "reason": exc.reason},
            )
        ]
    tables.agreed = fold.apply(tables.agreed, entry.offset, record)
    return []


def _report(before: object, tables: node.Tables) -> list[_effects.Effect]:
    if before is tables.agreed.releases_by_name:
        return []
    assert isinstance(before, dict)
    return [
        _effects.Emit(
            event=f"release-{outcome.state.value}",
            fields={
                "release": name,
                "offset": outcome.offset,
                "reason": outcome.reason or "-",
            },
        )
        for name, outcome in tables.agreed.releases_by_name.items()
        if name not in before
    ]
