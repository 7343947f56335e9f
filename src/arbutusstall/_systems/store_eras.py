"""Carries what this node knows into a new era of the store.

A node that notices a new era keeps its configuration in force, appends
nothing but resets of the log, and reads the log anew. At the log's end it
appends a reset with the state that it knew, unless another node's reset
precedes it; see `arbutusstall._log.eras`.
"""

import dataclasses

from arbutusstall import _clock
from arbutusstall import _effects
from arbutusstall._log import eras
from arbutusstall._log import follower as log_follower
from arbutusstall._log import records
from arbutusstall._systems import log_reset
from arbutusstall._tables import agreed
from arbutusstall._tables import node
from arbutusstall._tables import versions

# Spreads the resets of the roots; the first one makes most others shorter.
_SPREAD_S = 0.5
_RETRY_S = 1.0
# Before the leader decides anything, the other roots have time to report
# steps that only they have read.
_SETTLE_S = 2.0


def on_changed(
    tables: node.Tables, event: _effects.StoreEraChanged, now: _clock.Instant
) -> list[_effects.Effect]:
    """Start over with the log if the era is newer than the known one."""
    return observe(tables, event.era, now)


def observe(
    tables: node.Tables, era: int, now: _clock.Instant
) -> list[_effects.Effect]:
    """Note the era of an answer of the store."""
    before = tables.store_era
    if era <= before:
        return []
    tables.store_era = era
    if not before:
        return []
    if not tables.era_pending:
        tables.carried = _newest_known(tables)
    tables.era_pending = True
    tables.era_due_s = 0.0
    tables.follower = log_follower.Follower(era=era)
    tables.caught_up = False
    tables.lease_held_from_s = None
    tables.lease_sent_s_by_record_id.clear()
    tables.log_reset_due_s = 0.0
    tables.checkpoint_chunks = ()
    publications = tables.publications
    publications.orders_by_id.clear()
    publications.order_due_s_by_id.clear()
    publications.reported_by_service.clear()
    return [
        _effects.Emit(
            event="store-era", fields={"era": era, "before": before}
        ),
        _effects.StoreRewound(era=era),
    ]


def on_folded(
    tables: node.Tables, event: _effects.LogRead, now: _clock.Instant
) -> bool:
    """Return whether the folded state belongs to the current era.

    Until then, the state of the earlier era remains.
    """
    follower = tables.follower
    number = follower.state.era_number
    is_whole = follower.caught_up(event.next_offset)
    if not tables.era_pending:
        if is_whole and 0 < number < tables.store_era:
            # A new process has folded the copy.
            tables.era_pending = True
            tables.carried = follower.state
        else:
            return True
    if is_whole and number == tables.store_era:
        tables.era_pending = False
        tables.era_settled_s = now.mono_s + _SETTLE_S
        return True
    at_end = follower.next_offset >= event.next_offset
    if not at_end or follower.seen_era == tables.store_era:
        # Another node has begun the era; its state is read from the log.
        tables.era_due_s = 0.0
    elif not tables.era_due_s:
        tables.era_due_s = now.mono_s + _SPREAD_S * tables.rng.random()
    return False


def run(tables: node.Tables, now: _clock.Instant) -> list[_effects.Effect]:
    """Append a reset with what the new era does not know of the earlier."""
    if tables.relay.leaving or tables.log_failing:
        return []
    if not tables.relay.follows_log:
        return []
    if tables.era_pending:
        if not tables.era_due_s or now.mono_s < tables.era_due_s:
            return []
        tables.era_due_s = now.mono_s + _RETRY_S * (1 + tables.rng.random())
        read_to = tables.follower.next_offset
        return [_effects.Append(record=log_reset.make_record(tables, read_to))]
    if tables.carried is None or not tables.caught_up:
        return []
    if now.mono_s < tables.era_due_s:
        return []
    late = log_reset.make_record(tables, agreed.NO_OFFSET)
    if eras.merge(tables.agreed, tables.agreed.offset, late) is tables.agreed:
        tables.carried = None
        return []
    tables.era_due_s = now.mono_s + _RETRY_S * (1 + tables.rng.random())
    return [_effects.Append(record=late)]


def stamp(
    tables: node.Tables, effects: list[_effects.Effect], now: _clock.Instant
) -> list[_effects.Effect]:
    """Add the era to the records to append.

    Until the state of the era is known and settled, only resets remain.
    """
    if not tables.store_era:
        return effects
    only_resets = tables.era_pending or now.mono_s < tables.era_settled_s
    stamped: list[_effects.Effect] = []
    for effect in effects:
        if isinstance(effect, _effects.Append):
            is_reset = isinstance(effect.record, records.LogReset)
            if only_resets and not is_reset:
                continue
            effect = dataclasses.replace(effect, era=tables.store_era)
        stamped.append(effect)
    return stamped


def _newest_known(tables: node.Tables) -> agreed.Agreed:
    """Return the agreed state with the rollouts in force here, if newer."""
    state = tables.agreed
    old, new = state.snapshot, tables.snapshot
    if versions.log_part(new.version) <= versions.log_part(old.version):
        return state
    snapshot = dataclasses.replace(
        old,
        version=versions.log_part(new.version),
        shares_by_service=new.shares_by_service,
        rollouts_by_id=new.rollouts_by_id,
        blocked=new.blocked,
    )
    return dataclasses.replace(state, snapshot=snapshot)
