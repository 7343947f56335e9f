"""Interface to an external source of configurations and orders."""

import dataclasses
from typing import Protocol

from arbutusstall import _effects
from arbutusstall._evacuation import register


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SourceRead:
    """The result of reading a source.

    Attributes:
        events: Configurations and rollout orders, in the source's order.
        position: Position at which the next read starts.
        sent_s: Monotonic time (`_clock.steady_s`) at which the request was
            sent, if the source had published nothing more by then; None
            if that is unknown.
        era: Era of the store that answered; 0 if it reported none.
        evacuations: All evacuated data centres, after a read of the whole
            source; None if the read began at a position.
    """

    events: tuple[
        _effects.Published | _effects.Ordered | _effects.EvacuationChanged,
        ...,
    ]
    position: int
    sent_s: float | None = None
    era: int = 0
    evacuations: register.Register | None = None


class Source(Protocol):
    """Publishes configurations and receives reports on rollouts."""

    def read_all(self) -> SourceRead:
        """Return the newest configuration and all orders.

        Raises:
            LogUnavailable: The source did not answer.
        """
        ...

    def read_from(self, position: int, wait_s: float) -> SourceRead:
        """Return what was published since ``position``.

        Args:
            position: Position from an earlier read.
            wait_s: Maximum time to wait for something new, in seconds.

        Raises:
            LogUnavailable: The source did not answer.
            PositionLost: What followed the position has expired.
        """
        ...

    def report(self, report: _effects.ReportRollout) -> None:
        """Store the state of a rollout at the source.

        Raises:
            LogUnavailable: The source did not answer.
        """
        ...
