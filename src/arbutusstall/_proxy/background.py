"""Periodic callbacks and tasks on the event loop whose failures are logged."""

import asyncio
from collections import abc

from arbutusstall._shell import failures


class Periodic:
    """Calls an action at an interval until it is stopped.

    An exception in the action is logged, and the next call follows.

    Args:
        name: Names the action in log lines.
        interval_s: Time from the end of one call to the next, in seconds.
    """

    def __init__(
        self, name: str, interval_s: float, action: abc.Callable[[], None]
    ) -> None:
        self._name = name
        self._interval_s = interval_s
        self._action = action
        self._loop = asyncio.get_running_loop()
        self._timer: asyncio.TimerHandle | None = None
        self._stopped = False

    def start(self) -> None:
        """Call the action now and then at each interval."""
        with failures.Logged(self._name):
            self._action()
        self.start_later()

    def start_later(self) -> None:
        """Call the action for the first time after one interval."""
        if not self._stopped:
            self._timer = self._loop.call_later(self._interval_s, self.start)

    def stop(self) -> None:
        """Make no further call."""
        self._stopped = True
        if self._timer is not None:
            self._timer.cancel()


class Tasks:
    """Tasks that run in the background; exceptions in them are logged."""

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[None]] = set()

    def __len__(self) -> int:
        return len(self._tasks)

    def spawn(
        self, work: abc.Coroutine[None, None, None]
    ) -> asyncio.Task[None]:
        """Start a task."""
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._on_done)
        return task

    def _on_done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if task.cancelled():
            return
        exc = task.exception()
        if exc is not None:
            coroutine = task.get_coro()
            failures.log(getattr(coroutine, "__qualname__", "task"), exc)
