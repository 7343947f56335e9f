"""Elects the leader: a lease on the log with a fencing offset."""

from arbutusstall import _clock
from arbutusstall import _effects
from arbutusstall._log import records
from arbutusstall._tables import node


def is_leader(tables: node.Tables, now: _clock.Instant) -> bool:
    """Tell whether this node may decide now.

    The answer may be outdated; the fold refuses decisions that were
    made under a replaced lease.
    """
    age_s = now.mono_s - tables.lease_seen_s
    return (
        tables.is_root
        and tables.agreed.lease.holder == tables.member.node
        and age_s < tables.settings.lease.expire_s
    )


def run(tables: node.Tables, now: _clock.Instant) -> list[_effects.Effect]:
    """Renew the own lease or claim an expired one."""
    if not tables.is_root or not tables.caught_up:
        return []
    if now.mono_s < tables.next_renewal_s:
        return []
    tables.next_renewal_s = now.mono_s + tables.settings.lease.renew_s
    lease = tables.agreed.lease
    name = f"{tables.member.node}/{now.mono_s:.3f}"
    if is_leader(tables, now):
        return [
            _effects.Append(
                record=records.LeaseRenewal(
                    record_id=f"renew/{name}", lease=lease.offset
                )
            )
        ]
    age_s = now.mono_s - tables.lease_seen_s
    if lease.holder and age_s < tables.settings.lease.expire_s:
        return []
    return [
        _effects.Append(
            record=records.LeaseClaim(
                record_id=f"claim/{name}",
                holder=tables.member.node,
                replaces=lease.offset,
            )
        )
    ]
