"""Streams between nodes."""

import dataclasses
import enum


class LinkRole(enum.Enum):
    """What the other side is to this node."""

    PARENT = "parent"
    CHILD = "child"
    ROOT = "root"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Link:
    """An open stream.

    Attributes:
        peer: Node id of the other side.
        address: Relay address of the other side.
        version: Newest configuration version the peer is known to have.
        known: Nodes at and below the peer.
        in_force: Those of them that have ``version`` in force.
        minimum: Oldest version that one of them has in force.
        lacking: Some of those that lack ``version``.
        sent_version: Version that was sent to the peer last.
        data_centre: Where the peer runs.
        attached: Whether the peer's chain of parents reaches a root.
        label: The peer's position in the tree.
        reads_source: Whether the peer, a root, reads the external source.
    """

    peer: str
    address: str
    role: LinkRole
    version: int = 0
    known: int = 1
    in_force: int = 0
    minimum: int = 0
    lacking: tuple[str, ...] = ()
    sent_version: int = 0
    data_centre: str = ""
    attached: bool = False
    label: int = 0
    reads_source: bool = True
