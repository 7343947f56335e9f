"""Records of the platform log and their encoding.

A record is one JSON object ``{"kind": NAME, "body": {...}}``.
"""

from collections import abc
import dataclasses

import msgspec

from arbutusstall import _codec
from arbutusstall import _notes
from arbutusstall import errors
from arbutusstall._tables import agreed


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ReleaseRecord:
    """A published release.

    Attributes:
        record_id: Identifies the append, so that a retried append has no
            effect.
        digest: Hash of the release file's content.
        published_s: Publication time, seconds since the epoch.
        seen: Offset of the newest change of each item in the release
            that the operator had read; -1 if the item did not exist.
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
    """Orders a rollout that gives one version all traffic of a service.

    Any root may append it; duplicates have no effect.

    Attributes:
        order_id: Identifies the order; the same in every copy of it.
        version: Version that is to get all traffic.
        previous: Version that gets the traffic if no shares of the
            service are agreed yet; empty if there is none.
        started_s: Time at which the order was read, seconds since the
            epoch.
        by_s: Time by which to reach the goal, seconds since the epoch.
        outcome: Verdict of an earlier run of the order whose agreed
            state was lost; ``RUNNING`` if there is none.
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
    """Claims the leader's lease.

    Attributes:
        replaces: Offset of the lease claim that it replaces; the claim is
            accepted only if that is still the current lease.
    """

    record_id: str
    holder: str
    replaces: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LeaseRenewal:
    """Extends the lease that was claimed at offset ``lease``.

    Attributes:
        sequence: Increases with each renewal of a lease, so that
            duplicate and reordered renewals have no effect.
    """

    record_id: str
    lease: int
    sequence: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ShareDecision:
    """Sets the shares of a running rollout, under a lease.

    Attributes:
        lease: Offset of the lease claim under which it was made.
        step: One more than the rollout's previous step.
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
        done: True if the goal was reached, false for a rollback.
        reason: One line with the outcome counts that led to the verdict.
        rejected: Versions to block. If empty, a rollback blocks every
            version whose share was rising.
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
        replaces: Offset of the claim that holds the position, -1 if
            none; the claim is accepted only if this is still current.
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
    """Renews or releases a root position.

    Attributes:
        claim: Offset of the accepted claim of the position.
        released: Whether the position is released instead of renewed.
    """

    record_id: str
    data_centre: str
    position: int
    claim: int
    released: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CheckpointBegin:
    """Makes every reader record the digest of its state at this offset.

    Attributes:
        made_s: Time on the leader's clock, seconds since the epoch.
    """

    record_id: str
    lease: int
    made_s: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CheckpointChunk:
    """One part of an encoded state.

    Attributes:
        through: Offset of the first record that the state does not
            include.
        digest: Hash of the whole encoded state.
        made_s: Copy of the value in `CheckpointBegin`.
        index: Zero-based position of this part.
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


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LogReset:
    """Starts the agreed state anew after its records have expired.

    Attributes:
        read_to: Offset of the end of the log when it was written. It counts
            only at this offset, so every reader of it decides alike, and
            no other record can precede it unnoticed.
        era: Era of the store that it begins; 0 if it reports none.
        state: State carried over from an earlier era, see
            `arbutusstall._log.eras`; empty if there is none.
    """

    record_id: str
    read_to: int
    era: int = 0
    state: bytes = b""


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
    | LogReset
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
    "reset": LogReset,
}
_KINDS_BY_TYPE = {cls: name for name, cls in _TYPES_BY_KIND.items()}


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _Envelope:
    kind: str
    body: msgspec.Raw
    # Era of the store that the writer knew.
    era: int | msgspec.UnsetType = msgspec.UNSET


def needs_state(record: Record) -> bool:
    """Return whether only a node that holds the agreed state writes it."""
    # A root that has missed records still renews its position, and releases
    # are appended by command-line tools.
    return not isinstance(record, LogReset | RootRenewal | ReleaseRecord)


def queue_key(record: Record) -> str:
    """Return the key under which a record waits to be appended.

    A newer record replaces a waiting one with the same key. Lease
    records share a key because only the newest matters, as do resets; any
    other record has a key of its own.
    """
    if isinstance(record, LeaseClaim | LeaseRenewal):
        return "lease"
    if isinstance(record, LogReset):
        return "reset"
    return record.record_id


def encode(record: Record, era: int = 0) -> bytes:
    """Return the record as JSON bytes, with the era if there is one."""
    body = msgspec.Raw(_codec.json_encode(record))
    return msgspec.json.encode(
        _Envelope(
            kind=_KINDS_BY_TYPE[type(record)],
            body=body,
            era=era or msgspec.UNSET,
        )
    )


def decode(data: bytes) -> Record:
    """Return the record encoded in ``data``.

    Raises:
        WireError: The bytes are malformed or the record kind is unknown.
    """
    return decode_with_era(data)[0]


def decode_with_era(data: bytes) -> tuple[Record, int]:
    """Return the record encoded in ``data`` and its era; 0 for none.

    Raises:
        WireError: The bytes are malformed or the record kind is unknown.
    """
    try:
        envelope = msgspec.json.decode(data, type=_Envelope)
        kind = _TYPES_BY_KIND.get(envelope.kind)
        if kind is None:
            raise errors.WireError(
                step="record.decode",
                peer="log",
                reason=f"unknown record kind {envelope.kind!r}",
            )
        record: Record = msgspec.json.decode(envelope.body, type=kind)
        # Its numbers go on into messages, which hold 64 bits.
        msgspec.msgpack.encode(record)
        return record, envelope.era or 0
    except (
        msgspec.MsgspecError,
        ValueError,
        RecursionError,
        OverflowError,
    ) as exc:
        raise errors.WireError(
            step="record.decode", peer="log", reason=str(exc)
        ) from exc
