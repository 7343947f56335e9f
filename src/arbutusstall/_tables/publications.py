"""What an external source has published, as one node has read it."""

import dataclasses

from arbutusstall._log import records
from arbutusstall._tables import agreed


@dataclasses.dataclass(kw_only=True, slots=True)
class PublicationTable:
    """Orders on their way to the log, and reports back.

    Times are monotonic seconds.

    Attributes:
        orders_by_id: Orders that were read and are not folded yet.
        order_due_s_by_id: When to append them.
        reported_by_service: What was last told of each service's rollout.
        ended_s_by_rollout: When the end of a rollout was seen here.
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
