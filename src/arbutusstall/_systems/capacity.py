"""Limits the traffic share of a version by its serving capacity."""

import dataclasses

from arbutusstall._tables import members
from arbutusstall._tables import node


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Capacity:
    """Number of serving endpoints of a version, and their total slots."""

    endpoints: int = 0
    slots: int = 0


def of_version(tables: node.Tables, service: str, version: str) -> Capacity:
    """Return the serving capacity of a version.

    Endpoints of evacuated data centres get no requests and do not count.
    """
    evacuated = tables.evacuations.data_centres
    rows = [
        member
        for member in list(tables.members_by_node.values())
        if member.service == service
        and member.version == version
        and member.state is members.MemberState.SERVING
        and member.data_centre not in evacuated
    ]
    return Capacity(
        endpoints=len(rows), slots=sum(member.slots for member in rows)
    )


def max_percent(
    capacity: Capacity,
    calls_per_s: float,
    call_s: float,
    max_utilization: float,
) -> float:
    """Return the maximum traffic share of a version, in percent.

    The number of slots in use follows from Little's law: call rate times
    call duration.

    Args:
        capacity: Serving capacity of the version.
        calls_per_s: Call rate of the whole service.
        call_s: Mean duration of a call in seconds.
        max_utilization: Maximum share of the slots to use, 0 to 1.
    """
    if not capacity.endpoints:
        return 0.0
    in_use = calls_per_s * call_s
    if in_use <= 0.0:
        return 100.0
    return min(100.0, 100.0 * capacity.slots * max_utilization / in_use)
