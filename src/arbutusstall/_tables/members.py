"""Rows of the member table: nodes and their targets."""

import dataclasses
import enum

from arbutusstall import _values


class MemberState(enum.Enum):
    """State of a node and its target.

    Attributes:
        STARTING: The node runs; no target has announced itself yet.
        SERVING: The target takes calls.
        LEAVING: The target is being taken out of service.
        SILENT: The node has not been reported alive for too long and is
            considered dead.
    """

    STARTING = "starting"
    SERVING = "serving"
    LEAVING = "leaving"
    SILENT = "silent"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Member:
    """A node and its target.

    A row replaces another of the same node if its (incarnation,
    sequence) is higher.

    Attributes:
        node: Node id.
        data_centre: Data centre of the node.
        incarnation: Start time of the node process in milliseconds
            since the epoch.
        sequence: Number of changes within one incarnation.
        state: State of the node and its target.
        service: Service of the target; empty until a target announces
            itself.
        version: Version of the service that the target runs.
        target: HTTP address of the target, ``IP:PORT``.
        slots: Requests that the target runs concurrently.
        inbound: Address for calls to the target.
        relay: Address for configuration streams.
        departed: Start of the target that announced its departure, as
            `target_start` returns it; empty if the last target did not
            announce one.
    """

    node: _values.Name
    data_centre: _values.Name
    incarnation: _values.Number
    sequence: _values.Number = 0
    state: MemberState = MemberState.STARTING
    service: _values.Name = ""
    version: _values.Name = ""
    target: _values.OptionalAddress = ""
    slots: _values.Count = 0
    inbound: _values.OptionalAddress = ""
    relay: _values.OptionalAddress = ""
    departed: str = ""

    @property
    def live(self) -> bool:
        """Whether the node runs and its target, if any, is not leaving."""
        return self.state in (MemberState.STARTING, MemberState.SERVING)

    @property
    def rank(self) -> tuple[int, int]:
        """Sort key of the rows of one node; the highest is the newest."""
        return (self.incarnation, self.sequence)


def target_start(instance: str, born_ms: int) -> str:
    """Return the text that identifies one start of a target.

    An instance may start again under the same id.

    Args:
        instance: Id of the target.
        born_ms: Time of the start, milliseconds since the epoch.
    """
    return f"{instance}/{born_ms}"
