"""Messages of the call path, from an outbound to an inbound proxy.

`CallRequest` and `CallAnswer` cross the network for every call, so they
are encoded by position and copied by `msgspec.structs.replace`. New
fields go to their end, with a default.
"""

import dataclasses
import enum

import msgspec


class CallRequest(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """One attempt to run a caller's request at an inbound proxy.

    Attributes:
        call_id: Unique to this attempt.
        request_id: The caller's own id, passed on to the target.
        incarnation: Incarnation of the inbound proxy it is aimed at.
        sent_ms: Lower bound of the inbound's clock when it was sent.
        deadline_ms: Time left to the caller's deadline.
        route: Prefix of the matched route.
        version: Version of the service the caller's proxy chose.
        key: The caller's Idempotency-Key, empty if there is none.
        depth: Number of calls above this one in the chain.
        rank: Requests of a lower rank start first.
        aim_ms: Time left to the latency objective; 0 if there is none.
        body_bytes: Length of a body that is sent when it is asked for;
            0 if ``body`` holds all of it.
    """

    call_id: str
    request_id: str
    incarnation: int
    sent_ms: int
    service: str
    version: str
    route: str
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    deadline_ms: int
    idempotent: bool
    key: str = ""
    depth: int = 0
    rank: int = 0
    aim_ms: int = 0
    body_bytes: int = 0


class CallBody(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """A part of a call's body, in order.

    Attributes:
        last: Whether the body ends with this part.
    """

    call_id: str
    data: bytes
    last: bool = False


class CallAnswer(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """The target's whole answer, or a refusal.

    Attributes:
        not_run: Reason why the request was certainly not executed.
        unknown: Reason why it is not known whether it was executed.
        in_flight: Requests at the target when the answer left.
        slots: Requests that the target runs at once.
        incarnation: Incarnation of the inbound proxy.
        clock_ms: The inbound proxy's clock when the answer left.
        taken_ms: How long the target took; 0 if it was not asked.
    """

    call_id: str
    request_id: str = ""
    status: int = 0
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""
    not_run: str = ""
    unknown: str = ""
    retry_after_ms: int = 0
    in_flight: int = 0
    slots: int = 0
    incarnation: int = 0
    clock_ms: int = 0
    taken_ms: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CallBodyWanted:
    """Asks for the body of a call that was sent without it."""

    call_id: str


class RevokeState(enum.Enum):
    """What a revocation found."""

    REVOKED = "revoked"
    RUNNING = "running"
    FINISHED = "finished"
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CallRevoke:
    """Asks that a call never starts, or for what became of it.

    Attributes:
        wait_ms: How long to wait for the end of a call that runs.
        cancel: Whether to break off a call that runs.
    """

    call_id: str
    incarnation: int
    sent_ms: int
    wait_ms: int = 0
    cancel: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CallRevoked:
    """Answer to a revocation.

    Attributes:
        answer: The target's answer, if the call is finished and its
            answer is still kept.
    """

    call_id: str
    state: RevokeState
    answer: CallAnswer | None = None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CallGreeting:
    """Asks an inbound proxy for its incarnation and clock."""

    node: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CallGreeted:
    """Answer to a greeting; the fields are those of `CallAnswer`."""

    incarnation: int
    clock_ms: int
    in_flight: int = 0
    slots: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class KeyGrant:
    """The call that an Idempotency-Key was granted to.

    Attributes:
        node: Node whose inbound proxy the call is sent to.
        inbound: Address of that proxy.
        incarnation: Incarnation of that proxy.
        sent_ms: Stamp of the call, on that proxy's clock.
        granted_ms: Time of the grant, on the owner's clock.
    """

    call_id: str
    fingerprint: str
    node: str
    inbound: str
    incarnation: int
    sent_ms: int
    granted_ms: int = 0


class KeyState(enum.Enum):
    """How the owner of a key answers a claim."""

    GRANTED = "granted"
    TAKEN = "taken"
    MISUSED = "misused"
    UNSETTLED = "unsettled"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class KeyClaim:
    """Asks the owner of a key to grant it to a call.

    Attributes:
        replaces: Call that is known never to run, whose grant may be
            replaced; empty if there is none.
    """

    service: str
    key: str
    grant: KeyGrant
    replaces: str = ""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class KeyClaimed:
    """Answer to a claim.

    Attributes:
        grant: The call that has the key, if it is taken.
    """

    state: KeyState
    grant: KeyGrant | None = None
