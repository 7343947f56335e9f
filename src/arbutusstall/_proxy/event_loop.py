"""The event loop of a node."""

import asyncio

from arbutusstall import _clock


class SteadyEventLoop(asyncio.SelectorEventLoop):
    """An event loop whose time also passes while the machine sleeps.

    Timers that fell due meanwhile are called at once on waking.
    """

    def time(self) -> float:
        """Return the loop's time in seconds."""
        return _clock.steady_s()
