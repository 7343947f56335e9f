"""Runs the quotas of tenants on the event loop."""

import asyncio
import collections
from collections import abc
import logging
import math

from arbutusstall import _clock
from arbutusstall import _effects
from arbutusstall import _settings
from arbutusstall._proxy import background
from arbutusstall._proxy import peers as peer_links
from arbutusstall._shell import events
from arbutusstall._shell import failures
from arbutusstall._shell import quota_metrics
from arbutusstall._tables import agreed
from arbutusstall._tables import members
from arbutusstall._tenants import quota
from arbutusstall._tenants import quota_server
from arbutusstall._tenants import quota_share
from arbutusstall._wire import messages

_MIN_TIMER_S = 0.001
# Assumed minimum time between the last use of the share by an earlier process
# and the start of this one. If a restart is faster, the node's share can be
# used twice for the difference.
_MIN_RESTART_S = 1.5
_LOG_INTERVAL_S = 10.0
_STOPPED_RETRY_MS = 100
# Lines of one tenant are written once in an interval, and those of further
# tenants not at all.
_MAX_LOGGED_TENANTS = 20


class QuotaGate:
    """Asks for the requests of tenants, and serves as a quota server.

    Idle, without messages, timers or state, while the configuration holds
    no tenant with a limit.

    Args:
        rows: Returns the rows of all known nodes.
        clock: Returns seconds of boot time.
    """

    def __init__(
        self,
        settings: _settings.NodeSettings,
        incarnation: int,
        peers: peer_links.Peers,
        rows: abc.Callable[[], abc.Iterable[members.Member]],
        log: events.EventLog,
        clock: abc.Callable[[], float] = _clock.steady_s,
    ) -> None:
        self._node = settings.node
        self._bounds = quota.bounds(settings.tenants)
        self._incarnation = incarnation
        self._peers = peers
        self._rows = rows
        self._log = log
        self._clock = clock
        self._loop = asyncio.get_running_loop()
        # Pledges of an earlier process may be in force until then.
        self._quiet_until_s = clock() + quota.PLEDGE_S - _MIN_RESTART_S
        self._active: _Active | None = None
        self._is_stopped = False
        peers.on_quota = self._on_reply

    @property
    def is_idle(self) -> bool:
        """Whether no tenant has a limit."""
        return self._active is None

    def put_in_force(self, effect: _effects.PutInForce) -> None:
        """Apply the limits and the members of a view."""
        limits = quota.limits(effect.view.snapshot.tenants)
        active = self._active
        if not limits or self._is_stopped:
            if active is not None:
                self._stop(active)
            return
        now_s = self._clock()
        if active is None:
            active = self._active = _Active(
                share=quota_share.QuotaShare(
                    self._node,
                    self._incarnation,
                    self._bounds,
                    now_s,
                    max(now_s, self._quiet_until_s),
                ),
                server=quota_server.QuotaServer(
                    self._node, self._incarnation, self._bounds
                ),
                ticks=background.Periodic(
                    "quota", quota.RENEW_S, self._on_tick
                ),
            )
            active.set_view(effect.view)
            active.limit(limits, now_s)
            active.ticks.start()
            return
        active.set_view(effect.view)
        if limits != active.limits:
            active.limit(limits, now_s)
        self._flush(active)

    def request(
        self, tenant: agreed.Tenant, done: abc.Callable[[int], None]
    ) -> None:
        """Ask for one request; see `gate.QuotaGate`."""
        if self._is_stopped:
            done(_STOPPED_RETRY_MS)
            return
        active = self._active
        if active is None or not tenant.rate_per_s:
            done(0)
            return

        def decided(wait_ms: int) -> None:
            if wait_ms:
                active.refused[tenant.name] += 1
            done(wait_ms)

        active.share.request(tenant.name, decided, self._clock())
        self._flush(active)

    def answer(
        self, message: messages.QuotaPledge | messages.QuotaRequest
    ) -> messages.QuotaPledged | messages.QuotaGrant | None:
        """Return the answer as a quota server; None while idle."""
        active = self._active
        if active is None:
            return None
        if isinstance(message, messages.QuotaPledge):
            return active.server.on_pledge(message, self._clock())
        return active.server.on_request(message, self._clock())

    def stop(self) -> None:
        """Refuse all requests, the waiting ones included; send nothing."""
        self._is_stopped = True
        if self._active is not None:
            self._active.share.close()
            self._flush(self._active)
            self._stop(self._active)

    def _stop(self, active: "_Active") -> None:
        active.ticks.stop()
        if active.timer is not None:
            active.timer.cancel()
        active.limit({}, self._clock())
        self._flush(active)
        self._active = None
        # Its pledges may be in force for as long.
        self._quiet_until_s = self._clock() + quota.PLEDGE_S

    def _on_tick(self) -> None:
        active = self._active
        if active is None:
            return
        now_s = self._clock()
        nodes = active.count.update(self._rows(), now_s)
        active.server.set_nodes(nodes)
        active.share.set_nodes(nodes, active.servers)
        active.share.tick(now_s)
        self._flush(active)
        active.report_metrics()
        if now_s >= active.logged_s + _LOG_INTERVAL_S:
            active.logged_s = now_s
            self._write_log(active)

    def _on_timer(self) -> None:
        active = self._active
        if active is not None:
            active.timer = None
            active.share.advance(self._clock())
            self._flush(active)

    def _on_reply(self, node: str, message: messages.Message) -> None:
        active = self._active
        if active is None:
            return
        if isinstance(message, messages.QuotaPledged):
            active.share.on_pledged(node, message, self._clock())
        elif isinstance(message, messages.QuotaGrant):
            active.share.on_grant(node, message, self._clock())
        self._flush(active)

    def _flush(self, active: "_Active") -> None:
        """Send what the share wants sent, and pass on its decisions."""
        share = active.share
        while share.sends or share.answers:
            answers, share.answers = share.answers, []
            for done, wait_ms in answers:
                with failures.Logged("quota decision"):
                    done(wait_ms)
            sends, share.sends = share.sends, []
            for server, message in sends:
                self._send(active, server, message)
        due_s = share.wake_s
        if due_s < active.timer_s or active.timer is None:
            if active.timer is not None:
                active.timer.cancel()
                active.timer = None
            active.timer_s = due_s
            if due_s < math.inf and self._active is active:
                delay_s = max(_MIN_TIMER_S, due_s - self._clock())
                active.timer = self._loop.call_later(delay_s, self._on_timer)

    def _send(
        self,
        active: "_Active",
        server: str,
        message: messages.QuotaPledge | messages.QuotaRequest,
    ) -> None:
        if server == self._node:
            reply = self.answer(message)
            if reply is not None:
                self._loop.call_soon(self._on_reply, server, reply)
            return
        member = active.members.get(server)
        if member is not None:
            self._peers.send_control(member, message)

    def _write_log(self, active: "_Active") -> None:
        refused, active.refused = active.refused, collections.Counter()
        for tenant, count in refused.most_common(_MAX_LOGGED_TENANTS):
            self._log.emit(
                "quota-refused",
                {"tenant": tenant, "count": count},
                logging.WARNING,
            )
        fallback = active.share.stats.fallback
        if fallback > active.logged_fallback:
            self._log.emit(
                "quota-fallback",
                {
                    "count": fallback - active.logged_fallback,
                    "share": round(active.share.own_share, 6),
                },
                logging.WARNING,
            )
            active.logged_fallback = fallback


class _Active:
    """What exists only while a tenant has a limit."""

    def __init__(
        self,
        share: quota_share.QuotaShare,
        server: quota_server.QuotaServer,
        ticks: background.Periodic,
    ) -> None:
        self.share = share
        self.server = server
        self.ticks = ticks
        self.limits: abc.Mapping[str, quota.Limit] = {}
        self.members: dict[str, members.Member] = {}
        self.servers: tuple[str, ...] = ()
        self.count = quota.NodeCount()
        self.refused: collections.Counter[str] = collections.Counter()
        self.timer: asyncio.TimerHandle | None = None
        self.timer_s = math.inf
        self.logged_s = -math.inf
        self.logged_fallback = 0
        self._reported = quota_share.Stats()

    def limit(
        self, limits: abc.Mapping[str, quota.Limit], now_s: float
    ) -> None:
        """Apply limits to both sides."""
        self.limits = limits
        self.server.configure(limits, now_s)
        self.share.configure(limits, now_s)

    def set_view(self, view: _effects.View) -> None:
        """Choose the quota servers among the members of a view."""
        rows = {
            row.node: row
            for rows in view.members_by_service.values()
            for row in rows
        }
        if rows.keys() != self.members.keys():
            self.servers = quota.choose_servers(rows)
        self.members = rows

    def report_metrics(self) -> None:
        """Add what was counted since the last report."""
        now, before = self.share.stats, self._reported
        quota_metrics.GRANTED.inc(now.granted - before.granted)
        quota_metrics.REFUSED.inc(now.refused - before.refused)
        quota_metrics.UNUSED.inc(max(0, now.unused - before.unused))
        quota_metrics.FALLBACK.inc(now.fallback - before.fallback)
        quota_metrics.PLEDGED.set(self.server.pledged)
        self._reported = quota_share.Stats(
            granted=now.granted,
            refused=now.refused,
            unused=now.unused,
            fallback=now.fallback,
        )
