"""A platform log in memory with faults that tests set."""

import threading

from arbutusstall import errors
from arbutusstall import protocols
from arbutusstall._log import records


class MemoryLog:
    """A `LogClient` that keeps its records in memory.

    Attributes:
        append_faults: Faults of the next appends in their order: ``out``
            (not stored), ``lost`` (stored, but unanswered) or ``full``
            (refused, rate exceeded).
        appends: Number of calls of `append`.
        reads: Number of calls of `read`.
        out: Whether reads fail.
        first_kept: Offset of the oldest record that has not expired.
    """

    def __init__(self) -> None:
        self.entries: list[bytes] = []
        self.append_faults: list[str] = []
        self.appends = 0
        self.reads = 0
        self.out = False
        self.first_kept = 0
        self._lock = threading.Lock()

    def append(self, data: bytes) -> int:
        """Store ``data`` and return its offset, or raise for a fault."""
        with self._lock:
            self.appends += 1
            fault = self.append_faults.pop(0) if self.append_faults else ""
            if fault == "full":
                raise errors.LogOverloaded(
                    step="log.append", peer="memory", reason="rate"
                )
            if fault != "out":
                self.entries.append(data)
            if fault:
                raise _unavailable("log.append")
            return len(self.entries) - 1

    def put(self, record: records.Record) -> int:
        """Store a record as another writer would; return its offset."""
        with self._lock:
            self.entries.append(records.encode(record))
            return len(self.entries) - 1

    def read(self, offset: int, wait_s: float) -> protocols.LogRead:
        """Return all entries from ``offset`` on, without waiting."""
        self.reads += 1
        if self.out:
            raise _unavailable("log.read")
        start = max(offset, self.first_kept)
        with self._lock:
            found = self.entries[start:]
            return protocols.LogRead(
                entries=tuple(
                    protocols.LogEntry(offset=start + index, data=data)
                    for index, data in enumerate(found)
                ),
                first_kept=self.first_kept,
                next_offset=len(self.entries),
            )


def _unavailable(step: str) -> errors.LogUnavailable:
    return errors.LogUnavailable(step=step, peer="memory", reason="fault")
