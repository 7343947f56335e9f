"""An event loop in a thread, for servers of a program with threads."""

import asyncio
from collections import abc
import logging
import threading
from typing import TypeVar

from arbutusstall._proxy import event_loop

LOG = logging.getLogger(__name__)

_STOP_TIMEOUT_S = 1.0

_Result = TypeVar("_Result")


class LoopThread:
    """Runs an event loop until it is stopped; thread-safe."""

    def __init__(self) -> None:
        self.loop = event_loop.SteadyEventLoop()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def run(self, work: abc.Coroutine[None, None, _Result]) -> _Result:
        """Run a coroutine on the loop and return its result."""
        return asyncio.run_coroutine_threadsafe(work, self.loop).result()

    def call(self, function: abc.Callable[..., object], *args: object) -> None:
        """Call a function on the loop, after those called before it.

        Once the loop is stopped the call is dropped.
        """
        try:
            self.loop.call_soon_threadsafe(function, *args)
        except RuntimeError as exc:
            LOG.debug({"event": "call-dropped", "reason": str(exc)})

    def stop(self) -> None:
        """Stop the loop after what was called before."""
        self.call(self.loop.stop)
        self._thread.join(timeout=_STOP_TIMEOUT_S)

    def _run(self) -> None:
        asyncio.set_event_loop(self.loop)
        self.loop.run_forever()
        self.loop.close()
