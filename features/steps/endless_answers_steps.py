"""Steps for answers of faulty targets that have no end."""

from concurrent import futures
import contextlib
import time

import behave
import crowds
import platform_mesh
from standins import endpoint

from arbutusstall import errors
from arbutusstall._shell import http

_CALLERS = 20
_SECONDS = 4.0
_RECOVERY_S = 20.0
_DEADLINE_MS = "2500"
_OK = 200
_MANY_DESCRIPTORS = 300


def _send(address):
    request = http.Request(
        method="GET",
        url=f"http://{address}/x/1",
        headers=(
            ("Host", "a.example"),
            ("X-Request-Id", f"endless-{time.monotonic_ns()}"),
            ("X-Deadline-Ms", _DEADLINE_MS),
        ),
        timeout_s=5.0,
        fresh=True,
    )
    with contextlib.suppress(errors.ArbutusstallError):
        return http.send(request).status
    return 0


def _send_for_a_while(address):
    end_s = time.monotonic() + _SECONDS
    while time.monotonic() < end_s:
        _send(address)


def _run_callers(address):
    with futures.ThreadPoolExecutor(_CALLERS) as pool:
        for _ in range(_CALLERS):
            pool.submit(_send_for_a_while, address)


def _check(processes, limit_mb):
    crowds.check_bounds(processes, 0, limit_mb, _MANY_DESCRIPTORS)


@behave.when("20 callers get {what} without end from a target")
def call_endless_target(context, what):
    """Let the callers send to the other node."""
    nodes = context.platform.nodes_by_name
    target = context.platform.endpoints_by_node["n1"]
    target.behaviour = endpoint.Behaviour(endless=what)
    _run_callers(nodes["n0"].callers)
    target.behaviour = endpoint.Behaviour()


@behave.when("20 threaded callers get {what} without end from a target")
def call_threaded_endless_target(context, what):
    """Let the callers send to both targets, since either may be chosen."""
    for name in ("n0", "n1"):
        context.mesh.set_behaviour(name, endless=what)
    _run_callers(context.mesh.nodes_by_name["n0"].callers)
    for name in ("n0", "n1"):
        context.mesh.set_behaviour(name)


@behave.then("each node has used at most {limit_mb:d} MB and lives")
def platform_nodes_live(context, limit_mb):
    """Check the processes and their peak memory."""
    nodes = context.platform.nodes_by_name.values()
    _check([node.process for node in nodes], limit_mb)


@behave.then("each threaded node has used at most {limit_mb:d} MB and lives")
def threaded_nodes_live(context, limit_mb):
    """Check the processes and their peak memory."""
    by_name = context.mesh.processes_by_name
    _check([by_name["n0"], by_name["n1"]], limit_mb)


@behave.then("the requests are answered again once the target has recovered")
def platform_recovers(context):
    """Send until a request is answered."""
    address = context.platform.nodes_by_name["n0"].callers
    platform_mesh.wait_until(lambda: _send(address) == _OK, _RECOVERY_S)


@behave.then(
    "the threaded requests are answered again once the target has recovered"
)
def threaded_recovers(context):
    """Send until a request is answered."""
    address = context.mesh.nodes_by_name["n0"].callers
    assert context.mesh.wait_until(lambda: _send(address) == _OK, _RECOVERY_S)
