"""Messages between nodes: frozen data classes in a msgpack envelope.

An envelope is the two-element array ``[KIND, BODY]``.
"""

from collections import abc
import dataclasses
import enum
from typing import Any
import zlib

import msgspec

from arbutusstall import errors
from arbutusstall._tables import agreed
from arbutusstall._tables import comparisons
from arbutusstall._tables import members
from arbutusstall._tables import outcomes
from arbutusstall._tables import relay


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Hello:
    """First message of a child to the parent it attaches to.

    Attributes:
        address: Relay address of the sender.
        version: Configuration that the sender has in force.
        digest: Its digest.
        root: Whether the sender is a root that links to another.
        label: Position in the tree if the sender has children, else -1.
        tier: Level that suits the sender; roots admit the first only.
    """

    node: str
    data_centre: str
    address: str
    version: int
    digest: str
    root: bool = False
    label: int = -1
    tier: int = 1


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Welcome:
    """Accepts a child.

    Attributes:
        label: Position of the sender in the tree.
        local_size: Members of the data centre that the sender knows.
    """

    node: str
    data_centre: str = ""
    label: int = 0
    local_size: int = 1


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Refusal:
    """Turns a child away.

    Attributes:
        retry_after_s: Earliest time to ask this parent again.
        others: Relay addresses of other candidates.
    """

    node: str
    retry_after_s: float
    others: tuple[str, ...] = ()
    local_size: int = 1


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Heartbeat:
    """Shows that the link works and what the sender's place is.

    Attributes:
        attached: Whether the sender's chain of parents reaches a root.
        members: XOR of the hashes of the sender's live member rows.
    """

    attached: bool
    label: int
    version: int
    members: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RootsUpdate:
    """The root positions of the data centre, on their way down."""

    roots: tuple[agreed.Root, ...]
    vacant: tuple[relay.VacantRoot, ...] = ()


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SnapshotDelta:
    """The difference between two configurations.

    Attributes:
        base: Version that the difference applies to.
        digest: Digest of the result.
        changed: The result, with only the entries that are new or
            differ in its mappings.
        removed: Keys of the entries to remove, by field.
    """

    base: int
    digest: str
    changed: agreed.Snapshot
    removed: abc.Mapping[str, tuple[str, ...]]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SnapshotWanted:
    """Asks for the configuration if it is newer than ``version``."""

    version: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class MemberDigest:
    """Hashes of the member table by bucket.

    Attributes:
        reply: Whether the receiver answers with its own digest.
    """

    buckets: tuple[int, ...]
    reply: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Alive:
    """Nodes at and below the sender, on their way to the roots."""

    nodes: tuple[str, ...]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SnapshotUpdate:
    """A whole configuration."""

    digest: str
    snapshot: agreed.Snapshot


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class MemberUpdate:
    """Changed rows of the member table."""

    rows: tuple[members.Member, ...]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class InForce:
    """Sums up which nodes at and below the sender have a version.

    Attributes:
        minimum: Oldest version that one of them has in force.
        lacking: Some of those that lack ``version``.
    """

    version: int
    known: int
    in_force: int
    minimum: int = 0
    lacking: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class OutcomeRow:
    """One cumulative counter row of a report."""

    key: outcomes.OutcomeKey
    counts: outcomes.OutcomeCounts


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class OutcomeReport:
    """Outcome counts on their way to the leader."""

    rows: tuple[OutcomeRow, ...]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RollbackNotice:
    """Versions that the sender gives no traffic, with the counts."""

    rows: tuple[comparisons.LocalRollback, ...]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CallRequest:
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


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CallAnswer:
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


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Suspect:
    """A request that was in flight when a target crashed.

    Attributes:
        fingerprint: Digest of method, path, body and key.
        crash: Names one crash of one target.
        expires_s: Seconds since the epoch.
    """

    fingerprint: str
    crash: str
    expires_s: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SuspectReport:
    """Suspects on their way to all nodes."""

    rows: tuple[Suspect, ...]


Message = (
    Hello
    | Welcome
    | Refusal
    | SnapshotUpdate
    | MemberUpdate
    | Heartbeat
    | RootsUpdate
    | SnapshotDelta
    | SnapshotWanted
    | MemberDigest
    | Alive
    | InForce
    | OutcomeReport
    | RollbackNotice
    | CallRequest
    | CallAnswer
    | CallRevoke
    | CallRevoked
    | CallGreeting
    | CallGreeted
    | KeyClaim
    | KeyClaimed
    | SuspectReport
)

_KINDS: dict[str, type[Any]] = {
    "hello": Hello,
    "welcome": Welcome,
    "refusal": Refusal,
    "snapshot": SnapshotUpdate,
    "members": MemberUpdate,
    "heartbeat": Heartbeat,
    "roots": RootsUpdate,
    "delta": SnapshotDelta,
    "snapshot-wanted": SnapshotWanted,
    "member-digest": MemberDigest,
    "alive": Alive,
    "in-force": InForce,
    "outcomes": OutcomeReport,
    "rollbacks": RollbackNotice,
    "call": CallRequest,
    "answer": CallAnswer,
    "revoke": CallRevoke,
    "revoked": CallRevoked,
    "greeting": CallGreeting,
    "greeted": CallGreeted,
    "key-claim": KeyClaim,
    "key-claimed": KeyClaimed,
    "suspects": SuspectReport,
}
_NAMES: abc.Mapping[type[Any], str] = {
    cls: name for name, cls in _KINDS.items()
}
_ENVELOPE = msgspec.msgpack.Decoder(tuple[str, msgspec.Raw])
_DECODERS = {
    name: msgspec.msgpack.Decoder(cls) for name, cls in _KINDS.items()
}
_ENCODER = msgspec.msgpack.Encoder()


_COMPRESSED = "zlib"
_COMPRESS_FROM_BYTES = 400
_MAX_BYTES = 64 * 1024 * 1024
# Calls are not compressed: it would add to their latency.
_COMPRESSIBLE = (
    SnapshotUpdate,
    SnapshotDelta,
    MemberUpdate,
    RootsUpdate,
    Alive,
    OutcomeReport,
)


def encode(message: Message) -> bytes:
    """Return the message as msgpack bytes, compressed if it is large."""
    data = _ENCODER.encode((_NAMES[type(message)], message))
    if len(data) < _COMPRESS_FROM_BYTES:
        return data
    if not isinstance(message, _COMPRESSIBLE):
        return data
    return _ENCODER.encode((_COMPRESSED, zlib.compress(data, level=1)))


def decode(data: bytes) -> Message:
    """Return the message that ``data`` holds.

    Raises:
        WireError: The bytes are damaged or the kind is not known.
    """
    try:
        kind, body = _ENVELOPE.decode(data)
        if kind == _COMPRESSED:
            kind, body = _ENVELOPE.decode(_decompress(body))
        decoder = _DECODERS.get(kind)
        if decoder is None:
            raise _invalid(f"kind {kind!r}")
        message: Message = decoder.decode(body)
    except (
        msgspec.MsgspecError,
        UnicodeDecodeError,
        RecursionError,
        zlib.error,
    ) as exc:
        raise _invalid(str(exc)) from exc
    return message


def _decompress(body: msgspec.Raw) -> bytes:
    packed = msgspec.msgpack.decode(body, type=bytes)
    stream = zlib.decompressobj()
    data = stream.decompress(packed, _MAX_BYTES)
    if not stream.eof:
        raise _invalid("compressed data is cut or too large")
    return data


def _invalid(reason: str) -> errors.WireError:
    return errors.WireError(step="message.decode", peer="-", reason=reason)
