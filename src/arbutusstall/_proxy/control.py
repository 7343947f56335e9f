"""Runs a node's decision logic on the event loop."""

import asyncio
import collections
from collections import abc
from typing import Any

from arbutusstall import _clock
from arbutusstall import _core
from arbutusstall import _effects
from arbutusstall._proxy import background
from arbutusstall._shell import failures

Executor = abc.Callable[[Any], None]


class ControlLoop:
    """Passes events and ticks to a core and executes its effects.

    Args:
        tick_s: Time between two ticks.
    """

    def __init__(
        self, core: _core.NodeCore, clock: _clock.Clock, tick_s: float
    ) -> None:
        self._core = core
        self._clock = clock
        self._loop = asyncio.get_running_loop()
        self._events: collections.deque[_effects.Event] = collections.deque()
        self._executors: dict[type[Any], Executor] = {}
        self._ticks = background.Periodic("tick", tick_s, self._tick)
        self._handle_scheduled = False
        self._stopped = False

    def on(self, kind: type[Any], executor: Executor) -> None:
        """Register the executor of the effects of type ``kind``.

        Effects without an executor are ignored.
        """
        self._executors[kind] = executor

    def put(self, event: _effects.Event) -> None:
        """Queue an event; may only be called on the loop's thread."""
        self._events.append(event)
        if not self._handle_scheduled:
            self._handle_scheduled = True
            self._loop.call_soon(self._handle)

    def put_from_thread(self, event: _effects.Event) -> None:
        """Queue an event; thread-safe."""
        if not self._loop.is_closed():
            self._loop.call_soon_threadsafe(self.put, event)

    def start(self) -> None:
        """Start the core and its ticks."""
        self._carry_out(self._core.start(self._clock.now()))
        self._ticks.start()

    def stop(self) -> None:
        """Handle no further events and ticks."""
        self._stopped = True
        self._ticks.stop()

    def _handle(self) -> None:
        self._handle_scheduled = False
        while self._events and not self._stopped:
            event = self._events.popleft()
            with failures.Logged(type(event).__name__):
                self._carry_out(self._core.handle(event, self._clock.now()))

    def _tick(self) -> None:
        # Queued events are handled first: after a pause of the process, the
        # tick would otherwise time out peers whose messages are queued.
        self._handle()
        if self._stopped:
            return
        now = self._clock.now()
        self._carry_out(self._core.tick(now, failures.Logged))

    def _carry_out(self, effects: abc.Iterable[_effects.Effect]) -> None:
        for effect in effects:
            executor = self._executors.get(type(effect))
            if executor is not None:
                with failures.Logged(type(effect).__name__):
                    executor(effect)
