"""Decides whether a target that an earlier process may have known serves.

An earlier process of the node may have acknowledged that the target leaves
and have ended before that was stored. The target itself is then the only
one that knows: it sends no heartbeat any more, and its health check fails.
"""

from arbutusstall._systems import announcements
from arbutusstall._tables import members

# Clocks may be stepped by some seconds between two starts.
_CLOCK_MARGIN_MS = 10_000


class Confirmations:
    """Tracks which starts of the local target are known to serve.

    Args:
        began_ms: Start time of this process in milliseconds since the
            epoch.
        first_process: Whether no earlier process of the node existed.
    """

    def __init__(self, *, began_ms: int, first_process: bool) -> None:
        self._began_ms = began_ms
        self._first_process = first_process
        self._confirmed_start = ""
        self._heard_start = ""
        self._heard_sequence = 0

    def record(self, heartbeat: announcements.Announcement) -> bool:
        """Record a heartbeat; return whether its target is confirmed.

        One heartbeat confirms nothing, since it may be late. A second,
        newer one of the same start does.
        """
        start = members.target_start(heartbeat.instance, heartbeat.born_ms)
        is_newer = heartbeat.sequence > self._heard_sequence
        if start == self._heard_start and is_newer:
            self.confirm(start)
        if start != self._heard_start or is_newer:
            self._heard_start = start
            self._heard_sequence = heartbeat.sequence
        return self._is_confirmed(start, heartbeat.born_ms)

    def confirm(self, start: str) -> None:
        """Record that a target has passed its health check.

        Args:
            start: The target's start, as `members.target_start` returns it.
        """
        self._confirmed_start = start

    def _is_confirmed(self, start: str, born_ms: int) -> bool:
        if self._first_process or start == self._confirmed_start:
            return True
        return born_ms > self._began_ms + _CLOCK_MARGIN_MS
