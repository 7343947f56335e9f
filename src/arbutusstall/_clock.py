"""Clocks of a node: the system's, and a manual one for tests."""

import dataclasses
import time
from typing import Protocol


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Instant:
    """One reading of the clock.

    Attributes:
        mono_s: Monotonic seconds, including time for which the machine
            is suspended; only differences are meaningful.
        wall_s: Seconds since the Unix epoch.
    """

    mono_s: float
    wall_s: float


def steady_s() -> float:
    """Return monotonic seconds, including time of suspension.

    `time.monotonic` does not advance while the machine is suspended. A
    resumed process would consider a lease, a deadline or an admission
    valid that has expired meanwhile.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class Clock(Protocol):
    """Source of time."""

    def now(self) -> Instant:
        """Return the current reading."""
        ...


class SystemClock:
    """Reads the clocks of the operating system."""

    def now(self) -> Instant:
        """Return the current reading."""
        return Instant(mono_s=steady_s(), wall_s=time.time())


class ManualClock:
    """A clock that only moves when it is advanced, for tests.

    Args:
        wall_s: First wall clock reading, in seconds since the epoch.
    """

    def __init__(self, wall_s: float = 1_800_000_000.0) -> None:
        self._mono_s = 1_000.0
        self._wall_s = wall_s

    def now(self) -> Instant:
        """Return the current reading."""
        return Instant(mono_s=self._mono_s, wall_s=self._wall_s)

    def advance(self, seconds: float) -> None:
        """Move both readings forward by ``seconds``."""
        self._mono_s += seconds
        self._wall_s += seconds
