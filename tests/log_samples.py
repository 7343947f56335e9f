"""Builds logs of records for tests of the fold and of followers."""

from collections import abc
import random

import msgspec

from arbutusstall import notes
from arbutusstall import protocols
from arbutusstall import settings as node_settings
from arbutusstall._log import checkpoint
from arbutusstall._log import fold
from arbutusstall._log import follower
from arbutusstall._log import publishing
from arbutusstall._log import records
from arbutusstall._tables import agreed

BASE = {
    "add": {
        "services": [{"name": "kvoty"}],
        "routes": [{"prefix": "/kvoty", "service": "kvoty"}],
    }
}
GARBAGE = b"{"


def note(name: str, body: abc.Mapping[str, object]) -> notes.ReleaseNote:
    """Return the release ``name`` with the given content."""
    return msgspec.convert({"name": name, **body}, notes.ReleaseNote)


def shares(**percent_by_version: float) -> dict[str, object]:
    """Return the body of a release that sets the shares of kvoty."""
    item = {"service": "kvoty", "percent_by_version": percent_by_version}
    return {"shares": [item]}


def route(prefix: str, timeout_ms: int = 1_000) -> dict[str, object]:
    """Return a route to kvoty."""
    return {"prefix": prefix, "service": "kvoty", "timeout_ms": timeout_ms}


class FoldedLog:
    """A log and the agreed state after each of its records.

    Attributes:
        entries: Encoded records; the index is the offset.
        states: The initial state and that after each record.
        skipped: Number of records that the fold skipped.
    """

    def __init__(self) -> None:
        self.entries: list[bytes] = []
        self.states = [agreed.Agreed()]
        self.skipped = 0

    @property
    def state(self) -> agreed.Agreed:
        """The state after the newest record."""
        return self.states[-1]

    def put(self, record: records.Record | bytes) -> int:
        """Append a record and return its offset."""
        if not isinstance(record, bytes):
            record = records.encode(record)
        offset = len(self.entries)
        folded = fold.apply_entry(self.state, offset, record)
        self.skipped += bool(folded.problem)
        self.entries.append(record)
        self.states.append(folded.state)
        return offset

    def release(
        self,
        name: str,
        body: abc.Mapping[str, object],
        seen: agreed.Agreed | None = None,
    ) -> records.ReleaseRecord:
        """Append a release that was written against ``seen``; return it.

        The default of ``seen`` is the current state.
        """
        record = publishing.release_record(
            note(name, body), seen or self.state
        )
        self.put(record)
        return record

    def claim(self, holder: str) -> int:
        """Append a claim of the lease by ``holder``; return its offset."""
        return self.put(
            records.LeaseClaim(
                record_id=f"claim/{holder}/{len(self.entries)}",
                holder=holder,
                replaces=self.state.lease.offset,
            )
        )

    def begin_checkpoint(
        self, chunk_bytes: int = 200
    ) -> tuple[records.CheckpointChunk, ...]:
        """Append the start of a checkpoint; return its chunks to append."""
        self.put(
            records.CheckpointBegin(
                record_id=f"begin/{len(self.entries)}",
                lease=self.state.lease.offset,
                made_s=float(len(self.entries)),
            )
        )
        return checkpoint.chunks(self.state, chunk_bytes)

    def read(
        self, start: int = 0, end: int | None = None, first_kept: int = 0
    ) -> protocols.LogRead:
        """Return the entries from ``start`` up to ``end`` as one answer."""
        start = max(start, first_kept)
        end = len(self.entries) if end is None else end
        return protocols.LogRead(
            entries=tuple(
                protocols.LogEntry(offset=offset, data=self.entries[offset])
                for offset in range(start, end)
            ),
            first_kept=first_kept,
            next_offset=len(self.entries),
        )


def follow(
    log: FoldedLog, first_kept: int = 0, start: agreed.Agreed | None = None
) -> follower.Follower:
    """Return a follower that has read the whole log in one answer."""
    reader = follower.Follower(start)
    reader.read(log.read(reader.state.offset, first_kept=first_kept))
    return reader


def settings(name: str, **parts: object) -> node_settings.NodeSettings:
    """Return settings of a node with unused addresses."""
    number = sum(name.encode()) % 10_000 + 10_000
    names = ("callers", "inbound", "relay", "admin")
    addresses = {
        part: f"127.0.{index}.1:{number}" for index, part in enumerate(names)
    }
    return msgspec.convert(
        {
            "node": name,
            "data_centre": "lipno",
            "addresses": addresses,
            "log": {"url": "http://127.0.0.1:9"},
            **parts,
        },
        node_settings.NodeSettings,
    )


class RandomWriters:
    """Writes a log as operators and leaders do, at random from a seed."""

    def __init__(self, seed: int, length: int) -> None:
        self._rng = random.Random(seed)
        self.log = FoldedLog()
        self.log.release("base", BASE)
        self._chunks: list[records.Record] = []
        self._leases = [agreed.NO_LEASE]
        for index in range(length):
            self._write(index)

    def _write(self, index: int) -> None:
        action = self._rng.choice(
            (self._claim, self._renew, self._step, self._end)
            + (self._release, self._move, self._checkpoint)
        )
        action(index)

    def _claim(self, index: int) -> None:
        self._leases.append(self.log.claim(f"node-{self._rng.randrange(3)}"))

    def _renew(self, index: int) -> None:
        self.log.put(
            records.LeaseRenewal(
                record_id=f"renew/{index}",
                lease=self._rng.choice(self._leases[-2:]),
                sequence=self._rng.randrange(index + 2),
            )
        )

    def _release(self, index: int) -> None:
        state = self._rng.choice(self.log.states[-4:])
        prefix = f"/r{self._rng.randrange(4)}"
        known = prefix in state.snapshot.routes_by_prefix
        part = "change" if known else "add"
        body: dict[str, object] = {
            part: {"routes": [route(prefix, index + 1)]}
        }
        if known and self._rng.random() < 0.3:
            body = {"withdraw": {"routes": [prefix]}}
        self.log.release(f"release-{self._rng.randrange(40)}", body, state)

    def _move(self, index: int) -> None:
        version = f"v{self._rng.randrange(4)}"
        state = self._rng.choice(self.log.states[-2:])
        self.log.release(f"move-{index}", shares(**{version: 100.0}), state)

    def _step(self, index: int) -> None:
        for rollout in self._running():
            percent = self._rng.choice((5.0, 30.0, 60.0))
            mix = dict.fromkeys((*rollout.start, *rollout.goal), 0.0)
            for part, weight in (
                (rollout.start, 100.0 - percent),
                (rollout.goal, percent),
            ):
                for name, value in part.items():
                    mix[name] += value * weight / 100.0
            self.log.put(
                records.ShareDecision(
                    record_id=f"step/{index}/{rollout.rollout_id}",
                    lease=self._rng.choice(self._leases[-2:]),
                    rollout_id=rollout.rollout_id,
                    step=rollout.step + 1,
                    percent_by_version=mix,
                )
            )

    def _end(self, index: int) -> None:
        for rollout in self._running():
            self.log.put(
                records.Verdict(
                    record_id=f"verdict/{index}/{rollout.rollout_id}",
                    lease=self._rng.choice(self._leases[-2:]),
                    rollout_id=rollout.rollout_id,
                    done=self._rng.random() < 0.5,
                    reason="a reason",
                )
            )

    def _checkpoint(self, index: int) -> None:
        if self._chunks and self._rng.random() < 0.7:
            self.log.put(self._chunks.pop(0))
        elif self.log.state.lease.holder:
            chunks = self.log.begin_checkpoint(chunk_bytes=2_000)
            self._chunks = list(chunks) if self.log.state.begun else []

    def _running(self) -> list[agreed.Rollout]:
        return [
            rollout
            for rollout in self.log.state.snapshot.rollouts_by_id.values()
            if rollout.state is agreed.RolloutState.RUNNING
        ]
