"""Assembles and runs the components of a node process."""

import random
import signal
import threading
import time

from arbutusstall import _clock
from arbutusstall import _core
from arbutusstall import _effects
from arbutusstall import _settings
from arbutusstall._proxy import request_limits
from arbutusstall._shell import admin
from arbutusstall._shell import control
from arbutusstall._shell import events
from arbutusstall._shell import inbound
from arbutusstall._shell import log_client
from arbutusstall._shell import log_worker
from arbutusstall._shell import loop_thread
from arbutusstall._shell import outbound
from arbutusstall._shell import relay
from arbutusstall._shell import web
from arbutusstall._tables import agreed

# Time for the other nodes to learn that this one stops. Callers are still
# served meanwhile.
_NOTICE_S = 0.3
_HANDOVER_TIMEOUT_S = 3.0
_HANDOVER_POLL_INTERVAL_S = 0.05


class Node:
    """The components of one node process."""

    def __init__(self, settings: _settings.NodeSettings) -> None:
        incarnation = time.time_ns() // 1_000_000
        self._log = events.EventLog(settings)
        self._core = _core.NodeCore(settings, random.Random(), incarnation)
        self._loop = control.ControlLoop(
            self._core, _clock.SystemClock(), settings.tick_s
        )
        self._thread = loop_thread.LoopThread()
        bounds = request_limits.ProcessBounds(settings.reads)
        self._inbound = inbound.Inbound(
            settings,
            self._loop,
            incarnation,
            self._log,
            web.Serving(
                thread=self._thread,
                bounds=bounds.calls(),
                limits=agreed.CallerLimits(
                    body_bytes=settings.reads.frame_bytes
                ),
                workers=inbound.worker_count(settings.calls),
            ),
        )
        self._outbound = outbound.Outbound(settings, self._inbound, self._log)
        self._relay = relay.Relay(
            settings.addresses.relay,
            settings.reads,
            self._loop,
            self._thread,
            bounds.peers(),
        )
        self._log_worker = log_worker.LogWorker(
            log_client.HttpLogClient(settings.log), settings.log, self._loop
        )
        self._caller_server = web.WebServer(
            settings.addresses.callers,
            self._outbound,
            web.Serving(
                thread=self._thread,
                bounds=bounds.callers(),
                workers=settings.calls.connections,
            ),
        )
        self._drain_timeout_s = settings.calls.max_deadline_ms / 1000 + 1
        self._admin_server = web.WebServer(
            settings.addresses.admin,
            admin.Admin(self._core, self._loop, self._inbound, self._outbound),
            web.Serving(thread=self._thread, bounds=bounds.control()),
        )
        self._register_executors()

    def run(self) -> None:
        """Serve until SIGTERM or SIGINT, then stop gracefully."""
        stopping = threading.Event()
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, lambda *_: stopping.set())
        self._thread.start()
        self._relay.start()
        self._inbound.start()
        self._loop.start()
        self._admin_server.start()
        self._caller_server.start()
        stopping.wait()
        self._stop()

    def _register_executors(self) -> None:
        loop = self._loop
        loop.on(_effects.Append, self._log_worker.append)
        loop.on(_effects.FollowLog, self._log_worker.follow)
        loop.on(_effects.StopLog, self._log_worker.stop_reading)
        loop.on(_effects.Connect, self._relay.connect)
        loop.on(_effects.Disconnect, self._relay.disconnect)
        loop.on(_effects.Send, self._relay.send)
        loop.on(_effects.PutInForce, self._outbound.put_in_force)
        loop.on(_effects.UpdateSuspects, self._inbound.add_suspects)
        loop.on(_effects.Emit, self._emit)

    def _wait_for_handover(self) -> None:
        """Wait until the children have found another parent.

        This node still serves them meanwhile.
        """
        end_s = time.monotonic() + _HANDOVER_TIMEOUT_S
        while self._core.has_children and time.monotonic() < end_s:
            time.sleep(_HANDOVER_POLL_INTERVAL_S)

    def _emit(self, effect: _effects.Emit) -> None:
        self._log.emit(effect.event, effect.fields)

    def _stop(self) -> None:
        self._log.emit("node-stopping")
        self._inbound.drain()
        self._caller_server.close_connections()
        self._loop.put(_effects.Left(reason="node stops", stopping=True))
        time.sleep(_NOTICE_S)
        self._wait_for_handover()
        self._caller_server.stop(self._drain_timeout_s)
        self._inbound.stop()
        self._outbound.close()
        self._loop.stop()
        self._log_worker.stop()
        self._relay.stop()
        self._log.emit("node-stopped")
