"""Steps for nodes on the platform, as separate processes."""

from concurrent import futures
import json
import signal
import time
from unittest import mock

import behave
import msgspec
import platform_mesh
import platform_soak
import programs
from standins import endpoint
from standins import store

from arbutusstall import errors
from arbutusstall._shell import http
from arbutusstall._timeline import lines

_ROSTER_TOPIC = "keyed.arbutusstall-roster"
# A node stores a new target without delay; 1 s leaves a wide margin.
_STORE_DELAY_S = 1.0
_REQUEST_INTERVAL_S = 0.02
_STORE_FAULTS = {
    "is out": store.Faults(out=True),
    "takes 3 seconds": store.Faults(delay_s=3.0),
    "loses its answers": store.Faults(lose_answers=True),
}


def _services(text):
    return text.replace(" and ", ", ").split(", ")


def _answered(context, node, **request):
    try:
        return context.platform.send(node, **request).status == 200
    except errors.ArbutusstallError:
        return False


@behave.given("nodes on the platform for {services}")
def start_mesh(context, services):
    """Start a node for each service named, with a target beside it."""
    mesh = platform_mesh.PlatformMesh(context.directory)
    context.add_cleanup(mesh.stop)
    context.platform = mesh
    for topic, values in getattr(context, "stored_before", {}).items():
        mesh.store.append(topic, values)
    for number, service in enumerate(_services(services)):
        mesh.add(f"n{number}", service)
    for node in mesh.nodes_by_name.values():
        platform_mesh.wait_until(lambda node=node: node.lines("node-started"))


@behave.step("the operator publishes version 3 with routes to both services")
def publish_both_routes(context):
    """Publish the routes and wait until every node uses all targets."""
    mesh = context.platform
    context.routes = {
        "lookup": platform_mesh.route("kvoty"),
        "booking": platform_mesh.route(
            "kvoty", prefix="/book/", kind="non_idempotent"
        ),
        "weigh": platform_mesh.route("vazeni", prefix="/w/"),
    }
    config = platform_mesh.configuration(3, context.routes)
    mesh.store.put("config", config)
    expected_bodies = {
        f"i-{node.name}\n".encode()
        for node in mesh.nodes_by_name.values()
        if node.service == "kvoty"
    }
    for name in mesh.nodes_by_name:
        received_bodies = set()

        def all_targets_answer(name=name, received_bodies=received_bodies):
            received_bodies.add(mesh.send(name).body)
            return expected_bodies <= received_bodies

        platform_mesh.wait_until(all_targets_answer, 20.0)


@behave.when(
    "the operator publishes version {version} that moves a route to vazeni"
)
def publish_move(context, version):
    """Change the service of one route."""
    routes = {**context.routes, "lookup": platform_mesh.route("vazeni")}
    value = platform_mesh.configuration(0, routes)
    # JSON numbers have no size limit, but msgspec encodes 64 bits at most.
    body = json.dumps({**value, "version": int(version)}).encode()
    context.platform.store.put("config", msgspec.Raw(body))


@behave.then("within 2 seconds every node routes it to vazeni")
def route_moved(context):
    """Send requests to each node until the new target answers."""
    mesh = context.platform
    started_s = time.monotonic()
    for name in mesh.nodes_by_name:
        platform_mesh.wait_until(
            lambda name=name: b"i-n2" in mesh.send(name).body, 2.0
        )
    assert time.monotonic() - started_s < 2.0


@behave.then("a request for each service is answered with its signature")
def both_answered(context):
    """Send requests for both services through every node."""
    mesh = context.platform
    for name in mesh.nodes_by_name:
        for path in ("/x/1?q=a%20b", "/w/2"):
            platform_mesh.wait_until(
                lambda name=name, path=path: _answered(
                    context, name, path=path
                ),
                6.0,
            )
            for _ in range(10):
                response = mesh.send(name, path)
                header_names = {pair[0].lower() for pair in response.headers}
                if "x-response-signature" not in header_names:
                    mesh.print_logs()
                assert "x-response-signature" in header_names, (
                    name,
                    path,
                    response,
                )


@behave.then(
    "its target got the caller's service and at most the route's deadline"
)
def headers_received(context):
    """Compare them with the node that accepted the request."""
    mesh = context.platform
    mesh.send("n2", "/x/7?a=%2F", request_id="from-vazeni")
    executed = [
        item
        for target in mesh.endpoints_by_node.values()
        for item in target.executed
        if item.request_id == "from-vazeni"
    ]
    assert len(executed) == 1, executed
    assert executed[0].caller_service == "vazeni"
    assert 0 < executed[0].deadline_ms <= 1500
    assert executed[0].path == "/x/7?a=%2F", executed[0].path


@behave.then("a request without a route gets 404")
def no_route(context):
    """Send a path and a host that no route matches."""
    mesh = context.platform
    assert mesh.send("n0", "/y/1").status == 404
    assert mesh.send("n0", host="b.example").status == 404


@behave.then("a request is refused with 503 and a Retry-After")
def refused(context):
    """Check the status.

    A node without a configuration cannot know that a route is missing.
    """
    response = context.platform.send("n0")
    assert response.status == 503, response
    assert "retry-after" in {pair[0].lower() for pair in response.headers}


@behave.then("the node is not ready")
def not_ready(context):
    """Check that the platform would send no callers to it."""
    assert not context.platform.nodes_by_name["n0"].is_ready()


@behave.when("a machine for vazeni is added")
def add_machine(context):
    """Start a node and its target beside the others."""
    context.platform.add("n-added", "vazeni")


@behave.then("within {seconds:d} seconds every node uses its target")
def added_target_used(context, seconds):
    """Send requests through the older nodes until it has run one."""
    mesh = context.platform
    added = mesh.endpoints_by_node["n-added"]
    for name in mesh.nodes_by_name:
        run_before = len(added.executed)

        def is_used(name=name, run_before=run_before):
            mesh.send(name, "/w/1")
            return len(added.executed) > run_before

        platform_mesh.wait_until(is_used, seconds)


@behave.then("the status page of a node names version {version}")
def status_names_version(context, version):
    """Read the status; the log's part of a version is below 2**40."""
    node = context.platform.nodes_by_name["n0"]
    url = f"http://{node.admin}/v1/status"
    answer = http.send(http.Request(method="GET", url=url, fresh=True))
    assert answer.status == 200, answer
    assert json.loads(answer.body)["version"] >> 40 == int(version), answer


@behave.when("the first target reports that it drains")
def drain_first_target(context):
    """Drain it after it has run a request; its node acknowledges."""
    mesh = context.platform
    platform_mesh.wait_until(
        lambda: (
            any(mesh.send("n1").body == b"i-n0\n" for _ in range(20))
            or mesh.endpoints_by_node["n0"].executed
        )
    )
    assert mesh.endpoints_by_node["n0"].drain()
    context.executed_before_drain = len(mesh.endpoints_by_node["n0"].executed)


@behave.then("20 requests are all answered by the other target")
def other_answers(context):
    """Send requests through both nodes."""
    mesh = context.platform
    for number in range(20):
        response = mesh.send(f"n{number % 2}")
        assert response.status == 200, response
        assert response.body == b"i-n1\n", response
    assert (
        len(mesh.endpoints_by_node["n0"].executed)
        == context.executed_before_drain
    )


@behave.when(
    "its node is killed and a late heartbeat reaches the next process"
)
def send_late_heartbeat(context):
    """Send an older heartbeat, in which the target is ready."""
    mesh = context.platform
    node = mesh.nodes_by_name["n0"]
    node.kill()
    node.start()
    platform_mesh.wait_until(node.is_ready)
    mesh.endpoints_by_node["n0"].send_heartbeat(sequence=1, state="ready")


@behave.when("the store is out")
def store_out(context):
    """Answer every request to the store with an error."""
    context.platform.store.faults = store.Faults(out=True)


@behave.when("the fault of the store is that it {fault}")
def store_faulty(context, fault):
    """Set the store's faults."""
    context.platform.store.faults = _STORE_FAULTS[fault]


@behave.when("the first target leaves without draining and still serves")
def leave_first_target(context):
    """Let the target leave after it has run a request."""
    mesh = context.platform
    platform_mesh.wait_until(lambda: mesh.send("n1").body == b"i-n0\n")
    assert mesh.endpoints_by_node["n0"].leave()


@behave.when("all nodes start again before the store answers")
def restart_all_in_outage(context):
    """Kill all nodes, and end the outage once they run."""
    mesh = context.platform
    mesh.restart()
    for node in mesh.nodes_by_name.values():
        platform_mesh.wait_until(
            lambda node=node: node.lines("roster-not-read")
        )
    mesh.store.faults = store.Faults()


@behave.when("all nodes start again after the store answers")
def restart_all_after_outage(context):
    """Kill all nodes, and end the outage before they start."""
    mesh = context.platform
    for node in mesh.nodes_by_name.values():
        node.kill()
    mesh.store.faults = store.Faults()
    mesh.restart()


@behave.when("all nodes start again, and a late heartbeat arrives")
def late_heartbeat_in_outage(context):
    """Deliver an older heartbeat to the next process, then end the outage."""
    mesh = context.platform
    mesh.restart()
    first = mesh.endpoints_by_node["n0"]
    platform_mesh.wait_until(
        lambda: first.send_heartbeat(sequence=1, state="ready")
    )
    mesh.store.faults = store.Faults()


@behave.when(
    "the store answers, then all nodes start, and a late heartbeat arrives"
)
def late_heartbeat_after_outage(context):
    """Deliver an older heartbeat to a process that has read the roster."""
    restart_all_after_outage(context)
    mesh = context.platform
    platform_mesh.wait_until(mesh.nodes_by_name["n0"].is_ready)
    first = mesh.endpoints_by_node["n0"]
    assert first.send_heartbeat(sequence=1, state="ready")


@behave.then(
    "for {seconds:d} seconds all requests are answered by the other target"
)
def other_answers_for(context, seconds):
    """Send requests once the second target serves; count the first's runs."""
    mesh = context.platform
    first = mesh.endpoints_by_node["n0"]
    for name in mesh.nodes_by_name:
        platform_mesh.wait_until(
            lambda name=name: _answered(context, name), 12.0
        )
    executed_before = len(first.executed)
    until_s = time.monotonic() + seconds
    answered = 0
    while time.monotonic() < until_s:
        for name in mesh.nodes_by_name:
            answered += mesh.send(name).body == b"i-n1\n"
            time.sleep(_REQUEST_INTERVAL_S)
    assert len(first.executed) == executed_before, first.executed[-1]
    assert answered > seconds, answered


@behave.when("the first node starts again")
def restart_first_node(context):
    """Kill the node of the first target and start it."""
    node = context.platform.nodes_by_name["n0"]
    node.kill()
    started_before = len(node.lines("node-starting"))
    node.start()
    platform_mesh.wait_until(
        lambda: len(node.lines("node-starting")) > started_before
    )


@behave.then("its target drains and leaves, each answered within 1 second")
def leaves_in_time(context):
    """Let it leave as soon as the node listens for heartbeats."""
    mesh = context.platform
    first = mesh.endpoints_by_node["n0"]
    first.state = "silent"
    platform_mesh.wait_until(mesh.nodes_by_name["n0"].listens_for_heartbeats)
    assert first.drain()
    assert first.leave()


@behave.then(
    "within {seconds:d} seconds the second node is answered by the first"
    " target"
)
def first_answers(context, seconds):
    """Send requests through the second node."""
    mesh = context.platform
    first = mesh.endpoints_by_node["n0"]
    count = len(first.executed)
    platform_mesh.wait_until(
        lambda: mesh.send("n1") and len(first.executed) > count, seconds
    )


@behave.when(
    "its node is stopped and the store answers {seconds:g} seconds later"
)
def stop_in_outage(context, seconds):
    """End the outage while the node stops."""
    mesh = context.platform
    with futures.ThreadPoolExecutor(max_workers=1) as pool:
        ended = pool.submit(mesh.nodes_by_name["n0"].terminate)
        time.sleep(seconds)
        mesh.store.faults = store.Faults()
        assert ended.result() == 0


@behave.then("the roster has the departure when the node has ended")
def departure_saved(context):
    """Read the entry of the node; nobody else has written it yet."""
    _, value = context.platform.store.newest(_ROSTER_TOPIC)["n0"]
    assert msgspec.json.decode(value)["departed"], value


@behave.when("its node stops")
def stop_first_node(context):
    """Stop the node of the first target; its target is gone then."""
    mesh = context.platform
    mesh.endpoints_by_node["n0"].state = "silent"
    assert mesh.nodes_by_name["n0"].terminate() == 0


@behave.when(
    "the store answers, and {seconds:d} seconds later all nodes start again"
)
def restart_after_outage(context, seconds):
    """Kill the node that is left and start both; no target announces."""
    mesh = context.platform
    mesh.store.faults = store.Faults()
    time.sleep(seconds)
    mesh.endpoints_by_node["n1"].state = "silent"
    mesh.nodes_by_name["n1"].kill()
    for node in mesh.nodes_by_name.values():
        node.start()
    for node in mesh.nodes_by_name.values():
        platform_mesh.wait_until(node.is_ready)


@behave.when("all nodes are killed and the targets send no heartbeats")
def silence_and_kill(context):
    """Stop the heartbeats; the targets still answer requests."""
    mesh = context.platform
    for target in mesh.endpoints_by_node.values():
        target.state = "silent"
    for node in mesh.nodes_by_name.values():
        node.kill()


@behave.when("the nodes are started again")
def start_again(context):
    """Start all nodes at the same time."""
    for node in context.platform.nodes_by_name.values():
        node.start()


@behave.then("targets that announce themselves again are not stored again")
def roster_unchanged(context):
    """Check that the store gets no second record of a target.

    Its heartbeat differs from the record only by the node's restart.
    """
    mesh = context.platform
    stored_before = len(mesh.store.records(_ROSTER_TOPIC))
    assert stored_before == len(mesh.nodes_by_name)
    for target in mesh.endpoints_by_node.values():
        target.state = "ready"
        assert target.send_heartbeat()
    time.sleep(_STORE_DELAY_S)
    assert len(mesh.store.records(_ROSTER_TOPIC)) == stored_before


@behave.when("a soak with seed {seed:d} runs for {seconds:d} seconds")
def soak(context, seed, seconds):
    """Run six nodes with series of failures that overlap."""
    new_soak = platform_soak.Soak(context.directory, seed, nodes=6)
    context.violations = new_soak.run(seconds)
    context.soak = new_soak


@behave.given(
    "a soak in which a booking ran {runs:d} times and got {status:d}"
)
def constructed_soak(context, runs, status):
    """Construct the records of a run without starting nodes."""
    new_soak = platform_soak.Soak(context.directory, 1, nodes=0)
    context.add_cleanup(new_soak.mesh.stop)
    executed_request = endpoint.ExecutedRequest(
        request_id="r",
        method="POST",
        path="/book/r",
        caller_service="kvoty",
        deadline_ms=1,
        body=b"",
    )
    new_soak.mesh.endpoints_by_node["n0"] = mock.Mock(
        executed=[executed_request] * runs
    )
    new_soak.sent.append(
        platform_soak.Sent(
            request_id="r",
            node="n0",
            booking=True,
            began_s=10.0,
            ended_s=11.0,
            status=status,
            own=True,
        )
    )
    context.soak = new_soak


@behave.then("it reports a violation of {promise}")
def violation_reported(context, promise):
    """Compare the names at the start of the reported violations."""
    violated = [line.partition(":")[0] for line in context.soak.violations()]
    assert violated == ([] if promise == "nothing" else [promise]), violated


@behave.then("no guarantee to callers and targets was violated")
def no_violation(context):
    """Check too that enough calls succeeded and failures occurred."""
    answered = sum(item.status == 200 for item in context.soak.sent)
    assert not context.violations, context.violations
    assert answered > 100 and context.soak.fault_intervals, (
        answered,
        context.soak,
    )


@behave.when("the targets reset the connection of each request that they run")
def reset_connections(context):
    """Let the targets run each request and lose its answer."""
    for target in context.platform.endpoints_by_node.values():
        target.behaviour = endpoint.Behaviour(reset=True)


@behave.then("a booking gets 502 and ran once")
def booking_unknown(context):
    """Check that the request is neither retried nor reported as not run."""
    mesh = context.platform
    response = mesh.send(
        "n0", "/book/1", method="POST", body=b"one", request_id="booking"
    )
    assert response.status == 502, response
    assert mesh.runs("booking") == 1


@behave.then(
    "its time line leads from the caller's node to where the answer was lost"
)
def booking_timeline(context):
    """Check the nodes of the lines; the caller's node names its peer.

    The filters by node and by time are checked as well.
    """
    logs = [
        str(node.output) for node in context.platform.nodes_by_name.values()
    ]
    platform_mesh.wait_until(
        lambda: context.platform.nodes_by_name["n0"].lines("call-unknown")
    )
    done = programs.run("timeline", "--request", "booking", *logs)
    assert done.returncode == 0, done.stderr
    timeline = [lines.parse(text) for text in done.stdout.splitlines()]
    unknown = [line for line in timeline if line.event == "call-unknown"]
    at_target, at_caller = unknown[0], unknown[-1]
    assert at_caller.node == "n0", timeline
    assert at_caller.get("peer") == at_target.node, timeline
    node_timeline = programs.run("timeline", "--node", "n1", *logs).stdout
    assert node_timeline and {
        lines.parse(t).node for t in node_timeline.splitlines()
    } == {"n1"}
    future = str(time.time() + 60.0)
    assert not programs.run("timeline", "--since", future, *logs).stdout


@behave.when("the node gets SIGHUP with a changed, then with a broken file")
def reload_settings(context):
    """Wait for the log line about each file."""
    node = context.platform.nodes_by_name["n0"]
    text = node.settings.read_text()
    node.settings.write_text(text.replace('"20s"', '"40s"'))
    node.process.send_signal(signal.SIGHUP)
    platform_mesh.wait_until(lambda: node.lines("settings-reloaded"))
    node.settings.write_text("nodeId = ")
    node.process.send_signal(signal.SIGHUP)
    platform_mesh.wait_until(lambda: node.lines("settings-refused"))


@behave.then("it logs each reload and still answers")
def still_answers(context):
    """Check that the previous settings stay in force."""
    assert _answered(context, "n0")


@behave.when("a node is stopped while it waits for a slow target")
def stop_during_call(context):
    """Stop the node 0.3 s into a call that takes a second."""
    mesh = context.platform
    for target in mesh.endpoints_by_node.values():
        target.behaviour = endpoint.Behaviour(delay_s=1.0)
    with futures.ThreadPoolExecutor(max_workers=1) as pool:
        answer = pool.submit(mesh.send, "n0")
        time.sleep(0.3)
        context.code = mesh.nodes_by_name["n0"].terminate()
        context.answer = answer.result()


@behave.then("the answer arrives whole and the node ends with code 0")
def answered_whole(context):
    """Check the answer and the exit code.

    `terminate` fails if the node does not end within 10 s.
    """
    assert context.answer.status == 200, context.answer
    assert context.answer.body.startswith(b"i-n"), context.answer
    assert context.code == 0, context.code
