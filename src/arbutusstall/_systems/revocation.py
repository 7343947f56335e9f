"""Admits each call id at most once and revokes ids that have not started.

Times are milliseconds on the inbound proxy's own clock, which starts
with its incarnation. A caller's proxy stamps each call with a lower
bound of that clock, so a call never looks younger than it is and the
clocks of the machines play no part.
"""

import collections
from collections import abc
import dataclasses

import msgspec

from arbutusstall._tables import calls
from arbutusstall._wire import messages

WRONG_INCARNATION = "wrong incarnation"
TOO_OLD = "older than the horizon"
FROM_FUTURE = "sent after now"
REVOKED = "revoked"
DUPLICATE = "duplicate"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class AttemptId:
    """What identifies one attempt to run a call.

    Attributes:
        incarnation: Incarnation of the inbound proxy it was aimed at.
        sent_ms: Lower bound of the inbound's clock when it was sent.
    """

    call_id: str
    incarnation: int
    sent_ms: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Limits:
    """Bounds of what is remembered.

    Attributes:
        horizon_ms: Age from which a call is refused, and for how long a
            finished or revoked id is kept.
        max_entries: Most ids that are kept.
        max_answer_bytes: Most bytes of kept answers.
    """

    horizon_ms: int
    max_entries: int
    max_answer_bytes: int


class CallTable:
    """The ids that this incarnation has admitted, finished or revoked.

    Not thread-safe. When an id is forgotten to make room, the floor
    rises to its stamp: whatever was sent before the floor is refused,
    so a forgotten id cannot run again.
    """

    def __init__(self, incarnation: int, limits: Limits) -> None:
        self.incarnation = incarnation
        self.floor_ms = -1
        self._limits = limits
        self._active_by_id: dict[str, calls.CallEntry] = {}
        self._kept_by_id: collections.OrderedDict[str, calls.CallEntry] = (
            collections.OrderedDict()
        )
        self._with_answer: collections.deque[str] = collections.deque()
        self._answer_bytes = 0

    def __len__(self) -> int:
        return len(self._active_by_id) + len(self._kept_by_id)

    @property
    def answer_bytes(self) -> int:
        """Bytes of the kept answers."""
        return self._answer_bytes

    def get(self, call_id: str) -> calls.CallEntry | None:
        """Return what is known of ``call_id``."""
        return self._active_by_id.get(call_id) or self._kept_by_id.get(call_id)

    def admit(self, attempt_id: AttemptId, now_ms: int) -> str:
        """Take in a call as queued; return why not, or an empty string."""
        refusal = self._refusal(attempt_id, now_ms)
        if refusal:
            return refusal
        self._active_by_id[attempt_id.call_id] = calls.CallEntry(
            call_id=attempt_id.call_id,
            sent_ms=attempt_id.sent_ms,
            state=calls.CallState.QUEUED,
            changed_ms=now_ms,
        )
        return ""

    def start(self, call_id: str, now_ms: int) -> bool:
        """Let a queued call run; false if it was revoked meanwhile."""
        entry = self._active_by_id.get(call_id)
        if entry is None or entry.state is not calls.CallState.QUEUED:
            return False
        self._active_by_id[call_id] = msgspec.structs.replace(
            entry, state=calls.CallState.RUNNING, changed_ms=now_ms
        )
        return True

    def withdraw(self, call_id: str, now_ms: int) -> None:
        """End a call that was queued or whose target got no byte."""
        entry = self._active_by_id.pop(call_id, None)
        if entry is not None:
            self._add_tombstone(call_id, entry.sent_ms, now_ms)

    def drop(self, call_id: str) -> None:
        """Forget a call that may run again; it is never revoked."""
        self._active_by_id.pop(call_id, None)

    def refuse(self, attempt_id: AttemptId, now_ms: int) -> None:
        """Make sure that a call that is refused now never starts."""
        if not self._refusal(attempt_id, now_ms):
            self._add_tombstone(attempt_id.call_id, attempt_id.sent_ms, now_ms)

    def finish(
        self, call_id: str, answer: messages.CallAnswer, now_ms: int
    ) -> None:
        """Keep the answer of a call that has run."""
        entry = self._active_by_id.pop(call_id)
        size = len(answer.body)
        self._answer_bytes += size
        self._with_answer.append(call_id)
        self._keep(
            msgspec.structs.replace(
                entry,
                state=calls.CallState.FINISHED,
                changed_ms=now_ms,
                answer=answer,
                body_bytes=size,
            )
        )
        self._drop_answers()

    def revoke(
        self, attempt_id: AttemptId, now_ms: int
    ) -> messages.RevokeState:
        """Make sure that a call never starts, or tell that it has."""
        if attempt_id.incarnation != self.incarnation:
            return messages.RevokeState.UNKNOWN
        entry = self.get(attempt_id.call_id)
        if entry is None:
            if attempt_id.sent_ms <= self.floor_ms:
                return messages.RevokeState.UNKNOWN
            if now_ms - attempt_id.sent_ms > self._limits.horizon_ms:
                # Its entry may have expired; it may have run.
                return messages.RevokeState.UNKNOWN
            return self._add_tombstone(
                attempt_id.call_id, attempt_id.sent_ms, now_ms
            )
        if entry.state is calls.CallState.QUEUED:
            del self._active_by_id[attempt_id.call_id]
            return self._add_tombstone(
                attempt_id.call_id, entry.sent_ms, now_ms
            )
        return _REVOKE_STATES[entry.state]

    def expire(self, now_ms: int) -> None:
        """Forget what is older than the horizon."""
        limit_ms = now_ms - self._limits.horizon_ms
        while self._kept_by_id:
            entry = next(iter(self._kept_by_id.values()))
            if entry.changed_ms >= limit_ms:
                return
            self._forget(entry)

    def _refusal(self, attempt_id: AttemptId, now_ms: int) -> str:
        if attempt_id.incarnation != self.incarnation:
            return WRONG_INCARNATION
        entry = self.get(attempt_id.call_id)
        if entry is not None:
            if entry.state is calls.CallState.REVOKED:
                return REVOKED
            return DUPLICATE
        if attempt_id.sent_ms > now_ms:
            return FROM_FUTURE
        too_old = now_ms - attempt_id.sent_ms > self._limits.horizon_ms
        if too_old or attempt_id.sent_ms <= self.floor_ms:
            return TOO_OLD
        return ""

    def _add_tombstone(
        self, call_id: str, sent_ms: int, now_ms: int
    ) -> messages.RevokeState:
        self._keep(
            calls.CallEntry(
                call_id=call_id,
                sent_ms=sent_ms,
                state=calls.CallState.REVOKED,
                changed_ms=now_ms,
            )
        )
        return messages.RevokeState.REVOKED

    def _keep(self, entry: calls.CallEntry) -> None:
        self._kept_by_id[entry.call_id] = entry
        self.expire(entry.changed_ms)
        while len(self._kept_by_id) > self._limits.max_entries:
            oldest = next(iter(self._kept_by_id.values()))
            self.floor_ms = max(self.floor_ms, oldest.sent_ms)
            self._forget(oldest)

    def _forget(self, entry: calls.CallEntry) -> None:
        del self._kept_by_id[entry.call_id]
        if entry.answer is not None:
            self._answer_bytes -= entry.body_bytes

    def _drop_answers(self) -> None:
        while self._answer_bytes > self._limits.max_answer_bytes:
            call_id = self._with_answer.popleft()
            entry = self._kept_by_id.get(call_id)
            if entry is None or entry.answer is None:
                continue
            self._answer_bytes -= entry.body_bytes
            self._kept_by_id[call_id] = msgspec.structs.replace(
                entry, answer=None, body_bytes=0
            )
        while len(self._with_answer) > len(self._kept_by_id):
            self._with_answer.popleft()


_REVOKE_STATES: abc.Mapping[calls.CallState, messages.RevokeState] = {
    calls.CallState.RUNNING: messages.RevokeState.RUNNING,
    calls.CallState.FINISHED: messages.RevokeState.FINISHED,
    calls.CallState.REVOKED: messages.RevokeState.REVOKED,
}
