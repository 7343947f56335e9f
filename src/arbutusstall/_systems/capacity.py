"""Limits a rollout by what the serving endpoints can carry."""

import dataclasses

from arbutusstall._tables import members
from arbutusstall._tables import node


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Capacity:
    """Serving endpoints of one version and their slots together."""

    endpoints: int = 0
    slots: int = 0


def of_version(tables: node.Tables, service: str, version: str) -> Capacity:
    """Count the serving endpoints of a version."""
    rows = [
        member
        for member in list(tables.members_by_node.values())
        if member.service == service
        and member.version == version
        and member.state is members.MemberState.SERVING
    ]
    return Capacity(
        endpoints=len(rows), slots=sum(member.slots for member in rows)
    )


def max_percent(
    capacity: Capacity, calls_per_s: float, call_s: float, part: float
) -> float:
    """Return the highest share that the version may be given.

    The slots in use follow from Little's law, rate times duration.

    Args:
        calls_per_s: Calls of the whole service.
        call_s: Mean duration of a call in seconds.
        part: Part of the slots to use at most, 0 to 1.
    """
    if not capacity.endpoints:
        return 0.0
    in_use = calls_per_s * call_s
    if in_use <= 0.0:
        return 100.0
    return min(100.0, 100.0 * capacity.slots * part / in_use)
