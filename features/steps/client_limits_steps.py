"""Steps for crowds of clients that ignore the limits on requests."""

import contextlib
import http.client
import signal
import socket
import time
from unittest import mock

import behave
import crowds
import frame_crowds
import platform_mesh
from standins import endpoint

from arbutusstall import errors

_HANG_GUARD_S = 20.0
_LONG_CROWD_S = 60.0
_SETTLE_S = 1.0
_CHANGE_COUNT = 2
_BLOCK = 64 * 1024
_SMALL_LIMITS = "maxFds = 300\nmemoryMb = 100"
_SENDERS_BY_KIND = frame_crowds.ALL_SENDERS_BY_KIND


def _address(node, name):
    return {
        "callers": node.callers,
        "heartbeats": node.control,
        "readiness": node.ready,
        "metrics": node.admin,
        "other nodes": node.internal,
    }[name]


def _crowd(context, kind, name, **options):
    """Return a crowd at the first node; calls go to the second."""
    nodes = context.platform.nodes_by_name
    node = nodes["n1" if name == "other nodes" else "n0"]
    return _crowd_at(node, kind, name, **options)


def _crowd_at(node, kind, name, **options):
    address = _address(node, name)
    return crowds.Crowd(address, kind, _SENDERS_BY_KIND[kind], **options)


def _pids(context):
    nodes = list(context.platform.nodes_by_name.values())
    return [node.process.pid for node in nodes]


def _is_answered(mesh, path, **options):
    with contextlib.suppress(errors.ArbutusstallError):
        return mesh.send("n0", path, **options).status == 200


@behave.given("two nodes on the platform with settings for a small machine")
def start_small_nodes(context):
    """Start them, with a route to the target of the second."""
    mesh = platform_mesh.PlatformMesh(context.directory)
    context.add_cleanup(mesh.stop)
    context.platform = mesh
    for name, service in (("n0", "vazeni"), ("n1", "kvoty")):
        mesh.add(name, service, limits=_SMALL_LIMITS)
    booking = platform_mesh.route(
        "kvoty", prefix="/book/", kind="non_idempotent"
    )
    config = platform_mesh.configuration(
        3, {"lookup": platform_mesh.route("kvoty"), "booking": booking}
    )
    config["limits"] = {
        "maxHeaderBytes": crowds.MAX_HEAD_BYTES,
        "maxBodyBytes": 1_000_000,
        "headerTimeout": "1000ms",
        "idleTimeout": "2000ms",
    }
    mesh.store.put("config", config)
    platform_mesh.wait_until(lambda: _is_answered(mesh, "/x/0"), _HANG_GUARD_S)


def _slow_answers(context):
    delayed = endpoint.Behaviour(delay_s=0.3)
    context.platform.endpoints_by_node["n1"].behaviour = delayed


@behave.when("a crowd sends {kind} to the address for {name}")
def send_crowd(context, kind, name):
    """Run the clients at the same time and sample the descriptors."""
    _slow_answers(context)
    with crowds.Watch(lambda: _pids(context)) as watch:
        crowd = _crowd(context, kind, name)
        crowd.start()
        crowd.join()
    context.descriptors = watch.descriptors


@behave.when("a crowd that goes on sends {kind} to the address for {name}")
def keep_sending(context, kind, name):
    """Start the clients; the next step ends them."""
    context.crowd = _crowd(context, kind, name, duration_s=_LONG_CROWD_S)
    context.add_cleanup(context.crowd.stop)
    context.watch = crowds.Watch(lambda: _pids(context))
    context.watch.__enter__()
    context.crowd.start()
    time.sleep(_SETTLE_S)


@behave.then("an ordinary request is answered meanwhile")
def answered_meanwhile(context):
    """Send requests until one is answered; then end the crowd."""
    _answered_meanwhile(context)


@behave.then("an ordinary upload of {size:d} KB is answered meanwhile")
def upload_answered_meanwhile(context, size):
    """Send uploads until one is answered; then end the crowd."""
    _answered_meanwhile(context, method="POST", body=b"x" * size * 1_000)


def _answered_meanwhile(context, **options):
    try:
        platform_mesh.wait_until(
            lambda: _is_answered(context.platform, "/x/after", **options),
            _HANG_GUARD_S,
        )
    finally:
        context.crowd.stop()
        context.watch.__exit__()
        context.descriptors = context.watch.descriptors


@behave.when("crowds send {kind} to {name} and {other_kind} to {other_name}")
def send_two_crowds(context, kind, name, other_kind, other_name):
    """Run both crowds at the same time."""
    _slow_answers(context)
    with crowds.Watch(lambda: _pids(context)) as watch:
        both = (
            _crowd(context, kind, name),
            _crowd(context, other_kind, other_name),
        )
        for crowd in both:
            crowd.start()
        for crowd in both:
            crowd.join()
    context.descriptors = watch.descriptors


def _restart(context, node):
    assert node.terminate() == 0
    node.start()


def _reload(context, node):
    node.settings.write_text(node.settings.read_text() + "\n")
    node.process.send_signal(signal.SIGHUP)


def _drain(context, node):
    target = context.platform.endpoints_by_node[node.name]
    target.drain()
    target.leave()
    target.restart()


_CHANGES_BY_NAME = {
    "restarts": _restart,
    "reloads": _reload,
    "is drained": _drain,
}


@behave.when(
    "the second node {change} while a crowd sends {kind}"
    " to its address for {name}"
)
def change_beside_crowd(context, change, kind, name):
    """Change the node once the crowd has begun, and again a second later."""
    node = context.platform.nodes_by_name["n1"]
    with crowds.Watch(lambda: _pids(context)) as watch:
        crowd = _crowd_at(node, kind, name, duration_s=_LONG_CROWD_S)
        context.add_cleanup(crowd.stop)
        crowd.start()
        for _ in range(_CHANGE_COUNT):
            time.sleep(_SETTLE_S)
            _CHANGES_BY_NAME[change](context, node)
        time.sleep(_SETTLE_S)
        crowd.stop()
    context.descriptors = watch.descriptors


@behave.then(
    "each node lives and has used at most {limit_mb:d} MB"
    " and {limit_descriptors:d} descriptors"
)
def nodes_within_bounds(context, limit_mb, limit_descriptors):
    """Check the process, its peak memory and the sampled descriptors."""
    nodes = context.platform.nodes_by_name.values()
    crowds.check_bounds(
        [node.process for node in nodes],
        context.descriptors,
        limit_mb,
        limit_descriptors,
    )


@behave.then("an ordinary request is answered afterwards")
def ordinary_request_answered(context):
    """Send requests until one is answered; a hang fails the step."""
    mesh = context.platform
    platform_mesh.wait_until(
        lambda: _is_answered(mesh, "/x/after"), _HANG_GUARD_S
    )


@behave.when("one legal head of 16 KB in lines of 5 bytes is sent")
def send_legal_head(context):
    """Send it; the stand-in of the target takes 100 lines by default."""
    address = context.platform.nodes_by_name["n0"].callers
    host, _, port = address.rpartition(":")
    with (
        mock.patch.object(http.client, "_MAXHEADERS", crowds.MAX_HEAD_BYTES),
        socket.create_connection((host, int(port)), _HANG_GUARD_S) as sock,
    ):
        sock.sendall(crowds.legal_head())
        context.received = sock.recv(_BLOCK)


@behave.then("that request is served by the target of the other node")
def legal_head_served(context):
    """Check the status and the body, which names the target."""
    assert context.received.startswith(b"HTTP/1.1 200 "), context.received
    assert b"i-n1" in context.received, context.received
