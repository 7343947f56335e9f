"""Evaluates the heartbeats that a target sends to its node."""

from collections import abc
import dataclasses
import enum


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Announcement:
    """A heartbeat of a target.

    Attributes:
        instance: Name of the target instance; a target may restart under
            the same name.
        address: HTTP address of the target, ``IP:PORT``.
        slots: Requests that the target runs concurrently.
        sequence: Increases with each heartbeat of one start.
        draining: Whether the target is leaving.
        born_ms: Start time of the target in milliseconds since the
            epoch; zero if unknown.
        cold_s: Remaining seconds for which the target is cold; None if it
            is unknown.
    """

    instance: str
    service: str
    version: str
    address: str
    slots: int
    sequence: int
    draining: bool = False
    born_ms: int = 0
    cold_s: float | None = 0.0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Departure:
    """A target instance that is leaving or has ended.

    Attributes:
        instance: Name of the target instance.
        born_ms: Start time in milliseconds since the epoch; starts of
            the instance up to this time count as ended.
    """

    instance: str
    born_ms: int = 0


class AnnouncementKind(enum.Enum):
    """What an announcement says about its target."""

    SERVING = "serving"
    LEAVING = "leaving"
    OUTDATED = "outdated"


class Announcements:
    """Tracks the newest announcement of a node's target.

    Args:
        silent_s: Seconds without an announcement after which the target
            is considered dead.
    """

    def __init__(self, silent_s: float) -> None:
        self._silent_s = silent_s
        self._newest: Announcement | None = None
        self._last_received_s = 0.0
        self._left_ms_by_instance: dict[str, int] = {}

    @property
    def newest(self) -> Announcement | None:
        """The newest announcement; None if the target left or is silent."""
        return self._newest

    def process(self, new: Announcement, now_s: float) -> AnnouncementKind:
        """Classify an announcement, and store it if it is the newest.

        Args:
            new: The announcement.
            now_s: Monotonic time in seconds.
        """
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
        self._last_received_s = now_s
        if not new.draining:
            return AnnouncementKind.SERVING
        self._record_departure(
            Departure(instance=new.instance, born_ms=new.born_ms)
        )
        return AnnouncementKind.LEAVING

    def leave(self, instance: str, wall_ms: int) -> Departure:
        """Record that a target instance ends.

        An instance that has not announced itself is assumed to have
        started no later than ``wall_ms``, in milliseconds since the
        epoch, so that neither a delayed heartbeat nor a stored row of it
        can put it back into service.
        """
        old = self._newest
        born_ms = wall_ms
        if old is not None and old.instance == instance:
            born_ms = old.born_ms
            self._newest = None
        departure = Departure(instance=instance, born_ms=born_ms)
        self._record_departure(departure)
        return departure

    def restore(self, departures: abc.Iterable[Departure]) -> None:
        """Load the departures that an earlier process recorded."""
        for departure in departures:
            self._record_departure(departure)

    def restore_start(self, start: str) -> None:
        """Load one departure that another node has kept.

        Args:
            start: The target's start, as `members.target_start` returns it.
        """
        instance, _, born_ms = start.rpartition("/")
        self._record_departure(
            Departure(instance=instance, born_ms=int(born_ms))
        )

    def detect_silence(self, now_s: float) -> bool:
        """Return True if the target has been silent for ``silent_s``.

        The stored announcement is then dropped, so that each silence is
        reported only once.
        """
        old = self._newest
        if old is None or now_s - self._last_received_s < self._silent_s:
            return False
        self._newest = None
        return True

    def _record_departure(self, departure: Departure) -> None:
        known_ms = self._left_ms_by_instance.get(departure.instance, 0)
        self._left_ms_by_instance[departure.instance] = max(
            known_ms, departure.born_ms
        )


def _is_older(new: Announcement, old: Announcement) -> bool:
    if new.born_ms != old.born_ms:
        return new.born_ms < old.born_ms
    # Sequence numbers are comparable only within one start.
    return new.instance == old.instance and new.sequence < old.sequence
