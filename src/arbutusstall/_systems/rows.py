"""Keeps the member table and what is derived from it in step."""

import xxhash

from arbutusstall import _clock
from arbutusstall._systems import rendezvous
from arbutusstall._tables import members
from arbutusstall._tables import node
from arbutusstall._tables import relay

BUCKETS = 64


def bucket_index(name: str) -> int:
    """Return the bucket that the row of a node falls into."""
    return rendezvous.weight("bucket", name) % BUCKETS


def checksum(tables: node.Tables) -> int:
    """Return the XOR of the hashes of all live rows."""
    result = 0
    for value in tables.membership.bucket_checksums:
        result ^= value
    return result


def bucket_checksums(tables: node.Tables) -> tuple[int, ...]:
    """Return the XOR of the hashes of the live rows by bucket."""
    return tuple(tables.membership.bucket_checksums) or (0,) * BUCKETS


def is_newer(tables: node.Tables, row: members.Member) -> bool:
    """Tell whether a row is newer than what is known of its node."""
    known = tables.members_by_node.get(row.node)
    if known is not None:
        return row.rank > known.rank
    tombstone = tables.membership.tombstones_by_node.get(row.node)
    return tombstone is None or row.rank > tombstone.row.rank


def put(tables: node.Tables, row: members.Member, now: _clock.Instant) -> None:
    """Store a row in place of the older one of the same node."""
    old = tables.members_by_node.get(row.node)
    if old is not None:
        _forget(tables, old)
    tables.members_by_node[row.node] = row
    tables.membership.tombstones_by_node.pop(row.node, None)
    if row.live:
        tables.membership.gone_s_by_node.pop(row.node, None)
        _toggle(tables, row)
        _count(tables, row, 1)
    else:
        tables.membership.gone_s_by_node[row.node] = now.mono_s
    if row.state is members.MemberState.SERVING:
        serving = tables.membership.serving_by_service
        serving.setdefault(row.service, {})[row.node] = row
        _publish(tables, row.service)


def sweep(tables: node.Tables, now: _clock.Instant) -> None:
    """Remove rows of dead nodes, and tombstones, after their time."""
    keep_s = tables.settings.relay.forget_s
    spread = tables.membership
    for name, gone_s in list(spread.gone_s_by_node.items()):
        if now.mono_s - gone_s < keep_s or name == tables.member.node:
            continue
        row = tables.members_by_node.pop(name)
        del spread.gone_s_by_node[name]
        # Without it a node that still has an old row would revive it.
        spread.tombstones_by_node[name] = relay.Tombstone(
            row=row, since_s=now.mono_s
        )
    for name, tombstone in list(spread.tombstones_by_node.items()):
        if now.mono_s - tombstone.since_s >= 2 * keep_s:
            del spread.tombstones_by_node[name]


def _forget(tables: node.Tables, old: members.Member) -> None:
    if old.live:
        _toggle(tables, old)
        _count(tables, old, -1)
    serving = tables.membership.serving_by_service.get(old.service, {})
    if serving.pop(old.node, None) is not None:
        _publish(tables, old.service)


def _toggle(tables: node.Tables, row: members.Member) -> None:
    spread = tables.membership
    if not spread.bucket_checksums:
        spread.bucket_checksums = [0] * BUCKETS
    text = f"{row.node}/{row.incarnation}/{row.sequence}"
    spread.bucket_checksums[bucket_index(row.node)] ^= (
        xxhash.xxh3_64_intdigest(text.encode())
    )


def _count(tables: node.Tables, row: members.Member, change: int) -> None:
    if row.data_centre == tables.member.data_centre:
        tables.membership.local_live += change


def _publish(tables: node.Tables, service: str) -> None:
    rows = tables.membership.serving_by_service.get(service, {})
    if rows:
        tables.membership.tuples_by_service[service] = tuple(rows.values())
    else:
        tables.membership.tuples_by_service.pop(service, None)
    tables.membership.view_due = True
