"""At-most-once admission of call ids, and their revocation.

Times are milliseconds on the inbound proxy's own clock, which starts at
zero with each incarnation. A caller's proxy stamps each call with a lower
bound of that clock, so a call never appears younger than it is, and the
clocks of the machines need not be synchronized.
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
    """Identity of one attempt to run a call.

    Attributes:
        call_id: Id of the attempt; a retry has another one.
        incarnation: Incarnation of the inbound proxy it was sent to.
        sent_ms: Lower bound of the inbound's clock at the time of
            sending.
    """

    call_id: str
    incarnation: int
    sent_ms: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Limits:
    """Limits of a call table.

    Attributes:
        horizon_ms: Age in milliseconds above which a call is refused;
            also the retention time of finished and revoked ids.
        max_entries: Maximum number of finished and revoked ids.
        max_answer_bytes: Maximum total size of the kept answer bodies.
    """

    horizon_ms: int
    max_entries: int
    max_answer_bytes: int


class CallTable:
    """Call ids that this incarnation has admitted, finished or revoked.

    Not thread-safe. When an id is evicted for lack of space, the floor
    rises to its time stamp. Calls sent at or before the floor are
    refused, so an evicted id cannot run a second time.

    Attributes:
        incarnation: Incarnation of this inbound proxy.
        floor_ms: Time stamp up to which unknown calls are refused.
    """

    def __init__(self, incarnation: int, limits: Limits) -> None:
        self.incarnation = incarnation
        self.floor_ms = -1
        self._limits = limits
        self._active_by_id: dict[str, calls.CallEntry] = {}
        self._kept_by_id: collections.OrderedDict[str, calls.CallEntry] = (
            collections.OrderedDict()
        )
        self._answered_ids: collections.deque[str] = collections.deque()
        self._answer_bytes = 0

    def __len__(self) -> int:
        return len(self._active_by_id) + len(self._kept_by_id)

    @property
    def answer_bytes(self) -> int:
        """Total size of the kept answer bodies in bytes."""
        return self._answer_bytes

    def get(self, call_id: str) -> calls.CallEntry | None:
        """Return the entry of ``call_id``, None if there is none."""
        return self._active_by_id.get(call_id) or self._kept_by_id.get(call_id)

    def admit(self, attempt_id: AttemptId, now_ms: int) -> str:
        """Admit a call as queued.

        Returns:
            The reason of the refusal, empty if the call was admitted.
        """
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
        """Mark a queued call as running; false if it was revoked."""
        entry = self._active_by_id.get(call_id)
        if entry is None or entry.state is not calls.CallState.QUEUED:
            return False
        self._active_by_id[call_id] = msgspec.structs.replace(
            entry, state=calls.CallState.RUNNING, changed_ms=now_ms
        )
        return True

    def withdraw(self, call_id: str, now_ms: int) -> None:
        """End a call that certainly has not run, and add a tombstone.

        Only for a queued call, or one of which the target has received
        no byte.
        """
        entry = self._active_by_id.pop(call_id, None)
        if entry is not None:
            self._add_tombstone(call_id, entry.sent_ms, now_ms)

    def drop(self, call_id: str) -> None:
        """Remove a call without a tombstone.

        Only for idempotent calls, which may run again and are never
        revoked.
        """
        self._active_by_id.pop(call_id, None)

    def refuse(self, attempt_id: AttemptId, now_ms: int) -> None:
        """Add a tombstone, so that a call refused now never starts."""
        if not self._refusal(attempt_id, now_ms):
            self._add_tombstone(attempt_id.call_id, attempt_id.sent_ms, now_ms)

    def finish(
        self, call_id: str, answer: messages.CallAnswer, now_ms: int
    ) -> None:
        """Mark a call as finished and keep its answer."""
        entry = self._active_by_id.pop(call_id)
        size = len(answer.body)
        self._answer_bytes += size
        self._answered_ids.append(call_id)
        self._add_kept(
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
        """Prevent a call from starting, if it has not started yet.

        Returns:
            ``REVOKED`` if the call never starts, ``RUNNING`` or
            ``FINISHED`` if it has started, ``UNKNOWN`` if this table
            cannot rule out that it has.
        """
        if attempt_id.incarnation != self.incarnation:
            return messages.RevokeState.UNKNOWN
        entry = self.get(attempt_id.call_id)
        if entry is None:
            if attempt_id.sent_ms <= self.floor_ms:
                return messages.RevokeState.UNKNOWN
            if now_ms - attempt_id.sent_ms > self._limits.horizon_ms:
                # The call may have run, and its entry may have expired.
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

    def outcome(self, call_id: str) -> messages.RevokeState:
        """Return the state of a call, by the entry that is kept of it.

        Without an entry the state is ``UNKNOWN``: the call may have run,
        and its entry may have been evicted.
        """
        entry = self.get(call_id)
        if entry is None:
            return messages.RevokeState.UNKNOWN
        return _REVOKE_STATES.get(entry.state, messages.RevokeState.UNKNOWN)

    def expire(self, now_ms: int) -> None:
        """Remove finished and revoked ids older than the horizon."""
        limit_ms = now_ms - self._limits.horizon_ms
        while self._kept_by_id:
            entry = next(iter(self._kept_by_id.values()))
            if entry.changed_ms >= limit_ms:
                return
            self._remove_kept(entry)

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
        self._add_kept(
            calls.CallEntry(
                call_id=call_id,
                sent_ms=sent_ms,
                state=calls.CallState.REVOKED,
                changed_ms=now_ms,
            )
        )
        return messages.RevokeState.REVOKED

    def _add_kept(self, entry: calls.CallEntry) -> None:
        self._kept_by_id[entry.call_id] = entry
        self.expire(entry.changed_ms)
        while len(self._kept_by_id) > self._limits.max_entries:
            oldest = next(iter(self._kept_by_id.values()))
            self.floor_ms = max(self.floor_ms, oldest.sent_ms)
            self._remove_kept(oldest)

    def _remove_kept(self, entry: calls.CallEntry) -> None:
        del self._kept_by_id[entry.call_id]
        if entry.answer is not None:
            self._answer_bytes -= entry.body_bytes

    def _drop_answers(self) -> None:
        while self._answer_bytes > self._limits.max_answer_bytes:
            call_id = self._answered_ids.popleft()
            entry = self._kept_by_id.get(call_id)
            if entry is None or entry.answer is None:
                continue
            self._answer_bytes -= entry.body_bytes
            self._kept_by_id[call_id] = msgspec.structs.replace(
                entry, answer=None, body_bytes=0
            )
        while len(self._answered_ids) > len(self._kept_by_id):
            self._answered_ids.popleft()


_REVOKE_STATES: abc.Mapping[calls.CallState, messages.RevokeState] = {
    calls.CallState.RUNNING: messages.RevokeState.RUNNING,
    calls.CallState.FINISHED: messages.RevokeState.FINISHED,
    calls.CallState.REVOKED: messages.RevokeState.REVOKED,
}
