"""Structured event log: lines of key=value pairs on standard error."""

from collections import abc
import itertools
import logging
import sys
from typing import Protocol

import logfmter

LOG = logging.getLogger("arbutusstall")


class ProcessIdentity(Protocol):
    """Identifies the process that writes events."""

    @property
    def node(self) -> str:
        """Name of the node."""
        ...

    @property
    def data_centre(self) -> str:
        """Data centre in which the node runs."""
        ...


class EventLog:
    """Writes events with the fields that identify the process.

    Each line carries the wall clock time in seconds and a sequence number
    that increases by one with each line of the process.
    """

    def __init__(self, identity: ProcessIdentity) -> None:
        self._node = identity.node
        self._data_centre = identity.data_centre
        self._sequence = itertools.count(1)

    def emit(
        self,
        event: str,
        fields: abc.Mapping[str, str | int | float] | None = None,
        level: int = logging.INFO,
    ) -> None:
        """Write one line for ``event``.

        Args:
            fields: Additional fields; they cannot override the fields
                that every line has.
        """
        if not LOG.isEnabledFor(level):
            return
        common = {
            "event": event,
            "node": self._node,
            "data_centre": self._data_centre,
            "seq": next(self._sequence),
        }
        line = {**common, **(fields or {}), **common}
        LOG.log(level, line)


def configure(level: str) -> None:
    """Send the package's log lines to standard error.

    Replaces the handlers of the package's logger.
    """
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
