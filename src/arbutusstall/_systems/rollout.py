"""Moves traffic between versions while the outcomes allow it.

The leader alone decides, one step at a time; the other roots keep the
same counts and go on from the agreed state when they take over.
"""

from arbutusstall import _clock
from arbutusstall import _effects
from arbutusstall._log import records
from arbutusstall._systems import capacity
from arbutusstall._systems import comparison
from arbutusstall._systems import lease
from arbutusstall._systems import local_rollback
from arbutusstall._systems import moving
from arbutusstall._systems import observation
from arbutusstall._systems import plan
from arbutusstall._systems import shares
from arbutusstall._tables import agreed
from arbutusstall._tables import comparisons
from arbutusstall._tables import node

HELD_BY_OUTCOMES = "outcomes"
HELD_BY_CAPACITY = "capacity"
HELD_BY_ENDPOINTS = "endpoints"
HELD_BY_LOG = "log"

_ANSWER_S = 1.0
_UNANSWERED_S = 2.0
_SOUND_PART = 0.12
_LOW_PATIENCE = 5.0
_LOW_PATIENCE_PART = 0.1
_LATE_S = 1.0
_LATE = "late"


def run(tables: node.Tables, now: _clock.Instant) -> list[_effects.Effect]:
    """Compare the versions of running rollouts and decide on each."""
    effects: list[_effects.Effect] = []
    for row in observation.run(tables, now):
        effects += local_rollback.begin(tables, row, now)
    effects += _reject_again(tables, now)
    effects += local_rollback.run(tables, now)
    if not tables.is_root:
        return effects
    leads = lease.is_leader(tables, now)
    for rollout in moving.of(tables).rollouts_by_service.values():
        watch = tables.watches_by_rollout.get(rollout.rollout_id)
        if watch is None:
            continue
        if leads or _is_unled(tables, now):
            effects += _act_unanswered(tables, rollout, watch, now)
        if leads:
            effects += _lead(tables, rollout, watch, now)
        elif _log_is_out(tables, now):
            effects += _stand_still(rollout, watch, now)
    return effects


def _reject_again(
    tables: node.Tables, now: _clock.Instant
) -> list[_effects.Effect]:
    """Roll back versions that are suspected again after a comparison.

    At a lowered share they were as good as the old version, so it is the
    load they cannot stand.
    """
    effects: list[_effects.Effect] = []
    for rollout in moving.of(tables).rollouts_by_service.values():
        watch = tables.watches_by_rollout.get(rollout.rollout_id)
        if watch is None or not watch.probes:
            continue
        row = observation.suspicion(rollout, watch)
        if row is not None:
            effects += local_rollback.begin(tables, row, now)
    return effects


def _act_unanswered(
    tables: node.Tables,
    rollout: agreed.Rollout,
    watch: comparisons.Watch,
    now: _clock.Instant,
) -> list[_effects.Effect]:
    """Roll back a version whose share the log did not lower to compare."""
    row = observation.suspicion(rollout, watch)
    if row is None or now.mono_s - watch.suspected_s < _UNANSWERED_S:
        return []
    return local_rollback.begin(tables, row, now)


def _lead(
    tables: node.Tables,
    rollout: agreed.Rollout,
    watch: comparisons.Watch,
    now: _clock.Instant,
) -> list[_effects.Effect]:
    due_s = tables.next_step_s_by_rollout.get(_step_id(rollout), 0.0)
    if now.mono_s < due_s:
        return []
    records_ = _decide(tables, rollout, watch, now)
    if records_:
        _forget_steps(tables)
        tables.next_step_s_by_rollout[_step_id(rollout)] = (
            now.mono_s + _ANSWER_S
        )
    return [_effects.Append(record=record) for record in records_]


def _decide(
    tables: node.Tables,
    rollout: agreed.Rollout,
    watch: comparisons.Watch,
    now: _clock.Instant,
) -> list[records.Record]:
    bad = _rolled_back(tables, rollout)
    if bad:
        return [
            _verdict(
                tables,
                rollout,
                done=False,
                reason="; ".join(row.reason for row in bad),
                rejected=tuple(sorted({row.version for row in bad})),
            )
        ]
    probe = tables.settings.rollout.probe_percent / 100.0
    if watch.suspected is not None and rollout.progress > probe:
        held_by = _or_late(rollout, HELD_BY_OUTCOMES, now)
        return [_shares(tables, rollout, probe, held_by)]
    stage = _next_stage(tables, rollout, watch)
    if stage is None:
        return _finish(tables, rollout, watch, now)
    if now.mono_s - watch.entered_s < stage.after_s:
        return _note_hold(tables, rollout, watch, "", now)
    progress = min(stage.progress, _most_progress(tables, rollout, watch))
    held_by = _held_by(tables, rollout, watch, progress, now)
    if held_by:
        return _note_hold(tables, rollout, watch, held_by, now)
    watch.held_by = ""
    still = HELD_BY_CAPACITY if progress < stage.progress else ""
    still = _or_late(rollout, still, now) if progress < 1.0 else ""
    return [_shares(tables, rollout, progress, still)]


def _next_stage(
    tables: node.Tables, rollout: agreed.Rollout, watch: comparisons.Watch
) -> plan.Stage | None:
    policy = tables.settings.rollout
    return plan.next_stage(
        rollout.progress,
        plan.first_progress(shares.highest_rise(rollout), policy),
        plan.control_progress(shares.ends_at_zero(rollout), policy),
        plan.Window(started_s=rollout.started_s, by_s=rollout.by_s),
        watch.entered_wall_s,
        policy,
    )


def _finish(
    tables: node.Tables,
    rollout: agreed.Rollout,
    watch: comparisons.Watch,
    now: _clock.Instant,
) -> list[records.Record]:
    """Give the verdict after the goal was in force for a while."""
    if now.mono_s - watch.entered_s < tables.settings.rollout.watch_s:
        return []
    if not _is_sound(tables, rollout, watch):
        return _note_hold(tables, rollout, watch, HELD_BY_OUTCOMES, now)
    late_s = watch.entered_wall_s - rollout.by_s
    on_time = late_s <= _LATE_S or rollout.by_s <= rollout.started_s
    reason = "goal reached" if on_time else f"goal reached {late_s:.0f} s late"
    return [
        _verdict(
            tables,
            rollout,
            done=True,
            reason=f"{reason}; {_summary(rollout, watch)}",
        )
    ]


def _summary(rollout: agreed.Rollout, watch: comparisons.Watch) -> str:
    rises = shares.rising(rollout)
    cells = watch.totals_by_cell.items()
    calls = sum(row.calls for cell, row in cells if cell[0] in rises)
    failures = sum(row.failures for cell, row in cells if cell[0] in rises)
    return f"{','.join(rises)} failed {failures} of {calls} calls"


def _held_by(
    tables: node.Tables,
    rollout: agreed.Rollout,
    watch: comparisons.Watch,
    progress: float,
    now: _clock.Instant,
) -> str:
    counts = [
        capacity.of_version(tables, rollout.service, version)
        for version in shares.rising(rollout)
    ]
    if not all(count.endpoints for count in counts):
        return HELD_BY_ENDPOINTS
    if progress <= rollout.progress:
        return HELD_BY_CAPACITY
    if rollout.progress > 0.0 and not (
        _is_sound(tables, rollout, watch)
        and _is_enough(tables, rollout, watch, now)
    ):
        return HELD_BY_OUTCOMES
    return ""


def _most_progress(
    tables: node.Tables, rollout: agreed.Rollout, watch: comparisons.Watch
) -> float:
    """Return how far the serving endpoints can carry the rollout."""
    most = 1.0
    call_s = observation.call_s(watch)
    for version in shares.rising(rollout):
        percent = capacity.max_percent(
            capacity.of_version(tables, rollout.service, version),
            watch.calls_per_s,
            call_s,
            tables.settings.rollout.headroom,
        )
        start = rollout.start.get(version, 0.0)
        rise = rollout.goal[version] - start
        most = min(most, (percent - start) / rise)
    return max(most, 0.0)


def _is_sound(
    tables: node.Tables, rollout: agreed.Rollout, watch: comparisons.Watch
) -> bool:
    """Tell whether no comparison points at a bad version."""
    for key, detector in watch.detectors_by_key.items():
        limit = observation.tolerance(tables, rollout, key.metric)
        worry = limit.threshold * _SOUND_PART
        if min(detector.relative, detector.absolute) >= worry:
            return False
        if detector.absolute >= worry and comparison.is_scarce(detector.looks):
            return False
    return True


def _is_enough(
    tables: node.Tables,
    rollout: agreed.Rollout,
    watch: comparisons.Watch,
    now: _clock.Instant,
) -> bool:
    """Tell whether each route was seen well enough at this share."""
    stage_s = now.mono_s - watch.entered_s
    calls = watch.stage_calls_by_cell
    routes = moving.of(tables).routes_by_service[rollout.service]
    current = shares.interpolate(rollout.start, rollout.goal, rollout.progress)
    for route in routes:
        total = sum(count for cell, count in calls.items() if cell[1] == route)
        for version in shares.rising(rollout):
            expected = total * current[version] / 100.0
            seen = calls.get((version, route), 0)
            cold_s = observation.cold_since_s(watch, version, route)
            warm_s = now.mono_s - cold_s - tables.settings.rollout.warm_up_s
            waited_s = min(stage_s, warm_s)
            if not _is_seen(
                tables, rollout, seen, expected, stage_s, waited_s
            ):
                return False
    return True


def _is_seen(
    tables: node.Tables,
    rollout: agreed.Rollout,
    seen: int,
    expected: float,
    stage_s: float,
    waited_s: float,
) -> bool:
    """Tell whether one route gave a version enough calls.

    Args:
        seen: Warm calls in this stage.
        expected: Calls that the share in force should have given.
        stage_s: Time in this stage.
        waited_s: Time in this stage in which warm calls could come.
    """
    policy = tables.settings.rollout
    if seen >= policy.min_calls:
        return True
    if stage_s < policy.patience_s:
        return False
    if seen >= policy.few_calls:
        return True
    length_s = max(rollout.by_s - rollout.started_s, 0.0)
    low_patience_s = min(
        max(length_s * _LOW_PATIENCE_PART, policy.patience_s),
        policy.patience_s * _LOW_PATIENCE,
    )
    return waited_s >= low_patience_s and expected < policy.few_calls


def _note_hold(
    tables: node.Tables,
    rollout: agreed.Rollout,
    watch: comparisons.Watch,
    held_by: str,
    now: _clock.Instant,
) -> list[records.Record]:
    """Agree on what holds the rollout, once it has lasted."""
    if held_by != watch.held_by:
        watch.held_by = held_by
        watch.held_since_s = now.mono_s
    lasted_s = now.mono_s - watch.held_since_s
    held_by = _or_late(rollout, held_by, now) if held_by else ""
    if held_by == rollout.held_by or not held_by:
        return []
    if lasted_s < tables.settings.rollout.hold_s:
        return []
    return [_shares(tables, rollout, rollout.progress, held_by)]


def _or_late(
    rollout: agreed.Rollout, held_by: str, now: _clock.Instant
) -> str:
    """Return what holds a rollout, with a word if its time has passed."""
    planned = rollout.by_s > rollout.started_s
    if not planned or now.wall_s <= rollout.by_s + _LATE_S:
        return held_by
    return f"{held_by}, {_LATE}" if held_by else _LATE


def _is_unled(tables: node.Tables, now: _clock.Instant) -> bool:
    age_s = now.mono_s - tables.lease_seen_s
    return age_s >= tables.settings.lease.expire_s


def _log_is_out(tables: node.Tables, now: _clock.Instant) -> bool:
    age_s = now.mono_s - tables.lease_seen_s
    return age_s >= 2 * tables.settings.lease.expire_s


def _stand_still(
    rollout: agreed.Rollout,
    watch: comparisons.Watch,
    now: _clock.Instant,
) -> list[_effects.Effect]:
    """Say once that the log holds the rollout."""
    if watch.held_by == HELD_BY_LOG:
        return []
    watch.held_by = HELD_BY_LOG
    watch.held_since_s = now.mono_s
    return [
        _effects.Emit(
            event="rollout-held",
            fields={"rollout": rollout.rollout_id, "held_by": HELD_BY_LOG},
        )
    ]


def _rolled_back(
    tables: node.Tables, rollout: agreed.Rollout
) -> list[comparisons.LocalRollback]:
    return [
        row
        for (rollout_id, _), row in sorted(tables.rollbacks_by_version.items())
        if rollout_id == rollout.rollout_id
    ]


def _step_id(rollout: agreed.Rollout) -> str:
    return f"{rollout.rollout_id}/{rollout.step}"


def _forget_steps(tables: node.Tables) -> None:
    running = {
        _step_id(rollout)
        for rollout in moving.of(tables).rollouts_by_service.values()
    }
    for step_id in list(tables.next_step_s_by_rollout):
        if step_id not in running:
            del tables.next_step_s_by_rollout[step_id]


def _shares(
    tables: node.Tables,
    rollout: agreed.Rollout,
    progress: float,
    held_by: str,
) -> records.ShareDecision:
    percents = shares.interpolate(rollout.start, rollout.goal, progress)
    return records.ShareDecision(
        record_id=_record_id(tables, rollout),
        lease=tables.agreed.lease.offset,
        rollout_id=rollout.rollout_id,
        step=rollout.step + 1,
        percent_by_version=percents,
        held_by=held_by,
    )


def _verdict(
    tables: node.Tables,
    rollout: agreed.Rollout,
    done: bool,
    reason: str,
    rejected: tuple[str, ...] = (),
) -> records.Verdict:
    return records.Verdict(
        record_id=f"verdict/{_record_id(tables, rollout)}",
        lease=tables.agreed.lease.offset,
        rollout_id=rollout.rollout_id,
        done=done,
        reason=reason,
        rejected=rejected,
    )


def _record_id(tables: node.Tables, rollout: agreed.Rollout) -> str:
    lease_offset = tables.agreed.lease.offset
    return f"{rollout.rollout_id}/{lease_offset}/{rollout.step + 1}"
