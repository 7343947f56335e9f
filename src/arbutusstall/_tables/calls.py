"""Calls that an inbound proxy has admitted, finished or revoked."""

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
    """One call id; a `msgspec.Struct`, since each call copies it.

    Attributes:
        sent_ms: Lower bound of the time the call was sent, on the clock
            of the inbound proxy.
        changed_ms: When the state was entered, on the same clock.
        answer: The target's answer, if the state is finished and the
            answer is still kept.
        body_bytes: Size of the kept answer.
    """

    call_id: str
    sent_ms: int
    state: CallState
    changed_ms: int
    answer: messages.CallAnswer | None = None
    body_bytes: int = 0
