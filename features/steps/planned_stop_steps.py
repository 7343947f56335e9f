"""Steps for planned stops of a node, with bookings over raw sockets."""

import contextlib
import dataclasses
import signal
import socket
import time

import behave
import platform_mesh

from arbutusstall import errors

_TIMEOUT_S = 10.0
_NODE = "n0"
_ID = "late-booking"


def _booking(request_id, path="/book/1", body=b"0123456789"):
    head = (
        f"POST {path} HTTP/1.1\r\nHost: a.example\r\n"
        f"X-Request-Id: {request_id}\r\nX-Deadline-Ms: 5000\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body


def _connect(context):
    host, _, port = context.platform.nodes_by_name[_NODE].callers.rpartition(
        ":"
    )
    sock = socket.create_connection((host, int(port)), _TIMEOUT_S)
    context.add_cleanup(sock.close)
    return sock


def _signal_stop(context):
    """Send SIGTERM; return a function that waits until a time after it."""
    process = context.platform.nodes_by_name[_NODE].process
    process.send_signal(signal.SIGTERM)
    began_s = time.monotonic()
    return lambda at_s: time.sleep(max(0.0, began_s + at_s - time.monotonic()))


def _delay_targets(context, seconds):
    for target in context.platform.endpoints_by_node.values():
        target.behaviour = dataclasses.replace(
            target.behaviour, delay_s=seconds
        )


def _receive_all(sock):
    parts = []
    with contextlib.suppress(ConnectionResetError):
        while part := sock.recv(65_536):
            parts.append(part)
    return b"".join(parts)


def _last_answer(received):
    """Return the last of several answers in what was received."""
    return received[received.rfind(b"HTTP/1.1 ") :]


@behave.when("a node is stopped and a booking is completed 2.8 seconds later")
def completed_late(context):
    """Send all but the end of the body before the stop."""
    _delay_targets(context, 1.0)
    sock = _connect(context)
    request = _booking(_ID)
    sock.sendall(request[:-3])
    time.sleep(0.1)
    wait_until = _signal_stop(context)
    wait_until(2.8)
    sock.sendall(request[-3:])
    context.late_answer = _last_answer(_receive_all(sock))


@behave.when(
    "a node is stopped and a booking waits behind one that takes longer"
)
def waits_behind(context):
    """Send both on one connection; the first ends 2.9 s after the stop."""
    _delay_targets(context, 1.1)
    sock = _connect(context)
    wait_until = _signal_stop(context)
    wait_until(1.8)
    sock.sendall(_booking("first"))
    wait_until(2.5)
    sock.sendall(_booking(_ID))
    context.late_answer = _last_answer(_receive_all(sock))


@behave.when(
    "a node is stopped and a booking runs for longer than that may take"
)
def runs_too_long(context):
    """Use a route with a timeout of 5 s; the stop may take 3.4 s."""
    mesh = context.platform
    routes = {
        **context.routes,
        "long": platform_mesh.route(
            "kvoty", prefix="/long/", kind="non_idempotent", timeout="5000ms"
        ),
    }
    mesh.store.put("config", platform_mesh.configuration(4, routes))

    def is_routed():
        with contextlib.suppress(errors.ArbutusstallError):
            return mesh.send(_NODE, "/long/0").status == 200

    platform_mesh.wait_until(is_routed)
    _delay_targets(context, 4.0)
    sock = _connect(context)
    wait_until = _signal_stop(context)
    wait_until(1.0)
    sock.sendall(_booking(_ID, "/long/1"))
    context.late_answer = _last_answer(_receive_all(sock))


@behave.then("the booking gets 503 with a time to retry, and it never runs")
def refused_truthfully(context):
    """Check the answer, and after the end of the stop that it never ran."""
    assert b" 503 " in context.late_answer[:20], context.late_answer
    assert b"retry-after" in context.late_answer.lower()
    context.platform.nodes_by_name[_NODE].process.wait(_TIMEOUT_S)
    assert context.platform.runs(_ID) == 0


@behave.then("the booking gets 504 and ran once")
def answered_unknown(context):
    """Check that the caller learns that it may have run."""
    assert b" 504 " in context.late_answer[:20], context.late_answer
    assert context.platform.runs(_ID) == 1
