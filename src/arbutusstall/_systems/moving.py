"""What moves in the configuration in force, indexed once a version."""

from arbutusstall._tables import agreed
from arbutusstall._tables import comparisons
from arbutusstall._tables import node


def of(tables: node.Tables) -> comparisons.Moving:
    """Return the running rollouts and routes of the snapshot in force."""
    if tables.rollout_index.snapshot is not tables.snapshot:
        tables.rollout_index = _index(tables.snapshot)
    return tables.rollout_index


def _index(snapshot: agreed.Snapshot) -> comparisons.Moving:
    rollouts = {
        rollout.service: rollout
        for rollout in snapshot.rollouts_by_id.values()
        if rollout.state is agreed.RolloutState.RUNNING
    }
    routes: dict[str, list[str]] = {name: [] for name in rollouts}
    for route in snapshot.routes_by_prefix.values():
        for service in route.services:
            if service in routes:
                routes[service].append(route.prefix)
    return comparisons.Moving(
        snapshot=snapshot,
        rollouts_by_service=rollouts,
        routes_by_service={
            name: tuple(prefixes) for name, prefixes in routes.items()
        },
    )
