"""Interface to the roster: persistent rows of nodes and their targets."""

from collections import abc
import dataclasses
from typing import Protocol

from arbutusstall import _values
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
        absent: Whether the node did not answer the others when they last
            compared the roster with their members. Its own restart ends
            that.
    """

    member: members.Member
    instance: _values.Token
    born_ms: _values.Number = 0
    departed: bool = False
    absent: bool = False


def same_target(one: RosterEntry, other: RosterEntry) -> bool:
    """Return whether two entries differ at most by a restart of the node."""
    row = dataclasses.replace(
        other.member,
        incarnation=one.member.incarnation,
        sequence=one.member.sequence,
    )
    return dataclasses.replace(other, member=row) == one


def gone_entries(
    rows: abc.Iterable[members.Member],
    entries: abc.Iterable[RosterEntry],
) -> tuple[RosterEntry, ...]:
    """Return the entries that change because of nodes that are gone.

    An entry of a later process, or of another target, does not change.

    Args:
        rows: Rows of nodes that left or do not answer.
        entries: All entries of the roster.
    """
    rows_by_node = {row.node: row for row in rows}
    changed = []
    for entry in entries:
        row = rows_by_node.get(entry.member.node)
        if row is None or entry.member.incarnation > row.incarnation:
            continue
        if entry.member.target != row.target:
            continue
        start = members.target_start(entry.instance, entry.born_ms)
        departed = entry.departed or start == row.departed
        new = dataclasses.replace(entry, departed=departed, absent=True)
        if new != entry:
            changed.append(new)
    return tuple(changed)


Change = abc.Callable[[tuple[RosterEntry, ...]], tuple[RosterEntry, ...]]
"""Returns new entries, given all entries of a roster."""


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

    def update(self, change: Change) -> None:
        """Store the entries that ``change`` returns for all entries.

        Nothing is stored if the roster has changed meanwhile.

        Raises:
            LogUnavailable: No answer arrived, or the roster has changed.
        """
        ...
