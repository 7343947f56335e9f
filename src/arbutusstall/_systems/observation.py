"""Compares the versions of running rollouts by their outcome counts.

Runs at every root, so that a new leader has the counts already. Health
and load that targets report about themselves are not used.
"""

import bisect
from collections import abc
import math

from arbutusstall import _clock
from arbutusstall._systems import comparison
from arbutusstall._systems import running_rollouts
from arbutusstall._systems import shares
from arbutusstall._tables import agreed
from arbutusstall._tables import comparisons
from arbutusstall._tables import node
from arbutusstall._tables import outcomes

# The threshold of a short rollout is that of one with this many looks.
_MIN_LOOKS = 240
_METRIC_COUNT = 2
_MIN_BASELINE_CALLS = 20
# Fraction of the old versions' calls that may lie above the slow bound.
_SLOW_FRACTION = 0.05
# Weight of the newest value in the smoothed call rate.
_RATE_SMOOTHING = 0.2
_MIN_LOOK_CALLS = 20
_MAX_LOOK_WAIT_S = 2.0
_NO_COUNTS = outcomes.OutcomeCounts()


def add_counts(
    tables: node.Tables,
    key: outcomes.OutcomeKey,
    added: outcomes.OutcomeCounts,
    now: _clock.Instant,
) -> None:
    """Add the increment of one counter row to the next look.

    Durations of a rising version are dropped for ``warm_up_s`` after the
    row first arrives, because a cold target is slow whatever its version.
    Errors count from the first call on.
    """
    rollout = running_rollouts.index(tables).rollouts_by_service.get(
        key.service
    )
    if rollout is None or rollout.offset != key.rollout:
        return
    watch = tables.watches_by_rollout.setdefault(
        rollout.rollout_id, comparisons.Watch()
    )
    seen_s = watch.first_seen_s_by_row.setdefault(key, now.mono_s)
    warm = now.mono_s - seen_s >= tables.settings.rollout.warm_up_s
    if not warm and key.version in shares.rising(rollout):
        added = added.without_durations()
    cell = (key.version, key.route)
    _add(watch.pending_by_cell, cell, added)
    watch.calls += added.calls


def run(
    tables: node.Tables, now: _clock.Instant
) -> list[comparisons.LocalRollback]:
    """Evaluate the counts that are due and return rejected versions.

    Counts are kept only at roots and only for running rollouts.
    """
    if not tables.is_root:
        return []
    running = {
        rollout.rollout_id: rollout
        for rollout in running_rollouts.index(
            tables
        ).rollouts_by_service.values()
    }
    for rollout_id in list(tables.watches_by_rollout):
        if rollout_id not in running:
            del tables.watches_by_rollout[rollout_id]
    rollbacks: list[comparisons.LocalRollback] = []
    for rollout in running.values():
        watch = tables.watches_by_rollout.setdefault(
            rollout.rollout_id, comparisons.Watch()
        )
        _enter_stage(watch, rollout, now)
        if now.mono_s >= watch.next_look_s:
            rollbacks += _evaluate(tables, rollout, watch, now)
    return rollbacks


def tolerance(
    tables: node.Tables, rollout: agreed.Rollout, metric: comparisons.Metric
) -> comparison.Tolerance:
    """Return the tolerance for one metric; it is the same at every node.

    It depends only on the rollout, its routes and the settings, so that
    a node can verify the local rollback of another one.
    """
    policy = tables.settings.rollout
    length_s = max(rollout.by_s - rollout.started_s, 0.0)
    looks = math.ceil((length_s + 2 * policy.watch_s) / policy.look_s)
    routes = len(
        running_rollouts.index(tables).routes_by_service[rollout.service]
    )
    threshold = comparison.threshold(
        max(looks, _MIN_LOOKS),
        routes * _METRIC_COUNT * len(shares.rising(rollout)),
        policy.false_rollbacks,
    )
    errors = metric is comparisons.Metric.ERRORS
    return comparison.Tolerance(
        ratio=policy.error_ratio if errors else policy.slow_ratio,
        floor=policy.error_floor if errors else policy.slow_floor,
        threshold=threshold,
    )


def longest_mean_call_s(watch: comparisons.Watch) -> float:
    """Return the mean call duration of the slowest version in seconds."""
    counts_by_version: dict[str, outcomes.OutcomeCounts] = {}
    for (version, _), counts in watch.totals_by_cell.items():
        known = counts_by_version.get(version, _NO_COUNTS)
        counts_by_version[version] = known.plus(counts)
    return max(
        (counts.mean_s for counts in counts_by_version.values()),
        default=0.0,
    )


def warm_up_started_s(
    watch: comparisons.Watch, version: str, route: str
) -> float:
    """Return when a version's warm-up on a route began, monotonic time.

    It is the arrival of the version's first counter row. Until one has
    arrived, it is the time of the version's first share, since the first
    calls may take long to end.
    """
    times = (
        seen_s
        for key, seen_s in watch.first_seen_s_by_row.items()
        if key.version == version and key.route == route
    )
    return min(times, default=watch.first_share_s)


def _enter_stage(
    watch: comparisons.Watch, rollout: agreed.Rollout, now: _clock.Instant
) -> None:
    """Begin a new stage if the progress in force has changed.

    A lower progress than before is a probe: the evidence so far is
    discarded.
    """
    if watch.step >= 0 and watch.progress == rollout.progress:
        watch.step = rollout.step
        return
    if rollout.progress < watch.progress:
        watch.detectors_by_key.clear()
        watch.probes += 1
    if watch.progress <= 0.0 < rollout.progress:
        watch.first_share_s = now.mono_s
    watch.step = rollout.step
    watch.progress = rollout.progress
    watch.entered_s = now.mono_s
    watch.entered_wall_s = now.wall_s
    watch.stage_calls_by_cell.clear()
    watch.suspected = None
    watch.suspected_s = 0.0


def _evaluate(
    tables: node.Tables,
    rollout: agreed.Rollout,
    watch: comparisons.Watch,
    now: _clock.Instant,
) -> list[comparisons.LocalRollback]:
    _update_call_rate(tables, watch, now)
    rollbacks = []
    for route in sorted({route for _, route in watch.pending_by_cell}):
        if _is_look_due(watch, route, now):
            rollbacks += _evaluate_route(tables, rollout, watch, route)
            _move_to_totals(watch, route)
            watch.last_look_s_by_route[route] = now.mono_s
    watch.suspected = _find_suspect(tables, rollout, watch)
    if watch.suspected is None:
        watch.suspected_s = 0.0
    elif not watch.suspected_s:
        watch.suspected_s = now.mono_s
    return rollbacks


def _is_look_due(
    watch: comparisons.Watch, route: str, now: _clock.Instant
) -> bool:
    """Return whether a route has enough calls or has waited long enough.

    On a route with few calls, most short intervals have calls of one
    version only, which gives nothing to compare.
    """
    looked_s = watch.last_look_s_by_route.setdefault(route, now.mono_s)
    calls = sum(
        counts.calls
        for cell, counts in watch.pending_by_cell.items()
        if cell[1] == route
    )
    return (
        calls >= _MIN_LOOK_CALLS or now.mono_s - looked_s >= _MAX_LOOK_WAIT_S
    )


def _evaluate_route(
    tables: node.Tables,
    rollout: agreed.Rollout,
    watch: comparisons.Watch,
    route: str,
) -> list[comparisons.LocalRollback]:
    rollbacks = []
    old_versions = shares.falling(rollout)
    old = _sum(watch.pending_by_cell, old_versions, route)
    totals = _sum(watch.totals_by_cell, old_versions, route)
    recent = watch.recent_by_route.get(route, comparisons.DecayedCounts())
    min_bucket = _bucket_index(tables.settings.rollout.slow_least_ms)
    for version in shares.rising(rollout):
        new = watch.pending_by_cell.get((version, route), _NO_COUNTS)
        for metric in comparisons.Metric:
            key = comparisons.DetectorKey(
                version=version, route=route, metric=metric
            )
            look = _make_look(metric, new, old, totals, min_bucket)
            if look is None:
                continue
            baseline_rate = max(
                _baseline_rate(metric, totals),
                recent.rate(metric, _MIN_BASELINE_CALLS),
            )
            if _update_detector(
                tables, rollout, watch, key, look, baseline_rate
            ):
                rollbacks.append(_local_rollback(rollout, watch, key))
    watch.recent_by_route[route] = _updated_recent(
        recent, old, totals, min_bucket
    )
    return rollbacks


def _move_to_totals(watch: comparisons.Watch, route: str) -> None:
    """Move the counts that a look has used to the totals."""
    used = [cell for cell in watch.pending_by_cell if cell[1] == route]
    for cell in used:
        counts = watch.pending_by_cell.pop(cell)
        _add(watch.totals_by_cell, cell, counts)
        # Durations are dropped during the warm-up, so only calls after it
        # are counted.
        warm = watch.stage_calls_by_cell.get(cell, 0)
        watch.stage_calls_by_cell[cell] = warm + sum(counts.durations)


def _update_call_rate(
    tables: node.Tables, watch: comparisons.Watch, now: _clock.Instant
) -> None:
    if watch.last_look_s:
        rate = watch.calls / max(now.mono_s - watch.last_look_s, 1e-3)
        known = watch.calls_per_s or rate
        watch.calls_per_s = known + (rate - known) * _RATE_SMOOTHING
    watch.calls = 0
    watch.last_look_s = now.mono_s
    watch.next_look_s = now.mono_s + tables.settings.rollout.look_s


def _update_detector(
    tables: node.Tables,
    rollout: agreed.Rollout,
    watch: comparisons.Watch,
    key: comparisons.DetectorKey,
    look: comparisons.Look,
    baseline_rate: float,
) -> bool:
    limit = tolerance(tables, rollout, key.metric)
    known = watch.detectors_by_key.get(key, comparisons.Detector())
    detector = comparison.update(known, look, limit, baseline_rate)
    watch.detectors_by_key[key] = detector
    return comparison.is_bad(detector, limit)


def _find_suspect(
    tables: node.Tables, rollout: agreed.Rollout, watch: comparisons.Watch
) -> comparisons.DetectorKey | None:
    for key, detector in watch.detectors_by_key.items():
        limit = tolerance(tables, rollout, key.metric)
        if comparison.is_suspect(detector, limit):
            return key
    return None


def _local_rollback(
    rollout: agreed.Rollout,
    watch: comparisons.Watch,
    key: comparisons.DetectorKey,
) -> comparisons.LocalRollback:
    return comparisons.LocalRollback(
        rollout_id=rollout.rollout_id,
        version=key.version,
        route=key.route,
        metric=key.metric,
        looks=watch.detectors_by_key[key].looks,
    )


def suspected_rollback(
    rollout: agreed.Rollout, watch: comparisons.Watch
) -> comparisons.LocalRollback | None:
    """Return a rollback of the suspected version, or None without one."""
    if watch.suspected is None:
        return None
    return _local_rollback(rollout, watch, watch.suspected)


def _make_look(
    metric: comparisons.Metric,
    new: outcomes.OutcomeCounts,
    old: outcomes.OutcomeCounts,
    totals: outcomes.OutcomeCounts,
    min_bucket: int,
) -> comparisons.Look | None:
    if metric is comparisons.Metric.ERRORS:
        return comparisons.Look(
            new_calls=new.calls,
            new_bad=new.failures,
            old_calls=old.calls,
            old_bad=old.failures,
        )
    bucket = _slow_bucket(totals, min_bucket)
    if bucket is None:
        return None
    return comparisons.Look(
        new_calls=sum(new.durations),
        new_bad=new.slower_than(bucket),
        old_calls=sum(old.durations),
        old_bad=old.slower_than(bucket),
    )


def _bucket_index(duration_ms: float) -> int:
    return bisect.bisect_left(outcomes.BOUNDS_MS, duration_ms)


def _slow_bucket(
    totals: outcomes.OutcomeCounts, min_bucket: int
) -> int | None:
    """Return the bucket above which an answer counts as slow.

    All but ``_SLOW_FRACTION`` of the old versions' answers are within
    its bound. It is at least ``min_bucket``, because a busy machine delays
    the answers of a fast target by more than their own duration. None
    means that there are too few timed calls.
    """
    timed = sum(totals.durations)
    if timed < _MIN_BASELINE_CALLS:
        return None
    for bucket in range(min_bucket, len(totals.durations)):
        if totals.slower_than(bucket) <= timed * _SLOW_FRACTION:
            return bucket
    return None


def _baseline_rate(
    metric: comparisons.Metric, totals: outcomes.OutcomeCounts
) -> float:
    if metric is comparisons.Metric.SLOW:
        return _SLOW_FRACTION
    if totals.calls < _MIN_BASELINE_CALLS:
        return 0.0
    return totals.failures / totals.calls


def _updated_recent(
    recent: comparisons.DecayedCounts,
    old: outcomes.OutcomeCounts,
    totals: outcomes.OutcomeCounts,
    min_bucket: int,
) -> comparisons.DecayedCounts:
    if not old.calls:
        return recent
    bucket = _slow_bucket(totals, min_bucket)
    return recent.plus(
        calls=old.calls,
        failures=old.failures,
        timed=sum(old.durations),
        slow=old.slower_than(bucket) if bucket is not None else 0,
    )


def _sum(
    counts_by_cell: abc.Mapping[comparisons.Cell, outcomes.OutcomeCounts],
    versions: abc.Iterable[str],
    route: str,
) -> outcomes.OutcomeCounts:
    total = _NO_COUNTS
    for version in versions:
        counts = counts_by_cell.get((version, route))
        if counts is not None:
            total = total.plus(counts)
    return total


def _add(
    counts_by_cell: dict[comparisons.Cell, outcomes.OutcomeCounts],
    cell: comparisons.Cell,
    added: outcomes.OutcomeCounts,
) -> None:
    known = counts_by_cell.get(cell)
    counts_by_cell[cell] = added if known is None else known.plus(added)
