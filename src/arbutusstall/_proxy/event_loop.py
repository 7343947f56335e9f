"""The event loop of a node."""

import asyncio
import functools
import time


class SteadyEventLoop(asyncio.SelectorEventLoop):
    """An event loop whose clock includes suspension of the machine.

    Timers that expired during a suspension run at once after it. See
    `_clock.steady_s` for the clock.
    """

    def __init__(self) -> None:
        super().__init__()
        # The loop reads the time for each timer and event. A partial avoids
        # the Python frame that a method would need.
        self.time = functools.partial(  # type: ignore[method-assign]
            time.clock_gettime, time.CLOCK_BOOTTIME
        )
