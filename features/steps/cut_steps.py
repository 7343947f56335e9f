"""Steps that cut links at given bytes."""

import contextlib
import socket
import threading

import behave
import call_rig
import fault_proxy
import mesh
import pycurl

from arbutusstall import errors
from arbutusstall._shell import http

_FAULTS_BY_CUT = {
    "before connect": {"refuse": True},
    "after connect": {"reset_at": {"up": 0}, "once": True},
    "mid-head": {"reset_at": {"up": 40}, "once": True},
    "mid-body": {"reset_on": {"up": b"ticket"}, "once": True},
    "after body": {"reset_at": {"down": 0}, "once": True},
    "mid-answer": {"reset_at": {"down": 50}, "once": True},
    "after answer": {},
}


@behave.given("{count:d} endpoint behind links that can be cut")
@behave.given("{count:d} endpoints behind links that can be cut")
def start_rig(context, count):
    """Start the call path and open its connections."""
    context.rig = call_rig.Rig(count)
    context.add_cleanup(context.rig.stop)
    for number in range(4 * count):
        assert context.rig.send(request_id=f"warm-{number}").status == 200


@behave.when("the link to the endpoint is cut {where} and a POST is sent")
def cut_node_link(context, where):
    """Cut the link between the nodes."""
    _close_idle(context)
    context.rig.endpoints[0].link.set(**_FAULTS_BY_CUT[where])
    _send(context, where)


@behave.when("the links are cut {where} once and a POST is sent")
def cut_first_chosen(context, where):
    """Cut the link of the endpoint that is chosen first."""
    _close_idle(context)
    for endpoint in context.rig.endpoints:
        endpoint.link.set(**_FAULTS_BY_CUT[where])
    if where == "before connect":
        context.rig.endpoints[1].link.set()
    # Only the first reset may happen: the retry needs a working link.
    first, second = (item.link for item in context.rig.endpoints)
    for link, other_link in ((first, second), (second, first)):
        link.count_reset = _clear_faults_after_reset(link, other_link)
    _send(context, where)


def _close_idle(context):
    # These scenarios need new connections: an idle one could accept the
    # head of a request just before the reset arrives.
    for _, _, proxy in context.rig.callers:
        proxy.close()


def _clear_faults_after_reset(link, other_link):
    def clear_faults():
        link.faults = other_link.faults = fault_proxy.Faults()

    return clear_faults


@behave.when("the link to the target is cut {where} and a POST is sent")
def cut_target(context, where):
    """Cut the link between the inbound proxy and its target."""
    context.rig.endpoints[0].target_link.set(**_FAULTS_BY_CUT[where])
    _send(context, where)


def _send(context, where):
    context.response = context.rig.send(body=b"x" * 64 + b"ticket")
    if where == "after answer":
        # The next request must work although all connections are reset.
        for endpoint in context.rig.endpoints:
            endpoint.link.reset_open()
            endpoint.target_link.reset_open()
        again = context.rig.send(request_id="again")
        assert again.status == 200, again


@behave.then("the caller gets {outcome}")
def check_outcome(context, outcome):
    """Compare the outcome header, or check the complete answer."""
    response = context.response
    headers = {name.lower(): value for name, value in response.headers}
    if outcome == "the answer":
        assert response.status == 200, response
        assert response.body.endswith(b"ticket"), response
        return
    assert headers.get("arbutusstall-outcome") == outcome, response
    assert headers["arbutusstall-request-id"] == "request", response


@behave.then("the request ran {count:d} times")
def check_executions(context, count):
    """Count the executions that the targets recorded."""
    assert context.rig.executions("request") == count


@behave.given(
    "a reused connection that is reset after the next request has run"
)
def reused_connection(context):
    """Open a connection to a target and use it once."""
    context.target = call_rig.Target()
    context.add_cleanup(context.target.stop)
    context.link = fault_proxy.FaultProxy(
        mesh.free_addresses(1)[0], context.target.address
    )
    context.add_cleanup(context.link.stop)
    context.connection = http.Connection()
    _exchange(context, "warm")
    context.link.set(reset_at={"down": 0}, once=True)


@behave.when("that request is sent over it")
def send_on_reused(context):
    """Send the request; the reset follows its execution."""
    try:
        _exchange(context, "request")
        context.error = None
    except errors.ArbutusstallError as exc:
        context.error = exc


@behave.then(
    "the exchange ends as unknown and the request ran {count:d} times"
)
def outcome_unknown(context, count):
    """Check the error and the executions at the target."""
    assert isinstance(context.error, errors.OutcomeUnknown), context.error
    assert context.target.executions.count("request") == count


@behave.then("libcurl without the resend guard runs it {count:d} times")
def without_guard(context, count):
    """Show that libcurl resends without `PREREQFUNCTION`.

    The callback aborts a second send of the same request.
    """
    context.connection = http.Connection()
    context.connection._curl.unsetopt(pycurl.PREREQFUNCTION)
    _exchange(context, "warm")
    context.link.set(reset_at={"down": 0}, once=True)
    _exchange(context, "unguarded")
    assert context.target.executions.count("unguarded") == count


def _exchange(context, request_id):
    return context.connection.send(
        http.Request(
            method="POST",
            url=f"http://{context.link.listen}/",
            headers=(("Arbutusstall-Request-Id", request_id),),
            body=b"ticket",
        )
    )


@behave.when("the inbound proxy is replaced while a POST runs")
def replace_proxy(context):
    """Crash the proxy while the target runs a call; start the next."""
    endpoint = context.rig.endpoints[0]
    endpoint.target.release.clear()
    sender = threading.Thread(target=_send, args=(context, ""))
    sender.start()
    poll(lambda: context.rig.executions("request") == 1)
    endpoint.crash()
    endpoint.start()
    sender.join(20)
    endpoint.target.release.set()


@behave.then("the next POST gets the answer")
def next_answered(context):
    """Send another POST to the new incarnation."""
    assert context.rig.send(request_id="next").status == 200


@behave.when("a caller sends a POST that is cut at each byte in turn")
def cut_caller(context):
    """Send each prefix of one request and close the connection."""
    host, _, port = context.rig.callers[0][0].rpartition(":")
    whole = (
        b"POST /vazeni HTTP/1.1\r\nHost: x\r\nContent-Length: 6\r\n"
        b"Arbutusstall-Request-Id: request\r\n\r\nticket"
    )
    for length in range(len(whole)):
        with (
            contextlib.suppress(ConnectionError),
            socket.create_connection((host, int(port))) as sock,
        ):
            sock.sendall(whole[:length])
            sock.shutdown(socket.SHUT_WR)
            sock.settimeout(5)
            while sock.recv(4096):
                pass


@behave.then("none of them ran")
def none_ran(context):
    """Check the executions that the targets recorded."""
    assert context.rig.executions("request") == 0
    assert context.rig.executions("") == 0


def poll(condition, limit_s=20.0):
    """Wait until ``condition`` holds, or fail after ``limit_s``."""
    done = threading.Event()
    for _ in range(int(limit_s / 0.01)):
        if condition():
            return
        done.wait(0.01)
    raise AssertionError("the condition did not hold within the time limit")
