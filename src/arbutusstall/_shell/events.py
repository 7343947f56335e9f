"""Event lines of a process: key=value pairs on standard error."""

from collections import abc
import itertools
import logging
import sys
from typing import Protocol

import logfmter

LOG = logging.getLogger("arbutusstall")


class Writer(Protocol):
    """Names the process that writes events."""

    @property
    def node(self) -> str:
        """Its name."""
        ...

    @property
    def data_centre(self) -> str:
        """Where it runs."""
        ...


class EventLog:
    """Writes events with the node's own fields added.

    Each line carries the wall clock in seconds and a sequence number
    that grows by one with each line of the process.
    """

    def __init__(self, writer: Writer) -> None:
        self._node = writer.node
        self._data_centre = writer.data_centre
        self._sequence = itertools.count(1)

    def emit(
        self,
        event: str,
        fields: abc.Mapping[str, str | int | float] | None = None,
        level: int = logging.INFO,
    ) -> None:
        """Write one line for ``event``.

        Args:
            fields: Further pairs; none takes the place of a pair that
                each line has.
        """
        if not LOG.isEnabledFor(level):
            return
        own = {
            "event": event,
            "node": self._node,
            "data_centre": self._data_centre,
            "seq": next(self._sequence),
        }
        line = {**own, **(fields or {}), **own}
        LOG.log(level, line)


def configure(level: str) -> None:
    """Send the package's log lines to standard error."""
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(
        logfmter.Logfmter(
            keys=["at", "ts"],
            mapping={"at": "levelname", "ts": "created"},
        )
    )
    LOG.handlers[:] = [handler]
    LOG.propagate = False
    LOG.setLevel(level)
