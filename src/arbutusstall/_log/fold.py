"""The fold: applies log records to the agreed state in log order.

Duplicates need no table of record ids: each record names its
precondition (a lease, a step, a sequence number or item offsets), which
no longer holds once the record was applied, so a duplicate changes
nothing.
"""

import dataclasses

from arbutusstall import errors
from arbutusstall._log import checkpoint
from arbutusstall._log import eras
from arbutusstall._log import records
from arbutusstall._log import releases
from arbutusstall._log import rollouts
from arbutusstall._tables import agreed as tables

_MAX_ROOTS = 64


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class FoldResult:
    """The state after one log entry and the record that it held.

    Attributes:
        record: The decoded record; None if the entry was skipped.
        problem: Why the entry was skipped; empty if it was not.
    """

    state: tables.Agreed
    record: records.Record | None = None
    problem: str = ""


def apply_entry(state: tables.Agreed, offset: int, data: bytes) -> FoldResult:
    """Return the state after the encoded record at ``offset``.

    A record that cannot be decoded, or that raises in the fold, advances
    the offset and changes nothing else.
    """
    try:
        record, era = records.decode_with_era(data)
        if 0 < era < state.era_number:
            # Its writer had not noticed the store's return from a copy.
            problem = f"era {era} is over"
            return FoldResult(state=skip(state, offset), problem=problem)
        if era and not state.era_number:
            state = dataclasses.replace(state, era=tables.Era(number=era))
        return FoldResult(state=apply(state, offset, record), record=record)
    except errors.WireError as exc:
        problem = exc.reason
    except Exception as exc:  # No record may stop the fold.
        problem = f"{type(exc).__name__}: {exc}"
    return FoldResult(state=skip(state, offset), problem=problem)


def apply(
    state: tables.Agreed, offset: int, record: records.Record
) -> tables.Agreed:
    """Return the state after ``record`` at ``offset``.

    A record whose precondition does not hold advances the offset and
    changes nothing else.
    """
    state = skip(state, offset)
    match record:
        case records.ReleaseRecord():
            return releases.apply(state, offset, record)
        case records.RolloutOrder():
            return rollouts.apply_order(state, offset, record)
        case records.LeaseClaim():
            return _apply_lease_claim(state, offset, record)
        case records.LeaseRenewal():
            return _apply_lease_renewal(state, offset, record)
        case records.ShareDecision():
            return rollouts.apply_shares(state, offset, record)
        case records.Verdict():
            return rollouts.apply_verdict(state, offset, record)
        case records.RootClaim():
            return _apply_root_claim(state, offset, record)
        case records.CheckpointBegin():
            return checkpoint.apply_begin(state, offset, record)
        case records.CheckpointChunk():
            return checkpoint.apply_chunk(state, record)
        case records.RootRenewal():
            return _apply_root_renewal(state, offset, record)
        case records.LogReset():
            return apply_reset(state, offset, record)


def skip(state: tables.Agreed, offset: int) -> tables.Agreed:
    """Return the state with only the offset advanced past ``offset``."""
    return dataclasses.replace(state, offset=offset + 1)


def apply_reset(
    state: tables.Agreed, offset: int, record: records.LogReset
) -> tables.Agreed:
    """Return the state after a reset: what it carries, if it counts.

    This depends on no earlier record, so that readers with and without a
    state have the same one afterwards. A reset that was overtaken may add
    to the state of its era.

    Raises:
        WireError: The carried state cannot be decoded.
    """
    if record.era < state.era_number:
        return state
    if record.read_to == offset:
        return eras.start(offset, record)
    return eras.merge(state, offset, record)


def _apply_lease_claim(
    state: tables.Agreed, offset: int, record: records.LeaseClaim
) -> tables.Agreed:
    if record.replaces != state.lease.offset:
        return state
    lease = tables.Lease(
        offset=offset,
        holder=record.holder,
        renewed=offset,
        renewed_by=record.record_id,
    )
    return dataclasses.replace(state, lease=lease)


def _apply_lease_renewal(
    state: tables.Agreed, offset: int, record: records.LeaseRenewal
) -> tables.Agreed:
    lease = state.lease
    if record.lease != lease.offset or record.sequence <= lease.sequence:
        return state
    lease = dataclasses.replace(
        lease,
        renewed=offset,
        renewed_by=record.record_id,
        sequence=record.sequence,
    )
    return dataclasses.replace(state, lease=lease)


def _apply_root_claim(
    state: tables.Agreed, offset: int, record: records.RootClaim
) -> tables.Agreed:
    if not 0 <= record.position < _MAX_ROOTS:
        return state
    key = tables.root_key(record.data_centre, record.position)
    holder = state.roots_by_key.get(key)
    current = holder.offset if holder else tables.NO_OFFSET
    if current != record.replaces:
        return state
    roots = dict(state.roots_by_key)
    if any(
        other != key and root.node == record.node
        for other, root in roots.items()
    ):
        return state
    roots[key] = tables.Root(
        node=record.node,
        data_centre=record.data_centre,
        address=record.address,
        admin=record.admin,
        incarnation=record.incarnation,
        position=record.position,
        offset=offset,
        renewed=offset,
    )
    return dataclasses.replace(state, roots_by_key=roots)


def _apply_root_renewal(
    state: tables.Agreed, offset: int, record: records.RootRenewal
) -> tables.Agreed:
    key = tables.root_key(record.data_centre, record.position)
    root = state.roots_by_key.get(key)
    if root is None or root.offset != record.claim:
        return state
    roots = dict(state.roots_by_key)
    if record.released:
        del roots[key]
    else:
        roots[key] = dataclasses.replace(root, renewed=offset)
    return dataclasses.replace(state, roots_by_key=roots)
