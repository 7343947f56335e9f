"""Messages between nodes: frozen data classes in a msgpack envelope.

An envelope is the two-element array ``[KIND, BODY]``.
"""

from collections import abc
import dataclasses
from typing import Any
import zlib

import msgspec

from arbutusstall import errors
from arbutusstall._tables import agreed
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
class SeatsUpdate:
    """The root seats of the data centre, on their way down."""

    roots: tuple[agreed.Root, ...]
    vacant: tuple[relay.VacantSeat, ...] = ()


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
class CallRequest:
    """A caller's request on its way to the inbound proxy.

    Attributes:
        deadline_ms: Time left to the caller's deadline.
        route: Prefix of the matched route.
        version: Version of the service the caller's proxy chose.
    """

    request_id: str
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


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CallAnswer:
    """The target's whole answer, or a refusal.

    Attributes:
        not_run: Reason why the request was certainly not executed.
        unknown: Reason why it is not known whether it was executed.
        in_flight: Requests at the target when the answer left.
        slots: Requests that the target runs at once.
    """

    request_id: str
    status: int = 0
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""
    not_run: str = ""
    unknown: str = ""
    retry_after_ms: int = 0
    in_flight: int = 0
    slots: int = 0


Message = (
    Hello
    | Welcome
    | Refusal
    | SnapshotUpdate
    | MemberUpdate
    | Heartbeat
    | SeatsUpdate
    | SnapshotDelta
    | SnapshotWanted
    | MemberDigest
    | Alive
    | InForce
    | OutcomeReport
    | CallRequest
    | CallAnswer
)

_KINDS: dict[str, type[Any]] = {
    "hello": Hello,
    "welcome": Welcome,
    "refusal": Refusal,
    "snapshot": SnapshotUpdate,
    "members": MemberUpdate,
    "heartbeat": Heartbeat,
    "seats": SeatsUpdate,
    "delta": SnapshotDelta,
    "snapshot-wanted": SnapshotWanted,
    "member-digest": MemberDigest,
    "alive": Alive,
    "in-force": InForce,
    "outcomes": OutcomeReport,
    "call": CallRequest,
    "answer": CallAnswer,
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
    SeatsUpdate,
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
