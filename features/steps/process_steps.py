"""Steps for calls between real processes."""

import signal
import threading

import behave

from arbutusstall._shell import http

_TIMEOUT_S = 30.0
_SLOW_ANSWER_S = 1.5


def _post(context, name, request_id, body=b"ticket"):
    callers = context.mesh.nodes_by_name[name].callers
    return http.Connection().send(
        http.Request(
            method="POST",
            url=f"http://{callers}/vazeni",
            headers=(("Arbutusstall-Request-Id", request_id),),
            body=body,
            timeout_s=20.0,
        )
    )


def _headers(response):
    return {name.lower(): value for name, value in response.headers}


@behave.when("all nodes route /vazeni")
def all_route(context):
    """Wait until a POST through each node is answered."""
    for name in context.mesh.nodes_by_name:
        assert context.mesh.wait_until(
            lambda name=name: _post(context, name, "warm").status == 200,
            _TIMEOUT_S,
        )


@behave.when(
    "a request that crashes targets is sent {count:d} times"
    " through different nodes"
)
def send_poison(context, count):
    """Send the request repeatedly, whatever its outcome."""
    names = list(context.mesh.nodes_by_name)
    for name in names:
        context.mesh.set_behaviour(name, crash_body="poison")
    context.responses = [
        _post(context, names[n % len(names)], f"poison-{n}", b"poison")
        for n in range(count)
    ]


def _ended_targets(context):
    return [
        name
        for name in context.mesh.nodes_by_name
        if context.mesh.processes_by_name[f"{name}-target"].poll() is not None
    ]


@behave.then("at most {count:d} targets ended")
def targets_ended(context, count):
    """Count the target processes that ended."""
    assert 0 < len(_ended_targets(context)) <= count, _ended_targets(context)


@behave.then("the request is refused as not run")
def refused_as_not_run(context):
    """Check that the last attempt did not reach a target."""
    last = _headers(context.responses[-1])
    assert last["arbutusstall-outcome"] == "not-run", last
    assert last["arbutusstall-reason"] == "crashed targets before", last


@behave.then("other POSTs are answered after the targets have restarted")
def others_answered(context):
    """Restart the ended targets and call through every node."""
    for name in _ended_targets(context):
        context.mesh.start_target(name)
    all_route(context)


@behave.when("a slow POST runs at a node that gets SIGTERM")
def stop_during_post(context):
    """Stop the node whose target runs the request.

    The request enters at the first node, which may be the same.
    """
    mesh = context.mesh
    names = list(mesh.nodes_by_name)
    for name in names:
        mesh.set_behaviour(name, delay_s=_SLOW_ANSWER_S)
    context.result = []
    sender = threading.Thread(
        target=lambda: context.result.append(_post(context, names[0], "slow"))
    )
    sender.start()
    assert mesh.wait_until(lambda: _executing_node(context) != "", _TIMEOUT_S)
    context.stopped = _executing_node(context)
    context.other = next(name for name in names if name != context.stopped)
    mesh.signal(context.stopped, signal.SIGTERM)
    sender.join(_TIMEOUT_S)


def _executing_node(context):
    for name in context.mesh.nodes_by_name:
        if "slow" in context.mesh.executions(name):
            return name
    return ""


@behave.then("the POST gets its answer and the node exits with 0")
def answered_and_exited(context):
    """Check the answer and the exit code of the stopped node."""
    assert [response.status for response in context.result] == [200], (
        context.result
    )
    process = context.mesh.processes_by_name[context.stopped]
    assert process.wait(_TIMEOUT_S) == 0


@behave.then("a POST through the other node is answered by the other target")
def other_answers(context):
    """Check that the stopped node's target ran nothing new."""
    assert _post(context, context.other, "next").status == 200
    assert "next" in context.mesh.executions(context.other)
    assert "next" not in context.mesh.executions(context.stopped)
