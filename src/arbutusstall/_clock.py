"""The clock that the shell reads and that tests replace."""

import dataclasses
import time
from typing import Protocol


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Instant:
    """One reading of the clock.

    Attributes:
        mono_s: Monotonic seconds that also pass while the machine is
            suspended; only differences have a meaning.
        wall_s: Seconds since the Unix epoch.
    """

    mono_s: float
    wall_s: float


def steady_s() -> float:
    """Return monotonic seconds that count a suspension of the machine.

    `time.monotonic` stands still meanwhile, so that whoever wakes would
    take a lease, a deadline or an admission for valid that has run out.
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
    """A clock that stands still until it is advanced."""

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
