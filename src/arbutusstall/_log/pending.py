"""Queue of records to append, bounded in length and retry time."""

import dataclasses
import random

from arbutusstall._log import pacing
from arbutusstall._log import records


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PendingAppend:
    """One queued append; times are monotonic, in seconds.

    Attributes:
        due_s: Earliest time of the next attempt.
        give_up_s: Time after which no further attempt is scheduled.
        attempts: Number of failed attempts.
        era: Era of the store in which the record was decided.
    """

    record: records.Record
    due_s: float
    give_up_s: float
    attempts: int = 0
    era: int = 0


class PendingAppends:
    """The queue of one node's appends; not thread-safe.

    Args:
        limit: Maximum number of waiting appends.
        bound_s: Time for which an append is retried, in seconds.
        base_s: Backoff limit after the first failure, in seconds.
        cap_s: Maximum backoff limit, in seconds.
        rng: Source of the backoff jitter.

    Attributes:
        limit: Maximum number of waiting appends.
    """

    def __init__(
        self,
        *,
        limit: int,
        bound_s: float,
        base_s: float,
        cap_s: float,
        rng: random.Random,
    ) -> None:
        self.limit = limit
        self._bound_s = bound_s
        self._base_s = base_s
        self._cap_s = cap_s
        self._rng = rng
        self._waiting_by_key: dict[str, PendingAppend] = {}
        self._sending: set[str] = set()

    def __len__(self) -> int:
        return len(self._waiting_by_key)

    def add(self, record: records.Record, now_s: float, era: int = 0) -> bool:
        """Queue a record and return whether it was accepted.

        False means that the queue is full. A record that is already
        queued or being sent is not queued again. A newer lease record
        replaces a waiting one.
        """
        if record.record_id in self._sending:
            return True
        key = records.queue_key(record)
        known = self._waiting_by_key.get(key)
        if known is not None and (known.record, known.era) == (record, era):
            return True
        if known is None and len(self) >= self.limit:
            return False
        self._waiting_by_key[key] = PendingAppend(
            record=record,
            due_s=now_s,
            give_up_s=now_s + self._bound_s,
            era=era,
        )
        return True

    def take(self, now_s: float) -> PendingAppend | None:
        """Remove and return the append that has been due longest."""
        key = min(
            self._waiting_by_key,
            key=lambda name: self._waiting_by_key[name].due_s,
            default=None,
        )
        if key is None or self._waiting_by_key[key].due_s > now_s:
            return None
        item = self._waiting_by_key.pop(key)
        self._sending.add(item.record.record_id)
        return item

    def wait_s(self, now_s: float) -> float | None:
        """Return the seconds until an append is due; None if none waits."""
        due = [item.due_s for item in self._waiting_by_key.values()]
        return max(0.0, min(due) - now_s) if due else None

    def answered(self, item: PendingAppend) -> None:
        """Record that the log stored an append that was taken."""
        self._sending.discard(item.record.record_id)

    def failed(self, item: PendingAppend, now_s: float) -> bool:
        """Requeue a taken append after a failure, with backoff.

        Returns:
            False if the append's retry time is over and it was dropped.
        """
        self._sending.discard(item.record.record_id)
        delay_s = pacing.full_jitter_s(
            self._base_s, self._cap_s, item.attempts, self._rng
        )
        key = records.queue_key(item.record)
        if key in self._waiting_by_key:
            return True
        if now_s + delay_s > item.give_up_s:
            return False
        self._waiting_by_key[key] = dataclasses.replace(
            item, due_s=now_s + delay_s, attempts=item.attempts + 1
        )
        return True
