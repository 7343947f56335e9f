"""Calls to the roster that neither block the event loop nor wait long."""

import asyncio
from collections import abc
from concurrent import futures
import logging
from typing import TypeVar

from arbutusstall import errors
from arbutusstall._log import roster
from arbutusstall._shell import events
from arbutusstall._shell import failures

# A target waits one second for the answer to its heartbeat, and a departure is
# saved before that answer.
_SAVE_TIMEOUT_S = 0.5
_LOAD_TIMEOUT_S = 1.5

T = TypeVar("T")


class RosterClient:
    """Runs the blocking calls of a roster in one thread, in their order."""

    def __init__(self, stored: roster.Roster, log: events.EventLog) -> None:
        self._stored = stored
        self._log = log
        self._executor = futures.ThreadPoolExecutor(max_workers=1)

    async def load(self) -> tuple[roster.RosterEntry, ...] | None:
        """Return the entries of all nodes; None if there is no answer."""
        return await self._call(
            self._stored.load, _LOAD_TIMEOUT_S, "roster-not-read"
        )

    async def save(self, entry: roster.RosterEntry) -> bool:
        """Save an entry; false if that is not confirmed in time."""

        def save() -> bool:
            self._stored.save(entry)
            return True

        saved = await self._call(save, _SAVE_TIMEOUT_S, "roster-not-saved")
        return saved or False

    async def update(self, change: roster.Change) -> bool:
        """Update the roster; false if that is not confirmed in time."""

        def update() -> bool:
            self._stored.update(change)
            return True

        done = await self._call(
            update, _LOAD_TIMEOUT_S, "absence-not-recorded"
        )
        return done or False

    async def _call(
        self, call: abc.Callable[[], T], timeout_s: float, failed_event: str
    ) -> T | None:
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(timeout_s):
                return await loop.run_in_executor(self._executor, call)
        except (errors.LogUnavailable, TimeoutError) as exc:
            reason = str(exc) or "no answer in time"
            self._log.emit(failed_event, {"reason": reason}, logging.WARNING)
        except Exception as exc:
            failures.log(failed_event, exc)
        return None
