"""Steps for crowds of clients against the threaded interface."""

import behave
import crowds
import frame_crowds
import mesh

from arbutusstall._shell import http

_HANG_GUARD_S = 20.0
_START_TIMEOUT_S = 30.0
_SERVICE = "vazeni"
_NAMES = ("n0", "n1")
# The limits that a node on the platform has on such a machine.
_SMALL_READS = {
    "answer_bytes": 6_000_000,
    "frame_bytes": 9_000_000,
    "held_bytes": 25_000_000,
    "head_bytes": 12_500_000,
    "client_connections": 150,
}
_SENDERS_BY_KIND = frame_crowds.ALL_SENDERS_BY_KIND


def _address(running, name):
    return {
        "callers": running.callers,
        "calls": running.inbound,
        "admin": running.admin,
        "relay": running.relay,
    }[name]


def _pids(context):
    return [context.mesh.processes_by_name[name].pid for name in _NAMES]


def _is_answered(context, name):
    url = f"http://{context.mesh.nodes_by_name[name].callers}/x/1"
    request = http.Request(method="GET", url=url, fresh=True)
    return http.send(request).status == 200


def _all_answer(context):
    return all(_is_answered(context, name) for name in _NAMES)


@behave.given("two threaded nodes with settings for a small machine")
def start_nodes(context):
    """Start them, with a route to the service of both targets."""
    settings = {
        "relay": {"roots": 1},
        "reads": _SMALL_READS,
        "calls": {"connections": 64},
    }
    context.mesh = mesh.Mesh(context.directory, settings)
    context.mesh.start_log()
    for name in _NAMES:
        context.mesh.start_node(
            mesh.NodeSpec(
                name=name,
                data_centre="lipno",
                service=_SERVICE,
                version="v1",
            )
        )
    context.mesh.wait_ready()
    done = context.mesh.publish(
        {
            "name": "first",
            "add": {
                "services": [{"name": _SERVICE}],
                "routes": [{"prefix": "/x", "service": _SERVICE}],
            },
            "shares": [
                {"service": _SERVICE, "percent_by_version": {"v1": 100}}
            ],
        }
    )
    assert done.returncode == 0, done.stdout + done.stderr
    assert context.mesh.wait_until(
        lambda: _all_answer(context), _START_TIMEOUT_S
    )


@behave.when("a crowd sends {kind} to the threaded address for {name}")
def send_crowd(context, kind, name):
    """Run the clients at the same time and sample the descriptors."""
    address = _address(context.mesh.nodes_by_name["n0"], name)
    with crowds.Watch(lambda: _pids(context)) as watch:
        crowd = crowds.Crowd(address, kind, _SENDERS_BY_KIND[kind])
        crowd.start()
        crowd.join()
    context.descriptors = watch.descriptors


@behave.then(
    "each threaded node lives and has used at most {limit_mb:d} MB"
    " and {limit_descriptors:d} descriptors"
)
def nodes_within_bounds(context, limit_mb, limit_descriptors):
    """Check the process, its peak memory and the sampled descriptors."""
    crowds.check_bounds(
        [context.mesh.processes_by_name[name] for name in _NAMES],
        context.descriptors,
        limit_mb,
        limit_descriptors,
    )


@behave.then(
    "an ordinary request through each threaded node is answered afterwards"
)
def ordinary_requests_answered(context):
    """Send requests until each node answers; a hang fails the step."""
    assert context.mesh.wait_until(lambda: _all_answer(context), _HANG_GUARD_S)
