"""An external source of whole configurations and rollout orders."""

import dataclasses
from typing import Protocol

from arbutusstall import _effects


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SourceRead:
    """What a read of a source found.

    Attributes:
        position: Where the next read goes on.
    """

    events: tuple[_effects.Published | _effects.Ordered, ...]
    position: int


class Source(Protocol):
    """Publishes configurations and takes reports of rollouts."""

    def read_all(self) -> SourceRead:
        """Return the newest configuration and all orders.

        Raises:
            LogUnavailable: The source did not answer.
        """
        ...

    def read_from(self, position: int, wait_s: float) -> SourceRead:
        """Return what came after ``position``.

        Args:
            wait_s: Longest time to wait if there is nothing yet.

        Raises:
            LogUnavailable: The source did not answer, or no longer has
                what came after the position.
        """
        ...

    def report(self, report: _effects.ReportRollout) -> None:
        """Store how a rollout stands.

        Raises:
            LogUnavailable: The source did not answer.
        """
        ...
