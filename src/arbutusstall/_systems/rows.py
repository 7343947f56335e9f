"""Updates the member table and the data derived from it."""

import xxhash

from arbutusstall import _clock
from arbutusstall._systems import rendezvous
from arbutusstall._tables import members
from arbutusstall._tables import node
from arbutusstall._tables import relay

BUCKETS = 64


def bucket_index(name: str) -> int:
    """Return the index of the checksum bucket of a node's row."""
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
    """Return whether a row is newer than the stored row or tombstone."""
    known = tables.members_by_node.get(row.node)
    if known is not None:
        return row.rank > known.rank
    tombstone = tables.membership.tombstones_by_node.get(row.node)
    return tombstone is None or row.rank > tombstone.row.rank


def put(tables: node.Tables, row: members.Member, now: _clock.Instant) -> None:
    """Store a row, replacing the older row of the same node."""
    old = tables.members_by_node.get(row.node)
    if old is not None:
        _remove_derived(tables, old)
    tables.members_by_node[row.node] = row
    tables.membership.tombstones_by_node.pop(row.node, None)
    if row.live:
        tables.membership.gone_s_by_node.pop(row.node, None)
        _xor_checksum(tables, row)
        _adjust_local_live(tables, row, 1)
    else:
        tables.membership.gone_s_by_node[row.node] = now.mono_s
    if row.state is members.MemberState.SERVING:
        serving = tables.membership.serving_by_service
        serving.setdefault(row.service, {})[row.node] = row
        _rebuild_tuple(tables, row.service)


def sweep(tables: node.Tables, now: _clock.Instant) -> None:
    """Remove rows that are no longer live, and old tombstones.

    Rows are removed after ``forget_s``, tombstones twice that later.
    """
    keep_s = tables.settings.relay.forget_s
    state = tables.membership
    for name, gone_s in list(state.gone_s_by_node.items()):
        if now.mono_s - gone_s < keep_s or name == tables.member.node:
            continue
        row = tables.members_by_node.pop(name)
        del state.gone_s_by_node[name]
        # Without a tombstone, a peer that still has an old row of the node
        # would bring it back.
        state.tombstones_by_node[name] = relay.Tombstone(
            row=row, since_s=now.mono_s
        )
    for name, tombstone in list(state.tombstones_by_node.items()):
        if now.mono_s - tombstone.since_s >= 2 * keep_s:
            del state.tombstones_by_node[name]


def _remove_derived(tables: node.Tables, old: members.Member) -> None:
    if old.live:
        _xor_checksum(tables, old)
        _adjust_local_live(tables, old, -1)
    serving = tables.membership.serving_by_service.get(old.service, {})
    if serving.pop(old.node, None) is not None:
        _rebuild_tuple(tables, old.service)


def _xor_checksum(tables: node.Tables, row: members.Member) -> None:
    state = tables.membership
    if not state.bucket_checksums:
        state.bucket_checksums = [0] * BUCKETS
    text = f"{row.node}/{row.incarnation}/{row.sequence}"
    state.bucket_checksums[bucket_index(row.node)] ^= xxhash.xxh3_64_intdigest(
        text.encode()
    )


def _adjust_local_live(
    tables: node.Tables, row: members.Member, change: int
) -> None:
    if row.data_centre == tables.member.data_centre:
        tables.membership.local_live += change


def _rebuild_tuple(tables: node.Tables, service: str) -> None:
    rows = tables.membership.serving_by_service.get(service, {})
    if rows:
        tables.membership.tuples_by_service[service] = tuple(rows.values())
    else:
        tables.membership.tuples_by_service.pop(service, None)
    tables.membership.view_due = True
