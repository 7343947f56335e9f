"""Checkpoints: encodings of the agreed state as records of the log.

The leader appends `CheckpointBegin`. Every reader that folds it records
the digest of its own state at that offset; the leader then appends the
encoded state in chunks. A reader that cannot read the records before
that offset rebuilds the state from the chunks.
"""

from collections import abc
import dataclasses
import zlib

import msgspec
import xxhash

from arbutusstall import _codec
from arbutusstall import errors
from arbutusstall._log import records
from arbutusstall._tables import agreed as tables

MAX_CHUNKS = 1_024
MAX_STATE_BYTES = 64 * 1024 * 1024

_ENCODER = _codec.msgpack_encoder(is_ordered=True)
_DECODER = _codec.msgpack_decoder(tables.Agreed)


def encode(state: tables.Agreed) -> bytes:
    """Return the canonical encoding of a state without ``begun``."""
    return _ENCODER.encode(dataclasses.replace(state, begun=None))


def digest(data: bytes) -> str:
    """Return the hash of an encoded state."""
    return xxhash.xxh3_128_hexdigest(data)


def chunks(
    state: tables.Agreed, chunk_bytes: int
) -> tuple[records.CheckpointChunk, ...]:
    """Return the chunks of the checkpoint that was begun in ``state``.

    Args:
        state: The state right after a `CheckpointBegin`.
        chunk_bytes: Maximum size of a chunk's data, in bytes.
    """
    begun = state.begun
    assert begun is not None
    data = zlib.compress(encode(state))
    parts = [
        data[start : start + chunk_bytes]
        for start in range(0, len(data), chunk_bytes)
    ]
    return tuple(
        records.CheckpointChunk(
            record_id=f"checkpoint/{begun.lease}/{begun.through}/{index}",
            lease=begun.lease,
            through=begun.through,
            digest=begun.digest,
            made_s=begun.made_s,
            index=index,
            count=len(parts),
            data=part,
            checksum=xxhash.xxh3_64_hexdigest(part),
        )
        for index, part in enumerate(parts)
    )


def apply_begin(
    state: tables.Agreed, offset: int, record: records.CheckpointBegin
) -> tables.Agreed:
    """Return the state after `CheckpointBegin`.

    The record changes nothing if its lease has been replaced or if it is
    not newer than the newest checkpoint.
    """
    if record.lease != state.lease.offset:
        return state
    newest = state.begun or state.checkpoint
    if newest is not None and record.made_s <= newest.made_s:
        return state
    begun = tables.Checkpoint(
        through=offset + 1,
        digest=digest(encode(state)),
        lease=record.lease,
        made_s=record.made_s,
    )
    return dataclasses.replace(state, begun=begun)


def apply_chunk(
    state: tables.Agreed, record: records.CheckpointChunk
) -> tables.Agreed:
    """Return the state after one chunk of the begun checkpoint.

    A chunk that is invalid, belongs to another checkpoint, or was written
    under a replaced lease changes nothing.
    """
    begun = state.begun
    if begun is None or record.lease != state.lease.offset:
        return state
    if not _is_chunk_of(record, begun) or chunk_problem(record):
        return state
    begun = dataclasses.replace(
        begun,
        count=record.count,
        accepted=begun.accepted | 1 << record.index,
    )
    if not begun.is_complete:
        return dataclasses.replace(state, begun=begun)
    return dataclasses.replace(state, begun=None, checkpoint=begun)


def digests_differ(
    state: tables.Agreed, record: records.Record | None
) -> bool:
    """Return whether a chunk's digest differs from the reader's own."""
    return (
        isinstance(record, records.CheckpointChunk)
        and state.begun is not None
        and record.lease == state.lease.offset
        and record.through == state.begun.through
        and record.digest != state.begun.digest
    )


def chunk_problem(record: records.CheckpointChunk) -> str:
    """Return why a chunk is invalid in itself; empty if it is valid."""
    if not 0 <= record.index < record.count <= MAX_CHUNKS:
        return f"invalid chunk index {record.index} of {record.count}"
    if xxhash.xxh3_64_hexdigest(record.data) != record.checksum:
        return "chunk checksum does not match its data"
    return ""


def assemble(
    parts: abc.Iterable[records.CheckpointChunk],
) -> tables.Agreed | None:
    """Return the state that a complete set of chunks encodes.

    Returns:
        The state, or None if a chunk is missing or invalid, or the
        digest does not match. Whether the chunks were written under a
        valid lease shows only when the records after the state's offset
        are folded.
    """
    by_index = {part.index: part for part in parts if not chunk_problem(part)}
    first = by_index.get(0)
    if first is None or sorted(by_index) != list(range(first.count)):
        return None
    compressed = b"".join(by_index[index].data for index in range(first.count))
    try:
        data = _decompress(compressed)
        if digest(data) != first.digest:
            return None
        state = _DECODER.decode(data)
    except (zlib.error, msgspec.MsgspecError, errors.WireError):
        return None
    if state.offset != first.through or state.lease.offset != first.lease:
        return None
    begun = tables.Checkpoint(
        through=first.through,
        digest=first.digest,
        lease=first.lease,
        made_s=first.made_s,
    )
    return dataclasses.replace(state, begun=begun)


def decode(data: bytes) -> tables.Agreed:
    """Return the state of compressed data.

    Raises:
        WireError: The data is damaged or too long.
    """
    try:
        return _DECODER.decode(_decompress(data))
    except (zlib.error, msgspec.MsgspecError) as exc:
        raise errors.WireError(
            step="state.decode", peer="log", reason=str(exc)
        ) from exc


class ChunkAssembler:
    """Collects chunks by checkpoint until all of one have arrived."""

    def __init__(self) -> None:
        self._parts: dict[
            tuple[int, int, str, float, int],
            dict[int, records.CheckpointChunk],
        ] = {}

    def add(self, record: records.CheckpointChunk) -> tables.Agreed | None:
        """Store a chunk; return the state once its checkpoint is complete."""
        if chunk_problem(record):
            return None
        key = (
            record.through,
            record.lease,
            record.digest,
            record.made_s,
            record.count,
        )
        parts = self._parts.setdefault(key, {})
        parts[record.index] = record
        if len(parts) < record.count:
            return None
        del self._parts[key]
        return assemble(parts.values())

    def drop_older(self, through: int) -> None:
        """Drop the chunks of checkpoints that end before ``through``."""
        self._parts = {
            key: parts
            for key, parts in self._parts.items()
            if key[0] >= through
        }


def _is_chunk_of(
    record: records.CheckpointChunk, begun: tables.Checkpoint
) -> bool:
    return (
        record.through == begun.through
        and record.digest == begun.digest
        and record.made_s == begun.made_s
        and begun.count in (0, record.count)
    )


def _decompress(compressed: bytes) -> bytes:
    decompressor = zlib.decompressobj()
    data = decompressor.decompress(compressed, MAX_STATE_BYTES)
    if decompressor.unconsumed_tail or not decompressor.eof:
        raise errors.WireError(
            step="checkpoint.decode", peer="log", reason="size"
        )
    return data
