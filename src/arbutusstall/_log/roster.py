"""Interface to the roster: persistent rows of nodes and their targets."""

import dataclasses
from typing import Protocol

from arbutusstall._tables import members


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RosterEntry:
    """The persistent record of one node.

    Attributes:
        member: Last known member row of the node.
        instance: Identifies the start of the target that the row
            describes.
        born_ms: Time of that start, milliseconds since the epoch.
        departed: Whether that target announced that it is leaving.
    """

    member: members.Member
    instance: str
    born_ms: int = 0
    departed: bool = False


def same_target(one: RosterEntry, other: RosterEntry) -> bool:
    """Return whether two entries differ at most by a restart of the node."""
    row = dataclasses.replace(
        other.member,
        incarnation=one.member.incarnation,
        sequence=one.member.sequence,
    )
    return dataclasses.replace(other, member=row) == one


class Roster(Protocol):
    """Stores the newest entry of each node; the calls block."""

    def load(self) -> tuple[RosterEntry, ...]:
        """Return the entries of all nodes.

        Raises:
            LogUnavailable: No answer arrived.
        """
        ...

    def save(self, entry: RosterEntry) -> None:
        """Store an entry, replacing the previous one of the same node.

        Raises:
            LogUnavailable: No answer arrived; the entry may be stored.
        """
        ...
