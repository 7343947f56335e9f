"""Records of the platform log and their encoding.

A record is one JSON object ``{"kind": NAME, "body": {...}}``.
"""

from collections import abc
import dataclasses

import msgspec

from arbutusstall import _notes
from arbutusstall import errors
from arbutusstall._tables import agreed


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ReleaseRecord:
    """A published release.

    Attributes:
        record_id: Names the append; a repeated one has no effect.
        digest: Hash of the release file's content.
        published_s: Publication time, seconds since the epoch.
        seen: For each touched item the offset of the change that the
            operator saw last; -1 for an item that was not there.
        read_to: Offset up to which the operator had read the log.
    """

    record_id: str
    note: _notes.ReleaseNote
    digest: str
    published_s: float
    seen: abc.Mapping[str, int]
    read_to: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RolloutOrder:
    """Asks to move all traffic of a service to one version.

    Any root may append it; a repeated one has no effect.

    Attributes:
        order_id: Names the order; the same for each copy of it.
        version: Version that is to carry all traffic.
        previous: Version that carries the traffic if no shares of the
            service are agreed yet; empty if there is none.
        started_s: When the order was seen, seconds since the epoch.
        by_s: When the goal is to be reached, seconds since the epoch.
        outcome: Verdict of an earlier run whose agreed state was lost.
    """

    record_id: str
    order_id: str
    service: str
    version: str
    previous: str
    started_s: float
    by_s: float
    outcome: agreed.RolloutState = agreed.RolloutState.RUNNING


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LeaseClaim:
    """Asks for the lease; accepted if ``replaces`` is the current one."""

    record_id: str
    holder: str
    replaces: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LeaseRenewal:
    """Extends the lease that was claimed at offset ``lease``.

    Attributes:
        sequence: Grows with each renewal of one lease, so that a
            repeated or overtaken renewal has no effect.
    """

    record_id: str
    lease: int
    sequence: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ShareDecision:
    """Sets the shares of a running rollout, under a lease.

    Attributes:
        lease: Offset of the lease claim it was made under.
        step: One more than the step that it follows.
        held_by: See `agreed.Rollout`.
    """

    record_id: str
    lease: int
    rollout_id: str
    step: int
    percent_by_version: abc.Mapping[str, float]
    held_by: str = ""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Verdict:
    """Ends a rollout, under a lease.

    Attributes:
        done: True when the goal was reached, false for a rollback.
        reason: One line with the outcome counts behind the verdict.
        rejected: Versions to block; after a rollback none means all
            that were rising.
    """

    record_id: str
    lease: int
    rollout_id: str
    done: bool
    reason: str
    rejected: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RootClaim:
    """Claims a root position of a data centre.

    Attributes:
        address: Relay address of the claimant.
        admin: Admin address of the claimant.
        position: Number of the position within the data centre.
        replaces: Offset of the claim that holds the position, -1 if none;
            the claim counts only if that is still so.
    """

    record_id: str
    node: str
    incarnation: int
    data_centre: str
    address: str
    admin: str
    position: int
    replaces: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RootRenewal:
    """Keeps or gives back the position that was claimed at ``claim``."""

    record_id: str
    data_centre: str
    position: int
    claim: int
    released: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CheckpointBegin:
    """Asks every reader for the digest of the state at this offset.

    Attributes:
        made_s: The leader's time, seconds since the epoch.
    """

    record_id: str
    lease: int
    made_s: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CheckpointChunk:
    """One part of an encoded state.

    Attributes:
        through: Offset of the first record that the state lacks.
        digest: Hash of the whole encoded state.
        made_s: Copied from the `CheckpointBegin`.
        index: Position of this part, from zero.
        count: Number of parts.
        data: Part of the compressed state.
        checksum: Hash of ``data``.
    """

    record_id: str
    lease: int
    through: int
    digest: str
    made_s: float
    index: int
    count: int
    data: bytes
    checksum: str


Record = (
    ReleaseRecord
    | RolloutOrder
    | LeaseClaim
    | LeaseRenewal
    | ShareDecision
    | Verdict
    | RootClaim
    | CheckpointBegin
    | CheckpointChunk
    | RootRenewal
)

_TYPES_BY_KIND: dict[str, type[Record]] = {
    "release": ReleaseRecord,
    "rollout-order": RolloutOrder,
    "lease-claim": LeaseClaim,
    "lease-renewal": LeaseRenewal,
    "shares": ShareDecision,
    "verdict": Verdict,
    "root": RootClaim,
    "checkpoint-begin": CheckpointBegin,
    "checkpoint-chunk": CheckpointChunk,
    "root-renewal": RootRenewal,
}
_KINDS_BY_TYPE = {cls: name for name, cls in _TYPES_BY_KIND.items()}


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _Envelope:
    kind: str
    body: msgspec.Raw


def queue_key(record: Record) -> str:
    """Return what a newer pending append replaces an older one by.

    Of lease records only the newest matters; any other record is
    replaced by nothing but itself.
    """
    if isinstance(record, LeaseClaim | LeaseRenewal):
        return "lease"
    return record.record_id


def encode(record: Record) -> bytes:
    """Return the record as JSON bytes."""
    body = msgspec.Raw(msgspec.json.encode(record))
    return msgspec.json.encode(
        _Envelope(kind=_KINDS_BY_TYPE[type(record)], body=body)
    )


def decode(data: bytes) -> Record:
    """Return the record that ``data`` holds.

    Raises:
        WireError: The bytes are damaged or the kind is not known.
    """
    try:
        envelope = msgspec.json.decode(data, type=_Envelope)
        kind = _TYPES_BY_KIND.get(envelope.kind)
        if kind is None:
            raise errors.WireError(
                step="record.decode",
                peer="log",
                reason=f"unknown kind {envelope.kind!r}",
            )
        return msgspec.json.decode(envelope.body, type=kind)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as exc:
        raise errors.WireError(
            step="record.decode", peer="log", reason=str(exc)
        ) from exc
