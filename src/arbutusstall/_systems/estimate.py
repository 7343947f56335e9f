"""Lower bound of another node's clock, derived from its answers."""

import dataclasses

_MAX_DRIFT = 0.001


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ClockBound:
    """Lower bound of an inbound proxy's clock.

    An answer carries the value of the clock at the time of sending, so on
    arrival the clock shows at least that value. The assumed maximum drift
    between the two clocks keeps the bound below the clock as time passes.

    Attributes:
        incarnation: Incarnation of the inbound proxy.
        clock_ms: Clock value in the answer.
        seen_s: Local monotonic time at which the answer arrived.
    """

    incarnation: int
    clock_ms: int
    seen_s: float

    def at(self, mono_s: float) -> int:
        """Return the bound in milliseconds at local time ``mono_s``."""
        elapsed_ms = (mono_s - self.seen_s) * 1000 * (1 - _MAX_DRIFT)
        return self.clock_ms + int(elapsed_ms)


def tighten(
    old: ClockBound | None, incarnation: int, clock_ms: int, mono_s: float
) -> ClockBound:
    """Return the higher of the old bound and a new reading.

    A reading of a newer incarnation replaces the bound; one of an older
    incarnation is ignored.
    """
    new = ClockBound(incarnation=incarnation, clock_ms=clock_ms, seen_s=mono_s)
    if old is None or old.incarnation < incarnation:
        return new
    if old.incarnation > incarnation or old.at(mono_s) > clock_ms:
        return old
    return new
