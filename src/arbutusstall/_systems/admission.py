"""Decides at the inbound proxy which requests may start, and when."""

from collections import abc
import dataclasses
import enum

from arbutusstall._systems import demand
from arbutusstall._systems import revocation
from arbutusstall._wire import messages

DRAINING = "draining"
OVERLOAD = "overload"
LATE = "deadline passed"
NO_TARGET = "no target"
WRONG_VERSION = "wrong version"
UNREACHABLE = "target unreachable"
SHED = "target shed load"
MISDIRECTED = "another target has the address"

_SMOOTHING = 0.1
_START_SERVICE_MS = 10.0
_MIN_RETRY_AFTER_MS = 10
_MOST_ROUTES = 1_000
# Many calls take longer than the mean; they are to be in time as well.
_LONG_CALL = 1.5
# Part of the spare time that may be spent in the queue. A short queue
# keeps the slots busy as well as a long one.
_QUEUE_PART = 0.5
# Part of the objective that a request may wait at a slow target.
_LEAST_PATIENCE = 0.15
# Requests of lower ranks never take all slots for good.
_MOST_BEFORE = 0.9
_SLOTS_PER_WAITING = 3


class Verdict(enum.Enum):
    """What is to be done with a request."""

    START = "start"
    WAIT = "wait"
    REFUSE = "refuse"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Decision:
    """Whether a request may start.

    Attributes:
        refusal: Why it may not, if the verdict is to refuse.
        wait_ms: How long it may wait, if the verdict is to wait.
        evicted: Ids of waiting requests that are refused, because this
            one goes before them and they would now wait too long.
    """

    verdict: Verdict
    refusal: str = ""
    retry_after_ms: int = 0
    wait_ms: int = 0
    evicted: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _Started:
    at_ms: int
    route: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _Waiting:
    call_id: str
    route: str
    exclusive: bool
    rank: int
    until_ms: int


class Admission:
    """Slots at the target, the queue before them, and draining.

    Not thread-safe. Times are milliseconds on one monotonic clock.

    Attributes:
        pending_bodies: Requests whose bodies are still on their way.

    Args:
        table: Decides which ids may run at all.
        slots: Requests that the target runs at once.
        queue: Most requests that wait.
        queue_ms: Longest wait.
    """

    def __init__(
        self,
        table: revocation.CallTable,
        slots: int,
        queue: int,
        queue_ms: int,
    ) -> None:
        self.table = table
        self.slots = slots
        self.draining = False
        self.pending_bodies = 0
        self._queue_limit = queue
        self._queue_ms = queue_ms
        self._started_by_id: dict[str, _Started] = {}
        self._exclusive_id = ""
        self._queue: list[_Waiting] = []
        self._service_ms = _START_SERVICE_MS
        self._service_ms_by_route: dict[str, float] = {}
        self._demand = demand.Demand()

    @property
    def in_flight(self) -> int:
        """Number of requests at the target."""
        return len(self._started_by_id)

    @property
    def queued(self) -> int:
        """Number of requests that wait for a slot."""
        return len(self._queue)

    @property
    def load(self) -> int:
        """Number of requests at the target and on their way to it."""
        return (
            len(self._started_by_id) + len(self._queue) + self.pending_bodies
        )

    @property
    def running_ids(self) -> tuple[str, ...]:
        """Ids of the requests at the target."""
        return tuple(self._started_by_id)

    def request_slot(
        self,
        attempt_id: revocation.AttemptId,
        now_ms: int,
        deadline_ms: int,
        exclusive: bool = False,
        rank: int = 0,
        route: str = "",
        aim_ms: int = 0,
    ) -> Decision:
        """Ask for a slot.

        Args:
            deadline_ms: Time left to the caller's deadline.
            exclusive: Whether the request must be alone at the target.
            rank: Requests of a lower rank start first.
            route: Requests of one route take about the same time.
            aim_ms: Time left to the latency objective; 0 if there is
                none. Nobody waits for a slot until the objective cannot
                be met: under lasting overload everyone would be late.
        """
        if self.table.get(attempt_id.call_id) is not None:
            return _refuse(self.table.admit(attempt_id, now_ms))
        if self.draining:
            return self.refuse(attempt_id, DRAINING, now_ms)
        if now_ms - attempt_id.sent_ms > deadline_ms:
            return self.refuse(attempt_id, LATE, now_ms)
        place = self._place(rank)
        waits = self._must_wait(exclusive)
        patience_ms = self._patience_ms(route, deadline_ms, aim_ms)
        if waits and self._is_hopeless(rank, patience_ms, now_ms):
            retry_after_ms = self.retry_after_ms(rank, now_ms)
            return self.refuse(attempt_id, OVERLOAD, now_ms, retry_after_ms)
        refusal = self.table.admit(attempt_id, now_ms)
        if refusal:
            return _refuse(refusal)
        if waits:
            waiting = _Waiting(
                call_id=attempt_id.call_id,
                route=route,
                exclusive=exclusive,
                rank=rank,
                until_ms=now_ms + patience_ms,
            )
            self._queue.insert(place, waiting)
            return Decision(
                verdict=Verdict.WAIT,
                wait_ms=patience_ms,
                evicted=self._evict(place + 1, now_ms),
            )
        self._start(attempt_id.call_id, route, exclusive, rank, now_ms)
        return Decision(verdict=Verdict.START)

    def would_refuse(
        self, rank: int, route: str, deadline_ms: int, aim_ms: int, now_ms: int
    ) -> str:
        """Return why a request would be refused now, empty if it would not.

        The arguments are those of `request_slot`.
        """
        if self.draining:
            return DRAINING
        patience_ms = self._patience_ms(route, deadline_ms, aim_ms)
        waits = self._must_wait(exclusive=False)
        if waits and self._is_hopeless(rank, patience_ms, now_ms):
            return OVERLOAD
        return ""

    def retry_after_ms(self, rank: int, now_ms: int) -> int:
        """Return the time after which a slot is likely to be free."""
        wait_ms = self._expected_wait_ms(self._queue, rank, now_ms)
        return max(_MIN_RETRY_AFTER_MS, wait_ms)

    def refuse(
        self,
        attempt_id: revocation.AttemptId,
        reason: str,
        now_ms: int,
        retry_after_ms: int = 0,
    ) -> Decision:
        """Refuse a request, now and whenever its id comes again."""
        if self.table.get(attempt_id.call_id) is not None:
            return _refuse(self.table.admit(attempt_id, now_ms))
        self.table.refuse(attempt_id, now_ms)
        return _refuse(reason, retry_after_ms)

    def cancel_queued(self, call_id: str, now_ms: int) -> bool:
        """Take a request out of the queue; false if it has started."""
        if call_id in self._started_by_id:
            return False
        self._queue = [item for item in self._queue if item.call_id != call_id]
        self.table.withdraw(call_id, now_ms)
        return True

    def release_slot(self, call_id: str, now_ms: int) -> tuple[str, ...]:
        """Free the slot; return the ids that start in turn."""
        started = self._started_by_id.pop(call_id)
        if self._exclusive_id == call_id:
            self._exclusive_id = ""
        self._learn(started.route, now_ms - started.at_ms)
        return self.promote(now_ms)

    def promote(self, now_ms: int) -> tuple[str, ...]:
        """Start the requests at the head of the queue that may start."""
        started = []
        while self._queue and self._has_room(self._queue[0].exclusive):
            item = self._queue.pop(0)
            if self._start(
                item.call_id, item.route, item.exclusive, item.rank, now_ms
            ):
                started.append(item.call_id)
        return tuple(started)

    def _patience_ms(self, route: str, deadline_ms: int, aim_ms: int) -> int:
        """Return how long a request may wait for a slot."""
        taken_ms = self._taken_ms(route)
        patience_ms = min(self._queue_ms, deadline_ms - taken_ms)
        if not aim_ms:
            return patience_ms
        spare_ms = aim_ms - _LONG_CALL * taken_ms
        most_ms = max(spare_ms * _QUEUE_PART, aim_ms * _LEAST_PATIENCE)
        return min(patience_ms, int(most_ms))

    def _is_hopeless(self, rank: int, patience_ms: int, now_ms: int) -> bool:
        """Tell whether a request that has to wait is refused at once."""
        place = self._place(rank)
        if len(self._queue) >= self._queue_limit and place == len(self._queue):
            return True
        ahead = self._queue[:place]
        if self._expected_wait_ms(ahead, rank, now_ms) <= patience_ms:
            return False
        return patience_ms <= 0 or not self._keeps_busy(ahead, rank)

    def _must_wait(self, exclusive: bool) -> bool:
        return bool(self._queue) or not self._has_room(exclusive)

    def _has_room(self, exclusive: bool) -> bool:
        if self._exclusive_id:
            return False
        if exclusive:
            return not self._started_by_id
        return len(self._started_by_id) < self.slots

    def _start(
        self, call_id: str, route: str, exclusive: bool, rank: int, now_ms: int
    ) -> bool:
        if not self.table.start(call_id, now_ms):
            return False
        self._demand.record_started(rank, self._taken_ms(route), now_ms)
        self._started_by_id[call_id] = _Started(at_ms=now_ms, route=route)
        if exclusive:
            self._exclusive_id = call_id
        return True

    def _learn(self, route: str, taken_ms: int) -> None:
        self._service_ms += _SMOOTHING * (taken_ms - self._service_ms)
        known_ms = self._service_ms_by_route.get(route, float(taken_ms))
        known_ms += _SMOOTHING * (taken_ms - known_ms)
        if len(self._service_ms_by_route) >= _MOST_ROUTES:
            self._service_ms_by_route.clear()
        self._service_ms_by_route[route] = known_ms

    def _taken_ms(self, route: str) -> int:
        """Return how long a call of a route is likely to run."""
        known_ms = self._service_ms_by_route.get(route, self._service_ms)
        return int(known_ms)

    def _place(self, rank: int) -> int:
        place = len(self._queue)
        while place and self._queue[place - 1].rank > rank:
            place -= 1
        return place

    def _evict(self, first: int, now_ms: int) -> tuple[str, ...]:
        """Withdraw those from ``first`` on that would wait too long."""
        if first == len(self._queue):
            return ()
        kept = self._queue[:first]
        evicted = []
        for item in self._queue[first:]:
            full = len(kept) >= self._queue_limit
            late = now_ms + self._least_wait_ms(kept) > item.until_ms
            if full or late:
                self.table.withdraw(item.call_id, now_ms)
                evicted.append(item.call_id)
            else:
                kept.append(item)
        self._queue = kept
        return tuple(evicted)

    def _keeps_busy(self, ahead: list[_Waiting], rank: int) -> bool:
        """Tell whether a request waits in any case, behind ``ahead``.

        The expected wait is a guess, and no slot is to be idle by it
        when those of lower ranks are gone.
        """
        like = sum(item.rank >= rank for item in ahead)
        return like < max(1, self.slots // _SLOTS_PER_WAITING)

    def _expected_wait_ms(
        self, ahead: list[_Waiting], rank: int, now_ms: int
    ) -> int:
        """Return how long a request is likely to wait behind ``ahead``.

        Those that go before it and arrive meanwhile take their part of
        the slots that become free.
        """
        before = self._demand.higher_priority_share(rank, self.slots, now_ms)
        least_ms = self._least_wait_ms(ahead)
        return int(least_ms / (1.0 - min(_MOST_BEFORE, before)))

    def _least_wait_ms(self, ahead: list[_Waiting]) -> float:
        """Return the wait behind ``ahead`` if nobody overtakes."""
        running = self._started_by_id.values()
        running_ms = sum(self._taken_ms(item.route) for item in running)
        ahead_ms = sum(self._taken_ms(item.route) for item in ahead)
        work_ms = running_ms / max(1, len(running)) + ahead_ms
        return work_ms / max(1, self.slots)


def refusal(
    call: messages.CallRequest, reason: str, retry_after_ms: int = 0
) -> messages.CallAnswer:
    """Return the answer that a call was certainly not executed."""
    return messages.CallAnswer(
        call_id=call.call_id,
        request_id=call.request_id,
        not_run=reason,
        retry_after_ms=retry_after_ms,
    )


def _refuse(reason: str, retry_after_ms: int = 0) -> Decision:
    return Decision(
        verdict=Verdict.REFUSE, refusal=reason, retry_after_ms=retry_after_ms
    )


RETRYABLE_REFUSALS: abc.Set[str] = frozenset(
    {
        DRAINING,
        OVERLOAD,
        LATE,
        NO_TARGET,
        WRONG_VERSION,
        UNREACHABLE,
        SHED,
        MISDIRECTED,
        revocation.WRONG_INCARNATION,
        revocation.TOO_OLD,
    }
)
"""Refusals after which another attempt may do better."""

STALE_CLOCK_REFUSALS: abc.Set[str] = frozenset(
    {LATE, revocation.WRONG_INCARNATION, revocation.TOO_OLD}
)
"""Refusals that a fresh reading of the inbound's clock may undo."""
