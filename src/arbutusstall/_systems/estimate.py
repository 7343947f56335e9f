"""A lower bound of another node's clock, from the answers it sent."""

import dataclasses

_DRIFT = 0.001


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ClockBound:
    """What is known of an inbound proxy's clock.

    An answer that carries the clock's value has taken some time to
    arrive, so the clock shows at least that value on arrival. The
    assumed drift keeps the bound below the clock as time passes.

    Attributes:
        incarnation: Incarnation that the clock belongs to.
        clock_ms: Value that the answer carried.
        seen_s: Own monotonic time when the answer arrived.
    """

    incarnation: int
    clock_ms: int
    seen_s: float

    def at(self, mono_s: float) -> int:
        """Return the bound at the own monotonic time ``mono_s``."""
        elapsed_ms = (mono_s - self.seen_s) * 1000 * (1 - _DRIFT)
        return self.clock_ms + int(elapsed_ms)


def tighten(
    old: ClockBound | None, incarnation: int, clock_ms: int, mono_s: float
) -> ClockBound:
    """Return the better of the old bound and a new reading."""
    new = ClockBound(incarnation=incarnation, clock_ms=clock_ms, seen_s=mono_s)
    if old is None or old.incarnation < incarnation:
        return new
    if old.incarnation > incarnation or old.at(mono_s) > clock_ms:
        return old
    return new
