"""Steps for API keys and tenants."""

import asyncio
import logging

import behave
import fake_peers
import fleet
import msgspec
import platform_mesh

from arbutusstall import _effects
from arbutusstall import _settings as node_settings
from arbutusstall._proxy import dialects
from arbutusstall._proxy import http_messages
from arbutusstall._proxy import outbound
from arbutusstall._proxy import running_request
from arbutusstall._shell import events
from arbutusstall._shell import http
from arbutusstall._tables import agreed
from arbutusstall._tables import members
from arbutusstall._tenants import directory
from arbutusstall.platform import dialect
from arbutusstall.platform import operator
from arbutusstall.platform import store as stores

_SERVICE = "kvoty"
# The region of the nodes of `platform_mesh`.
_REGION = "main"
_KEYS = {
    "first": "kn2f-hule-1",
    "second": "kn2f-hule-2",
    "zabka": "m82t-zabka",
    "unknown": "x00x-nobody",
}
_RUNNING_ID = "r7"


def _bearer(name):
    return ("Authorization", f"Bearer {_KEYS[name]}")


# Path, request id and headers of each kind of request.
_REQUESTS = {
    "with the key of hule930": ("/x/1", "r1", (_bearer("first"),)),
    "with the second key of hule930": ("/x/1", "r1", (_bearer("second"),)),
    "with the key of zabka": ("/x/1", "r1", (_bearer("zabka"),)),
    "with a key and the scheme in capitals": (
        "/x/1",
        "r1",
        (("AUTHORIZATION", f"BEARER  {_KEYS['zabka']}"),),
    ),
    "with a key and another tenant's name": (
        "/x/1",
        "r1",
        (_bearer("zabka"), ("x-tenant-id", "hule930")),
    ),
    "with a key in other case": (
        "/x/1",
        "r1",
        (("Authorization", f"Bearer {_KEYS['zabka'].upper()}"),),
    ),
    "with an unknown key": ("/x/1", "r1", (_bearer("unknown"),)),
    "with two keys": ("/x/1", "r1", (_bearer("zabka"), _bearer("unknown"))),
    "with a password": (
        "/x/1",
        "r1",
        (("Authorization", f"Basic {_KEYS['zabka']}"),),
    ),
    "without a key": ("/x/1", "r1", (("X-Tenant-Id", "zabka"),)),
    "without a key to no route": ("/none", "r1", ()),
    "with a key to no route": ("/none", "r1", (_bearer("zabka"),)),
    "without a key to an exempt route": (
        "/free/1",
        "r1",
        (("X-Tenant-Id", "zabka"),),
    ),
    "with a key to an exempt route": ("/free/1", "r1", (_bearer("zabka"),)),
    "from the running request": (
        "/x/1",
        f"{_RUNNING_ID}.1",
        (("X-Tenant-Id", "zabka"),),
    ),
    "from a request that runs elsewhere": ("/x/1", "r8.1", ()),
}


class Exchange:
    """A client's request; records the response."""

    def __init__(self, who):
        path, request_id, headers = _REQUESTS[who]
        self.request = http_messages.Request(
            method="GET",
            target=path,
            headers=(
                ("Host", "a.example"),
                ("X-Request-Id", request_id),
                ("X-Deadline-Ms", "500"),
                *headers,
            ),
        )
        self.on_cancelled = None
        self.response = None

    def answer(self, response):
        """Record the response."""
        self.response = response


class _ScriptedGate:
    """Passes the given results to the requests, one each.

    Args:
        delay_s: Time in seconds until a request gets its result.
    """

    def __init__(self, results, delay_s=0.0):
        self.asked = 0
        self._results = list(results)
        self._delay_s = delay_s

    def request(self, tenant, done):
        """Pass on the next result."""
        self.asked += 1
        result = self._results.pop(0)
        if self._delay_s:
            asyncio.get_running_loop().call_later(self._delay_s, done, result)
        else:
            done(result)


def tenant(name, *keys, **options):
    """Return a tenant with these keys."""
    digests = tuple(directory.key_digest(key) for key in keys)
    return agreed.Tenant(name=name, key_digests=digests, **options)


def view(*tenants):
    """Return a view with an ordinary and an exempt route."""
    row = members.Member(
        node="n0",
        data_centre="lipno",
        incarnation=1,
        state=members.MemberState.SERVING,
        service=_SERVICE,
        version="v1",
        slots=8,
    )
    routes = {
        prefix: agreed.Route(
            prefix=prefix, service=_SERVICE, priority=1, idempotent=True
        )
        for prefix in ("a.example/x/", "a.example/free/")
    }
    snapshot = agreed.Snapshot(
        version=1,
        source_version=1,
        routes_by_prefix=routes,
        services_by_name={_SERVICE: agreed.Service(name=_SERVICE)},
    )
    if tenants:
        snapshot = agreed.Snapshot(
            version=1,
            source_version=1,
            routes_by_prefix=routes,
            services_by_name=snapshot.services_by_name,
            tenants_by_name={item.name: item for item in tenants},
            access_by_prefix={
                "a.example/free/": agreed.RouteAccess(auth_exempt=True)
            },
        )
    return _effects.View(
        snapshot=snapshot, members_by_service={_SERVICE: (row,)}
    )


def _usual_tenants():
    return (
        tenant("hule930", _KEYS["first"], _KEYS["second"], priority=3),
        tenant("zabka", _KEYS["zabka"]),
    )


@behave.given("an outbound proxy with tenants, and a request that runs here")
def proxy_with_tenants(context):
    """Put a configuration with two tenants in force."""
    context.views = [view(*_usual_tenants())]
    context.gate = None
    context.tenant_settings = node_settings.TenantSettings()
    context.confirmed = None
    context.peers = fake_peers.FakePeers(["n0"], 0)


@behave.given("an outbound proxy without tenants")
def proxy_without_tenants(context):
    """Put a configuration without tenants in force."""
    proxy_with_tenants(context)
    context.views = [view()]


@behave.given("an outbound proxy without a configuration")
def proxy_without_configuration(context):
    """Put nothing in force."""
    proxy_with_tenants(context)
    context.views = []


@behave.given("an outbound proxy whose gate refuses for {wait_ms:d} ms")
def proxy_with_refusals(context, wait_ms):
    """Refuse each request of a tenant."""
    proxy_with_tenants(context)
    context.gate = _ScriptedGate([wait_ms])


@behave.given("an outbound proxy whose gate answers late")
def proxy_with_late_gate(context):
    """Admit each request after 50 ms."""
    proxy_with_tenants(context)
    context.gate = _ScriptedGate([0], delay_s=0.05)


@behave.given("an outbound proxy whose gate admits one attempt")
def proxy_with_one_attempt(context):
    """Admit the first attempt and refuse the second."""
    proxy_with_tenants(context)
    context.gate = _ScriptedGate([0, 250])


@behave.when("the key of zabka is moved to hule930 by a new configuration")
def move_key(context):
    """Put a second configuration in force after the first one."""
    context.views.append(
        view(tenant("hule930", _KEYS["zabka"], priority=3), tenant("zabka"))
    )


@behave.when("a request comes {who}, and its client goes")
def send_and_go(context, who):
    """Cancel the request while it waits for the gate."""
    _send(context, who, cancel=True)


@behave.when("a request comes {who}")
def send_one(context, who):
    """Send one request."""
    _send(context, who)


@behave.when("the first attempt for zabka is lost")
def lose_first(context):
    """Lose the outcome of the first call to the endpoint."""
    context.peers.by_node["n0"].losses = 1
    _send(context, "with the key of zabka")


def _send(context, who, cancel=False):
    async def work():
        settings = fleet.settings(0, "lipno", tenants=context.tenant_settings)
        proxy = outbound.Outbound(
            settings,
            dialect.PlatformDialect("vazeni"),
            context.peers,
            lambda request_id: request_id == _RUNNING_ID,
            events.EventLog(settings),
            "call",
            context.gate,
        )
        for item in context.views:
            proxy.put_in_force(_effects.PutInForce(view=item))
        if context.confirmed is not None:
            proxy.confirm_keys(context.confirmed)
        context.exchange = exchange = Exchange(who)
        proxy.handle(exchange)
        if cancel:
            exchange.on_cancelled()
            await asyncio.sleep(0.1)
            return
        limit_s = asyncio.get_running_loop().time() + 2.0
        while exchange.response is None:
            assert asyncio.get_running_loop().time() < limit_s
            await asyncio.sleep(0.005)

    asyncio.run(work())


@behave.then("its caller gets {status:d}")
def caller_gets(context, status):
    """Check the status."""
    response = context.exchange.response
    assert response.status == status, response


@behave.then("its caller is told to retry after {seconds} s")
def caller_retries(context, seconds):
    """Check the retry time."""
    headers = context.exchange.response.headers
    found = http_messages.get_header(headers, "retry-after")
    assert found == seconds, found


@behave.then("the target gets {name} and rank {rank:d}")
def target_gets(context, name, rank):
    """Check the call that the endpoint got."""
    call = context.peers.by_node["n0"].last
    if name == "nothing":
        assert call is None, call
        return
    names = [
        value
        for header, value in call.headers
        if header.lower() == "x-tenant-id"
    ]
    assert names == ([] if name == "no tenant" else [name]), names
    assert call.rank == rank, call.rank
    text = str(call)
    assert "uthorization" not in text, text
    assert not any(key in text for key in _KEYS.values()), text


@behave.then("the target gets the headers of the client")
def target_gets_all(context):
    """Check that the header of the client is forwarded."""
    call = context.peers.by_node["n0"].last
    assert _bearer("first") in call.headers, call.headers


@behave.then("the gate was asked {count:d} times")
def gate_asked(context, count):
    """Compare the number of requests to the gate."""
    assert context.gate.asked == count, context.gate.asked


def _configuration(tenants, version=4):
    routes = {
        "r": platform_mesh.route(_SERVICE, allowedRegions=[_REGION]),
        "free": platform_mesh.route(
            _SERVICE, prefix="/free/", authExempt=True
        ),
        "early": platform_mesh.route(
            _SERVICE, prefix="/plain/", authExempt=True
        ),
        # Replaces the route before it, and its exemption.
        "plain": platform_mesh.route(_SERVICE, prefix="/plain/"),
    }
    return {
        **platform_mesh.configuration(version, routes),
        "tenants": tenants,
    }


class _Records:
    """A store whose topic holds one configuration."""

    def __init__(self, value):
        self._value = value

    def read_newest(self, topic):
        """Return the configuration's record."""
        record = stores.KeyedRecord(key="config", value=self._value, offset=0)
        return stores.NewestRecords(records=(record,), next_offset=1)


def _decode(context, tenants):
    value = msgspec.json.encode(_configuration(tenants))
    context.lines = []
    handler = logging.Handler()
    handler.emit = lambda record: context.lines.append(record.getMessage())
    log = logging.getLogger("arbutusstall.platform.operator")
    log.addHandler(handler)
    try:
        source = operator.OperatorSource(_Records(value))
        context.read_events = source.read_all().events
    finally:
        log.removeHandler(handler)


@behave.when("the operator publishes tenants, an exempt route and regions")
def publish_tenants(context):
    """Decode a configuration with all fields."""
    _decode(
        context,
        {
            "hule930": {
                "apiKeys": [_KEYS["first"], _KEYS["second"]],
                "priority": 1,
                "ratePerS": 290,
                "burstSize": 12.5,
                "allowedRegions": ["east"],
            },
            "zabka": {"apiKeys": [_KEYS["zabka"]]},
        },
    )


@behave.then("they are decoded with digests in place of the keys")
def tenants_decoded(context):
    """Compare all fields; no key may be left anywhere."""
    (published,) = context.read_events
    assert published.tenants == (
        tenant(
            "hule930",
            _KEYS["first"],
            _KEYS["second"],
            priority=1,
            rate_per_s=290.0,
            burst=12.5,
            regions=("east",),
        ),
        tenant("zabka", _KEYS["zabka"]),
    ), published.tenants
    assert published.access_by_prefix == {
        "a.example/x/": agreed.RouteAccess(regions=(_REGION,)),
        "a.example/free/": agreed.RouteAccess(auth_exempt=True),
    }, published.access_by_prefix
    assert not any(key in str(published) for key in _KEYS.values())


@behave.when("the operator publishes two tenants that share a key")
def publish_shared_key(context):
    """Decode a configuration with the same key twice."""
    shared = {"apiKeys": [_KEYS["zabka"]]}
    _decode(context, {"zabka": shared, "hule930": shared})


@behave.then("one line names both tenants and not the key")
def shared_key_logged(context):
    """Check that the configuration was skipped."""
    assert context.read_events == ()
    (line,) = context.lines
    assert "zabka and hule930 share a key" in line, line
    assert _KEYS["zabka"] not in line, line


@behave.when("requests with valid and unknown keys are sent through all nodes")
def send_keys(context):
    """Publish the tenants; send each key through each node."""
    mesh = context.platform
    tenants = {
        "hule930": {"apiKeys": [_KEYS["first"], _KEYS["second"]]},
        "zabka": {"apiKeys": [_KEYS["zabka"]]},
    }
    mesh.store.put("config", _configuration(tenants))
    context.responses = []
    for name in mesh.nodes_by_name:
        for key, status in (("zabka", 200), ("unknown", 401)):

            def arrives(name=name, key=key, status=status):
                response = mesh.send(name, headers=(_bearer(key),))
                context.responses.append(response)
                return response.status == status

            platform_mesh.wait_until(arrives, 20.0)
        context.responses.append(
            mesh.send(name, "/none", headers=(_bearer("first"),))
        )
    # A configuration that is skipped must not reveal keys either.
    mesh.store.put(
        "config",
        _configuration({"a": tenants["zabka"], "b": tenants["zabka"]}, 5),
    )
    platform_mesh.wait_until(
        lambda: any(
            node.lines("record-skipped")
            for node in mesh.nodes_by_name.values()
        )
    )


@behave.then("no log, metric, status, answer or target's request has a key")
def no_key_anywhere(context):
    """Search everything that the nodes wrote for the keys."""
    mesh = context.platform
    # Lines are written in the background.
    platform_mesh.wait_until(
        lambda: all(
            node.lines("call-refused") for node in mesh.nodes_by_name.values()
        )
    )
    texts = [str(response) for response in context.responses]
    for node in mesh.nodes_by_name.values():
        texts.append(node.output.read_text(errors="replace"))
        for path in ("/metrics", "/v1/status"):
            request = http.Request(
                method="GET", url=f"http://{node.admin}{path}", fresh=True
            )
            texts.append(http.send(request).body.decode())
    for target in mesh.endpoints_by_node.values():
        texts += [str(item) for item in target.executed]
    texts += [str(value) for value in mesh.store.records("arbutusstall")]
    found = [
        (key, text[:500])
        for text in texts
        for key in _KEYS.values()
        if key in text
    ]
    assert not found, found
    assert any("X-Tenant-Id" in text for text in texts)


@behave.given("tenants of priority 1 and 2, and routes of priority 0 and 2")
def build_ranks(context):
    """Build a call for each pair."""
    incoming = dialects.IncomingRequest(
        request_id="r",
        method="GET",
        host="a.example",
        path="/x/1",
        target="/x/1",
        headers=(),
        body=b"",
    )
    context.ranks = {}
    for tenant_priority in (1, 2):
        tenant = agreed.Tenant(name="t", priority=tenant_priority)
        for priority in (0, 2):
            route = agreed.Route(prefix="/x/", service="s", priority=priority)
            call = running_request.build_call(
                incoming, route, "s", 1_000, False, tenant
            )
            context.ranks[tenant_priority, priority] = call.rank


@behave.then("both routes of the first tenant go before those of the second")
def tenants_first(context):
    """Compare the ranks of the tenants."""
    ranks = context.ranks
    assert max(ranks[1, 0], ranks[1, 2]) < min(ranks[2, 0], ranks[2, 2]), ranks


@behave.then("of each tenant the route of priority 0 goes first")
def routes_second(context):
    """Compare the ranks of the routes."""
    ranks = context.ranks
    assert ranks[1, 0] < ranks[1, 2] and ranks[2, 0] < ranks[2, 2], ranks
