"""Bounds the data that waits for clients to take it."""

import logging
from typing import Generic
from typing import Protocol
from typing import TypeVar

from arbutusstall._shell import call_metrics

LOG = logging.getLogger(__name__)


class Writer(Protocol):
    """A connection that data is written to."""

    @property
    def unsent_bytes(self) -> int:
        """Bytes that were written and the client has not taken."""
        ...

    def abort(self) -> None:
        """Close the connection at once; unsent data is lost."""
        ...


_Writer = TypeVar("_Writer", bound=Writer)


class UnsentData(Generic[_Writer]):
    """The connections whose clients have not taken all data.

    Args:
        limit: Maximum number of unsent bytes of all connections together.
    """

    def __init__(self, limit: int) -> None:
        self.limit = limit
        # A dictionary keeps the order, so that of two equal connections the
        # one that has waited longer is closed.
        self._bytes_by_writer: dict[_Writer, int] = {}
        self._total = 0

    def update(self, writer: _Writer) -> None:
        """Count a connection that was written to.

        Beyond the limit, those with the most unsent data are closed.
        """
        self._count(writer)
        if self._total <= self.limit:
            return
        for other in list(self._bytes_by_writer):
            self._count(other)
        while self._total > self.limit:
            self._abort_largest()

    def remove(self, writer: _Writer) -> None:
        """Forget a connection that has ended."""
        self._total -= self._bytes_by_writer.pop(writer, 0)

    def _count(self, writer: _Writer) -> None:
        unsent = writer.unsent_bytes
        known = self._bytes_by_writer.get(writer, 0)
        self._total += unsent - known
        if unsent:
            self._bytes_by_writer[writer] = unsent
        elif known:
            del self._bytes_by_writer[writer]

    def _abort_largest(self) -> None:
        largest = max(
            self._bytes_by_writer, key=self._bytes_by_writer.__getitem__
        )
        call_metrics.UNTAKEN.inc()
        LOG.warning(
            {
                "event": "answers-untaken",
                "unsent": self._bytes_by_writer[largest],
                "limit": self.limit,
            }
        )
        self.remove(largest)
        largest.abort()
