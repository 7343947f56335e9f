"""Shifts traffic between versions as long as the call outcomes allow it.

Only the leader decides, one step at a time. The other roots collect the
same counts, so that a new leader continues from the agreed state.
"""

from arbutusstall import _clock
from arbutusstall import _effects
from arbutusstall._log import records
from arbutusstall._systems import capacity
from arbutusstall._systems import comparison
from arbutusstall._systems import lease
from arbutusstall._systems import local_rollback
from arbutusstall._systems import observation
from arbutusstall._systems import plan
from arbutusstall._systems import running_rollouts
from arbutusstall._systems import shares
from arbutusstall._tables import agreed
from arbutusstall._tables import comparisons
from arbutusstall._tables import node

HELD_BY_OUTCOMES = "outcomes"
HELD_BY_CAPACITY = "capacity"
HELD_BY_ENDPOINTS = "endpoints"
HELD_BY_LOG = "log"

# Time for a decision to come back from the log before it is made again.
_DECISION_RETRY_S = 1.0
# A suspected version is rolled back locally if its share was not lowered
# within this time.
_PROBE_TIMEOUT_S = 2.0
# Evidence above this fraction of the rejection threshold holds a rollout.
_HEALTHY_FRACTION = 0.12
# The wait for calls on a route with little traffic is a fraction of the
# planned duration, but at least ``patience_s`` and at most a multiple of it.
_LOW_TRAFFIC_MAX_FACTOR = 5.0
_LOW_TRAFFIC_FRACTION = 0.1
_LATE_TOLERANCE_S = 1.0
_LATE = "late"


def run(tables: node.Tables, now: _clock.Instant) -> list[_effects.Effect]:
    """Compare the versions of running rollouts and decide on each.

    Every node applies local rollbacks; only roots do the rest.
    """
    effects: list[_effects.Effect] = []
    for row in observation.run(tables, now):
        effects += local_rollback.begin(tables, row, now)
    effects += _roll_back_overloaded(tables, now)
    effects += local_rollback.run(tables, now)
    if not tables.is_root:
        return effects
    leads = lease.is_leader(tables, now)
    for rollout in running_rollouts.index(tables).rollouts_by_service.values():
        watch = tables.watches_by_rollout.get(rollout.rollout_id)
        if watch is None:
            continue
        if leads or _is_lease_expired(tables, now):
            effects += _roll_back_unprobed(tables, rollout, watch, now)
        if leads:
            effects += _decide_as_leader(tables, rollout, watch, now)
        elif _is_log_unavailable(tables, now):
            effects += _hold_for_log(rollout, watch, now)
    return effects


def _roll_back_overloaded(
    tables: node.Tables, now: _clock.Instant
) -> list[_effects.Effect]:
    """Roll back versions that are suspected again after a probe.

    At the lowered share they did as well as the old version, so they
    fail under load.
    """
    effects: list[_effects.Effect] = []
    for rollout in running_rollouts.index(tables).rollouts_by_service.values():
        watch = tables.watches_by_rollout.get(rollout.rollout_id)
        if watch is None or not watch.probes:
            continue
        row = observation.suspected_rollback(rollout, watch)
        if row is not None:
            effects += local_rollback.begin(tables, row, now)
    return effects


def _roll_back_unprobed(
    tables: node.Tables,
    rollout: agreed.Rollout,
    watch: comparisons.Watch,
    now: _clock.Instant,
) -> list[_effects.Effect]:
    """Roll back a suspected version if the log did not lower its share."""
    row = observation.suspected_rollback(rollout, watch)
    if row is None or now.mono_s - watch.suspected_s < _PROBE_TIMEOUT_S:
        return []
    return local_rollback.begin(tables, row, now)


def _decide_as_leader(
    tables: node.Tables,
    rollout: agreed.Rollout,
    watch: comparisons.Watch,
    now: _clock.Instant,
) -> list[_effects.Effect]:
    due_s = tables.next_step_s_by_step_id.get(_step_id(rollout), 0.0)
    if now.mono_s < due_s:
        return []
    decisions = _decide(tables, rollout, watch, now)
    if decisions:
        _drop_stale_steps(tables)
        tables.next_step_s_by_step_id[_step_id(rollout)] = (
            now.mono_s + _DECISION_RETRY_S
        )
    return [_effects.Append(record=record) for record in decisions]


def _decide(
    tables: node.Tables,
    rollout: agreed.Rollout,
    watch: comparisons.Watch,
    now: _clock.Instant,
) -> list[records.Record]:
    rollbacks = _local_rollbacks(tables, rollout)
    if rollbacks:
        return [
            _verdict(
                tables,
                rollout,
                done=False,
                reason="; ".join(row.reason for row in rollbacks),
                rejected=tuple(sorted({row.version for row in rollbacks})),
            )
        ]
    probe = tables.settings.rollout.probe_percent / 100.0
    if watch.suspected is not None and rollout.progress > probe:
        held_by = _with_lateness(rollout, HELD_BY_OUTCOMES, now)
        return [_share_decision(tables, rollout, probe, held_by)]
    stage = _next_stage(tables, rollout, watch)
    if stage is None:
        return _finish(tables, rollout, watch, now)
    if now.mono_s - watch.entered_s < stage.after_s:
        return _record_hold(tables, rollout, watch, "", now)
    progress = min(stage.progress, _max_progress(tables, rollout, watch))
    held_by = _hold_reason(tables, rollout, watch, progress, now)
    if held_by:
        return _record_hold(tables, rollout, watch, held_by, now)
    watch.held_by = ""
    still_held_by = HELD_BY_CAPACITY if progress < stage.progress else ""
    still_held_by = (
        _with_lateness(rollout, still_held_by, now) if progress < 1.0 else ""
    )
    return [_share_decision(tables, rollout, progress, still_held_by)]


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
    """Return the verdict once the goal was in force for ``watch_s``."""
    if now.mono_s - watch.entered_s < tables.settings.rollout.watch_s:
        return []
    if not _is_healthy(tables, rollout, watch):
        return _record_hold(tables, rollout, watch, HELD_BY_OUTCOMES, now)
    late_s = watch.entered_wall_s - rollout.by_s
    on_time = late_s <= _LATE_TOLERANCE_S or rollout.by_s <= rollout.started_s
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
    versions = shares.rising(rollout)
    cells = watch.totals_by_cell.items()
    calls = sum(row.calls for cell, row in cells if cell[0] in versions)
    failures = sum(row.failures for cell, row in cells if cell[0] in versions)
    return f"{','.join(versions)} failed {failures} of {calls} calls"


def _hold_reason(
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
        _is_healthy(tables, rollout, watch)
        and _has_enough_calls(tables, rollout, watch, now)
    ):
        return HELD_BY_OUTCOMES
    return ""


def _max_progress(
    tables: node.Tables, rollout: agreed.Rollout, watch: comparisons.Watch
) -> float:
    """Return the highest progress that the serving endpoints can carry."""
    highest = 1.0
    call_s = observation.longest_mean_call_s(watch)
    for version in shares.rising(rollout):
        percent = capacity.max_percent(
            capacity.of_version(tables, rollout.service, version),
            watch.calls_per_s,
            call_s,
            tables.settings.rollout.headroom,
        )
        start = rollout.start.get(version, 0.0)
        rise = rollout.goal[version] - start
        highest = min(highest, (percent - start) / rise)
    return max(highest, 0.0)


def _is_healthy(
    tables: node.Tables, rollout: agreed.Rollout, watch: comparisons.Watch
) -> bool:
    """Return whether no comparison has evidence against a version.

    If the old versions get too few calls to compare with, the absolute
    evidence alone holds the rollout.
    """
    for key, detector in watch.detectors_by_key.items():
        tolerance = observation.tolerance(tables, rollout, key.metric)
        hold_threshold = tolerance.threshold * _HEALTHY_FRACTION
        if min(detector.relative, detector.absolute) >= hold_threshold:
            return False
        if (
            detector.absolute >= hold_threshold
            and comparison.lacks_control_calls(detector.looks)
        ):
            return False
    return True


def _has_enough_calls(
    tables: node.Tables,
    rollout: agreed.Rollout,
    watch: comparisons.Watch,
    now: _clock.Instant,
) -> bool:
    """Return whether each route had enough calls in the current stage."""
    stage_s = now.mono_s - watch.entered_s
    calls = watch.stage_calls_by_cell
    routes = running_rollouts.index(tables).routes_by_service[rollout.service]
    current = shares.interpolate(rollout.start, rollout.goal, rollout.progress)
    for route in routes:
        total = sum(count for cell, count in calls.items() if cell[1] == route)
        for version in shares.rising(rollout):
            expected = total * current[version] / 100.0
            seen = calls.get((version, route), 0)
            started_s = observation.warm_up_started_s(watch, version, route)
            warm_s = now.mono_s - started_s - tables.settings.rollout.warm_up_s
            waited_s = min(stage_s, warm_s)
            if not _is_covered(
                tables, rollout, seen, expected, stage_s, waited_s
            ):
                return False
    return True


def _is_covered(
    tables: node.Tables,
    rollout: agreed.Rollout,
    seen: int,
    expected: float,
    stage_s: float,
    waited_s: float,
) -> bool:
    """Return whether a version got enough calls on one route.

    Fewer than ``min_calls`` are enough after ``patience_s``. A route with
    so little traffic that even ``few_calls`` are not to be expected is
    skipped after a longer wait.

    Args:
        seen: Calls in this stage after the warm-up.
        expected: Calls that the share in force should have produced.
        stage_s: Time since the stage began.
        waited_s: Time in this stage after the warm-up.
    """
    policy = tables.settings.rollout
    if seen >= policy.min_calls:
        return True
    if stage_s < policy.patience_s:
        return False
    if seen >= policy.few_calls:
        return True
    length_s = max(rollout.by_s - rollout.started_s, 0.0)
    low_traffic_wait_s = min(
        max(length_s * _LOW_TRAFFIC_FRACTION, policy.patience_s),
        policy.patience_s * _LOW_TRAFFIC_MAX_FACTOR,
    )
    return waited_s >= low_traffic_wait_s and expected < policy.few_calls


def _record_hold(
    tables: node.Tables,
    rollout: agreed.Rollout,
    watch: comparisons.Watch,
    held_by: str,
    now: _clock.Instant,
) -> list[records.Record]:
    """Return a decision that records a hold lasting ``hold_s`` or more."""
    if held_by != watch.held_by:
        watch.held_by = held_by
        watch.held_since_s = now.mono_s
    lasted_s = now.mono_s - watch.held_since_s
    held_by = _with_lateness(rollout, held_by, now) if held_by else ""
    if held_by == rollout.held_by or not held_by:
        return []
    if lasted_s < tables.settings.rollout.hold_s:
        return []
    return [_share_decision(tables, rollout, rollout.progress, held_by)]


def _with_lateness(
    rollout: agreed.Rollout, held_by: str, now: _clock.Instant
) -> str:
    """Return the hold reason, marked as late after the planned end."""
    planned = rollout.by_s > rollout.started_s
    if not planned or now.wall_s <= rollout.by_s + _LATE_TOLERANCE_S:
        return held_by
    return f"{held_by}, {_LATE}" if held_by else _LATE


def _is_lease_expired(tables: node.Tables, now: _clock.Instant) -> bool:
    age_s = now.mono_s - tables.lease_seen_s
    return age_s >= tables.settings.lease.expire_s


def _is_log_unavailable(tables: node.Tables, now: _clock.Instant) -> bool:
    """Infer an outage from two lease terms without a claim or renewal."""
    age_s = now.mono_s - tables.lease_seen_s
    return age_s >= 2 * tables.settings.lease.expire_s


def _hold_for_log(
    rollout: agreed.Rollout,
    watch: comparisons.Watch,
    now: _clock.Instant,
) -> list[_effects.Effect]:
    """Report once that the log outage holds the rollout."""
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


def _local_rollbacks(
    tables: node.Tables, rollout: agreed.Rollout
) -> list[comparisons.LocalRollback]:
    return [
        row
        for (rollout_id, _), row in sorted(tables.rollbacks_by_version.items())
        if rollout_id == rollout.rollout_id
    ]


def _step_id(rollout: agreed.Rollout) -> str:
    return f"{rollout.rollout_id}/{rollout.step}"


def _drop_stale_steps(tables: node.Tables) -> None:
    running = {
        _step_id(rollout)
        for rollout in running_rollouts.index(
            tables
        ).rollouts_by_service.values()
    }
    for step_id in list(tables.next_step_s_by_step_id):
        if step_id not in running:
            del tables.next_step_s_by_step_id[step_id]


def _share_decision(
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
