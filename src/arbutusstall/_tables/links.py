"""Links of this node: open streams to other nodes."""

import dataclasses
import enum

from arbutusstall._tables import versions


class LinkRole(enum.Enum):
    """Role of the peer relative to this node."""

    PARENT = "parent"
    CHILD = "child"
    ROOT = "root"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Link:
    """An open stream to another node.

    Attributes:
        peer: Node id of the peer.
        address: Relay address of the peer.
        role: Role of the peer.
        version: Newest configuration version the peer has reported.
        known: Number of nodes in the peer's subtree, including the peer.
        in_force: How many of these have ``version`` in force.
        minimum: Oldest version that one of these has in force.
        lacking: Names of some of these that lack ``version``.
        sent_version: Version that was last sent to the peer.
        data_centre: Data centre of the peer.
        attached: Whether the peer's chain of parents reaches a root.
        label: The peer's label in the tree.
        reads_source: Whether the peer, a root, reads the external source.
        clock_s: Newest reading of the peer's monotonic clock that it sent;
            None if it sent none.
        clock_received_s: Monotonic time of this node when that arrived.
    """

    peer: str
    address: str
    role: LinkRole
    version: versions.Version = versions.NONE
    known: int = 1
    in_force: int = 0
    minimum: versions.Version = versions.NONE
    lacking: tuple[str, ...] = ()
    sent_version: versions.Version = versions.NONE
    data_centre: str = ""
    attached: bool = False
    label: int = 0
    reads_source: bool = True
    clock_s: float | None = None
    clock_received_s: float = 0.0


def with_clock(link: Link, clock_s: float, received_s: float) -> Link:
    """Return the link with a new reading of the peer's clock."""
    return dataclasses.replace(
        link, clock_s=clock_s, clock_received_s=received_s
    )
