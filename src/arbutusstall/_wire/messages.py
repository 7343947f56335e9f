"""Messages between nodes: frozen data classes in a msgpack envelope.

An envelope is the two-element array ``[KIND, BODY]``.
"""

from collections import abc
import dataclasses
from typing import Any

import msgspec

from arbutusstall import errors
from arbutusstall._tables import agreed
from arbutusstall._tables import evidence
from arbutusstall._tables import members
from arbutusstall._tables import outcomes


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Hello:
    """First message of a child to the parent it attaches to."""

    node: str
    data_centre: str
    address: str
    version: int
    digest: str
    root: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Welcome:
    """Accepts a child."""

    node: str


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
    """Sums up which nodes at and below the sender have a version."""

    version: int
    known: int
    in_force: int
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
    """Versions that the sender gives no traffic, with the evidence."""

    rows: tuple[evidence.LocalRollback, ...]


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
    | InForce
    | OutcomeReport
    | RollbackNotice
    | CallRequest
    | CallAnswer
)

_KINDS: dict[str, type[Any]] = {
    "hello": Hello,
    "welcome": Welcome,
    "refusal": Refusal,
    "snapshot": SnapshotUpdate,
    "members": MemberUpdate,
    "in-force": InForce,
    "outcomes": OutcomeReport,
    "rollbacks": RollbackNotice,
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


def encode(message: Message) -> bytes:
    """Return the message as msgpack bytes."""
    return _ENCODER.encode((_NAMES[type(message)], message))


def decode(data: bytes) -> Message:
    """Return the message that ``data`` holds.

    Raises:
        WireError: The bytes are damaged or the kind is not known.
    """
    try:
        kind, body = _ENVELOPE.decode(data)
        decoder = _DECODERS.get(kind)
        if decoder is None:
            raise errors.WireError(
                step="message.decode", peer="-", reason=f"kind {kind!r}"
            )
        message: Message = decoder.decode(body)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as exc:
        raise errors.WireError(
            step="message.decode", peer="-", reason=str(exc)
        ) from exc
    return message
