"""Sums up the log lines that were dropped."""

import dataclasses
import logging

# Further groups are counted together.
_MAX_GROUPS = 20


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _Group:
    """Lines that are counted together; an empty text is an absent field."""

    event: str
    reason: str = ""
    peer: str = ""


_OTHERS = _Group(event="others")


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class DroppedCount:
    """Number of dropped lines of one group.

    Attributes:
        event: Event of the lines.
        reason: Their reason, if they have one.
        peer: Peer that they name, if they do.
        request: Request that one of them names; empty if none does.
        count: Number of lines.
    """

    event: str
    reason: str
    peer: str
    request: str
    count: int

    @property
    def fields(self) -> dict[str, str | int]:
        """Fields of the line that reports the group."""
        found: dict[str, str | int] = {
            "event": "lines-dropped",
            "count": self.count,
            "dropped_event": self.event,
            "reason": self.reason,
            "peer": self.peer,
            "request": self.request,
        }
        return {name: value for name, value in found.items() if value != ""}


class DroppedLines:
    """Counts dropped lines by event, reason and peer until it is emptied."""

    def __init__(self) -> None:
        self._counts_by_group: dict[_Group, int] = {}
        self._requests_by_group: dict[_Group, str] = {}

    def __bool__(self) -> bool:
        return bool(self._counts_by_group)

    def add(self, record: logging.LogRecord) -> None:
        """Count the line of ``record``."""
        fields = record.msg if isinstance(record.msg, dict) else {}
        group = _Group(
            event=str(fields.get("event", "")),
            reason=str(fields.get("reason", "")),
            peer=str(fields.get("peer", "")),
        )
        known = self._counts_by_group
        if group not in known and len(known) >= _MAX_GROUPS:
            group = _OTHERS
        known[group] = known.get(group, 0) + 1
        request = str(fields.get("request", ""))
        self._requests_by_group.setdefault(group, request)

    def take(self) -> list[DroppedCount]:
        """Return the counts since the last call, and start again."""
        counts = [
            DroppedCount(
                event=group.event,
                reason=group.reason,
                peer=group.peer,
                request=self._requests_by_group[group],
                count=count,
            )
            for group, count in self._counts_by_group.items()
        ]
        self._counts_by_group = {}
        self._requests_by_group = {}
        return counts
