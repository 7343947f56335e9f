"""The target beside a node: heartbeats, departure and roster entry."""

import asyncio
from collections import abc
import dataclasses
import functools
import time

from arbutusstall import _effects
from arbutusstall import _settings
from arbutusstall._log import roster
from arbutusstall._proxy import control
from arbutusstall._proxy import inbound
from arbutusstall._proxy import roster_client
from arbutusstall._shell import events
from arbutusstall._systems import announcements
from arbutusstall._tables import members
from arbutusstall._tables import node

_CHECK_INTERVAL_S = 0.5
_ROSTER_START_TIMEOUT_S = 0.4
_ROSTER_RETRY_INTERVAL_S = 1.0


class LocalTarget:
    """Tells the node's parts of its target, and stores that in the roster.

    Args:
        tables: The node's tables, with its own member row.
        silent_s: Time without a heartbeat after which the target is
            considered dead.
    """

    def __init__(
        self,
        settings: _settings.NodeSettings,
        tables: node.Tables,
        proxy: inbound.Inbound,
        loop: control.ControlLoop,
        client: roster_client.RosterClient,
        log: events.EventLog,
        silent_s: float,
    ) -> None:
        self._settings = settings
        self._tables = tables
        self._proxy = proxy
        self._control = loop
        self._roster = client
        self._log = log
        self._loop = asyncio.get_running_loop()
        self._announcements = announcements.Announcements(silent_s)
        self._roster_load_tried = asyncio.Event()
        self._saved_entry: roster.RosterEntry | None = None
        self._target: _effects.Announced | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._stopping = False
        proxy.on_leaving = self._on_leaving
        loop.on(_effects.RecordAbsence, self._record_absence)
        loop.on(_effects.TargetDeparted, self._on_earlier_departure)

    async def start(self) -> None:
        """Load the roster; wait for it for a short time only.

        Without it, other nodes would see this one without a target.
        """
        self._spawn(self._load_roster())
        try:
            async with asyncio.timeout(_ROSTER_START_TIMEOUT_S):
                await self._roster_load_tried.wait()
        except TimeoutError:
            self._log.emit("roster-late")

    def watch(self) -> None:
        """Check periodically whether the target is silent."""
        if self._announcements.detect_silence(self._loop.time()):
            self._drain("-", "silent")
        if not self._stopping:
            self._loop.call_later(_CHECK_INTERVAL_S, self.watch)

    def stop(self) -> None:
        """Accept no target any more."""
        self._stopping = True

    async def announce(self, announcement: announcements.Announcement) -> None:
        """Process a heartbeat of the target.

        Waits for the first attempt to load the roster, since a departure
        in it may make the heartbeat outdated.
        """
        await self._roster_load_tried.wait()
        kind = self._announcements.process(announcement, self._loop.time())
        if kind is announcements.AnnouncementKind.LEAVING:
            departure = announcements.Departure(
                instance=announcement.instance, born_ms=announcement.born_ms
            )
            await self._record_departure(departure, "draining")
        elif (
            kind is announcements.AnnouncementKind.SERVING
            and not self._stopping
        ):
            self._set_target(announcement)
            entry = self._roster_entry(
                announcement.instance, announcement.born_ms
            )
            if entry != self._saved_entry:
                self._saved_entry = entry
                self._spawn(self._save_with_retries(entry))

    async def leave(self, instance: str) -> None:
        """Process the notice that the target stops."""
        departure = self._announcements.leave(instance, _wall_ms())
        await self._record_departure(departure, "left")

    def _on_leaving(self, instance: str) -> None:
        """Record a departure that the target has told in an answer only."""
        departure = self._announcements.leave(instance, _wall_ms())
        self._spawn(self._record_departure(departure, "told in an answer"))

    def _set_target(self, announcement: announcements.Announcement) -> None:
        target = _effects.Announced(
            service=announcement.service,
            version=announcement.version,
            address=announcement.address,
            slots=announcement.slots,
            instance=announcement.instance,
            cold_s=announcement.cold_s,
            born_ms=announcement.born_ms,
        )
        self._target = target
        self._proxy.set_target(target)
        self._control.put(target)

    async def _record_departure(
        self, departure: announcements.Departure, reason: str
    ) -> None:
        """Drain the target, and save its departure in the roster.

        The entry outlives this process. If the first attempt to save it
        fails, further ones follow in the background.
        """
        target = self._proxy.target
        if target is not None and target.instance == departure.instance:
            start = members.target_start(departure.instance, departure.born_ms)
            self._drain(departure.instance, reason, start)
        entry = dataclasses.replace(
            self._roster_entry(departure.instance, departure.born_ms),
            departed=True,
        )
        if entry != self._saved_entry:
            self._saved_entry = entry
            if not await self._roster.save(entry):
                self._spawn(self._save_with_retries(entry))

    def _drain(self, instance: str, reason: str, departed: str = "") -> None:
        if not self._proxy.admission.draining:
            self._log.emit(
                "target-leaving", {"target": instance, "reason": reason}
            )
        self._proxy.drain_target()
        self._control.put(_effects.Left(reason=reason, departed=departed))

    def _roster_entry(self, instance: str, born_ms: int) -> roster.RosterEntry:
        row = self._tables.member
        target = self._target
        if target is not None:
            row = dataclasses.replace(
                row,
                state=members.MemberState.SERVING,
                sequence=0,
                service=target.service,
                version=target.version,
                target=target.address,
                slots=target.slots,
            )
        return roster.RosterEntry(
            member=row, instance=instance, born_ms=born_ms
        )

    async def _save_with_retries(self, entry: roster.RosterEntry) -> None:
        """Retry until the entry is saved, replaced or the node stops."""
        while self._saved_entry is entry and not self._stopping:
            if await self._roster.save(entry):
                return
            await asyncio.sleep(_ROSTER_RETRY_INTERVAL_S)

    async def _load_roster(self) -> None:
        while not self._stopping:
            found = await self._roster.load()
            if found is not None:
                self._apply_roster(found)
                self._roster_load_tried.set()
                return
            # Heartbeats of the target are answered even if the store does
            # not respond.
            self._roster_load_tried.set()
            await asyncio.sleep(_ROSTER_RETRY_INTERVAL_S)

    def _apply_roster(self, entries: abc.Iterable[roster.RosterEntry]) -> None:
        rows = []
        for entry in entries:
            own = entry.member.node == self._settings.node
            if own:
                self._restore_target(entry)
            elif _is_in_use(entry):
                rows.append(entry.member)
        self._control.put(_effects.RosterRead(rows=tuple(rows)))

    def _restore_target(self, entry: roster.RosterEntry) -> None:
        """Use the target, or the departure, that an earlier process saved.

        If the target has stopped meanwhile, its address refuses
        connections, or another target at that address refuses the calls
        because they name a different instance.
        """
        if entry.departed:
            departure = announcements.Departure(
                instance=entry.instance, born_ms=entry.born_ms
            )
            self._announcements.restore((departure,))
            return
        row = entry.member
        if self._announcements.newest is not None or not row.service:
            return
        announcement = announcements.Announcement(
            instance=entry.instance,
            service=row.service,
            version=row.version,
            address=row.target,
            slots=row.slots,
            sequence=0,
            born_ms=entry.born_ms,
        )
        now_s = self._loop.time()
        kind = self._announcements.process(announcement, now_s)
        if kind is announcements.AnnouncementKind.SERVING:
            self._log.emit("target-restored", {"target": entry.instance})
            self._set_target(announcement)
            own = self._roster_entry(entry.instance, entry.born_ms)
            if roster.same_target(own, entry):
                self._saved_entry = own

    def _on_earlier_departure(self, effect: _effects.TargetDeparted) -> None:
        self._announcements.restore_start(effect.start)
        newest = self._announcements.newest
        if newest is None:
            return
        start = members.target_start(newest.instance, newest.born_ms)
        if start == effect.start:
            self._spawn(self.leave(newest.instance))

    def _record_absence(self, effect: _effects.RecordAbsence) -> None:
        self._spawn(self._update_roster(effect))

    async def _update_roster(self, effect: _effects.RecordAbsence) -> None:
        change = functools.partial(roster.gone_entries, effect.rows)
        if await self._roster.update(change):
            names = ",".join(row.node for row in effect.rows)
            self._log.emit("absence-recorded", {"nodes": names})
            self._control.put(_effects.AbsenceRecorded(rows=effect.rows))

    def _spawn(self, work: abc.Coroutine[None, None, None]) -> None:
        task = self._loop.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def _is_in_use(entry: roster.RosterEntry) -> bool:
    """Return whether a node without newer information may call the target."""
    if entry.departed or entry.absent:
        return False
    return bool(entry.member.service)


def _wall_ms() -> int:
    return time.time_ns() // 1_000_000
