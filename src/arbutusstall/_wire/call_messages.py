"""Messages of the call path, between outbound and inbound proxies.

`CallRequest` and `CallAnswer` are sent for every call. To keep encoding
cheap, they and `CallBody` are structs encoded as arrays, and copies are
made with `msgspec.structs.replace`. A field is identified by its
position, so a new field is appended and has a default.
"""

import dataclasses
import enum

import msgspec


class TargetState(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """What one start of a target says about itself in its answers.

    Attributes:
        start: The start, as `members.target_start` returns it.
        limit_per_s: Requests a second that it takes from all callers
            together; None if it sets no limit.
        leaving: Whether it is about to stop.
    """

    start: str
    limit_per_s: float | None = None
    leaving: bool = False

    @property
    def restricts(self) -> bool:
        """Whether the target limits the rate of requests or refuses them."""
        return self.leaving or self.limit_per_s is not None


class CallRequest(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """One attempt to run a caller's request at an inbound proxy.

    Attributes:
        call_id: Identifier that is unique to this attempt.
        request_id: The caller's own identifier, passed on to the target.
        incarnation: Incarnation of the inbound proxy that the attempt is
            addressed to.
        sent_ms: Lower bound of the time at which the attempt was sent,
            in milliseconds on the inbound proxy's clock.
        deadline_ms: Milliseconds left until the caller's deadline.
        route: Prefix of the matched route.
        path: Path and query, as the caller sent them.
        version: Service version that the caller's proxy chose.
        key: The caller's Idempotency-Key, empty if there is none.
        depth: Number of calls above this one in the call chain.
        rank: Queue rank; requests of a lower rank start first.
        aim_ms: Milliseconds left within the route's latency objective;
            0 if there is none.
        body_bytes: Length of a body that is sent separately, once the
            inbound proxy has requested it; 0 if ``body`` holds all of
            it.
        target_state: What the target last said about itself in an answer
            to this caller's proxy; None if nothing that restricts calls.
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
    target_state: TargetState | None = None


class CallBody(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """One part of a request body; the parts are sent in order.

    Attributes:
        last: Whether this is the final part.
    """

    call_id: str
    data: bytes
    last: bool = False


class CallAnswer(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """The target's complete answer, a refusal or an unknown outcome.

    Attributes:
        not_run: Reason of a refusal, which guarantees that the request
            was not executed; empty otherwise.
        unknown: Reason why it is unknown whether the request was
            executed; empty otherwise.
        in_flight: Load of the target when the answer was sent, in
            requests.
        slots: Requests that the target runs concurrently.
        incarnation: Incarnation of the inbound proxy.
        clock_ms: The inbound proxy's clock when the answer was sent.
        taken_ms: Milliseconds that the target took; 0 if the request was
            not sent to it.
        target_state: What the target says about itself; None if nothing
            that restricts calls.
        slowness: How long work takes at the target now, with 1.0 as
            usual; None if the target does not say.
        route_ms: Recent mean of the run times on the call's route at the
            target; 0 if the request was not sent to it.
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
    target_state: TargetState | None = None
    slowness: float | None = None
    route_ms: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CallBodyWanted:
    """Requests the body of a call that was sent without it."""

    call_id: str


class RevokeState(enum.Enum):
    """State of the call that a revocation refers to.

    Attributes:
        REVOKED: It has not started and never will.
        RUNNING: It has started and not ended.
        FINISHED: It has ended.
        UNKNOWN: It may have run; the inbound proxy was restarted, or has
            no record of the call and may have dropped it.
    """

    REVOKED = "revoked"
    RUNNING = "running"
    FINISHED = "finished"
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CallRevoke:
    """Prevents a call from starting, or asks for its outcome.

    Attributes:
        wait_ms: Maximum time to wait for a running call to end.
        cancel: Whether to cancel the call even if it is running. A call
            that is not idempotent may still run to its end.
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
        answer: The target's answer, if the call has finished and its
            answer is still remembered.
    """

    call_id: str
    state: RevokeState
    answer: CallAnswer | None = None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CallGreeting:
    """Requests the incarnation and clock of an inbound proxy."""

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
        sent_ms: The call's ``sent_ms``, on that proxy's clock.
        granted_ms: Time of the grant, on the clock of the key's owner.
    """

    call_id: str
    fingerprint: str
    node: str
    inbound: str
    incarnation: int
    sent_ms: int
    granted_ms: int = 0


class KeyState(enum.Enum):
    """Answer of a key's owner to a claim.

    Attributes:
        GRANTED: The key is granted to the claiming call.
        TAKEN: Another call of the same request holds the key.
        MISUSED: A call of a different request holds the key.
        UNSETTLED: The key cannot be granted now: the receiver does not
            own it, cannot exclude an earlier grant by another node, or
            has no room for it.
    """

    GRANTED = "granted"
    TAKEN = "taken"
    MISUSED = "misused"
    UNSETTLED = "unsettled"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class KeyClaim:
    """Asks the owner of an Idempotency-Key to grant it to a call.

    Attributes:
        replaces: Id of a call that is known never to run, so that its
            grant may be replaced; empty if there is none.
    """

    service: str
    key: str
    grant: KeyGrant
    replaces: str = ""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class KeyClaimed:
    """Answer to a key claim.

    Attributes:
        grant: The call that holds the key, if it is taken.
    """

    state: KeyState
    grant: KeyGrant | None = None
