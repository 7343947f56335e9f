"""The part of the fold that concerns whole configurations."""

import dataclasses

from arbutusstall._log import records
from arbutusstall._tables import agreed as tables


def apply(
    state: tables.Agreed, offset: int, record: records.ConfigurationRecord
) -> tables.Agreed:
    """Return the state after a whole configuration.

    An older one, or one whose routes name a service that it lacks,
    changes nothing.
    """
    old = state.snapshot
    if record.source_version <= old.source_version:
        return state
    services = {service.name: service for service in record.services}
    named = {name for route in record.routes for name in route.services}
    if not named <= services.keys():
        return state
    snapshot = dataclasses.replace(
        old,
        version=offset + 1,
        source_version=record.source_version,
        services_by_name=services,
        routes_by_prefix={route.prefix: route for route in record.routes},
        shares_by_service={
            name: shares
            for name, shares in old.shares_by_service.items()
            if name in services
        },
        limits=record.limits,
    )
    return dataclasses.replace(state, snapshot=snapshot)
