"""The target beside a node: heartbeats, departure and roster entry."""

import asyncio
from collections import abc
import dataclasses
import functools
import time

from arbutusstall import _effects
from arbutusstall import _settings
from arbutusstall._log import roster
from arbutusstall._proxy import background
from arbutusstall._proxy import control
from arbutusstall._proxy import inbound
from arbutusstall._proxy import roster_client
from arbutusstall._proxy import target_confirmer
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
        confirmer: target_confirmer.TargetConfirmer,
        log: events.EventLog,
        silent_s: float,
    ) -> None:
        self._settings = settings
        self._tables = tables
        self._proxy = proxy
        self._control = loop
        self._roster = client
        self._confirmer = confirmer
        self._log = log
        self._loop = asyncio.get_running_loop()
        self._announcements = announcements.Announcements(silent_s)
        self._roster_load_tried = asyncio.Event()
        self._saved_entry: roster.RosterEntry | None = None
        self._target: _effects.Announced | None = None
        self._tasks = background.Tasks()
        self._watch = background.Periodic(
            "target watch", _CHECK_INTERVAL_S, self._check_silence
        )
        self._stopping = False
        proxy.on_leaving = self._on_leaving
        loop.on(_effects.RecordAbsence, self._record_absence)
        loop.on(_effects.TargetDeparted, self._on_earlier_departure)
        loop.on(_effects.StoreRewound, self._save_again)

    async def start(self) -> None:
        """Load the roster; wait for it for a short time only.

        Without it, other nodes would see this one without a target.
        """
        self._tasks.spawn(self._load_roster())
        try:
            async with asyncio.timeout(_ROSTER_START_TIMEOUT_S):
                await self._roster_load_tried.wait()
        except TimeoutError:
            self._log.emit("roster-late")

    def watch(self) -> None:
        """Start to check periodically whether the target is silent."""
        self._watch.start()

    def _check_silence(self) -> None:
        if self._announcements.detect_silence(self._loop.time()):
            self._confirmer.stop()
            self._drain("-", "silent")

    def stop(self) -> None:
        """Accept no target any more."""
        self._stopping = True
        self._watch.stop()
        self._confirmer.stop()

    async def announce(self, announcement: announcements.Announcement) -> None:
        """Process a heartbeat of the target."""
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
            self._on_serving(announcement)

    async def leave(self, instance: str) -> None:
        """Process the notice that the target stops."""
        departure = self._announcements.leave(instance, _wall_ms())
        await self._record_departure(departure, "left")

    def _on_leaving(self, instance: str) -> None:
        """Record a departure that the target has told in an answer only."""
        departure = self._announcements.leave(instance, _wall_ms())
        self._tasks.spawn(
            self._record_departure(departure, "told in an answer")
        )

    def _on_serving(self, announcement: announcements.Announcement) -> None:
        target = _announced(announcement)
        # A restarted target has the address of the one before, which may
        # still get calls until the new start is confirmed.
        self._proxy.learn_coldness(target)
        if self._confirmer.record(announcement):
            self._put_into_service(target)
        else:
            self._confirmer.check(
                target, self._on_confirmed, self._on_not_confirmed
            )

    def _on_confirmed(self, target: _effects.Announced) -> None:
        newest = self._announcements.newest
        if newest is None or newest.draining or self._stopping:
            return
        known = _announced(newest)
        if known.start == target.start:
            self._proxy.learn_coldness(target)
            self._put_into_service(known)

    def _on_not_confirmed(self, target: _effects.Announced) -> None:
        if self._target is None or self._target.start == target.start:
            self._control.put(_effects.Left(reason="health check failed"))

    def _put_into_service(self, target: _effects.Announced) -> None:
        self._target = target
        self._proxy.set_target(target)
        self._control.put(target)
        entry = self._roster_entry(target.instance, target.born_ms)
        if entry != self._saved_entry:
            self._saved_entry = entry
            self._tasks.spawn(self._save_with_retries(entry))

    async def _record_departure(
        self, departure: announcements.Departure, reason: str
    ) -> None:
        """Drain the target, and save its departure in the roster.

        The departure may be acknowledged before the entry is saved: a
        later process uses the target only if the target confirms that it
        serves. If the first attempt fails, further ones follow in the
        background.
        """
        target = self._target
        if target is None or target.instance == departure.instance:
            self._confirmer.stop()
            start = members.target_start(departure.instance, departure.born_ms)
            self._drain(departure.instance, reason, start)
        entry = dataclasses.replace(
            self._roster_entry(departure.instance, departure.born_ms),
            departed=True,
        )
        if entry != self._saved_entry:
            self._saved_entry = entry
            if not await self._roster.save(entry):
                self._tasks.spawn(self._save_with_retries(entry))

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
        """Retry until the entry is saved or replaced.

        A node that stops saves only a departure.
        """
        while self._saved_entry is entry and (
            entry.departed or not self._stopping
        ):
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

        The target gets calls once it has confirmed that it serves. If the
        store did not answer at first, a departure is likely not to have
        been saved, and only heartbeats count.
        """
        if entry.departed:
            start = members.target_start(entry.instance, entry.born_ms)
            self._on_earlier_departure(_effects.TargetDeparted(start=start))
            return
        if self._roster_load_tried.is_set():
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
            cold_s=None,
        )
        now_s = self._loop.time()
        kind = self._announcements.process(announcement, now_s)
        if kind is announcements.AnnouncementKind.SERVING:
            self._log.emit("target-restored", {"target": entry.instance})
            self._target = _announced(announcement)
            self._proxy.learn_coldness(self._target)
            # The other nodes learn of it now, so that they need not wait
            # for the row after the check.
            self._control.put(self._target)
            self._confirmer.check(
                self._target, self._on_confirmed, self._on_not_confirmed
            )
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
            self._tasks.spawn(self.leave(newest.instance))

    def _save_again(self, effect: _effects.StoreRewound) -> None:
        """Save the newest entry, which the store may have lost."""
        if self._saved_entry is not None:
            self._tasks.spawn(self._save_with_retries(self._saved_entry))

    def _record_absence(self, effect: _effects.RecordAbsence) -> None:
        self._tasks.spawn(self._update_roster(effect))

    async def _update_roster(self, effect: _effects.RecordAbsence) -> None:
        change = functools.partial(roster.gone_entries, effect.rows)
        if await self._roster.update(change):
            names = ",".join(row.node for row in effect.rows)
            self._log.emit("absence-recorded", {"nodes": names})
            self._control.put(_effects.AbsenceRecorded(rows=effect.rows))


def _announced(
    announcement: announcements.Announcement,
) -> _effects.Announced:
    return _effects.Announced(
        service=announcement.service,
        version=announcement.version,
        address=announcement.address,
        slots=announcement.slots,
        instance=announcement.instance,
        cold_s=announcement.cold_s,
        born_ms=announcement.born_ms,
    )


def _is_in_use(entry: roster.RosterEntry) -> bool:
    """Return whether a node without newer information may call the target."""
    if entry.departed or entry.absent:
        return False
    return bool(entry.member.service)


def _wall_ms() -> int:
    return time.time_ns() // 1_000_000
