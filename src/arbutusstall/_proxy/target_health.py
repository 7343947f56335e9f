"""Interface of the health check of a target."""

import dataclasses
import enum
from typing import Protocol

from arbutusstall import _effects


class TargetHealth(enum.Enum):
    """Result of a health check.

    Attributes:
        SERVING: The target itself answered that it serves.
        NOT_SERVING: It is leaving, unhealthy or another target.
        UNKNOWN: It did not answer, or refused the check for lack of room.
    """

    SERVING = "serving"
    NOT_SERVING = "not-serving"
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class HealthAnswer:
    """Answer of a target to a health check.

    Attributes:
        cold_s: Remaining time for which the target is cold, in seconds;
            None if it does not tell.
    """

    health: TargetHealth
    cold_s: float | None = None


class HealthCheck(Protocol):
    """Asks targets whether they serve."""

    def check(self, target: _effects.Announced) -> HealthAnswer:
        """Ask a target; blocks for up to a few seconds."""
        ...
