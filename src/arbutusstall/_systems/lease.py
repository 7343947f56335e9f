"""Elects the leader by a lease on the log.

The log offset of the lease is the fencing token of its decisions.
"""

from arbutusstall import _clock
from arbutusstall import _effects
from arbutusstall._log import records
from arbutusstall._tables import node


def is_leader(tables: node.Tables, now: _clock.Instant) -> bool:
    """Return whether this node holds an unexpired lease.

    The term is counted from the time at which the claim or renewal was
    sent. The lease may be replaced before a decision reaches the log; the
    fold refuses decisions that were made under a replaced lease.
    """
    held_from_s = tables.lease_held_from_s
    return (
        tables.is_root
        and held_from_s is not None
        and tables.agreed.lease.holder == tables.member.node
        and now.mono_s - held_from_s < tables.settings.lease.expire_s
    )


def run(tables: node.Tables, now: _clock.Instant) -> list[_effects.Effect]:
    """Renew or release this node's lease, or claim an expired one.

    After a claim, the next attempt is delayed by a random part of a
    renewal interval, so that competing claims spread out.
    """
    if tables.relay.leaving:
        return _release(tables)
    if not tables.is_root or not tables.caught_up:
        return []
    if now.mono_s < max(tables.next_renewal_s, tables.era_settled_s):
        return []
    policy = tables.settings.lease
    tables.next_renewal_s = now.mono_s + policy.renew_s
    if is_leader(tables, now):
        return [_renewal(tables, now)]
    age_s = now.mono_s - tables.lease_seen_s
    if tables.log_failing or (
        tables.agreed.lease.holder and age_s < policy.expire_s
    ):
        return []
    tables.next_renewal_s += policy.renew_s * tables.rng.random()
    return [_claim(tables, now)]


def _release(tables: node.Tables) -> list[_effects.Effect]:
    """Release the lease when leaving, so that others can claim it now."""
    lease = tables.agreed.lease
    if lease.holder != tables.member.node or tables.lease_held_from_s is None:
        return []
    tables.lease_held_from_s = None
    record = records.LeaseClaim(
        record_id=_record_id(tables, "release"),
        holder="",
        replaces=lease.offset,
    )
    return [_effects.Append(record=record)]


def _renewal(tables: node.Tables, now: _clock.Instant) -> _effects.Append:
    lease = tables.agreed.lease
    tables.lease_sequence = max(tables.lease_sequence, lease.sequence) + 1
    record = records.LeaseRenewal(
        record_id=_record_id(tables, "renew"),
        lease=lease.offset,
        sequence=tables.lease_sequence,
    )
    tables.lease_sent_s_by_record_id[record.record_id] = now.mono_s
    return _effects.Append(record=record)


def _claim(tables: node.Tables, now: _clock.Instant) -> _effects.Append:
    tables.lease_sequence += 1
    record = records.LeaseClaim(
        record_id=_record_id(tables, "claim"),
        holder=tables.member.node,
        replaces=tables.agreed.lease.offset,
    )
    tables.lease_sent_s_by_record_id[record.record_id] = now.mono_s
    return _effects.Append(record=record)


def _record_id(tables: node.Tables, kind: str) -> str:
    member = tables.member
    return f"{kind}/{member.node}/{member.incarnation}/{tables.lease_sequence}"
