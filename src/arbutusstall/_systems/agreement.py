"""Folds log entries into the agreed state and reports the changes."""

from collections import abc

from arbutusstall import _clock
from arbutusstall import _effects
from arbutusstall._systems import checkpoint
from arbutusstall._systems import distribution
from arbutusstall._systems import log_reset
from arbutusstall._systems import store_eras
from arbutusstall._tables import agreed
from arbutusstall._tables import node


def on_read(
    tables: node.Tables, event: _effects.LogRead, now: _clock.Instant
) -> list[_effects.Effect]:
    """Fold the entries of one log read and put the result in force.

    A log that ends before the folded offset is reported once.
    """
    effects = store_eras.observe(tables, event.era, now)
    if 0 < event.era < tables.store_era:
        # It was read before another reader noticed the new era.
        return effects
    before = tables.agreed
    effects += _fold(tables, event)
    if not store_eras.on_folded(tables, event, now):
        tables.caught_up = False
        tables.log_failing = False
        log_reset.on_read(tables, event, now)
        return effects
    tables.agreed = tables.follower.state
    tables.caught_up = tables.follower.caught_up(event.next_offset)
    log_reset.on_read(tables, event, now)
    _update_lease(tables, now)
    if event.next_offset < before.offset and not tables.log_behind:
        effects.append(
            _effects.Emit(
                event="log-behind",
                fields={"offset": before.offset, "next": event.next_offset},
            )
        )
    tables.log_behind = event.next_offset < before.offset
    effects += _release_events(before.releases_by_name, tables)
    return effects + distribution.adopt(tables, tables.agreed.snapshot, now)


def on_failed(
    tables: node.Tables, event: _effects.LogFailed, now: _clock.Instant
) -> list[_effects.Effect]:
    """Report an outage of the log, or a record that was not appended."""
    if event.record is not None:
        return [
            _effects.Emit(
                event="append-given-up",
                fields={
                    "record": event.record.record_id,
                    "reason": event.reason,
                },
            )
        ]
    if tables.log_failing:
        return []
    tables.log_failing = True
    return [
        _effects.Emit(event="log-failing", fields={"reason": event.reason})
    ]


def _fold(
    tables: node.Tables, event: _effects.LogRead
) -> list[_effects.Effect]:
    effects: list[_effects.Effect] = []
    # Entries are folded one at a time, as a checkpoint has to be encoded
    # from the state in which it began.
    was_reset = False
    for entry in event.entries:
        begun = tables.follower.state.begun
        single_read = _effects.LogRead(
            entries=(entry,),
            first_kept=event.first_kept,
            next_offset=event.next_offset,
        )
        for follower_event in tables.follower.read(single_read):
            was_reset |= follower_event.event == "log-reset"
            effects.append(
                _effects.Emit(
                    event=follower_event.event,
                    fields={
                        "offset": follower_event.offset,
                        "reason": follower_event.reason,
                    },
                )
            )
        state = tables.follower.state
        if state.begun is not begun:
            checkpoint.on_begun(tables, state)
    if not event.entries:
        tables.follower.read(event)
    if was_reset and tables.agreed.offset:
        # Orders that the lost state contained are read at the source again.
        offset = tables.follower.next_offset
        effects.append(_effects.FollowLog(offset=offset, era=tables.store_era))
    return effects


def _update_lease(tables: node.Tables, now: _clock.Instant) -> None:
    lease = tables.agreed.lease
    if tables.log_failing:
        # The holder could not renew during the outage either, so its term
        # starts again.
        tables.log_failing = False
        tables.lease_seen_s = now.mono_s
    if lease.renewed == tables.lease_seen_offset:
        return
    tables.lease_seen_offset = lease.renewed
    tables.lease_seen_s = now.mono_s
    sent_s = tables.lease_sent_s_by_record_id.get(lease.renewed_by)
    tables.lease_held_from_s = sent_s
    if sent_s is not None:
        tables.lease_sent_s_by_record_id = {
            name: value
            for name, value in tables.lease_sent_s_by_record_id.items()
            if value >= sent_s
        }


def _release_events(
    before: abc.Mapping[str, agreed.ReleaseOutcome], tables: node.Tables
) -> list[_effects.Effect]:
    if before is tables.agreed.releases_by_name:
        return []
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
