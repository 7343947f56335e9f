"""The nodes and their targets, kept beyond the life of the processes."""

import dataclasses
from typing import Protocol

from arbutusstall._tables import members


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RosterEntry:
    """What is kept of one node.

    Attributes:
        instance: Names the start of the target that the row tells of.
        born_ms: Time of that start, milliseconds since the epoch.
        departed: Whether that target has said that it leaves.
    """

    member: members.Member
    instance: str
    born_ms: int = 0
    departed: bool = False


def same_target(one: RosterEntry, other: RosterEntry) -> bool:
    """Tell whether two entries differ by a restart of the node at most."""
    row = dataclasses.replace(
        other.member,
        incarnation=one.member.incarnation,
        sequence=one.member.sequence,
    )
    return dataclasses.replace(other, member=row) == one


class Roster(Protocol):
    """Keeps the newest entry of each node; blocking calls."""

    def load(self) -> tuple[RosterEntry, ...]:
        """Return the entries of all nodes.

        Raises:
            LogUnavailable: No answer.
        """
        ...

    def save(self, entry: RosterEntry) -> None:
        """Keep an entry in place of the older one of the same node.

        Raises:
            LogUnavailable: No answer; it may be stored all the same.
        """
        ...
