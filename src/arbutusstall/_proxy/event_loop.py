"""The event loop of a node."""

import asyncio
import functools
import time


class SteadyEventLoop(asyncio.SelectorEventLoop):
    """An event loop whose time also passes while the machine sleeps.

    Timers that fell due meanwhile are called at once on waking. See
    `_clock.steady_s` for the clock.
    """

    def __init__(self) -> None:
        super().__init__()
        # Called for each timer and event: no frame of its own is spent.
        self.time = functools.partial(  # type: ignore[method-assign]
            time.clock_gettime, time.CLOCK_BOOTTIME
        )
