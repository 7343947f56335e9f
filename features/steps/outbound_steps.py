"""Steps for the outbound proxy over peers that need no network."""

import asyncio

import behave
import fake_peers
import fleet

from arbutusstall import _effects
from arbutusstall._proxy import http_messages
from arbutusstall._proxy import outbound
from arbutusstall._shell import events
from arbutusstall._tables import agreed
from arbutusstall._tables import members
from arbutusstall.platform import dialect

_AT_ONCE_S = 0.1
_SERVICE = "kvoty"


class _Exchange:
    """Keeps the answer to one request."""

    def __init__(self, number):
        self.request = http_messages.Request(
            method="GET",
            target="/x/1",
            headers=(
                ("Host", "a.example"),
                ("X-Request-Id", f"r{number}"),
                ("X-Deadline-Ms", "1000"),
            ),
        )
        self.cancelled = False
        self.on_cancelled = None
        self.answered = asyncio.get_running_loop().create_future()

    def answer(self, response):
        """Keep it."""
        self.answered.set_result(response)


def _view(count):
    rows = tuple(
        members.Member(
            node=f"n{number}",
            data_centre="lipno",
            incarnation=1,
            state=members.MemberState.SERVING,
            service=_SERVICE,
            version="v1",
            slots=8,
        )
        for number in range(count)
    )
    route = agreed.Route(
        prefix="a.example/x/", service=_SERVICE, timeout_ms=1_000
    )
    snapshot = agreed.Snapshot(
        version=1,
        routes_by_prefix={route.prefix: route},
        services_by_name={_SERVICE: agreed.Service(name=_SERVICE)},
    )
    return _effects.View(
        snapshot=snapshot, members_by_service={_SERVICE: rows}
    )


@behave.given(
    "an outbound proxy that knows {count:d} endpoints of which {dead:d}"
    " are dead"
)
def knows(context, count, dead):
    """All in its own data centre."""
    context.outbound_view = _view(count)
    context.fakes = fake_peers.FakePeers(
        [f"n{number}" for number in range(count)], dead
    )


@behave.given("it is connected to the living ones")
def connected(context):
    """As after some requests."""
    for peer in context.fakes.by_node.values():
        peer.connected = not peer.dead


def _send(context, count, seconds, silence=False):
    async def work():
        settings = fleet.settings(0, "lipno")
        proxy = outbound.Outbound(
            settings,
            dialect.PlatformDialect("vazeni"),
            context.fakes,
            lambda request_id: False,
            events.EventLog(settings),
            "call",
        )
        proxy.put_in_force(_effects.PutInForce(view=context.outbound_view))
        loop = asyncio.get_running_loop()
        if silence:
            for peer in context.fakes.by_node.values():
                peer.connected = True
            context.fakes.by_node["n0"].silent = True
        sent = []
        for number in range(count):
            exchange = _Exchange(number)
            began_s = loop.time()
            proxy.handle(exchange)
            sent.append((exchange, began_s))
            exchange.answered.add_done_callback(
                lambda _, began_s=began_s: taken.append(loop.time() - began_s)
            )
            await asyncio.sleep(seconds / count)
        return await asyncio.gather(
            *(exchange.answered for exchange, _ in sent)
        )

    taken = []
    context.responses = asyncio.run(work())
    context.longest_s = max(taken)


@behave.when("{count:d} requests are sent in {seconds:d} seconds")
def send(context, count, seconds):
    """Evenly."""
    _send(context, count, seconds)


@behave.when("one of them falls silent and {count:d} requests are sent")
def send_silent(context, count):
    """After both were connected."""
    _send(context, count, 0.5, silence=True)


@behave.then("each is answered by a living endpoint at once")
def answered(context):
    """No request waited for a dead one."""
    statuses = {response.status for response in context.responses}
    assert statuses == {200}, statuses
    assert context.longest_s < _AT_ONCE_S, context.longest_s


@behave.then(
    "the dead ones were tried at most {count:d} times each, by no request"
)
def tried(context, count):
    """Connections are opened beside the requests."""
    dead = [peer for peer in context.fakes.by_node.values() if peer.dead]
    assert dead
    for peer in dead:
        assert peer.calls == 0, peer
        assert context.fakes.prepared[peer.node] <= count, peer
