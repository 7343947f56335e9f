"""Assembles a node process from its parts."""

import asyncio
import dataclasses
import gc
import random
import signal
import time

from arbutusstall import _clock
from arbutusstall import _core
from arbutusstall import _effects
from arbutusstall import _settings
from arbutusstall._log import client
from arbutusstall._log import roster
from arbutusstall._log import source as sources
from arbutusstall._proxy import admin
from arbutusstall._proxy import bodies
from arbutusstall._proxy import control
from arbutusstall._proxy import dialects
from arbutusstall._proxy import frame_server
from arbutusstall._proxy import http_server
from arbutusstall._proxy import inbound
from arbutusstall._proxy import local_target
from arbutusstall._proxy import outbound
from arbutusstall._proxy import peers
from arbutusstall._proxy import quota_gate
from arbutusstall._proxy import request_limits
from arbutusstall._proxy import roster_client
from arbutusstall._proxy import source_worker
from arbutusstall._proxy import streams
from arbutusstall._proxy import target_confirmer
from arbutusstall._proxy import target_health
from arbutusstall._shell import events
from arbutusstall._shell import log_worker
from arbutusstall._staleness import decisions as staleness
from arbutusstall._systems import announcements
from arbutusstall._systems import confirmation
from arbutusstall._tenants import freshness

_DRAIN_POLL_INTERVAL_S = 0.05


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
        first_process: Whether no earlier process of the node existed.
    """

    dialect: dialects.Dialect
    log: client.LogClient
    source: sources.Source
    roster: roster.Roster
    notice_s: float
    grace_s: float
    target_silent_s: float
    health: target_health.HealthCheck
    first_process: bool = False


class Node:
    """All parts of one node process; needs a running event loop.

    Attributes:
        bounds: Bounds that all servers of the process share.
    """

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
        self.bounds = request_limits.ProcessBounds(settings.reads)
        bodies_held = self.bounds.bodies
        self.inbound = inbound.Inbound(
            settings,
            environment.dialect,
            incarnation,
            self._control.put,
            self.log,
            bodies_held,
        )
        node_peers = peers.Peers(settings.node, self.inbound, settings.reads)
        self._quota_gate = quota_gate.QuotaGate(
            settings,
            incarnation,
            node_peers,
            self.core.tables.members_by_node.values,
            self.log,
        )
        self.outbound = outbound.Outbound(
            settings,
            environment.dialect,
            node_peers,
            self.inbound.is_request_running,
            self.log,
            f"{settings.node}-{incarnation:x}",
            self._quota_gate,
        )
        self._streams = streams.Streams(self._control.put, settings.reads)
        self._frame_server = frame_server.FrameServer(
            settings.addresses.inbound,
            streams.Acceptor(
                self._streams,
                self.inbound,
                bodies.BodyReceiver(self.inbound, settings.reads, bodies_held),
                self._quota_gate.answer,
            ).owner,
            settings.reads,
            self.bounds.peers(),
        )
        self._log_worker = log_worker.LogWorker(
            environment.log, settings.log, self
        )
        self._source_worker = source_worker.SourceWorker(
            environment.source,
            settings.log,
            self._control.put_from_thread,
            min(freshness.poll_s(settings), staleness.poll_s(settings)),
        )
        self._caller_server = http_server.HttpServer(
            settings.addresses.callers,
            self.outbound,
            bounds=self.bounds.callers(),
        )
        self._admin_server = http_server.HttpServer(
            settings.addresses.admin,
            admin.Admin(self.core),
            bounds=self.bounds.control(),
        )
        self._target = local_target.LocalTarget(
            settings,
            self.core.tables,
            self.inbound,
            self._control,
            roster_client.RosterClient(environment.roster, self.log),
            target_confirmer.TargetConfirmer(
                environment.health,
                confirmation.Confirmations(
                    began_ms=incarnation,
                    first_process=environment.first_process,
                ),
                self.log,
            ),
            self.log,
            environment.target_silent_s,
        )
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
        await self._target.start()
        self._control.start()
        self._target.watch()
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
        self._target.stop()
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
        self._quota_gate.stop()
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
        """Process a heartbeat of the local target."""
        await self._target.announce(announcement)

    async def leave(self, instance: str) -> None:
        """Process the notice that the local target stops."""
        await self._target.leave(instance)

    def _is_busy(self) -> bool:
        return bool(
            self._caller_server.busy
            or self.inbound.in_flight
            or self._frame_server.busy
        )

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
        loop.on(_effects.ReadSource, self._source_worker.read_once)
        loop.on(_effects.KeysConfirmed, self.outbound.confirm_keys)
        loop.on(_effects.Emit, self._emit)

    def _follow(self, effect: _effects.FollowLog) -> None:
        self._log_worker.follow(effect)
        self._source_worker.follow(effect)

    def _stop_reading(self, effect: _effects.StopLog) -> None:
        self._log_worker.stop_reading(effect)
        self._source_worker.stop_reading(effect)

    def _put_in_force(self, effect: _effects.PutInForce) -> None:
        self.inbound.put_in_force(effect.view)
        self.outbound.put_in_force(effect)
        self._quota_gate.put_in_force(effect)
        self._frame_server.limits = effect.view.snapshot.limits
        self._caller_server.limits = effect.view.snapshot.limits

    def _emit(self, effect: _effects.Emit) -> None:
        self.log.emit(effect.event, effect.fields)
