"""Errors of the package; each names the failed step and the peer."""

import dataclasses

__all__ = [
    "ArbutusstallError",
    "ConnectionRefused",
    "InvalidFile",
    "LogOverloaded",
    "LogUnavailable",
    "NotRun",
    "OutcomeUnknown",
    "PeerUnavailable",
    "PositionLost",
    "ReleaseRefused",
    "WireError",
]


@dataclasses.dataclass(eq=False)
class ArbutusstallError(Exception):
    """Base of all errors.

    Attributes:
        step: The operation that failed, such as ``"log.append"``.
        peer: The address or name of the other side, or ``"-"``.
        reason: One line that says what went wrong.
    """

    step: str
    peer: str
    reason: str

    def __str__(self) -> str:
        return f"{self.step}: {self.reason} (peer {self.peer})"


class InvalidFile(ArbutusstallError):
    """A settings or release file is missing or fails a check.

    ``peer`` is the file's name; ``reason`` starts with the JSON path.
    """


class LogUnavailable(ArbutusstallError):
    """The platform log did not answer or failed; an append may be stored."""


class PositionLost(LogUnavailable):
    """A source cannot be read on from the position that was reached."""


class LogOverloaded(LogUnavailable):
    """The platform log's rate limit rejected a request; nothing is stored."""


class ReleaseRefused(ArbutusstallError):
    """A release was not accepted; no part of it is in force."""


class PeerUnavailable(ArbutusstallError):
    """Another node could not be reached, so nothing was sent to it."""


class ConnectionRefused(PeerUnavailable):
    """No process listens at the address of the other side."""


class WireError(ArbutusstallError):
    """A message from another process could not be decoded."""


class NotRun(ArbutusstallError):
    """A request was refused and has certainly not been executed."""


class OutcomeUnknown(ArbutusstallError):
    """A request may or may not have been executed."""
