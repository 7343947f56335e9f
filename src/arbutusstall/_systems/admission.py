"""Admission control of an inbound proxy: slots, queue and refusals."""

from collections import abc
import dataclasses
import enum

from arbutusstall._concurrency import limit as concurrency_limit
from arbutusstall._systems import demand
from arbutusstall._systems import revocation
from arbutusstall._systems import run_times
from arbutusstall._systems import target_limit
from arbutusstall._wire import messages

DRAINING = "draining"
OVERLOAD = "overload"
LATE = "deadline passed"
NO_TARGET = "no target"
WRONG_VERSION = "wrong version"
UNREACHABLE = "target unreachable"
SHED = "target shed load"
MISDIRECTED = "another target has the address"
EVACUATED = "data centre evacuated"
OVER_LIMIT = "over the limit of the target"
NO_HEAD_ROOM = "no room for the head"

_MIN_RETRY_AFTER_MS = 10
# The latency objective allows for calls that run this many times longer
# than the mean of their route.
_LONG_CALL_FACTOR = 1.5
# A request may spend this share of its spare time in the queue. The spare
# time is the latency objective less the run time of a long call. A short
# queue keeps the slots as busy as a long one.
_MAX_QUEUE_SHARE = 0.5
# Share of the latency objective that a request may always wait, even if
# the target is too slow to meet the objective.
_MIN_WAIT_SHARE = 0.15
# Cap on the share of slots attributed to higher-priority requests, so
# that the expected wait of the others stays finite.
_MAX_HIGHER_PRIORITY_SHARE = 0.9
# For each rank, one request per this many slots is queued even if its
# expected wait is too long.
_SLOTS_PER_QUEUED = 3


class Verdict(enum.Enum):
    """Outcome of a request for a slot."""

    START = "start"
    WAIT = "wait"
    REFUSE = "refuse"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Decision:
    """Verdict on a request for a slot, with its details.

    Attributes:
        refusal: Reason of a refusal; empty otherwise.
        retry_after_ms: Delay after which a refused request should be
            retried; 0 if none is suggested.
        wait_ms: Maximum time in the queue, if the verdict is to wait.
        evicted: Ids of queued requests that the caller must refuse: this
            one has a higher priority, and behind it they would wait too
            long or exceed the limit of the queue.
    """

    verdict: Verdict
    refusal: str = ""
    retry_after_ms: int = 0
    wait_ms: int = 0
    evicted: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _Running:
    at_ms: int
    route: str
    # Result of `ConcurrencyLimit.on_start`.
    mark: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _Queued:
    call_id: str
    route: str
    exclusive: bool
    rank: int
    latest_start_ms: int


class Admission:
    """Slots of a target and the priority queue in front of them.

    Not thread-safe. Times are milliseconds on one monotonic clock.

    Attributes:
        table: Call table that admits each call id at most once.
        limit: Limits of the rate of requests to the target.
        concurrency: Limit of the requests that the target runs well at
            the same time; None if only its slots count.
        draining: Whether new requests are refused.
        pending_bodies: Number of requests whose bodies have not arrived
            completely.

    Args:
        table: Call table that admits each call id at most once.
        slots: Number of requests that the target runs concurrently.
        queue: Maximum number of queued requests.
        queue_ms: Maximum time in the queue in milliseconds.
        concurrency: Limit beside the slots; None for none.
    """

    def __init__(
        self,
        table: revocation.CallTable,
        slots: int,
        queue: int,
        queue_ms: int,
        concurrency: concurrency_limit.ConcurrencyLimit | None = None,
    ) -> None:
        self.table = table
        self.concurrency = concurrency
        self._announced_slots = slots
        self.limit = target_limit.TargetLimit()
        self.draining = False
        self.pending_bodies = 0
        self._queue_limit = queue
        self._queue_ms = queue_ms
        self._running_by_id: dict[str, _Running] = {}
        self._exclusive_id = ""
        self._queue: list[_Queued] = []
        self._run_times = run_times.RunTimes()
        # Without failed and cancelled runs, which are often short.
        self._answer_times = run_times.RunTimes()
        self._demand = demand.Demand()

    @property
    def slots(self) -> int:
        """Number of requests that may run at the target concurrently.

        It is the lesser of the slots that were set and the concurrency
        limit.
        """
        if self.concurrency is None:
            return self._announced_slots
        return min(self._announced_slots, self.concurrency.current)

    @slots.setter
    def slots(self, slots: int) -> None:
        if self.concurrency is not None and slots != self._announced_slots:
            self.concurrency.reset(slots)
        self._announced_slots = slots

    @property
    def in_flight(self) -> int:
        """Number of requests at the target."""
        return len(self._running_by_id)

    @property
    def queued(self) -> int:
        """Number of requests in the queue."""
        return len(self._queue)

    @property
    def load(self) -> int:
        """Number of requests that run, are queued or await their body."""
        return (
            len(self._running_by_id) + len(self._queue) + self.pending_bodies
        )

    @property
    def running_ids(self) -> tuple[str, ...]:
        """Ids of the requests at the target."""
        return tuple(self._running_by_id)

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
        """Start, queue or refuse a request.

        Args:
            attempt_id: Identity of the attempt.
            now_ms: Current time.
            deadline_ms: Time left to the caller's deadline.
            exclusive: Whether no other request may run at the target
                at the same time.
            rank: Priority; requests of a lower rank start first.
            route: Route of the request; run times are estimated per
                route.
            aim_ms: Time left to the latency objective; 0 if there is
                none. The wait is limited so that the objective can still
                be met after it: under lasting overload every request
                would miss it otherwise.

        Returns:
            The verdict on the request.
        """
        if self.table.get(attempt_id.call_id) is not None:
            return _refuse(self.table.admit(attempt_id, now_ms))
        if self.draining:
            return self.refuse(attempt_id, DRAINING, now_ms)
        if now_ms - attempt_id.sent_ms > deadline_ms:
            return self.refuse(attempt_id, LATE, now_ms)
        if not self.limit.has_room(rank, len(self._queue), now_ms):
            wait_ms = self.limit.record_refused(rank, len(self._queue), now_ms)
            return self.refuse(attempt_id, OVER_LIMIT, now_ms, wait_ms)
        index = self._queue_index(rank)
        must_wait = self._must_wait(exclusive)
        max_wait_ms = self._max_wait_ms(route, deadline_ms, aim_ms)
        if must_wait and self._should_refuse(rank, max_wait_ms, now_ms):
            retry_after_ms = self.retry_after_ms(rank, now_ms)
            return self.refuse(attempt_id, OVERLOAD, now_ms, retry_after_ms)
        refusal = self.table.admit(attempt_id, now_ms)
        if refusal:
            return _refuse(refusal)
        if must_wait:
            queued_request = _Queued(
                call_id=attempt_id.call_id,
                route=route,
                exclusive=exclusive,
                rank=rank,
                latest_start_ms=now_ms + max_wait_ms,
            )
            self._queue.insert(index, queued_request)
            return Decision(
                verdict=Verdict.WAIT,
                wait_ms=max_wait_ms,
                evicted=self._evict(index + 1, now_ms),
            )
        self._start(attempt_id.call_id, route, exclusive, rank, now_ms)
        return Decision(verdict=Verdict.START)

    def would_refuse(
        self, rank: int, route: str, deadline_ms: int, aim_ms: int, now_ms: int
    ) -> str:
        """Return the reason why a request would be refused now.

        The arguments are those of `request_slot`. The result is empty if
        the request would start or be queued.
        """
        if self.draining:
            return DRAINING
        if not self.limit.has_room(rank, len(self._queue), now_ms):
            return OVER_LIMIT
        max_wait_ms = self._max_wait_ms(route, deadline_ms, aim_ms)
        must_wait = self._must_wait(exclusive=False)
        if must_wait and self._should_refuse(rank, max_wait_ms, now_ms):
            return OVERLOAD
        return ""

    def retry_after_ms(self, rank: int, now_ms: int) -> int:
        """Return the expected time until a request of ``rank`` can start.

        The result is at least 10 ms.
        """
        wait_ms = self._expected_wait_ms(self._queue, rank, now_ms)
        return max(_MIN_RETRY_AFTER_MS, wait_ms)

    def refuse(
        self,
        attempt_id: revocation.AttemptId,
        reason: str,
        now_ms: int,
        retry_after_ms: int = 0,
    ) -> Decision:
        """Refuse a request, and any later one with the same id.

        If the id is known already, the call table's reason is returned
        instead of ``reason``.
        """
        if self.table.get(attempt_id.call_id) is not None:
            return _refuse(self.table.admit(attempt_id, now_ms))
        self.table.refuse(attempt_id, now_ms)
        return _refuse(reason, retry_after_ms)

    def cancel_queued(self, call_id: str, now_ms: int) -> bool:
        """Remove a request from the queue; false if it has started.

        The call table keeps a tombstone, so the request never starts.
        """
        if call_id in self._running_by_id:
            return False
        self._queue = [item for item in self._queue if item.call_id != call_id]
        self.table.withdraw(call_id, now_ms)
        return True

    def remove_excess(self, now_ms: int) -> tuple[str, ...]:
        """Remove the queued requests that exceed the target's limit.

        Those that would start last are removed. Their ids are returned;
        the caller must refuse them.
        """
        excess = self.limit.count_excess(len(self._queue), now_ms)
        if not excess:
            return ()
        kept = len(self._queue) - excess
        removed = tuple(item.call_id for item in self._queue[kept:])
        self._queue = self._queue[:kept]
        for call_id in removed:
            self.table.withdraw(call_id, now_ms)
        return removed

    def release_slot(
        self,
        call_id: str,
        now_ms: int,
        ran: bool = True,
        slowness: float | None = None,
    ) -> tuple[str, ...]:
        """Free the slot of a request; return the ids that start now.

        Args:
            call_id: Id of the request.
            now_ms: Current time.
            ran: Whether its run time tells how fast the target is.
            slowness: As in `ConcurrencyLimit.on_end`.
        """
        started = self._running_by_id.pop(call_id)
        if self._exclusive_id == call_id:
            self._exclusive_id = ""
        run_ms = now_ms - started.at_ms
        self._run_times.record(started.route, run_ms)
        if ran:
            self._answer_times.record(started.route, run_ms)
        if self.concurrency is not None:
            self.concurrency.on_end(
                started.mark,
                len(self._running_by_id),
                now_ms,
                started.route,
                run_ms if ran else None,
                slowness,
            )
        return self.promote(now_ms)

    def expected_run_ms(self, route: str) -> int:
        """Return the recent mean of the run times of answers on a route."""
        return self._answer_times.expected_ms(route)

    def begin_concurrency_limit(self) -> None:
        """Find out from now on how many requests the target runs well."""
        if self.concurrency is None:
            self.concurrency = concurrency_limit.ConcurrencyLimit(
                self._announced_slots
            )

    def forget_target(self) -> None:
        """Discard what was measured at the previous target."""
        self._answer_times = run_times.RunTimes()
        if self.concurrency is not None:
            self.concurrency.reset(self._announced_slots)

    def promote(self, now_ms: int) -> tuple[str, ...]:
        """Start queued requests while slots are free; return their ids."""
        started = []
        while self._queue and self._has_room(self._queue[0].exclusive):
            item = self._queue.pop(0)
            if self._start(
                item.call_id, item.route, item.exclusive, item.rank, now_ms
            ):
                started.append(item.call_id)
        return tuple(started)

    def _max_wait_ms(self, route: str, deadline_ms: int, aim_ms: int) -> int:
        """Return the maximum time in milliseconds a request may queue."""
        run_ms = self._run_times.expected_ms(route)
        max_wait_ms = min(self._queue_ms, deadline_ms - run_ms)
        if not aim_ms:
            return max_wait_ms
        spare_ms = aim_ms - _LONG_CALL_FACTOR * run_ms
        objective_wait_ms = max(
            spare_ms * _MAX_QUEUE_SHARE, aim_ms * _MIN_WAIT_SHARE
        )
        return min(max_wait_ms, int(objective_wait_ms))

    def _should_refuse(self, rank: int, max_wait_ms: int, now_ms: int) -> bool:
        """Return whether a request that cannot start is refused at once.

        That is the case if the queue is full, or if the expected wait is
        longer than ``max_wait_ms`` and the queue is long enough to keep
        the slots busy without this request.
        """
        index = self._queue_index(rank)
        if len(self._queue) >= self._queue_limit and index == len(self._queue):
            return True
        ahead = self._queue[:index]
        if self._expected_wait_ms(ahead, rank, now_ms) <= max_wait_ms:
            return False
        return max_wait_ms <= 0 or not self._always_queues(ahead, rank)

    def _must_wait(self, exclusive: bool) -> bool:
        return bool(self._queue) or not self._has_room(exclusive)

    def _has_room(self, exclusive: bool) -> bool:
        if self._exclusive_id:
            return False
        if exclusive:
            return not self._running_by_id
        return len(self._running_by_id) < self.slots

    def _start(
        self, call_id: str, route: str, exclusive: bool, rank: int, now_ms: int
    ) -> bool:
        if not self.table.start(call_id, now_ms):
            return False
        self.limit.record_sent(now_ms)
        self._demand.record_started(
            rank, self._run_times.expected_ms(route), now_ms
        )
        mark = 0
        if self.concurrency is not None:
            in_flight = len(self._running_by_id) + 1
            mark = self.concurrency.on_start(in_flight, now_ms)
        self._running_by_id[call_id] = _Running(
            at_ms=now_ms, route=route, mark=mark
        )
        if exclusive:
            self._exclusive_id = call_id
        return True

    def _queue_index(self, rank: int) -> int:
        """Return the index in the queue for a new request of ``rank``."""
        index = len(self._queue)
        while index and self._queue[index - 1].rank > rank:
            index -= 1
        return index

    def _evict(self, first: int, now_ms: int) -> tuple[str, ...]:
        """Evict requests that would wait too long or exceed the limit.

        Args:
            first: Index of the first request that may be evicted.
            now_ms: Current time.

        Returns:
            Ids of the evicted requests.
        """
        if first == len(self._queue):
            return ()
        kept = self._queue[:first]
        evicted = []
        for item in self._queue[first:]:
            is_full = len(kept) >= self._queue_limit
            is_late = now_ms + self._min_wait_ms(kept) > item.latest_start_ms
            if is_full or is_late:
                self.table.withdraw(item.call_id, now_ms)
                evicted.append(item.call_id)
            else:
                kept.append(item)
        self._queue = kept
        return tuple(evicted)

    def _always_queues(self, ahead: list[_Queued], rank: int) -> bool:
        """Return whether a request is queued whatever its expected wait.

        The expected wait is an estimate. A short queue of each rank
        prevents slots from running idle if the higher-priority requests
        end earlier than estimated.
        """
        queued = sum(item.rank >= rank for item in ahead)
        return queued < max(1, self.slots // _SLOTS_PER_QUEUED)

    def _expected_wait_ms(
        self, ahead: list[_Queued], rank: int, now_ms: int
    ) -> int:
        """Return the expected wait behind the requests in ``ahead``.

        Higher-priority requests that arrive during the wait take a share
        of the slots that become free; it is estimated from the recent
        past.
        """
        higher_share = self._demand.higher_priority_share(
            rank, self.slots, now_ms
        )
        min_wait_ms = self._min_wait_ms(ahead)
        return int(
            min_wait_ms / (1.0 - min(_MAX_HIGHER_PRIORITY_SHARE, higher_share))
        )

    def _min_wait_ms(self, ahead: list[_Queued]) -> float:
        """Return the wait behind ``ahead`` if no request overtakes."""
        running = self._running_by_id.values()
        running_ms = sum(
            self._run_times.expected_ms(item.route) for item in running
        )
        ahead_ms = sum(
            self._run_times.expected_ms(item.route) for item in ahead
        )
        work_ms = running_ms / max(1, len(running)) + ahead_ms
        return work_ms / max(1, self.slots)


def refusal(
    call: messages.CallRequest, reason: str, retry_after_ms: int = 0
) -> messages.CallAnswer:
    """Return the answer to a call that was certainly not executed."""
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
        EVACUATED,
        OVER_LIMIT,
        NO_HEAD_ROOM,
        revocation.WRONG_INCARNATION,
        revocation.TOO_OLD,
    }
)
"""Reasons after which another attempt may succeed."""

STALE_CLOCK_REFUSALS: abc.Set[str] = frozenset(
    {LATE, revocation.WRONG_INCARNATION, revocation.TOO_OLD}
)
"""Reasons that may stem from an outdated bound of the inbound's clock.

With a fresh reading of that clock the call may be accepted.
"""
