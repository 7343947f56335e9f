"""Indexes the running rollouts of the configuration in force."""

from arbutusstall._tables import agreed
from arbutusstall._tables import comparisons
from arbutusstall._tables import node


def index(tables: node.Tables) -> comparisons.RolloutIndex:
    """Return the running rollouts and their routes in the snapshot in force.

    The index is built once per snapshot.
    """
    if tables.rollout_index.snapshot is not tables.snapshot:
        tables.rollout_index = _build(tables.snapshot)
    return tables.rollout_index


def _build(snapshot: agreed.Snapshot) -> comparisons.RolloutIndex:
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
    return comparisons.RolloutIndex(
        snapshot=snapshot,
        rollouts_by_service=rollouts,
        routes_by_service={
            name: tuple(prefixes) for name, prefixes in routes.items()
        },
    )
