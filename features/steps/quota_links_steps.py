"""Steps for the quotas of tenants over connections on loopback."""

import asyncio
import time

import behave
import fleet
import ports

from arbutusstall import _effects
from arbutusstall import settings as node_settings
from arbutusstall._proxy import bodies
from arbutusstall._proxy import byte_budget
from arbutusstall._proxy import frame_server
from arbutusstall._proxy import inbound
from arbutusstall._proxy import peers
from arbutusstall._proxy import quota_gate
from arbutusstall._proxy import streams
from arbutusstall._shell import events
from arbutusstall._tables import agreed
from arbutusstall._tables import members
from arbutusstall.platform import dialect

_READS = node_settings.ReadSettings()
_TIMEOUT_S = 30.0
_TENANT = agreed.Tenant(name="hule930", rate_per_s=100.0, burst=50.0)
_UNLIMITED = agreed.Tenant(name="hule931")


class _Log(events.EventLog):
    """Keeps the events."""

    def __init__(self, settings):
        super().__init__(settings)
        self.events = []

    def emit(self, event, fields=None, level=0):
        """Keep the event."""
        self.events.append((event, fields))


class _Node:
    """The parts of a node that quotas need."""

    def __init__(self, number, rows):
        settings = fleet.settings(number, "lipno")
        self.log = _Log(settings)
        proxy = inbound.Inbound(
            settings,
            dialect.PlatformDialect("vazeni"),
            1,
            lambda event: None,
            self.log,
        )
        self.peers = peers.Peers(settings.node, proxy, _READS)
        self.gate = quota_gate.QuotaGate(
            settings, 1, self.peers, lambda: rows, self.log
        )
        self.sent = 0
        budget = byte_budget.ByteBudget(1_000_000)
        self._acceptor = streams.Acceptor(
            streams.Streams(lambda event: None, _READS),
            proxy,
            bodies.BodyReceiver(proxy, _READS, budget),
            self._answer,
        )
        self._server = None
        self.ended = False

    def _answer(self, message):
        self.sent += 1
        return None if self.ended else self.gate.answer(message)

    async def listen(self, address):
        """Accept connections of the other node."""
        self._server = frame_server.FrameServer(
            address, self._acceptor.owner, _READS
        )
        await self._server.start()

    def put_in_force(self, rows, tenants):
        """Put a view in force."""
        snapshot = agreed.Snapshot(
            tenants_by_name={tenant.name: tenant for tenant in tenants}
        )
        view = _effects.View(
            snapshot=snapshot, members_by_service={"maturacao": rows}
        )
        self.gate.put_in_force(_effects.PutInForce(view=view))

    def close(self):
        """End all parts."""
        self.gate.stop()
        self.peers.close()
        self._server.close()


async def _requests(gate, rate, seconds, tenant=_TENANT):
    """Send requests; return the times and the waits that they got."""
    began_s = time.monotonic()
    results = []
    for number in range(int(rate * seconds)):
        due_s = began_s + number / rate
        await asyncio.sleep(max(0.0, due_s - time.monotonic()))
        gate.request(
            tenant,
            lambda wait_ms, due=number / rate: results.append((due, wait_ms)),
        )
    await asyncio.sleep(0.5)
    assert len(results) == int(rate * seconds), len(results)
    return results


def _run(context, work):
    async def started():
        addresses = [f"127.0.0.1:{ports.take()}" for _ in range(2)]
        names = [fleet.settings(number, "lipno").node for number in (0, 1)]
        rows = [
            members.Member(
                node=name,
                data_centre="lipno",
                incarnation=1,
                state=members.MemberState.SERVING,
                inbound=address,
            )
            for name, address in zip(names, addresses, strict=True)
        ]
        nodes = [_Node(number, rows) for number in (0, 1)]
        for node, address in zip(nodes, addresses, strict=True):
            await node.listen(address)
            node.put_in_force((rows[1],), (_TENANT, _UNLIMITED))
        context.nodes = nodes
        # Pledges of an earlier process may be in force for 3 s.
        await asyncio.sleep(4.5)
        await work(nodes, rows)
        for node in nodes:
            node.close()

    asyncio.run(asyncio.wait_for(started(), _TIMEOUT_S))


@behave.given("two nodes whose only quota server is the second one")
def two_quota_nodes(context):
    """Start the nodes in the event loop of the next step."""


@behave.when("a tenant of 100 requests a second sends 60 in 1 s at the first")
def send_below_limit(context):
    """Stay below the limit, which is twice the node's own share."""

    async def work(nodes, rows):
        context.results = await _requests(nodes[0].gate, 60, 1.0)
        context.unlimited = []
        nodes[0].gate.request(_UNLIMITED, context.unlimited.append)
        context.fallback = nodes[0].gate._active.share.stats.fallback

    _run(context, work)


@behave.then("all of them are let through by tokens")
def by_tokens(context):
    """Check the decisions, and that the own share was not used."""
    refused = [item for item in context.results if item[1]]
    assert not refused, refused
    assert context.fallback == 0, context.fallback


@behave.then("a tenant without a limit is let through at once")
def unlimited(context):
    """Check that the decision came within the call."""
    assert context.unlimited == [0], context.unlimited


@behave.when("the server ends and the tenant goes on for 6 s at the first")
def end_server(context):
    """Let the second node answer nothing more."""

    async def work(nodes, rows):
        await _requests(nodes[0].gate, 10, 0.3)
        nodes[1].ended = True
        await asyncio.sleep(0.4)
        context.results = await _requests(nodes[0].gate, 100, 6.0)
        gate = nodes[0].gate
        gate._write_log(gate._active)
        context.events = [event for event, _ in nodes[0].log.events]

    _run(context, work)


@behave.then("none is let through in the next 2 s, and its own share later")
def own_share_later(context):
    """Check that half of the limit is used from the pledge's end on.

    The last pledge was renewed up to 1 s before the end, with a stamp that
    may be 1 s old.
    """
    early = [at for at, wait_ms in context.results if not wait_ms and at < 0.5]
    assert not early, early
    late = [at for at, wait_ms in context.results if not wait_ms and at > 3.5]
    assert 80 <= len(late) <= 160, len(late)


@behave.then("a line tells of the fallback and of the refusals")
def lines(context):
    """Check the events of the first node."""
    assert "quota-refused" in context.events, context.events
    assert "quota-fallback" in context.events, context.events


@behave.when("the limits are removed")
def remove_limits(context):
    """Put a view without limits in force at both nodes."""

    async def work(nodes, rows):
        for node in nodes:
            node.put_in_force((rows[1],), (_UNLIMITED,))
        await asyncio.sleep(0.1)
        before = nodes[1].sent
        await asyncio.sleep(2.5)
        context.more = nodes[1].sent - before
        context.idle = [node.gate.is_idle for node in nodes]

    _run(context, work)


@behave.then("both gates are idle, and nothing more is sent")
def idle(context):
    """Check what the server was sent."""
    assert context.more == 0, context.more
    assert context.idle == [True, True], context.idle
