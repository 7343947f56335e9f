"""Assembles a node process from its parts."""

import asyncio
from collections import abc
from concurrent import futures
import dataclasses
import functools
import gc
import logging
import random
import signal
import time

from arbutusstall import _clock
from arbutusstall import _core
from arbutusstall import _effects
from arbutusstall import _settings
from arbutusstall import errors
from arbutusstall._log import client
from arbutusstall._log import roster
from arbutusstall._log import source as sources
from arbutusstall._proxy import admin
from arbutusstall._proxy import bodies
from arbutusstall._proxy import byte_budget
from arbutusstall._proxy import control
from arbutusstall._proxy import dialects
from arbutusstall._proxy import frames
from arbutusstall._proxy import http_server
from arbutusstall._proxy import inbound
from arbutusstall._proxy import outbound
from arbutusstall._proxy import peers
from arbutusstall._proxy import source_worker
from arbutusstall._proxy import streams
from arbutusstall._shell import events
from arbutusstall._shell import log_worker
from arbutusstall._systems import announcements
from arbutusstall._tables import members

_TARGET_CHECK_INTERVAL_S = 0.5
_DRAIN_POLL_INTERVAL_S = 0.05
# A target waits one second for the answer to its heartbeat, and a departure is
# saved before that answer.
_ROSTER_SAVE_TIMEOUT_S = 0.5
_ROSTER_LOAD_TIMEOUT_S = 1.5
_ROSTER_START_TIMEOUT_S = 0.4
_ROSTER_RETRY_INTERVAL_S = 1.0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Environment:
    """Platform-specific parts and durations that a node is given.

    Attributes:
        notice_s: Time for which a stopping node still accepts requests,
            until its callers have learned of the stop.
        grace_s: Time from the start of the stop until the node has to
            have stopped.
        target_silent_s: Time without a heartbeat after which the target
            is considered dead.
    """

    dialect: dialects.Dialect
    log: client.LogClient
    source: sources.Source
    roster: roster.Roster
    notice_s: float
    grace_s: float
    target_silent_s: float


class Node:
    """All parts of one node process; needs a running event loop."""

    def __init__(
        self, settings: _settings.NodeSettings, environment: Environment
    ) -> None:
        incarnation = time.time_ns() // 1_000_000
        self._settings = settings
        self._environment = environment
        self._loop = asyncio.get_running_loop()
        self.log = events.EventLog(settings)
        self.core = _core.NodeCore(settings, random.Random(), incarnation)
        self._control = control.ControlLoop(
            self.core, _clock.SystemClock(), settings.tick_s
        )
        budget = byte_budget.ByteBudget(settings.reads.held_bytes)
        self.inbound = inbound.Inbound(
            settings,
            environment.dialect,
            incarnation,
            self._control.put,
            self.log,
            budget,
        )
        self.inbound.on_leaving = self._on_target_leaving
        self.outbound = outbound.Outbound(
            settings,
            environment.dialect,
            peers.Peers(settings.node, self.inbound, settings.reads),
            self.inbound.is_request_running,
            self.log,
            f"{settings.node}-{incarnation:x}",
        )
        self._streams = streams.Streams(self._control.put, settings.reads)
        self._frame_server = frames.FrameServer(
            settings.addresses.inbound,
            streams.Acceptor(
                self._streams,
                self.inbound,
                bodies.BodyReceiver(self.inbound, settings.reads, budget),
            ).owner,
            settings.reads,
        )
        self._log_worker = log_worker.LogWorker(
            environment.log, settings.log, self
        )
        self._source_worker = source_worker.SourceWorker(
            environment.source, settings.log, self._control.put_from_thread
        )
        self._caller_server = http_server.HttpServer(
            settings.addresses.callers, self.outbound, bodies=budget
        )
        self._admin_server = http_server.HttpServer(
            settings.addresses.admin, admin.Admin(self.core)
        )
        self._announcements = announcements.Announcements(
            environment.target_silent_s
        )
        self._roster_executor = futures.ThreadPoolExecutor(max_workers=1)
        self._roster_load_tried = asyncio.Event()
        self._saved_entry: roster.RosterEntry | None = None
        self._target: _effects.Announced | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._stopping = False
        self._register_executors()

    @property
    def is_ready(self) -> bool:
        """Whether callers may be sent here."""
        return not self._stopping and self.core.tables.snapshot.version > 0

    def put(self, event: _effects.Event) -> None:
        """Queue an event for the decision logic; thread-safe."""
        self._control.put_from_thread(event)

    async def start(self) -> None:
        """Start all servers and the decision logic."""
        self.log.emit(
            "node-starting",
            {"incarnation": self.inbound.incarnation},
        )
        await self._frame_server.start()
        await self._caller_server.start()
        await self._admin_server.start()
        self.inbound.start()
        self._spawn(self._load_roster())
        await self._wait_for_roster()
        self._control.start()
        self._check_target()
        # The objects that exist now live as long as the process; excluding
        # them makes each later collection cheaper.
        gc.collect()
        gc.freeze()

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT, then stop gracefully."""
        stopping = asyncio.Event()
        for number in (signal.SIGTERM, signal.SIGINT):
            self._loop.add_signal_handler(number, stopping.set)
        await self.start()
        await stopping.wait()
        await self.stop()

    async def stop(self) -> None:
        """Drain, then close everything.

        Requests in flight may finish until the grace period is over; what
        arrives later than the first requests of new connections could be
        cut by its end and is refused.
        """
        began_s = self._loop.time()
        self._stopping = True
        self.log.emit("node-stopping")
        self._caller_server.closing = True
        # Running requests make their nested calls through this node, so no
        # new ones start while callers are given notice.
        self.inbound.drain()
        self._control.put(_effects.Left(reason="node stops", stopping=True))
        await asyncio.sleep(self._environment.notice_s)
        self._caller_server.close_listener()
        self._loop.call_later(
            http_server.FIRST_REQUEST_S, self.outbound.refuse_new
        )
        end_s = began_s + self._environment.grace_s
        while self._is_busy() and self._loop.time() < end_s:
            await asyncio.sleep(_DRAIN_POLL_INTERVAL_S)
        self.outbound.close()
        self._caller_server.close()
        self._admin_server.close()
        self._frame_server.close()
        self.inbound.stop()
        self._log_worker.stop()
        self._source_worker.stop()
        await asyncio.sleep(0)
        self._streams.close()
        self._control.stop()
        self.log.emit("node-stopped")

    async def announce(self, announcement: announcements.Announcement) -> None:
        """Process a heartbeat of the local target.

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
        """Process the notice that the local target stops."""
        wall_ms = time.time_ns() // 1_000_000
        departure = self._announcements.leave(instance, wall_ms)
        await self._record_departure(departure, "left")

    def _on_target_leaving(self, instance: str) -> None:
        """Record a departure that the target has told in an answer only."""
        wall_ms = time.time_ns() // 1_000_000
        departure = self._announcements.leave(instance, wall_ms)
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
        self.inbound.set_target(target)
        self._control.put(target)

    async def _record_departure(
        self, departure: announcements.Departure, reason: str
    ) -> None:
        """Drain the target, and save its departure in the roster.

        The entry outlives this process. If the first attempt to save it
        fails, further ones follow in the background.
        """
        target = self.inbound.target
        if target is not None and target.instance == departure.instance:
            start = members.target_start(departure.instance, departure.born_ms)
            self._drain_target(departure.instance, reason, start)
        entry = dataclasses.replace(
            self._roster_entry(departure.instance, departure.born_ms),
            departed=True,
        )
        if entry != self._saved_entry:
            self._saved_entry = entry
            if not await self._save(entry):
                self._spawn(self._save_with_retries(entry))

    def _roster_entry(self, instance: str, born_ms: int) -> roster.RosterEntry:
        row = self.core.tables.member
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

    async def _save(self, entry: roster.RosterEntry) -> bool:
        """Save an entry; false if the roster does not answer in time."""
        try:
            async with asyncio.timeout(_ROSTER_SAVE_TIMEOUT_S):
                await self._loop.run_in_executor(
                    self._roster_executor, self._environment.roster.save, entry
                )
        except (errors.LogUnavailable, TimeoutError) as exc:
            self._log_failure("roster-not-saved", exc)
            return False
        return True

    async def _save_with_retries(self, entry: roster.RosterEntry) -> None:
        """Retry until the entry is saved, replaced or the node stops."""
        while self._saved_entry is entry and not self._stopping:
            if await self._save(entry):
                return
            await asyncio.sleep(_ROSTER_RETRY_INTERVAL_S)

    async def _load_roster(self) -> None:
        while not self._stopping:
            try:
                async with asyncio.timeout(_ROSTER_LOAD_TIMEOUT_S):
                    found = await self._loop.run_in_executor(
                        self._roster_executor, self._environment.roster.load
                    )
            except (errors.LogUnavailable, TimeoutError) as exc:
                self._log_failure("roster-not-read", exc)
            else:
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
            self.log.emit("target-restored", {"target": entry.instance})
            self._set_target(announcement)
            own = self._roster_entry(entry.instance, entry.born_ms)
            if roster.same_target(own, entry):
                self._saved_entry = own

    async def _wait_for_roster(self) -> None:
        """Wait for the roster for a short time before joining the mesh.

        Without it, other nodes would see this one without a target.
        """
        try:
            async with asyncio.timeout(_ROSTER_START_TIMEOUT_S):
                await self._roster_load_tried.wait()
        except TimeoutError:
            self.log.emit("roster-late")

    def _log_failure(self, event: str, exc: Exception) -> None:
        reason = str(exc) or "no answer in time"
        self.log.emit(event, {"reason": reason}, logging.WARNING)

    def _spawn(self, work: abc.Coroutine[None, None, None]) -> None:
        task = self._loop.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _drain_target(
        self, instance: str, reason: str, departed: str = ""
    ) -> None:
        if not self.inbound.admission.draining:
            self.log.emit(
                "target-leaving", {"target": instance, "reason": reason}
            )
        self.inbound.drain_target()
        self._control.put(_effects.Left(reason=reason, departed=departed))

    def _check_target(self) -> None:
        if self._announcements.detect_silence(self._loop.time()):
            self._drain_target("-", "silent")
        if not self._stopping:
            self._loop.call_later(_TARGET_CHECK_INTERVAL_S, self._check_target)

    def _is_busy(self) -> bool:
        return bool(self._caller_server.busy or self.inbound.in_flight)

    def _register_executors(self) -> None:
        loop = self._control
        loop.on(_effects.Append, self._log_worker.append)
        loop.on(_effects.FollowLog, self._follow)
        loop.on(_effects.StopLog, self._stop_reading)
        loop.on(_effects.ReportRollout, self._source_worker.report)
        loop.on(_effects.Connect, self._streams.connect)
        loop.on(_effects.Disconnect, self._streams.disconnect)
        loop.on(_effects.Send, self._streams.send)
        loop.on(_effects.PutInForce, self._put_in_force)
        loop.on(_effects.UpdateSuspects, self.inbound.add_suspects)
        loop.on(_effects.Emit, self._emit)
        loop.on(_effects.RecordAbsence, self._record_absence)
        loop.on(_effects.TargetDeparted, self._on_earlier_departure)

    def _follow(self, effect: _effects.FollowLog) -> None:
        self._log_worker.follow(effect)
        self._source_worker.follow(effect)

    def _stop_reading(self, effect: _effects.StopLog) -> None:
        self._log_worker.stop_reading(effect)
        self._source_worker.stop_reading(effect)

    def _put_in_force(self, effect: _effects.PutInForce) -> None:
        self.outbound.put_in_force(effect)
        self._caller_server.limits = effect.view.snapshot.limits

    def _emit(self, effect: _effects.Emit) -> None:
        self.log.emit(effect.event, effect.fields)

    def _record_absence(self, effect: _effects.RecordAbsence) -> None:
        self._spawn(self._update_roster(effect))

    def _on_earlier_departure(self, effect: _effects.TargetDeparted) -> None:
        self._announcements.restore_start(effect.start)
        newest = self._announcements.newest
        if newest is None:
            return
        start = members.target_start(newest.instance, newest.born_ms)
        if start == effect.start:
            self._spawn(self.leave(newest.instance))

    async def _update_roster(self, effect: _effects.RecordAbsence) -> None:
        change = functools.partial(roster.gone_entries, effect.rows)
        try:
            async with asyncio.timeout(_ROSTER_LOAD_TIMEOUT_S):
                await self._loop.run_in_executor(
                    self._roster_executor,
                    self._environment.roster.update,
                    change,
                )
        except (errors.LogUnavailable, TimeoutError) as exc:
            self._log_failure("absence-not-recorded", exc)
            return
        names = ",".join(row.node for row in effect.rows)
        self.log.emit("absence-recorded", {"nodes": names})
        self._control.put(_effects.AbsenceRecorded(rows=effect.rows))


def _is_in_use(entry: roster.RosterEntry) -> bool:
    """Return whether a node without newer information may call the target."""
    if entry.departed or entry.absent:
        return False
    return bool(entry.member.service)
