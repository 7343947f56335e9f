"""Shares the time of an event loop among connections."""

import asyncio
from collections import abc
import heapq
import itertools
import time

from arbutusstall._shell import failures

# Time that the work of connections takes before other events are handled.
_TURN_S = 0.002
# Shortest time that one step counts for; very short ones are not measured
# exactly.
_MIN_STEP_S = 0.000_02


class Flow:
    """The work of one connection.

    Args:
        step: Does a small part of the work; returns whether more is left.
        on_failed: Called once if ``step`` raises an exception.

    Attributes:
        finish_s: Virtual time at which the last step ended.
        is_waiting: Whether a step is queued.
        is_running: Whether a step runs now.
        is_closed: Whether no further step is done.
    """

    __slots__ = (
        "_queue",
        "finish_s",
        "is_closed",
        "is_running",
        "is_waiting",
        "on_failed",
        "step",
    )

    def __init__(
        self,
        queue: "FairQueue",
        step: abc.Callable[[], bool],
        on_failed: abc.Callable[[], None],
    ) -> None:
        self.step = step
        self.on_failed = on_failed
        self.finish_s = 0.0
        self.is_waiting = False
        self.is_running = False
        self.is_closed = False
        self._queue = queue

    def wake(self) -> None:
        """Do a step now if nothing else waits, otherwise in its turn."""
        self._queue.wake(self)

    def wake_soon(self) -> None:
        """Do a step in a later turn of the loop.

        A step that runs now says by its result whether another follows.
        """
        self._queue.push(self)

    def close(self) -> None:
        """Do no further step; a queued one is removed."""
        self._queue.remove(self)


class FairQueue:
    """Runs steps of flows by start-time fair queueing.

    The flow that has used the least time goes first, so that a connection
    with much work delays the others by one step at most. Not thread-safe.

    Args:
        clock: Returns the time in seconds that steps are measured by.
        call_soon: Schedules a callback; by default on the running loop.
    """

    def __init__(
        self,
        clock: abc.Callable[[], float] = time.perf_counter,
        call_soon: abc.Callable[[abc.Callable[[], None]], object]
        | None = None,
    ) -> None:
        self._clock = clock
        self._call_soon = call_soon
        self._heap: list[tuple[float, int, Flow]] = []
        self._numbers = itertools.count()
        self._virtual_s = 0.0
        self._turn_began_s = 0.0
        self._used_s = 0.0
        self._is_running = False
        self._is_scheduled = False
        # Closed flows that are still in the heap.
        self._closed_count = 0

    def __len__(self) -> int:
        return len(self._heap)

    def wake(self, flow: Flow) -> None:
        """Do a step of a flow now, or queue it; see `Flow.wake`."""
        if flow.is_waiting or flow.is_closed:
            return
        if self._heap or self._is_running or not self._has_time():
            self.push(flow)
            return
        self._run(flow)

    def push(self, flow: Flow) -> None:
        """Queue a step of a flow, unless one is queued or runs."""
        if flow.is_waiting or flow.is_running or flow.is_closed:
            return
        flow.is_waiting = True
        start_s = max(self._virtual_s, flow.finish_s)
        heapq.heappush(self._heap, (start_s, next(self._numbers), flow))
        self._schedule()

    def remove(self, flow: Flow) -> None:
        """Remove a flow for good; see `Flow.close`.

        It leaves the heap once half of that are closed flows, since those
        with much work behind them would stay there for long.
        """
        flow.is_closed = True
        # Both refer to the connection, which is freed at once without them.
        flow.step = _no_step
        flow.on_failed = _do_nothing
        if not flow.is_waiting:
            return
        self._closed_count += 1
        if 2 * self._closed_count > len(self._heap):
            self._heap = [item for item in self._heap if not item[2].is_closed]
            heapq.heapify(self._heap)
            self._closed_count = 0

    def _has_time(self) -> bool:
        """Return whether steps took little of the recent time."""
        now_s = self._clock()
        if now_s - self._turn_began_s > 2 * _TURN_S:
            self._turn_began_s = now_s
            self._used_s = 0.0
        return self._used_s < _TURN_S

    def _schedule(self) -> None:
        if self._is_scheduled:
            return
        self._is_scheduled = True
        call_soon = self._call_soon or asyncio.get_running_loop().call_soon
        call_soon(self._turn)

    def _turn(self) -> None:
        self._is_scheduled = False
        self._turn_began_s = self._clock()
        self._used_s = 0.0
        while self._heap and self._used_s < _TURN_S:
            start_s, _, flow = heapq.heappop(self._heap)
            flow.is_waiting = False
            if flow.is_closed:
                self._closed_count -= 1
                continue
            self._virtual_s = max(self._virtual_s, start_s)
            self._run(flow)
        if self._heap:
            self._schedule()

    def _run(self, flow: Flow) -> None:
        began_s = self._clock()
        self._is_running = flow.is_running = True
        try:
            more = flow.step()
        except Exception as exc:  # noqa: BLE001
            failures.log("connection", exc)
            more = False
            flow.on_failed()
        finally:
            self._is_running = flow.is_running = False
        taken_s = max(_MIN_STEP_S, self._clock() - began_s)
        self._used_s += taken_s
        flow.finish_s = max(self._virtual_s, flow.finish_s) + taken_s
        if more:
            self.push(flow)


def _no_step() -> bool:
    return False


def _do_nothing() -> None:
    pass
