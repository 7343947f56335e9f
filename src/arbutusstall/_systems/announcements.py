"""Judges what targets say of themselves to the node beside them."""

from collections import abc
import dataclasses
import enum


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Announcement:
    """A heartbeat of a target.

    Attributes:
        instance: Names one start of the target; a target may start again
            under a name that it had.
        born_ms: Time of that start, milliseconds since the epoch; zero
            if it is not known.
        sequence: Grows with each heartbeat of one start.
        cold_s: How much longer the target is slow, in seconds.
    """

    instance: str
    service: str
    version: str
    address: str
    slots: int
    sequence: int
    draining: bool = False
    born_ms: int = 0
    cold_s: float = 0.0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Departure:
    """A target that has said that it leaves."""

    instance: str
    born_ms: int = 0


class AnnouncementKind(enum.Enum):
    """What an announcement means."""

    SERVING = "serving"
    LEAVING = "leaving"
    OUTDATED = "outdated"


class Announcements:
    """The newest announcement of the target beside a node.

    Args:
        silent_s: Time without an announcement after which the target is
            taken for dead.
    """

    def __init__(self, silent_s: float) -> None:
        self._silent_s = silent_s
        self._newest: Announcement | None = None
        self._heard_s = 0.0
        self._left_ms_by_instance: dict[str, int] = {}

    @property
    def newest(self) -> Announcement | None:
        """The newest announcement; None after the target has left."""
        return self._newest

    def process(self, new: Announcement, now_s: float) -> AnnouncementKind:
        """Take an announcement in."""
        left_ms = self._left_ms_by_instance.get(new.instance)
        if left_ms is not None and new.born_ms <= left_ms:
            return (
                AnnouncementKind.LEAVING
                if new.draining
                else AnnouncementKind.OUTDATED
            )
        old = self._newest
        if old is not None and _is_older(new, old):
            return AnnouncementKind.OUTDATED
        self._newest = new
        self._heard_s = now_s
        if not new.draining:
            return AnnouncementKind.SERVING
        self._note(Departure(instance=new.instance, born_ms=new.born_ms))
        return AnnouncementKind.LEAVING

    def leave(self, instance: str, wall_ms: int) -> Departure:
        """Note that a target ends.

        A target that was not heard of before began before ``wall_ms``,
        milliseconds since the epoch: a late heartbeat of it, or what is
        kept of it, must not bring it back.
        """
        old = self._newest
        born_ms = wall_ms
        if old is not None and old.instance == instance:
            born_ms = old.born_ms
            self._newest = None
        departure = Departure(instance=instance, born_ms=born_ms)
        self._note(departure)
        return departure

    def restore(self, departures: abc.Iterable[Departure]) -> None:
        """Take over what an earlier process has noted."""
        for departure in departures:
            self._note(departure)

    def detect_silence(self, now_s: float) -> bool:
        """Tell once that the target has not been heard for too long."""
        old = self._newest
        if old is None or now_s - self._heard_s < self._silent_s:
            return False
        self._newest = None
        return True

    def _note(self, departure: Departure) -> None:
        known_ms = self._left_ms_by_instance.get(departure.instance, 0)
        self._left_ms_by_instance[departure.instance] = max(
            known_ms, departure.born_ms
        )


def _is_older(new: Announcement, old: Announcement) -> bool:
    if new.born_ms != old.born_ms:
        return new.born_ms < old.born_ms
    # Sequences count anew with each start.
    return new.instance == old.instance and new.sequence < old.sequence
