"""The thread that drives a node's decision logic."""

from collections import abc
import queue
import threading
from typing import Any

from arbutusstall import _clock
from arbutusstall import _core
from arbutusstall import _effects
from arbutusstall._shell import failures

Executor = abc.Callable[[Any], None]


class ControlLoop:
    """Passes events and ticks to a core and executes its effects.

    Core and executors run on the loop's own thread.

    Args:
        tick_s: Time between two ticks.
    """

    def __init__(
        self, core: _core.NodeCore, clock: _clock.Clock, tick_s: float
    ) -> None:
        self._core = core
        self._clock = clock
        self._tick_s = tick_s
        self._events: queue.SimpleQueue[_effects.Event] = queue.SimpleQueue()
        self._executors: dict[type[Any], Executor] = {}
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def on(self, kind: type[Any], executor: Executor) -> None:
        """Register the executor of the effects of type ``kind``.

        Effects without an executor are ignored.
        """
        self._executors[kind] = executor

    def put(self, event: _effects.Event) -> None:
        """Queue an event; thread-safe."""
        self._events.put(event)

    def start(self) -> None:
        """Start the thread, which starts the core."""
        self._thread.start()

    def stop(self) -> None:
        """Stop the thread after the event that it is handling."""
        self._stopped.set()
        self._thread.join(timeout=5.0)

    def _run(self) -> None:
        self._carry_out(self._core.start(self._clock.now()))
        next_tick_s = self._clock.now().mono_s
        while not self._stopped.is_set():
            self._handle_until(next_tick_s)
            now = self._clock.now()
            if now.mono_s >= next_tick_s:
                with failures.Logged("tick"):
                    self._carry_out(self._core.tick(now, failures.Logged))
                next_tick_s = now.mono_s + self._tick_s

    def _handle_until(self, end_s: float) -> None:
        while not self._stopped.is_set():
            left_s = end_s - self._clock.now().mono_s
            if left_s <= 0:
                return
            try:
                event = self._events.get(timeout=left_s)
            except queue.Empty:
                return
            with failures.Logged(type(event).__name__):
                self._carry_out(self._core.handle(event, self._clock.now()))

    def _carry_out(self, effects: abc.Iterable[_effects.Effect]) -> None:
        for effect in effects:
            executor = self._executors.get(type(effect))
            if executor is not None:
                with failures.Logged(type(effect).__name__):
                    executor(effect)
