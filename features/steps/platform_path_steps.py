"""Steps for nodes on the platform, as processes of their own."""

from concurrent import futures
import signal
import time
from unittest import mock

import behave
import platform_mesh
import platform_soak
import programs
from standins import endpoint

from arbutusstall import errors
from arbutusstall._timeline import lines

_ROSTER_TOPIC = "keyed.arbutusstall-roster"
# A node stores a new target at once; a second is ample.
_SAVED_S = 1.0


def _services(text):
    return text.replace(" and ", ", ").split(", ")


def _answered(context, node, **request):
    try:
        return context.platform.send(node, **request).status == 200
    except errors.ArbutusstallError:
        return False


@behave.given("nodes on the platform for {services}")
def start_mesh(context, services):
    """One node a service named, with a target beside it."""
    mesh = platform_mesh.PlatformMesh(context.directory)
    context.add_cleanup(mesh.stop)
    context.platform = mesh
    for number, service in enumerate(_services(services)):
        mesh.add(f"n{number}", service)
    for node in mesh.nodes_by_name.values():
        platform_mesh.wait_until(lambda node=node: node.lines("node-started"))


@behave.step("the operator publishes version 3 with routes to both services")
def publish(context):
    """Publish, and wait until each node answers."""
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
    wanted = {
        f"i-{node.name}\n".encode()
        for node in mesh.nodes_by_name.values()
        if node.service == "kvoty"
    }
    for name in mesh.nodes_by_name:
        found = set()

        def complete(name=name, found=found):
            found.add(mesh.send(name).body)
            return wanted <= found

        platform_mesh.wait_until(complete, 20.0)


@behave.when("the operator publishes version 8 that moves a route to vazeni")
def publish_move(context):
    """Change one route."""
    routes = {**context.routes, "lookup": platform_mesh.route("vazeni")}
    mesh = context.platform
    mesh.store.put("config", platform_mesh.configuration(8, routes))


@behave.then("within 2 seconds every node sends it to vazeni")
def moved(context):
    """Ask each node until the right target answers."""
    mesh = context.platform
    began_s = time.monotonic()
    for name in mesh.nodes_by_name:
        platform_mesh.wait_until(
            lambda name=name: b"i-n2" in mesh.send(name).body, 2.0
        )
    assert time.monotonic() - began_s < 2.0


@behave.then("a request for each service is answered with its signature")
def both_answered(context):
    """Through every node."""
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
                names = {pair[0].lower() for pair in response.headers}
                if "x-response-signature" not in names:
                    mesh.print_logs()
                assert "x-response-signature" in names, (name, path, response)


@behave.then("its target saw the caller's service and no longer deadline")
def seen_headers(context):
    """Compare with the node that took the request."""
    mesh = context.platform
    mesh.send("n2", "/x/7?a=%2F", request_id="from-vazeni")
    seen = [
        item
        for target in mesh.endpoints_by_node.values()
        for item in target.executed
        if item.request_id == "from-vazeni"
    ]
    assert len(seen) == 1, seen
    assert seen[0].caller_service == "vazeni"
    assert 0 < seen[0].deadline_ms <= 1500
    assert seen[0].path == "/x/7?a=%2F", seen[0].path


@behave.then("a request without a route gets 404")
def no_route(context):
    """By path and by host."""
    mesh = context.platform
    assert mesh.send("n0", "/y/1").status == 404
    assert mesh.send("n0", host="b.example").status == 404


@behave.then("a request is refused with 503 and a Retry-After")
def refused(context):
    """Nothing is known yet, so nothing can be denied."""
    response = context.platform.send("n0")
    assert response.status == 503, response
    assert "retry-after" in {pair[0].lower() for pair in response.headers}


@behave.then("the node is not ready")
def not_ready(context):
    """The platform sends no callers."""
    assert not context.platform.nodes_by_name["n0"].is_ready()


@behave.when("the first target says that it drains")
def drain(context):
    """Its node acknowledges."""
    mesh = context.platform
    platform_mesh.wait_until(
        lambda: (
            any(mesh.send("n1").body == b"i-n0\n" for _ in range(20))
            or mesh.endpoints_by_node["n0"].executed
        )
    )
    assert mesh.endpoints_by_node["n0"].drain()
    context.drained = len(mesh.endpoints_by_node["n0"].executed)


@behave.then("20 requests are all answered by the other target")
def other_answers(context):
    """Through both nodes."""
    mesh = context.platform
    for number in range(20):
        response = mesh.send(f"n{number % 2}")
        assert response.status == 200, response
        assert response.body == b"i-n1\n", response
    assert len(mesh.endpoints_by_node["n0"].executed) == context.drained


@behave.when(
    "its node is killed and a late heartbeat reaches the next process"
)
def late_heartbeat(context):
    """An older heartbeat says that the target is ready."""
    mesh = context.platform
    node = mesh.nodes_by_name["n0"]
    node.kill()
    node.start()
    platform_mesh.wait_until(node.is_ready)
    mesh.endpoints_by_node["n0"].send_heartbeat(sequence=1, state="ready")


@behave.when("all nodes are killed and the targets fall silent")
def kill_all(context):
    """The targets serve on but send no heartbeat."""
    mesh = context.platform
    for target in mesh.endpoints_by_node.values():
        target.state = "silent"
    for node in mesh.nodes_by_name.values():
        node.kill()


@behave.when("the nodes are started again")
def start_again(context):
    """All at once."""
    for node in context.platform.nodes_by_name.values():
        node.start()


@behave.then("targets that announce themselves again are not stored again")
def not_stored_again(context):
    """What the store has of them differs by the nodes' restart only."""
    mesh = context.platform
    before = len(mesh.store.records(_ROSTER_TOPIC))
    assert before == len(mesh.nodes_by_name)
    for target in mesh.endpoints_by_node.values():
        target.state = "ready"
        assert target.send_heartbeat()
    time.sleep(_SAVED_S)
    assert len(mesh.store.records(_ROSTER_TOPIC)) == before


@behave.when("a soak with seed {seed:d} runs for {seconds:d} seconds")
def soak(context, seed, seconds):
    """Six nodes; failures come in series and overlap."""
    run = platform_soak.Soak(context.directory, seed, nodes=6)
    context.broken = run.run(seconds)
    context.soak = run


@behave.given(
    "a soak in which a booking ran {runs:d} times and got {status:d}"
)
def made_up_soak(context, runs, status):
    """Without nodes; what was seen is made up."""
    run = platform_soak.Soak(context.directory, 1, nodes=0)
    context.add_cleanup(run.mesh.stop)
    seen = endpoint.ExecutedRequest(
        request_id="r",
        method="POST",
        path="/book/r",
        caller_service="kvoty",
        deadline_ms=1,
        body=b"",
    )
    run.mesh.endpoints_by_node["n0"] = mock.Mock(executed=[seen] * runs)
    run.sent.append(
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
    context.soak = run


@behave.then("it finds that {promise} was broken")
def found_broken(context, promise):
    """Each finding begins with the promise."""
    found = [line.partition(":")[0] for line in context.soak.violations()]
    assert found == ([] if promise == "nothing" else [promise]), found


@behave.then("callers and targets saw no broken promise")
def nothing_broken(context):
    """And enough happened to tell."""
    answered = sum(item.status == 200 for item in context.soak.sent)
    assert not context.broken, context.broken
    assert answered > 100 and context.soak.fault_intervals, (
        answered,
        context.soak,
    )


@behave.when("the targets reset the connections of what they run")
def reset(context):
    """They run each request and lose its answer."""
    for target in context.platform.endpoints_by_node.values():
        target.behaviour = endpoint.Behaviour(reset=True)


@behave.then("a booking gets 502 and ran once")
def booking_lost(context):
    """It may not run twice, and nobody may say that it did not run."""
    mesh = context.platform
    response = mesh.send(
        "n0", "/book/1", method="POST", body=b"one", request_id="booking"
    )
    assert response.status == 502, response
    assert mesh.runs("booking") == 1


@behave.then(
    "its time line leads from the caller's node to the node that lost it"
)
def booking_story(context):
    """Each line names its writer; the caller's node names its peer."""
    logs = [
        str(node.output) for node in context.platform.nodes_by_name.values()
    ]
    platform_mesh.wait_until(
        lambda: context.platform.nodes_by_name["n0"].lines("call-unknown")
    )
    done = programs.run("timeline", "--request", "booking", *logs)
    assert done.returncode == 0, done.stderr
    story = [lines.parse(text) for text in done.stdout.splitlines()]
    unknown = [line for line in story if line.event == "call-unknown"]
    at_target, at_caller = unknown[0], unknown[-1]
    assert at_caller.node == "n0", story
    assert at_caller.get("peer") == at_target.node, story
    only = programs.run("timeline", "--node", "n1", *logs).stdout
    assert only and {lines.parse(t).node for t in only.splitlines()} == {"n1"}
    future = str(time.time() + 60.0)
    assert not programs.run("timeline", "--since", future, *logs).stdout


@behave.when("the node gets SIGHUP with a changed, then with a broken file")
def hang_up(context):
    """Wait for the line about each."""
    node = context.platform.nodes_by_name["n0"]
    text = node.settings.read_text()
    node.settings.write_text(text.replace('"20s"', '"40s"'))
    node.process.send_signal(signal.SIGHUP)
    platform_mesh.wait_until(lambda: node.lines("settings-reloaded"))
    node.settings.write_text("nodeId = ")
    node.process.send_signal(signal.SIGHUP)
    platform_mesh.wait_until(lambda: node.lines("settings-refused"))


@behave.then("it says so each time and still answers")
def still_answers(context):
    """The old settings stay in force."""
    assert _answered(context, "n0")


@behave.when("a node is stopped while it waits for a slow target")
def stop_busy(context):
    """The target answers after the signal."""
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
    """Within the time that the platform gives."""
    assert context.answer.status == 200, context.answer
    assert context.answer.body.startswith(b"i-n"), context.answer
    assert context.code == 0, context.code
