"""Targets that have said that they leave, kept beyond a node's life."""

from typing import Protocol

from arbutusstall._systems import announcements


class Departures(Protocol):
    """Remembers which targets of a node have left; blocking calls."""

    def load(self) -> tuple[announcements.Departure, ...]:
        """Return what was recorded for this node.

        Raises:
            LogUnavailable: No answer.
        """
        ...

    def record(self, departure: announcements.Departure) -> None:
        """Keep one more.

        Raises:
            LogUnavailable: No answer; it may be stored all the same.
        """
        ...
