"""Schedules the transfers of large call bodies to this node.

A limited number of bodies is transferred at the same time, in order of
priority. Times are milliseconds on one monotonic clock.
"""

from collections import abc
import dataclasses

_SMOOTHING = 0.2
# Rate assumed before the first measurement: 8 Mbit/s.
_INITIAL_BYTES_PER_MS = 1_000.0
_MIN_ELAPSED_MS = 1
_MEASUREMENT_PERIOD_MS = 500


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Body:
    """Body of a call that another node has offered.

    Attributes:
        call_id: Id of the call.
        rank: Priority. Bodies of a lower rank are transferred first;
            within a rank, in order of arrival.
        size: Size in bytes.
    """

    call_id: str
    rank: int
    size: int


class Transfers:
    """Running and waiting transfers of bodies to this node.

    Args:
        limit: Maximum number of concurrent transfers.
    """

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._running_by_id: dict[str, Body] = {}
        self._waiting: list[Body] = []
        self._bytes_per_ms = _INITIAL_BYTES_PER_MS
        self._measured_from_ms = 0
        self._received_bytes = 0

    @property
    def running(self) -> int:
        """Number of running transfers."""
        return len(self._running_by_id)

    @property
    def pending(self) -> int:
        """Number of running and waiting transfers."""
        return len(self._running_by_id) + len(self._waiting)

    def wait_ms(self, rank: int) -> int:
        """Return the expected wait of a new body in milliseconds."""
        if len(self._running_by_id) < self._limit:
            return 0
        ahead = [body for body in self._waiting if body.rank <= rank]
        # On average, half of each running transfer is still to come.
        size = sum(body.size for body in self._running_by_id.values()) / 2
        size += sum(body.size for body in ahead)
        return int(size / self._bytes_per_ms)

    def offer(self, body: Body, now_ms: int) -> tuple[str, ...]:
        """Queue a body; return the ids of the transfers to start now."""
        index = len(self._waiting)
        while index and self._waiting[index - 1].rank > body.rank:
            index -= 1
        self._waiting.insert(index, body)
        return self._start_waiting(now_ms)

    def end(
        self, call_id: str, now_ms: int, *, complete: bool
    ) -> tuple[str, ...]:
        """End or cancel a transfer; return the ids to start now.

        Args:
            call_id: Id of the call; ignored if unknown.
            now_ms: Current time.
            complete: Whether the whole body has arrived.
        """
        body = self._running_by_id.pop(call_id, None)
        if body is not None and complete:
            self._received_bytes += body.size
        elapsed_ms = now_ms - self._measured_from_ms
        if not self._running_by_id or elapsed_ms >= _MEASUREMENT_PERIOD_MS:
            self._update_rate(elapsed_ms)
            self._measured_from_ms = now_ms
        self._waiting = [
            item for item in self._waiting if item.call_id != call_id
        ]
        return self._start_waiting(now_ms)

    def _start_waiting(self, now_ms: int) -> tuple[str, ...]:
        started: list[str] = []
        while self._waiting and len(self._running_by_id) < self._limit:
            body = self._waiting.pop(0)
            if not self._running_by_id:
                self._measured_from_ms = now_ms
            self._running_by_id[body.call_id] = body
            started.append(body.call_id)
        return tuple(started)

    def _update_rate(self, elapsed_ms: int) -> None:
        """Update the transfer rate after ``elapsed_ms`` of transfers."""
        if not self._received_bytes:
            return
        rate = self._received_bytes / max(_MIN_ELAPSED_MS, elapsed_ms)
        self._bytes_per_ms += _SMOOTHING * (rate - self._bytes_per_ms)
        self._received_bytes = 0


RequestBody = abc.Callable[[str], None]
"""Callback that requests the body of the call with the given id."""
