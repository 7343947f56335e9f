"""Confirms that the local target serves, after a restart of the node."""

import asyncio
from collections import abc
from concurrent import futures
import dataclasses

from arbutusstall import _effects
from arbutusstall._proxy import background
from arbutusstall._proxy import target_health
from arbutusstall._shell import events
from arbutusstall._systems import announcements
from arbutusstall._systems import confirmation

# After a power loss, the target starts at about the time of its node. A check
# is one request on this machine; 0.6 s later, heartbeats follow anyway.
_RETRY_INTERVAL_S = 0.1
_MAX_RETRIES = 6

ConfirmedCallback = abc.Callable[[_effects.Announced], None]


class TargetConfirmer:
    """Asks a target for its health while nothing else confirms it.

    Args:
        health: Asks the target; called in a thread.
        confirmations: What is known of the target so far.
    """

    def __init__(
        self,
        health: target_health.HealthCheck,
        confirmations: confirmation.Confirmations,
        log: events.EventLog,
    ) -> None:
        self._health = health
        self._confirmations = confirmations
        self._log = log
        self._executor = futures.ThreadPoolExecutor(max_workers=1)
        self._tasks = background.Tasks()
        self._task: asyncio.Task[None] | None = None
        self._checked_start = ""

    def record(self, heartbeat: announcements.Announcement) -> bool:
        """Record a heartbeat; return whether its target is confirmed."""
        is_confirmed = self._confirmations.record(heartbeat)
        if is_confirmed:
            self.stop()
        return is_confirmed

    def check(
        self,
        target: _effects.Announced,
        on_serving: ConfirmedCallback,
        on_not_serving: ConfirmedCallback,
    ) -> None:
        """Ask a target a few times; at most one check runs at a time.

        One of the callbacks is called, with the target and the coldness
        that its health check tells, unless a heartbeat confirms the
        target before, or another start is checked. A target whose health
        remains unknown counts as not serving.
        """
        is_running = self._task is not None and not self._task.done()
        if is_running and self._checked_start == target.start:
            return
        self.stop()
        self._checked_start = target.start
        self._task = self._tasks.spawn(
            self._check(target, on_serving, on_not_serving)
        )

    def stop(self) -> None:
        """End a running check without a callback."""
        if self._task is not None:
            self._task.cancel()

    async def _check(
        self,
        target: _effects.Announced,
        on_serving: ConfirmedCallback,
        on_not_serving: ConfirmedCallback,
    ) -> None:
        answer = await self._ask(target)
        for _ in range(_MAX_RETRIES):
            if answer.health is not target_health.TargetHealth.UNKNOWN:
                break
            await asyncio.sleep(_RETRY_INTERVAL_S)
            answer = await self._ask(target)
        state = answer.health
        self._log.emit(
            "target-checked", {"target": target.instance, "is": state.value}
        )
        if state is target_health.TargetHealth.SERVING:
            self._confirmations.confirm(target.start)
            on_serving(dataclasses.replace(target, cold_s=answer.cold_s))
        else:
            on_not_serving(target)

    async def _ask(
        self, target: _effects.Announced
    ) -> target_health.HealthAnswer:
        return await asyncio.get_running_loop().run_in_executor(
            self._executor, self._health.check, target
        )
