"""Interface of the platform log client."""

from typing import Protocol

from arbutusstall import _effects


class LogClient(Protocol):
    """Access to the append-only platform log."""

    def append(self, data: bytes) -> int:
        """Store ``data`` and return its offset.

        Raises:
            LogUnavailable: No answer arrived; the record may be stored.
        """
        ...

    def read(self, offset: int, wait_s: float) -> _effects.LogRead:
        """Return entries starting at ``offset``.

        Waits up to ``wait_s`` seconds if there are none yet.

        Raises:
            LogUnavailable: No answer arrived.
        """
        ...
