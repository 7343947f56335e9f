"""Compares the versions of running rollouts by their outcome counts.

Runs at every root, so that a new leader goes on with what it knows.
Health and load that targets report about themselves are not used.
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

_LEAST_LOOKS = 240
_METRICS = 2
_USUAL_CALLS = 20
_SLOW_PART = 0.05
_SMOOTHING = 0.2
_LOOK_CALLS = 20
_LOOK_WAIT_S = 2.0
_NOTHING = outcomes.OutcomeCounts()


def gather(
    tables: node.Tables,
    key: outcomes.OutcomeKey,
    added: outcomes.OutcomeCounts,
    now: _clock.Instant,
) -> None:
    """Count calls towards the next look.

    The durations of a row's first calls are left out: slow answers of a
    cold target say nothing of its version. Its errors count.
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
    """Look at the counts that are due; return what they reject."""
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
    found: list[comparisons.LocalRollback] = []
    for rollout in running.values():
        watch = tables.watches_by_rollout.setdefault(
            rollout.rollout_id, comparisons.Watch()
        )
        _enter(watch, rollout, now)
        if now.mono_s >= watch.next_look_s:
            found += _look(tables, rollout, watch, now)
    return found


def tolerance(
    tables: node.Tables, rollout: agreed.Rollout, metric: comparisons.Metric
) -> comparison.Tolerance:
    """Return the tolerance for one metric; the same at every node."""
    policy = tables.settings.rollout
    length_s = max(rollout.by_s - rollout.started_s, 0.0)
    looks = math.ceil((length_s + 2 * policy.watch_s) / policy.look_s)
    routes = len(
        running_rollouts.index(tables).routes_by_service[rollout.service]
    )
    threshold = comparison.threshold(
        max(looks, _LEAST_LOOKS),
        routes * _METRICS * len(shares.rising(rollout)),
        policy.false_rollbacks,
    )
    errors = metric is comparisons.Metric.ERRORS
    return comparison.Tolerance(
        ratio=policy.error_ratio if errors else policy.slow_ratio,
        floor=policy.error_floor if errors else policy.slow_floor,
        threshold=threshold,
    )


def call_s(watch: comparisons.Watch) -> float:
    """Return the longest mean duration of a call of any version."""
    counts_by_version: dict[str, outcomes.OutcomeCounts] = {}
    for (version, _), counts in watch.totals_by_cell.items():
        known = counts_by_version.get(version, _NOTHING)
        counts_by_version[version] = known.plus(counts)
    return max(
        (counts.mean_s for counts in counts_by_version.values()),
        default=0.0,
    )


def cold_since_s(watch: comparisons.Watch, version: str, route: str) -> float:
    """Return when a version's warm-up on a route began.

    Until a call of it has ended and was reported, that is the time of
    the first share: the answers may be slow.
    """
    times = (
        seen_s
        for key, seen_s in watch.first_seen_s_by_row.items()
        if key.version == version and key.route == route
    )
    return min(times, default=watch.first_share_s)


def _enter(
    watch: comparisons.Watch, rollout: agreed.Rollout, now: _clock.Instant
) -> None:
    """Begin a new stage when the shares in force changed."""
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


def _look(
    tables: node.Tables,
    rollout: agreed.Rollout,
    watch: comparisons.Watch,
    now: _clock.Instant,
) -> list[comparisons.LocalRollback]:
    _measure(tables, watch, now)
    found = []
    for route in sorted({route for _, route in watch.pending_by_cell}):
        if _is_due(watch, route, now):
            found += _look_at_route(tables, rollout, watch, route)
            _close(watch, route)
            watch.last_look_s_by_route[route] = now.mono_s
    watch.suspected = _suspect(tables, rollout, watch)
    if watch.suspected is None:
        watch.suspected_s = 0.0
    elif not watch.suspected_s:
        watch.suspected_s = now.mono_s
    return found


def _is_due(watch: comparisons.Watch, route: str, now: _clock.Instant) -> bool:
    """Tell whether a route has enough calls, or has waited for them.

    With few calls most short intervals would hold those of one version
    only and compare nothing.
    """
    looked_s = watch.last_look_s_by_route.setdefault(route, now.mono_s)
    calls = sum(
        counts.calls
        for cell, counts in watch.pending_by_cell.items()
        if cell[1] == route
    )
    return calls >= _LOOK_CALLS or now.mono_s - looked_s >= _LOOK_WAIT_S


def _look_at_route(
    tables: node.Tables,
    rollout: agreed.Rollout,
    watch: comparisons.Watch,
    route: str,
) -> list[comparisons.LocalRollback]:
    found = []
    old_versions = shares.falling(rollout)
    old = _sum(watch.pending_by_cell, old_versions, route)
    before = _sum(watch.totals_by_cell, old_versions, route)
    recent = watch.recent_by_route.get(route, comparisons.DecayedCounts())
    least = _bucket_of(tables.settings.rollout.slow_least_ms)
    for version in shares.rising(rollout):
        new = watch.pending_by_cell.get((version, route), _NOTHING)
        for metric in comparisons.Metric:
            key = comparisons.DetectorKey(
                version=version, route=route, metric=metric
            )
            look = _look_at(metric, new, old, before, least)
            if look is None:
                continue
            usual = max(
                _rate(metric, before), recent.rate(metric, _USUAL_CALLS)
            )
            if _update_detector(tables, rollout, watch, key, look, usual):
                found.append(_rollback(rollout, watch, key))
    watch.recent_by_route[route] = _newer(recent, old, before, least)
    return found


def _close(watch: comparisons.Watch, route: str) -> None:
    """Add what a look has used to the sums of the rollout."""
    used = [cell for cell in watch.pending_by_cell if cell[1] == route]
    for cell in used:
        counts = watch.pending_by_cell.pop(cell)
        _add(watch.totals_by_cell, cell, counts)
        # Calls of a cold target do not tell whether it is slow.
        warm = watch.stage_calls_by_cell.get(cell, 0)
        watch.stage_calls_by_cell[cell] = warm + sum(counts.durations)


def _measure(
    tables: node.Tables, watch: comparisons.Watch, now: _clock.Instant
) -> None:
    if watch.last_look_s:
        rate = watch.calls / max(now.mono_s - watch.last_look_s, 1e-3)
        known = watch.calls_per_s or rate
        watch.calls_per_s = known + (rate - known) * _SMOOTHING
    watch.calls = 0
    watch.last_look_s = now.mono_s
    watch.next_look_s = now.mono_s + tables.settings.rollout.look_s


def _update_detector(
    tables: node.Tables,
    rollout: agreed.Rollout,
    watch: comparisons.Watch,
    key: comparisons.DetectorKey,
    look: comparisons.Look,
    usual: float,
) -> bool:
    limit = tolerance(tables, rollout, key.metric)
    known = watch.detectors_by_key.get(key, comparisons.Detector())
    detector = comparison.update(known, look, limit, usual)
    watch.detectors_by_key[key] = detector
    return comparison.is_bad(detector, limit)


def _suspect(
    tables: node.Tables, rollout: agreed.Rollout, watch: comparisons.Watch
) -> comparisons.DetectorKey | None:
    for key, detector in watch.detectors_by_key.items():
        limit = tolerance(tables, rollout, key.metric)
        if comparison.is_suspect(detector, limit):
            return key
    return None


def _rollback(
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


def suspicion(
    rollout: agreed.Rollout, watch: comparisons.Watch
) -> comparisons.LocalRollback | None:
    """Return the rollback of the suspected version, if there is one."""
    if watch.suspected is None:
        return None
    return _rollback(rollout, watch, watch.suspected)


def _look_at(
    metric: comparisons.Metric,
    new: outcomes.OutcomeCounts,
    old: outcomes.OutcomeCounts,
    before: outcomes.OutcomeCounts,
    least: int,
) -> comparisons.Look | None:
    if metric is comparisons.Metric.ERRORS:
        return comparisons.Look(
            new_calls=new.calls,
            new_bad=new.failures,
            old_calls=old.calls,
            old_bad=old.failures,
        )
    bucket = _slow_bucket(before, least)
    if bucket is None:
        return None
    return comparisons.Look(
        new_calls=sum(new.durations),
        new_bad=new.slower_than(bucket),
        old_calls=sum(old.durations),
        old_bad=old.slower_than(bucket),
    )


def _bucket_of(duration_ms: float) -> int:
    return bisect.bisect_left(outcomes.BOUNDS_MS, duration_ms)


def _slow_bucket(before: outcomes.OutcomeCounts, least: int) -> int | None:
    """Return the bucket above which an answer is slow.

    All but a few answers of the old version lie below its bound. It is
    at least ``least``: a busy machine delays the answers of a fast
    target by more than it takes itself.
    """
    timed = sum(before.durations)
    if timed < _USUAL_CALLS:
        return None
    for bucket in range(least, len(before.durations)):
        if before.slower_than(bucket) <= timed * _SLOW_PART:
            return bucket
    return None


def _rate(metric: comparisons.Metric, before: outcomes.OutcomeCounts) -> float:
    if metric is comparisons.Metric.SLOW:
        return _SLOW_PART
    if before.calls < _USUAL_CALLS:
        return 0.0
    return before.failures / before.calls


def _newer(
    recent: comparisons.DecayedCounts,
    old: outcomes.OutcomeCounts,
    before: outcomes.OutcomeCounts,
    least: int,
) -> comparisons.DecayedCounts:
    if not old.calls:
        return recent
    bucket = _slow_bucket(before, least)
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
    total = _NOTHING
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
