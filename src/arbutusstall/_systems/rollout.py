"""Moves traffic between versions while the outcomes allow it."""

from collections import abc

from arbutusstall import _clock
from arbutusstall import _effects
from arbutusstall._log import records
from arbutusstall._systems import lease
from arbutusstall._tables import agreed
from arbutusstall._tables import node

_MIN_CALLS = 20
_BAD_SHARE = 0.2


def run(tables: node.Tables, now: _clock.Instant) -> list[_effects.Effect]:
    """Decide the next step of each running rollout under the lease."""
    if not lease.is_leader(tables, now):
        return []
    effects: list[_effects.Effect] = []
    for rollout in tables.agreed.snapshot.rollouts_by_id.values():
        if rollout.state is agreed.RolloutState.RUNNING:
            effects += _step(tables, rollout, now)
    return effects


def _step(
    tables: node.Tables, rollout: agreed.Rollout, now: _clock.Instant
) -> list[_effects.Effect]:
    due_s = tables.next_step_s_by_rollout.get(rollout.rollout_id, 0.0)
    if now.mono_s < due_s:
        return []
    policy = tables.settings.rollout
    tables.next_step_s_by_rollout[rollout.rollout_id] = (
        now.mono_s + policy.step_s
    )
    bad = _bad_versions(tables, rollout)
    if bad:
        return [_verdict(tables, rollout, done=False, reason=bad)]
    progress = _progress(rollout, now.wall_s)
    if progress >= 1.0 and rollout.step > 0:
        return [_verdict(tables, rollout, done=True, reason="goal reached")]
    progress = max(progress, policy.first_percent / 100.0)
    decision = records.ShareDecision(
        record_id=_record_id(tables, rollout),
        lease=tables.agreed.lease.offset,
        rollout_id=rollout.rollout_id,
        step=rollout.step + 1,
        percent_by_version=_mix(rollout, min(progress, 1.0)),
    )
    return [_effects.Append(record=decision)]


def _record_id(tables: node.Tables, rollout: agreed.Rollout) -> str:
    lease_offset = tables.agreed.lease.offset
    return f"{rollout.rollout_id}/{lease_offset}/{rollout.step + 1}"


def _verdict(
    tables: node.Tables, rollout: agreed.Rollout, done: bool, reason: str
) -> _effects.Append:
    return _effects.Append(
        record=records.Verdict(
            record_id=f"verdict/{_record_id(tables, rollout)}",
            lease=tables.agreed.lease.offset,
            rollout_id=rollout.rollout_id,
            done=done,
            reason=reason,
        )
    )


def _progress(rollout: agreed.Rollout, wall_s: float) -> float:
    planned_s = max(rollout.by_s - rollout.started_s, 0.001)
    return (wall_s - rollout.started_s) / planned_s


def _mix(rollout: agreed.Rollout, progress: float) -> abc.Mapping[str, float]:
    versions = sorted(set(rollout.start) | set(rollout.goal))
    return {
        version: rollout.start.get(version, 0.0) * (1.0 - progress)
        + rollout.goal.get(version, 0.0) * progress
        for version in versions
    }


def _bad_versions(tables: node.Tables, rollout: agreed.Rollout) -> str:
    for key, counts in tables.outcomes_by_key.items():
        if key.service != rollout.service:
            continue
        rising = rollout.goal.get(key.version, 0.0) > rollout.start.get(
            key.version, 0.0
        )
        if not rising or counts.calls < _MIN_CALLS:
            continue
        if counts.failures > counts.calls * _BAD_SHARE:
            return (
                f"{key.version} failed {counts.failures} of "
                f"{counts.calls} calls on {key.route}"
            )
    return ""
