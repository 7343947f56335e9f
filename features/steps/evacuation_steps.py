"""Steps for the evacuation of data centres."""

import asyncio
import contextlib
import dataclasses
import json
import random
import threading
import time

import behave
import calls
import fleet
import msgspec
import platform_mesh
from standins import store as store_standins
import untrusted_readers

from arbutusstall import _clock
from arbutusstall import _core
from arbutusstall import _effects
from arbutusstall import errors
from arbutusstall import settings
from arbutusstall._evacuation import register
from arbutusstall._proxy import inbound
from arbutusstall._shell import events
from arbutusstall._shell import http
from arbutusstall._systems import admission
from arbutusstall._systems import balancing
from arbutusstall._systems import capacity
from arbutusstall._systems import routing
from arbutusstall._tables import agreed
from arbutusstall._tables import members
from arbutusstall._wire import messages
from arbutusstall.platform import dialect
from arbutusstall.platform import operator
from arbutusstall.platform import store as stores

_NOW = _clock.Instant(mono_s=10.0, wall_s=10.0)
_SERVICE = "kvoty"
_BOUND_S = 5.0
_LONG_CALL_S = 1.0
_CALLS = 400


def _register(text):
    if text == "nothing":
        return register.Register()
    era, offset, names = text.split("/")
    return register.Register(
        era=int(era),
        offset=int(offset),
        data_centres=tuple(filter(None, names.split(","))),
    )


def _make_core():
    found = settings.NodeSettings(
        node="n0",
        data_centre="lipno",
        addresses=settings.AddressSettings(
            callers="127.0.0.1:1",
            inbound="127.0.0.1:2",
            relay="127.0.0.1:2",
            admin="127.0.0.1:3",
        ),
        log=settings.LogSettings(url="http://127.0.0.1:4"),
    )
    return _core.NodeCore(found, random.Random(1), 1)


@behave.given("a node that knows the register {known}")
def node_with_register(context, known):
    """Let the node read it from the source."""
    context.core = _make_core()
    context.core.handle(
        _effects.EvacuationsRead(register=_register(known)), _NOW
    )


@behave.when("it learns {news}")
def learn_evacuation(context, news):
    """Deliver a heartbeat with a register, or a record of the source."""
    if not news.startswith("record"):
        heartbeat = messages.Heartbeat(
            attached=True,
            label=1,
            version=0,
            members=0,
            evacuations=_register(news),
        )
        decoded = messages.decode(messages.encode(heartbeat))
        event = _effects.Received(peer="n1", message=decoded)
    else:
        _, offset, verb, name = news.split(" ")
        event = _effects.EvacuationChanged(
            era=0,
            offset=int(offset),
            data_centre=name,
            evacuated=verb == "evacuates",
        )
    context.core.handle(event, _NOW)


@behave.then("it evacuates {result}")
def check_register(context, result):
    """Compare the register that the node has."""
    names = ",".join(context.core.tables.evacuations.data_centres)
    assert (names or "nothing") == result, names


@behave.given("the operator has written and taken back evacuations")
def write_evacuations(context):
    """Write records of three zones, and one whose zone is no name."""
    context.records = [
        stores.KeyedRecord(key=f"evacuate/{zone}", value=value, offset=offset)
        for offset, (zone, value) in enumerate(
            (
                ("lipno", b"{}"),
                ("tabor", b"{}"),
                ("lipno", b""),
                ("\x07", b"{}"),
                ("zatec", b"odd"),
            )
        )
    ]


@behave.then("a read of the whole topic tells those in force")
def read_whole_topic(context):
    """Let the source read the newest record of each key."""
    newest = {record.key: record for record in context.records}
    memory = untrusted_readers.MemoryStore(newest.values())
    read = operator.OperatorSource(memory).read_all()
    assert read.evacuations == register.Register(
        offset=9, data_centres=("tabor", "zatec")
    ), read
    assert not read.events, read


@behave.then("a read from a position tells each change")
def read_changes(context):
    """Apply the changes to a register that knows nothing."""
    memory = untrusted_readers.MemoryStore(context.records)
    core = _make_core()
    empty = register.Register(offset=0)
    core.handle(_effects.EvacuationsRead(register=empty), _NOW)
    for event in operator.OperatorSource(memory).read_from(0, 0.0).events:
        core.handle(event, _NOW)
    found = core.tables.evacuations
    assert found.data_centres == ("tabor", "zatec"), found
    assert found.offset == len(context.records), found


def _row(name, data_centre, version):
    return members.Member(
        node=name,
        data_centre=data_centre,
        incarnation=1,
        state=members.MemberState.SERVING,
        service=_SERVICE,
        version=version,
        slots=8,
    )


@behave.given("endpoints of v1 in lipno and tabor and of v2 in lipno")
def make_endpoints(context):
    """Let both versions have half of the calls."""
    rows = [_row(f"l{n}", "lipno", "v1") for n in range(4)]
    rows += [_row(f"t{n}", "tabor", "v1") for n in range(4)]
    rows += [_row(f"m{n}", "lipno", "v2") for n in range(4)]
    shares = agreed.Shares(
        service=_SERVICE, percent_by_version={"v1": 50.0, "v2": 50.0}
    )
    context.view = _effects.View(
        snapshot=agreed.Snapshot(shares_by_service={_SERVICE: shares}),
        members_by_service={_SERVICE: tuple(rows)},
    )
    context.core = _make_core()
    for row in rows:
        context.core.tables.members_by_node[row.node] = row
    context.rng = random.Random(3)
    context.balancer = balancing.Balancer("lipno", context.rng)
    context.balancer.update_endpoints(context.view, 0.0)
    assert "l" in {name[0] for name in _choose(context, 10.0)}


def _choose(context, now_s):
    """Return the nodes that calls of all versions are sent to."""
    chosen = []
    for _ in range(_CALLS):
        version = routing.choose_version(context.view, _SERVICE, context.rng)
        member = context.balancer.choose(
            context.view, _SERVICE, version, now_s
        )
        chosen.append(member.node)
    return chosen


def _evacuate(context, names, offset, now_s):
    context.view = dataclasses.replace(
        context.view, evacuated=frozenset(names)
    )
    context.balancer.update_endpoints(context.view, now_s)
    found = register.Register(offset=offset, data_centres=names)
    context.core.handle(_effects.EvacuationsRead(register=found), _NOW)


@behave.when("lipno is evacuated")
def evacuate_one(context):
    """Put a view in force that says so."""
    _evacuate(context, ("lipno",), 1, 10.0)


@behave.when("lipno and tabor are evacuated")
def evacuate_both(context):
    """Put a view in force that says so."""
    _evacuate(context, ("lipno", "tabor"), 1, 10.0)


@behave.when("lipno is no longer evacuated")
def free_one(context):
    """Put a view in force without evacuations."""
    _evacuate(context, (), 2, 20.0)


@behave.then("no call goes to lipno, and v2 gets none")
def none_to_evacuated(context):
    """Check the nodes that calls are sent to."""
    assert {name[0] for name in _choose(context, 12.0)} == {"t"}


@behave.then("a version that is only in lipno can carry no share of a rollout")
def no_capacity(context):
    """Check the capacity by which rollouts are planned."""
    tables = context.core.tables
    assert capacity.of_version(tables, _SERVICE, "v1").endpoints == 4
    assert capacity.of_version(tables, _SERVICE, "v2").endpoints == 0


@behave.then("its endpoints start with a small share of the calls")
def small_share_after_evacuation(context):
    """Compare the share of v1 there at once and after the slow start."""

    def share(now_s):
        chosen = [name[0] for name in _choose(context, now_s)]
        return chosen.count("l") / max(1, chosen.count("t"))

    assert share(20.1) < 1.5, share(20.1)
    assert share(30.0) > 10.0, share(30.0)


@behave.then("no version is chosen and nothing fails")
def no_version(context):
    """Choose as a call does."""
    version = routing.choose_version(context.view, _SERVICE, context.rng)
    assert version is None, version
    choose = context.balancer.choose
    assert choose(context.view, _SERVICE, "v1", 12.0) is None


@behave.given(
    "a target with one slot that runs a call while another one waits"
)
def target_with_one_slot(context):
    """The calls run in the step that lets the node learn."""
    context.answers = {}


@behave.when("its node learns that its data centre is evacuated")
def evacuate_beside_target(context):
    """Send calls before the evacuation, in it and after it."""
    asyncio.run(_evacuate_beside_target(context))


async def _evacuate_beside_target(context):
    may_answer = asyncio.Event()
    context.reached = []

    serving = []

    async def serve(reader, writer):
        serving.append(asyncio.current_task())
        with contextlib.suppress(asyncio.IncompleteReadError):
            await answer_all(reader, writer)

    async def answer_all(reader, writer):
        while head := await reader.readuntil(b"\r\n\r\n"):
            name = head.partition(b"X-Request-Id: ")[2].partition(b"\r")[0]
            context.reached.append(name.decode())
            await may_answer.wait()
            writer.write(
                b"HTTP/1.1 200 OK\r\nX-Response-Signature: s\r\n"
                b"X-Request-Id: " + name + b"\r\nContent-Length: 0\r\n\r\n"
            )

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    found = fleet.settings(0, "lipno")
    proxy = inbound.Inbound(
        found,
        dialect.PlatformDialect(_SERVICE),
        1,
        lambda event: None,
        events.EventLog(found),
    )
    proxy.set_target(
        _effects.Announced(
            service=_SERVICE,
            version="v1",
            address="{}:{}".format(*server.sockets[0].getsockname()),
            slots=1,
        )
    )

    def submit(name, rank=1):
        done = asyncio.get_running_loop().create_future()
        call = calls.booking(
            call_id=name,
            request_id=name,
            service=_SERVICE,
            version="v1",
            incarnation=1,
            sent_ms=proxy.now_ms(),
            deadline_ms=4_000,
            rank=rank,
        )
        call = msgspec.structs.replace(call, headers=(("X-Request-Id", name),))
        proxy.submit(call, done.set_result)
        return done

    async with asyncio.timeout(_BOUND_S):
        sent = {"running": submit("running"), "waiting": submit("waiting")}
        while not context.reached:
            await asyncio.sleep(0.01)
        proxy.put_in_force(_effects.View(evacuated=frozenset({"lipno"})))
        sent |= {"new": submit("new"), "nested": submit("nested", -1)}
        context.refused_in_time = sent["waiting"].done()
        may_answer.set()
        await sent["running"]
        proxy.put_in_force(_effects.View())
        sent["after"] = submit("after")
        context.answers = {name: await job for name, job in sent.items()}
    proxy.stop()
    server.close()
    await asyncio.gather(*serving)


@behave.then("the waiting call and new and nested ones are refused as not run")
def refused_beside_target(context):
    """Check the reasons of the refusals."""
    assert context.refused_in_time
    for name in ("waiting", "new", "nested"):
        answer = context.answers[name]
        assert answer.not_run == admission.EVACUATED, (name, answer)


@behave.then("the running call is answered, and the target got no other one")
def running_answered(context):
    """Check what reached the target until the end of the evacuation."""
    assert context.answers["running"].status == 200, context.answers
    assert context.reached == ["running", "after"], context.reached


@behave.then("a call after the end of the evacuation is answered")
def answered_after(context):
    """Check its status."""
    assert context.answers["after"].status == 200, context.answers


class _Views(dict):
    """Keeps every view of each node, not only the last."""

    def __init__(self, known):
        super().__init__(known)
        self.all_by_name = {}

    def __setitem__(self, name, view):
        super().__setitem__(name, view)
        self.all_by_name.setdefault(name, []).append(view)


@behave.when("the roots read that lipno is evacuated")
def roots_read_evacuation(context):
    """Deliver the whole set to one root and the record to the others."""
    nodes = context.fleet
    for number, name in enumerate(sorted(nodes.roots())):
        empty = register.Register(offset=4)
        nodes.put(name, _effects.EvacuationsRead(register=empty))
        if not number:
            found = register.Register(offset=5, data_centres=("lipno",))
            nodes.put(name, _effects.EvacuationsRead(register=found))


@behave.then("within {seconds:d} seconds every node evacuates {names}")
def all_evacuate(context, seconds, names):
    """Check the views by which the nodes route calls."""
    expected = frozenset() if names == "nothing" else frozenset({names})
    views = context.fleet.views_by_name
    fleet.wait_until(
        context.fleet,
        lambda: all(view.evacuated == expected for view in views.values()),
        float(seconds),
    )


@behave.when("half of the nodes restart while the log is out")
def restart_half(context):
    """Kill them together, and wait until all have a configuration."""
    nodes = context.fleet
    nodes.is_log_down = True
    nodes.views_by_name = _Views(nodes.views_by_name)
    context.names = sorted(nodes.cores_by_name)[::2]
    for name in context.names:
        found = nodes.cores_by_name[name].tables.settings
        nodes.kill(name)
        nodes.after(1.0, lambda found=found: nodes.add(found))
    nodes.run(2.0)
    fleet.wait_until(
        nodes,
        lambda: all(
            nodes.cores_by_name[name].tables.snapshot.version
            for name in context.names
        ),
        30.0,
    )


@behave.then("each knows the evacuation before it has a configuration")
def evacuation_first(context):
    """Check all views that were in force since."""
    for name in context.names:
        views = context.fleet.views_by_name.all_by_name[name]
        late = [
            view
            for view in views
            if view.snapshot.version and not view.evacuated
        ]
        assert not late, (name, len(late), len(views))


@behave.when("one root reads that lipno is free again")
def root_reads_end(context):
    """Deliver the record to a root that still runs."""
    nodes = context.fleet
    nodes.is_log_down = False
    fleet.wait_until(nodes, nodes.roots, 30.0)
    nodes.run(20.0)
    change = _effects.EvacuationChanged(
        era=0, offset=7, data_centre="lipno", evacuated=False
    )
    nodes.put(sorted(nodes.roots())[0], change)


@behave.given("nodes of kvoty in {zones} on the platform")
def start_nodes_in_zones(context, zones):
    """Start a node and its target in each zone named."""
    mesh = platform_mesh.PlatformMesh(context.directory)
    context.add_cleanup(mesh.stop)
    context.platform = mesh
    context.zones = {}
    for number, zone in enumerate(zones.replace(" and ", ", ").split(", ")):
        mesh.add(f"n{number}", _SERVICE, zone)
        context.zones[f"n{number}"] = zone


@behave.given("the operator publishes a route to all of their targets")
def publish_route_to_all(context):
    """Wait until every node uses all targets."""
    mesh = context.platform
    content = platform_mesh.configuration(
        3, {"r": platform_mesh.route(_SERVICE, timeout="4000ms")}
    )
    mesh.store.put("config", content)
    for node in mesh.nodes_by_name.values():
        platform_mesh.wait_until(lambda node=node: _knows_all(mesh, node))
    _wait_for_targets(mesh)


def _knows_all(mesh, node):
    request = http.Request(
        method="GET", url=f"http://{node.admin}/v1/status", fresh=True
    )
    try:
        found = json.loads(http.send(request).body)
    except errors.ArbutusstallError:
        return False
    return found["serving"] == len(mesh.nodes_by_name)


def _wait_for_targets(mesh):
    """Send requests through all nodes until each target has answered.

    Nodes prefer targets of their own data centre.
    """
    for node in mesh.nodes_by_name.values():
        platform_mesh.wait_until(node.is_ready, 20.0)
    expected = {f"i-{name}\n".encode() for name in mesh.nodes_by_name}
    received = set()

    def all_targets_answer():
        received.update(mesh.send(name).body for name in mesh.nodes_by_name)
        return expected <= received

    platform_mesh.wait_until(all_targets_answer, 20.0)


@behave.when("the operator evacuates lipno")
def evacuate_zone(context):
    """Write the record while a long request of a node there runs."""
    mesh = context.platform
    there = [name for name, zone in context.zones.items() if zone == "lipno"]
    targets = [mesh.endpoints_by_node[name] for name in there]
    for target in targets:
        target.behaviour = dataclasses.replace(
            target.behaviour, delay_s=_LONG_CALL_S
        )
    context.long_answers = []

    def send():
        context.long_answers.append(mesh.send(there[0], request_id="long"))

    thread = threading.Thread(target=send)
    thread.start()
    platform_mesh.wait_until(lambda: mesh.runs("long"))
    mesh.store.put("evacuate/lipno", {})
    context.evacuated_s = time.monotonic()
    context.targets = targets
    thread.join()
    for target in targets:
        target.behaviour = dataclasses.replace(target.behaviour, delay_s=0.0)


@behave.then("no target in lipno gets a request later than 5 seconds")
def none_reaches_zone(context):
    """Check the arrivals at the targets."""
    if context.outcomes.count(200) < 0.99 * len(context.outcomes):
        context.platform.print_logs()
    late = [
        item.at_s - context.evacuated_s
        for target in context.targets
        for item in target.arrivals
        if item.at_s > context.evacuated_s + _BOUND_S
    ]
    if late:
        context.platform.print_logs()
    assert not late, late


@behave.then("requests that run when it begins are answered by their targets")
def long_request_answered(context):
    """Check the request that ran then, and that it ran once."""
    assert [item.status for item in context.long_answers] == [200]
    assert context.platform.runs("long") == 1


@behave.when("the store is out and the nodes of lipno restart")
def restart_zone(context):
    """Wait until they have the configuration again."""
    mesh = context.platform
    mesh.store.faults = store_standins.Faults(out=True)
    for name, zone in context.zones.items():
        if zone == "lipno":
            mesh.nodes_by_name[name].kill()
            mesh.nodes_by_name[name].start()
    for node in mesh.nodes_by_name.values():
        platform_mesh.wait_until(node.is_ready, 30.0)


@behave.when("the store is back and the operator takes the evacuation back")
def take_back(context):
    """Write the record without a value."""
    store = context.platform.store
    store.faults = store_standins.Faults()
    store.append("keyed.op", [stores.encode_keyed("evacuate/lipno", b"")])


@behave.then("every target gets requests again")
def targets_used_again(context):
    """Send requests until each has answered one."""
    _wait_for_targets(context.platform)
