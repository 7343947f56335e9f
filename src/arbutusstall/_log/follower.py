"""Folds a log whose oldest records may have expired."""

import dataclasses

from arbutusstall import _effects
from arbutusstall import errors
from arbutusstall._log import checkpoint
from arbutusstall._log import fold
from arbutusstall._log import records
from arbutusstall._tables import agreed

MAX_BUFFERED_ENTRIES = 100_000


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class FollowerEvent:
    """Something that a follower reports about an entry or a gap.

    Attributes:
        event: Empty, ``record-skipped``, ``checkpoint-mismatch``,
            ``log-gap``, ``log-reset``, ``checkpoint-applied`` or
            ``checkpoint-refused``.
        offset: Offset of the entry, or of the first one after a gap.
    """

    event: str = ""
    offset: int = agreed.NO_OFFSET
    reason: str = ""


class Follower:
    """Keeps the agreed state current from log entries in order.

    After a gap the state does not advance and entries are buffered. Once
    all chunks of a checkpoint have arrived, the follower decodes its
    state, folds the buffered entries after it, and continues from there.
    A reset of the log ends the gap with the state that it carries.

    Args:
        state: State to continue from; the empty state if None.
        era: Era of the store; resets of earlier eras end no gap.

    Attributes:
        state: The agreed state; its offset never decreases.
        awaiting_checkpoint: Whether there was a gap and no checkpoint has
            closed it yet.
        seen_era: Era of the newest record that only such a node writes.
        stateful_offset: Offset of the newest buffered record that only a
            node with the agreed state writes.
    """

    def __init__(
        self, state: agreed.Agreed | None = None, era: int = 0
    ) -> None:
        self.state = state or agreed.Agreed()
        self.awaiting_checkpoint = False
        self.stateful_offset = agreed.NO_OFFSET
        self.seen_era = 0
        self._era = era
        self._next = self.state.offset
        self._buffer: list[_effects.LogEntry] = []
        self._assembler = checkpoint.ChunkAssembler()

    @property
    def next_offset(self) -> int:
        """Offset of the next entry to read."""
        return self._next

    def read(self, answer: _effects.LogRead) -> list[FollowerEvent]:
        """Apply the entries of one log read and return what to report."""
        events: list[FollowerEvent] = []
        for entry in answer.entries:
            if entry.offset >= self._next:
                events += self._start_gap(entry.offset)
                self._next = entry.offset + 1
                events += self._handle_entry(entry)
        if not answer.entries:
            events += self._start_gap(
                min(answer.first_kept, answer.next_offset)
            )
        return events

    def caught_up(self, next_offset: int) -> bool:
        """Return whether all entries before ``next_offset`` are folded."""
        return (
            not self.awaiting_checkpoint and self.state.offset >= next_offset
        )

    def _start_gap(self, offset: int) -> list[FollowerEvent]:
        if offset <= self._next:
            return []
        self._next = offset
        self.awaiting_checkpoint = True
        self._buffer.clear()
        self._assembler.drop_older(offset)
        return [
            FollowerEvent(event="log-gap", offset=offset, reason="expired")
        ]

    def _handle_entry(self, entry: _effects.LogEntry) -> list[FollowerEvent]:
        if self.awaiting_checkpoint:
            return self._buffer_entry(entry)
        before = self.state
        result = fold.apply_entry(before, entry.offset, entry.data)
        self.state = result.state
        if result.problem:
            return [_event("record-skipped", entry, result.problem)]
        if result.record is not None and records.needs_state(result.record):
            self.seen_era = max(self.seen_era, self.state.era_number)
        if _resets(result.record, entry, self.state.era_number):
            return [_event("log-reset", entry, "state lost")]
        if checkpoint.digests_differ(before, result.record):
            return [
                _event(
                    "checkpoint-mismatch",
                    entry,
                    "checkpoint digest differs from the folded state",
                )
            ]
        return []

    def _buffer_entry(self, entry: _effects.LogEntry) -> list[FollowerEvent]:
        self._buffer.append(entry)
        del self._buffer[:-MAX_BUFFERED_ENTRIES]
        try:
            record, era = records.decode_with_era(entry.data)
            if _resets(record, entry, self._era):
                empty = agreed.Agreed()
                self._continue_from(fold.apply(empty, entry.offset, record))
                return [_event("log-reset", entry, "no checkpoint")]
        except errors.WireError as exc:
            return [_event("record-skipped", entry, exc.reason)]
        if records.needs_state(record):
            self.stateful_offset = entry.offset
            self.seen_era = max(self.seen_era, era)
        if not isinstance(record, records.CheckpointChunk):
            return []
        problem = checkpoint.chunk_problem(record)
        if problem:
            return [_event("record-skipped", entry, problem)]
        state = self._assembler.add(record)
        return self._try_checkpoint(state, entry) if state is not None else []

    def _try_checkpoint(
        self, state: agreed.Agreed, entry: _effects.LogEntry
    ) -> list[FollowerEvent]:
        through = state.offset
        if through < self.state.offset or through < self._buffer[0].offset:
            return [
                _event(
                    "checkpoint-refused",
                    entry,
                    "checkpoint is older than the state or the buffer",
                )
            ]
        for item in self._buffer:
            if item.offset >= through:
                state = fold.apply_entry(state, item.offset, item.data).state
        newest = state.checkpoint
        if newest is None or newest.through != through:
            return [
                _event(
                    "checkpoint-refused",
                    entry,
                    "checkpoint was written under a stale lease",
                )
            ]
        self._continue_from(state)
        return [_event("checkpoint-applied", entry, f"through {through}")]

    def _continue_from(self, state: agreed.Agreed) -> None:
        self.state = state
        self.awaiting_checkpoint = False
        self._buffer.clear()
        self._assembler = checkpoint.ChunkAssembler()


def _resets(
    record: records.Record | None, entry: _effects.LogEntry, era: int
) -> bool:
    return (
        isinstance(record, records.LogReset)
        and record.read_to == entry.offset
        and record.era >= era
    )


def _event(event: str, entry: _effects.LogEntry, reason: str) -> FollowerEvent:
    return FollowerEvent(event=event, offset=entry.offset, reason=reason)
