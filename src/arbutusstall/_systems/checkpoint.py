"""Appends checkpoints before the records that they replace expire."""

from arbutusstall import _clock
from arbutusstall import _effects
from arbutusstall._log import checkpoint
from arbutusstall._log import records
from arbutusstall._systems import lease
from arbutusstall._tables import agreed
from arbutusstall._tables import node


def on_begun(tables: node.Tables, state: agreed.Agreed) -> None:
    """Encode the state if this node, as the leader, began a checkpoint.

    A checkpoint that has accepted chunks already is left as it is.
    """
    begun = state.begun
    if begun is None or begun.accepted:
        return
    tables.checkpoint_chunks = ()
    if state.lease.holder == tables.member.node:
        chunk_bytes = tables.settings.checkpoint.chunk_bytes
        tables.checkpoint_chunks = checkpoint.chunks(state, chunk_bytes)


def run(tables: node.Tables, now: _clock.Instant) -> list[_effects.Effect]:
    """Begin a checkpoint that is due, or append its missing chunks.

    Only the leader does so.
    """
    if not lease.is_leader(tables, now):
        return []
    if now.mono_s < tables.next_checkpoint_s:
        return []
    begun = tables.agreed.begun
    if begun is not None and begun.lease == tables.agreed.lease.offset:
        return _next_chunks(tables, begun, now)
    if not _is_due(tables, now):
        return []
    tables.next_checkpoint_s = now.mono_s + tables.settings.lease.expire_s
    return [_begin(tables, now)]


def _is_due(tables: node.Tables, now: _clock.Instant) -> bool:
    newest = tables.agreed.checkpoint
    if newest is None:
        return True
    policy = tables.settings.checkpoint
    return (
        now.wall_s - newest.made_s >= policy.every_s
        or tables.agreed.offset - newest.through >= policy.every_records
    )


def _begin(tables: node.Tables, now: _clock.Instant) -> _effects.Append:
    newest = tables.agreed.begun or tables.agreed.checkpoint
    made_s = max(now.wall_s, newest.made_s + 0.001 if newest else 0.0)
    record_id = (
        f"checkpoint/{tables.member.node}/{tables.member.incarnation}/"
        f"{tables.agreed.offset}"
    )
    return _effects.Append(
        record=records.CheckpointBegin(
            record_id=record_id,
            lease=tables.agreed.lease.offset,
            made_s=made_s,
        )
    )


def _next_chunks(
    tables: node.Tables, begun: agreed.Checkpoint, now: _clock.Instant
) -> list[_effects.Effect]:
    policy = tables.settings.checkpoint
    missing = [
        chunk
        for chunk in tables.checkpoint_chunks
        if chunk.through == begun.through
        and not begun.accepted >> chunk.index & 1
    ]
    tables.next_checkpoint_s = now.mono_s + policy.chunk_s
    return [
        _effects.Append(record=chunk)
        for chunk in missing[: policy.chunks_at_once]
    ]
