"""Computes and applies deltas between configuration snapshots."""

from collections import abc
import dataclasses
from typing import Any

import msgspec
import xxhash

from arbutusstall import _codec
from arbutusstall._tables import agreed
from arbutusstall._wire import messages

_SNAPSHOT_FIELDS = tuple(
    field.name for field in dataclasses.fields(agreed.Snapshot)
)


def digest(snapshot: agreed.Snapshot) -> str:
    """Return the hash of a snapshot's canonical encoding."""
    data = _codec.json_encode(snapshot, is_sorted=True)
    return xxhash.xxh3_128_hexdigest(data)


def difference(
    old: agreed.Snapshot, new: agreed.Snapshot, new_digest: str
) -> messages.SnapshotDelta:
    """Return the delta that turns ``old`` into ``new``.

    Mappings are compared entry by entry and any other field is included
    whole, so a new field of the snapshot needs no change here.

    Args:
        old: The base snapshot.
        new: The resulting snapshot.
        new_digest: Digest of ``new``.
    """
    values: dict[str, Any] = {}
    removed: dict[str, tuple[str, ...]] = {}
    for name in _SNAPSHOT_FIELDS:
        before, after = getattr(old, name), getattr(new, name)
        if not isinstance(after, abc.Mapping):
            values[name] = after
            continue
        if before is msgspec.UNSET:
            before = {}
        values[name] = _changed_entries(before, after)
        gone = tuple(key for key in before if key not in after)
        if gone:
            removed[name] = gone
    return messages.SnapshotDelta(
        base=old.version,
        digest=new_digest,
        changed=agreed.Snapshot(**values),
        removed=removed,
    )


def apply(
    base: agreed.Snapshot, delta: messages.SnapshotDelta
) -> agreed.Snapshot | None:
    """Return ``base`` with ``delta`` applied, or None on a mismatch.

    A delta for another base version and a result with another digest
    than the delta states are mismatches. The digest is verified here so
    that no damaged snapshot can be used.
    """
    if delta.base != base.version:
        return None
    values: dict[str, Any] = {}
    for name in _SNAPSHOT_FIELDS:
        after = getattr(delta.changed, name)
        if isinstance(after, abc.Mapping):
            before = getattr(base, name)
            after = _merged_entries(
                {} if before is msgspec.UNSET else before,
                after,
                delta.removed.get(name, ()),
            )
        values[name] = after
    result = agreed.Snapshot(**values)
    return result if digest(result) == delta.digest else None


def _changed_entries(
    before: abc.Mapping[str, Any], after: abc.Mapping[str, Any]
) -> dict[str, Any]:
    if before is after:
        return {}
    return {
        key: value
        for key, value in after.items()
        if before.get(key) is not value and before.get(key) != value
    }


def _merged_entries(
    base: abc.Mapping[str, Any],
    changed: abc.Mapping[str, Any],
    removed: abc.Collection[str],
) -> abc.Mapping[str, Any]:
    if not changed and not removed:
        return base
    result = {**base, **changed}
    for key in removed:
        result.pop(key, None)
    return result
