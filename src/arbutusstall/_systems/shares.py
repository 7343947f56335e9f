"""Arithmetic on the traffic shares of a service's versions.

Shares are percentages by version.
"""

from collections import abc
import dataclasses

from arbutusstall._tables import agreed

Percents = abc.Mapping[str, float]


def interpolate(start: Percents, goal: Percents, progress: float) -> Percents:
    """Interpolate linearly between two sets of shares.

    Args:
        start: Shares at progress 0.
        goal: Shares at progress 1.
        progress: Position between the two, 0 to 1.
    """
    return {
        version: start.get(version, 0.0) * (1.0 - progress)
        + goal.get(version, 0.0) * progress
        for version in sorted(set(start) | set(goal))
    }


def rising(rollout: agreed.Rollout) -> tuple[str, ...]:
    """Return the versions whose share the rollout increases."""
    return tuple(
        version
        for version in sorted(rollout.goal)
        if rollout.goal[version] > rollout.start.get(version, 0.0)
    )


def falling(rollout: agreed.Rollout) -> tuple[str, ...]:
    """Return the versions with traffic at the start and no increase."""
    return tuple(
        version
        for version in sorted(rollout.start)
        if rollout.start[version] > 0.0
        and rollout.goal.get(version, 0.0) <= rollout.start[version]
    )


def highest_rise(rollout: agreed.Rollout) -> float:
    """Return the largest increase of any version, in percentage points."""
    return max(
        (
            rollout.goal[version] - rollout.start.get(version, 0.0)
            for version in rising(rollout)
        ),
        default=0.0,
    )


def ends_at_zero(rollout: agreed.Rollout) -> bool:
    """Return whether the goal leaves no traffic to the old versions."""
    return all(
        rollout.goal.get(version, 0.0) <= 0.0 for version in falling(rollout)
    )


def rolled_back(
    rollout: agreed.Rollout, rejected: abc.Collection[str]
) -> Percents:
    """Return the start shares without the rejected versions.

    The start shares of rejected versions are divided proportionally among
    the others. If no other version had traffic, the start shares are
    returned unchanged.
    """
    kept = {
        version: percent
        for version, percent in rollout.start.items()
        if version not in rejected and percent > 0.0
    }
    total = sum(kept.values())
    if total <= 0.0:
        return rollout.start
    return {
        version: percent * 100.0 / total for version, percent in kept.items()
    }


def apply_rollbacks(
    snapshot: agreed.Snapshot, rejected: abc.Collection[tuple[str, str]]
) -> agreed.Snapshot:
    """Return the snapshot with rejected versions rolled back.

    Only running rollouts are affected.

    Args:
        snapshot: Snapshot as agreed.
        rejected: Pairs of rollout id and version that get no traffic.
    """
    if not rejected:
        return snapshot
    changed = dict(snapshot.shares_by_service)
    for rollout_id in {rollout_id for rollout_id, _ in rejected}:
        rollout = snapshot.rollouts_by_id.get(rollout_id)
        if rollout is None or rollout.state is not agreed.RolloutState.RUNNING:
            continue
        versions = {name for key, name in rejected if key == rollout_id}
        changed[rollout.service] = agreed.Shares(
            service=rollout.service,
            percent_by_version=rolled_back(rollout, versions),
        )
    return dataclasses.replace(snapshot, shares_by_service=changed)
