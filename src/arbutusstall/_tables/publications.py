"""Rollout orders read from an external source, and reports to it."""

import dataclasses

from arbutusstall._log import records
from arbutusstall._tables import agreed


@dataclasses.dataclass(kw_only=True, slots=True)
class PublicationTable:
    """Orders that wait for the log, and reports to the source.

    Times are monotonic seconds.

    Attributes:
        orders_by_id: Orders that were read but are not in the fold yet.
        order_due_s_by_id: Time of the next append of each order.
        reported_by_service: Rollout id and state last reported for each
            service.
        ended_s_by_rollout: Time at which this node, as the leader, first
            saw that a rollout is done.
    """

    orders_by_id: dict[str, records.RolloutOrder] = dataclasses.field(
        default_factory=dict
    )
    order_due_s_by_id: dict[str, float] = dataclasses.field(
        default_factory=dict
    )
    reported_by_service: dict[str, tuple[str, agreed.RolloutState]] = (
        dataclasses.field(default_factory=dict)
    )
    ended_s_by_rollout: dict[str, float] = dataclasses.field(
        default_factory=dict
    )
