"""Arithmetic on the shares of a service's versions."""

from collections import abc
import dataclasses

from arbutusstall._tables import agreed

Percents = abc.Mapping[str, float]


def interpolate(start: Percents, goal: Percents, progress: float) -> Percents:
    """Return the shares at ``progress`` (0 to 1) between two."""
    return {
        version: start.get(version, 0.0) * (1.0 - progress)
        + goal.get(version, 0.0) * progress
        for version in sorted(set(start) | set(goal))
    }


def rising(rollout: agreed.Rollout) -> tuple[str, ...]:
    """Return the versions that the rollout gives more traffic."""
    return tuple(
        version
        for version in sorted(rollout.goal)
        if rollout.goal[version] > rollout.start.get(version, 0.0)
    )


def falling(rollout: agreed.Rollout) -> tuple[str, ...]:
    """Return the versions with traffic at the start that do not rise."""
    return tuple(
        version
        for version in sorted(rollout.start)
        if rollout.start[version] > 0.0
        and rollout.goal.get(version, 0.0) <= rollout.start[version]
    )


def highest_rise(rollout: agreed.Rollout) -> float:
    """Return the highest rise of any version in percent."""
    return max(
        (
            rollout.goal[version] - rollout.start.get(version, 0.0)
            for version in rising(rollout)
        ),
        default=0.0,
    )


def ends_at_zero(rollout: agreed.Rollout) -> bool:
    """Tell whether no old version keeps traffic at the goal."""
    return all(
        rollout.goal.get(version, 0.0) <= 0.0 for version in falling(rollout)
    )


def rolled_back(
    rollout: agreed.Rollout, rejected: abc.Collection[str]
) -> Percents:
    """Return the start shares without the rejected versions.

    What those carried at the start is spread over the others in
    proportion. A falling version always remains.
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
    """Return the snapshot with versions of running rollouts rolled back.

    Args:
        rejected: Rollout ids and versions that get no traffic.
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
