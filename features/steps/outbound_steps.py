"""Steps for the outbound proxy with peers that need no network."""

import asyncio

import behave
import calls
import fake_peers
import fleet

from arbutusstall import _effects
from arbutusstall import settings
from arbutusstall._proxy import http_messages
from arbutusstall._proxy import outbound
from arbutusstall._proxy import peers
from arbutusstall._shell import events
from arbutusstall._systems import estimate
from arbutusstall._tables import agreed
from arbutusstall._tables import members
from arbutusstall.platform import dialect

_MAX_ANSWER_S = 0.1
_SERVICE = "kvoty"


class _Exchange:
    """A request of a caller; records its answer."""

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
        """Record the answer."""
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
def create_peers(context, count, dead):
    """Create the peers and a view with their rows."""
    context.outbound_view = _view(count)
    context.fakes = fake_peers.FakePeers(
        [f"n{number}" for number in range(count)], dead
    )


@behave.given("it is connected to the live ones")
def connected(context):
    """Mark them connected, as they are after earlier requests."""
    for peer in context.fakes.by_node.values():
        peer.connected = not peer.dead


def _send(context, count, seconds, silence=False):
    async def work():
        node = fleet.settings(0, "lipno")
        proxy = outbound.Outbound(
            node,
            dialect.PlatformDialect("vazeni"),
            context.fakes,
            lambda request_id: False,
            events.EventLog(node),
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
            started_s = loop.time()
            proxy.handle(exchange)
            sent.append((exchange, started_s))
            exchange.answered.add_done_callback(
                lambda _, started_s=started_s: durations_s.append(
                    loop.time() - started_s
                )
            )
            await asyncio.sleep(seconds / count)
        return await asyncio.gather(
            *(exchange.answered for exchange, _ in sent)
        )

    durations_s = []
    context.responses = asyncio.run(work())
    context.longest_s = max(durations_s)


@behave.when("{count:d} requests are sent in {seconds:d} seconds")
def send_evenly(context, count, seconds):
    """Send the requests at equal intervals."""
    _send(context, count, seconds)


@behave.when("one of them goes silent and {count:d} requests are sent")
def send_silent(context, count):
    """Silence one endpoint once both are connected."""
    _send(context, count, 0.5, silence=True)


@behave.then("each is answered by a live endpoint within 100 ms")
def all_answered_at_once(context):
    """Check that no request waited for a dead endpoint."""
    statuses = {response.status for response in context.responses}
    assert statuses == {200}, statuses
    assert context.longest_s < _MAX_ANSWER_S, context.longest_s


@behave.then(
    "the dead ones were tried at most {count:d} times each, never by a request"
)
def dead_never_called(context, count):
    """Check that connections are opened independently of requests."""
    dead = [peer for peer in context.fakes.by_node.values() if peer.dead]
    assert dead
    for peer in dead:
        assert peer.calls == 0, peer
        assert context.fakes.prepared[peer.node] <= count, peer


@behave.then("each is refused with a time to retry within {milliseconds:d} ms")
def all_refused(context, milliseconds):
    """Check that every request got a truthful refusal before its deadline."""
    for response in context.responses:
        assert response.status == 503, response
        names = {name.lower() for name, _ in response.headers}
        assert "retry-after" in names, response
    assert context.longest_s < milliseconds / 1000, context.longest_s


class _SilentConnection:
    """An open connection on which nothing is received."""

    def __init__(self):
        self.last_received_s = 0.0
        self.is_open = True
        self.sent = []

    def send(self, message):
        """Record the message."""
        self.sent.append(message)
        return True

    def cancel_body(self, call_id):
        """Do nothing: no body is being sent."""

    def abort(self):
        """Close the connection."""
        self.is_open = False


@behave.given("a peer that was sent a call and has not answered a ping")
def silent_peer(context):
    """Check the peer 0.3 s after the call; times are the event loop's."""

    async def work():
        peer = peers.RemotePeer("n0", "10.0.0.1:1", settings.ReadSettings())
        connection = _SilentConnection()
        connection.last_received_s = now_s = asyncio.get_running_loop().time()
        peer._connection = connection
        peer._clock_bound = estimate.tighten(None, 1, 0, now_s)
        call = calls.booking(
            route="/x/",
            method="GET",
            path="/x/",
            deadline_ms=500,
            idempotent=True,
        )
        peer.call(call, lambda result: None)
        peer.check(now_s + 0.3)
        assert not peer.is_ready
        peer.cancel(call)
        return peer, connection, now_s

    context.silent = asyncio.run(work())


@behave.when("the call is cancelled and a second passes")
def cancel_and_wait(context):
    """Check the peer again, when no call waits for it any more."""
    peer, _, now_s = context.silent
    assert peer.is_idle
    peer.check(now_s + 1.3)


@behave.then("its connection is closed, so that a new one can be opened")
def connection_given_up(context):
    """Check that the peer does not remain suspect."""
    _, connection, _ = context.silent
    assert not connection.is_open
