"""Table rows for calls that an inbound proxy has accepted or revoked."""

import enum

import msgspec

from arbutusstall._wire import messages


class CallState(enum.Enum):
    """What an inbound proxy knows about a call id."""

    QUEUED = "queued"
    RUNNING = "running"
    FINISHED = "finished"
    REVOKED = "revoked"


class CallEntry(msgspec.Struct, frozen=True, kw_only=True):
    """The state of one call id.

    A `msgspec.Struct` rather than a data class, since every call copies
    its entry.

    Attributes:
        sent_ms: Lower bound of the time at which the call was sent, on
            the clock of the inbound proxy.
        changed_ms: Time of the last state change, on the same clock.
        answer: The target's answer if the call is finished and the
            answer is still retained.
        body_bytes: Size of the retained answer's body.
    """

    call_id: str
    sent_ms: int
    state: CallState
    changed_ms: int
    answer: messages.CallAnswer | None = None
    body_bytes: int = 0
