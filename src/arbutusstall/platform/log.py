"""The platform log as a topic of the platform's store."""

from arbutusstall import _effects
from arbutusstall.platform import store as stores

_TOPIC = "arbutusstall"


class StoreLog:
    """Implements `arbutusstall.protocols.LogClient` on a topic of its own."""

    def __init__(self, store: stores.Store) -> None:
        self._store = store

    def append(self, data: bytes) -> int:
        """Store ``data`` and return its offset.

        Raises:
            LogUnavailable: The store did not confirm the record, which
                may have been stored nevertheless.
        """
        return self._store.append(_TOPIC, data)

    def read(self, offset: int, wait_s: float) -> _effects.LogRead:
        """Return the entries from ``offset`` on.

        Waits up to ``wait_s`` seconds if there are none yet.

        Raises:
            LogUnavailable: The store did not answer.
        """
        records = self._store.read(_TOPIC, offset, wait_s)
        return _effects.LogRead(
            entries=tuple(
                _effects.LogEntry(offset=records.offset + index, data=value)
                for index, value in enumerate(records.values)
            ),
            first_kept=records.first_kept,
            next_offset=records.next_offset,
            era=records.era,
        )
