"""Endpoints and the nodes beside them."""

import dataclasses
import enum


class MemberState(enum.Enum):
    """What is known of an endpoint."""

    STARTING = "starting"
    SERVING = "serving"
    LEAVING = "leaving"
    SILENT = "silent"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Member:
    """A node and the target beside it.

    A row replaces another of the same node if its (incarnation,
    sequence) is higher.

    Attributes:
        incarnation: Start time of the node process in milliseconds
            since the epoch.
        sequence: Counts the changes within one incarnation.
        service: Empty until a target announced itself.
        target: HTTP address of the target, ``IP:PORT``.
        slots: Requests that the target runs at once.
        inbound: gRPC address for calls to the target.
        relay: gRPC address for configuration streams.
    """

    node: str
    data_centre: str
    incarnation: int
    sequence: int = 0
    state: MemberState = MemberState.STARTING
    service: str = ""
    version: str = ""
    target: str = ""
    slots: int = 0
    inbound: str = ""
    relay: str = ""

    @property
    def live(self) -> bool:
        """Whether the node is there, with or without a target."""
        return self.state in (MemberState.STARTING, MemberState.SERVING)

    @property
    def rank(self) -> tuple[int, int]:
        """Order among the rows of one node."""
        return (self.incarnation, self.sequence)
