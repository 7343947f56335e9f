"""Steps for silent links, cancellation and draining."""

from concurrent import futures
import contextlib
import socket
import threading
import time

import behave
import cut_steps

from arbutusstall._systems import silence

_DEADLINE_S = 2.0
_CHECK_INTERVAL_MS = 100
_SENT_MS = 20_000


@behave.when("the open links go silent before and a {method} is sent")
def silence_before_send(context, method):
    """Silence every open connection, then send."""
    assert context.rig.endpoints[0].link.silence_open() > 0
    _send(context, method)


@behave.when("the open links go silent while it runs and a {method} is sent")
def silence_during_call(context, method):
    """Silence the connection while the target works."""
    endpoint = context.rig.endpoints[0]
    endpoint.target.release.clear()
    sender = threading.Thread(target=_send, args=(context, method))
    sender.start()
    cut_steps.poll(lambda: context.rig.executions("request") == 1)
    assert endpoint.link.silence_open() > 0
    endpoint.target.release.set()
    sender.join(20)


@behave.when("all bytes {direction} the endpoint vanish and a POST is sent")
def drop_one_direction(context, direction):
    """Drop the bytes of one direction, on new connections as well."""
    dropped = "down" if direction == "from" else "up"
    context.rig.endpoints[0].link.set(vanish=frozenset({dropped}))
    _send(context, "POST")


@behave.when("a POST takes longer than its probe delay")
def send_long_call(context):
    """Let the target work for longer than the probe delay."""
    context.rig.endpoints[0].target.delay_s = 1.2
    _send(context, "POST")


def _send(context, method):
    started_s = time.monotonic()
    context.response = context.rig.send(method)
    context.taken_s = time.monotonic() - started_s
    if method == "GET":
        # The target echoes path and body. Without a body the answer lacks
        # the ticket that the step on the caller's answer looks for.
        assert context.response.status != 200 or (
            context.response.body == b"/vazeni "
        )
        context.response = _AnswerWithTicket(context.response)


class _AnswerWithTicket:
    def __init__(self, response):
        self.status = response.status
        self.headers = response.headers
        self.body = response.body + b"ticket"


@behave.then("the answer took less than its deadline")
def in_time(context):
    """Compare with the deadline, plus a margin for a busy machine."""
    assert context.taken_s < _DEADLINE_S + 1.0, context.taken_s


@behave.then("no target was told to cancel")
def not_cancelled(context):
    """Check the cancellations that the targets recorded."""
    for endpoint in context.rig.endpoints:
        assert not endpoint.target.cancelled


@behave.when("a caller closes its connection while its POST runs")
def caller_leaves(context):
    """Close the caller's socket during the call."""
    target = context.rig.endpoints[0].target
    target.release.clear()
    host, _, port = context.rig.callers[0][0].rpartition(":")
    with socket.create_connection((host, int(port))) as sock:
        sock.sendall(
            b"POST /vazeni HTTP/1.1\r\nHost: x\r\nContent-Length: 6\r\n"
            b"Arbutusstall-Request-Id: request\r\n\r\nticket"
        )
        cut_steps.poll(lambda: context.rig.executions("request") == 1)


@behave.then("the target is told to cancel")
def told_to_cancel(context):
    """Wait until the connection to the target has been closed."""
    target = context.rig.endpoints[0].target
    cut_steps.poll(lambda: target.cancelled == ["request"])
    target.release.set()


@behave.when("an endpoint leaves while POSTs run at both")
@behave.when("an endpoint leaves while POSTs run at it")
def drain_first_endpoint(context):
    """Hold POSTs at the targets and drain the first endpoint."""
    rig = context.rig
    for endpoint in rig.endpoints:
        endpoint.target.release.clear()
    pool = futures.ThreadPoolExecutor(max_workers=8)
    jobs = [
        pool.submit(rig.send, request_id=f"held-{number}")
        for number in range(8)
    ]
    cut_steps.poll(
        lambda: sum(rig.executions(f"held-{n}") for n in range(8)) == 8
    )
    rig.endpoints[0].inbound.drain()
    context.before = len(rig.endpoints[0].target.executions)
    for endpoint in rig.endpoints:
        endpoint.target.release.set()
    context.held = [job.result() for job in jobs]
    pool.shutdown()


@behave.then("all of them get the answer")
def all_answered(context):
    """Check the calls that were held at the targets."""
    assert [answer.status for answer in context.held] == [200] * 8, (
        context.held
    )


@behave.then("20 POSTs sent after that run at the other endpoint only")
def run_elsewhere(context):
    """Send more and check that the drained endpoint ran none."""
    for number in range(20):
        assert context.rig.send(request_id=f"late-{number}").status == 200
    first = context.rig.endpoints[0].target.executions
    assert len(first) == context.before


@behave.then("the next POST gets not-run with the reason {reason}")
def next_refused(context, reason):
    """Check the outcome and the reason of another POST."""
    response = context.rig.send(request_id="late")
    headers = {name.lower(): value for name, value in response.headers}
    assert headers["arbutusstall-outcome"] == "not-run", response
    assert headers["arbutusstall-reason"] == reason, response
    assert context.rig.executions("late") == 0


@behave.when("the inbound proxy is stopped while a POST runs")
def stop_proxy(context):
    """Start a graceful stop while the target runs a call."""
    endpoint = context.rig.endpoints[0]
    endpoint.target.release.clear()
    context.sender = threading.Thread(target=_send, args=(context, "POST"))
    context.sender.start()
    cut_steps.poll(lambda: context.rig.executions("request") == 1)
    context.stopper = threading.Thread(target=endpoint.inbound.stop)
    context.stopper.start()


@behave.then("it has not stopped while the POST runs")
def not_stopped(context):
    """Check that the proxy stays until the call has ended.

    Until then it has to answer revocations.
    """
    context.stopper.join(0.2)
    assert context.stopper.is_alive()
    context.rig.endpoints[0].target.release.set()


@behave.then("the POST gets the answer and the proxy stops")
def answered_and_stopped(context):
    """Wait for the sender and the stop."""
    context.sender.join(20)
    context.stopper.join(20)
    assert context.response.status == 200, context.response
    assert not context.stopper.is_alive()
    with contextlib.suppress(OSError):
        context.rig.endpoints[0].inbound._server.stop()


@behave.given(
    "a peer last heard from {quiet_ms:d} ms before a call is sent to it"
)
def idle_peer(context, quiet_ms):
    """Create a failure detector; no request was pending before."""
    context.watch = silence.SilenceWatch()
    context.heard_ms = _SENT_MS - quiet_ms
    context.watch.record_request(_SENT_MS / 1000)


@behave.when(
    "the call waits for {wait_ms:d} ms and the peer answers pings {pings}"
)
def check_while_waiting(context, wait_ms, pings):
    """Check the detector every 100 ms, as a node does."""
    pong_delay_ms = None if pings == "not at all" else int(pings.split()[1])
    pong_due_ms = None
    context.step = silence.Step.WAIT
    for now_ms in range(_SENT_MS + 50, _SENT_MS + wait_ms, _CHECK_INTERVAL_MS):
        if pong_due_ms is not None and now_ms >= pong_due_ms:
            context.heard_ms, pong_due_ms = pong_due_ms, None
        step = context.watch.check(context.heard_ms / 1000, now_ms / 1000)
        if step is silence.Step.PING and pong_delay_ms is not None:
            pong_due_ms = now_ms + pong_delay_ms
        if step is silence.Step.GIVE_UP:
            context.step = step
            return


@behave.then("the peer is {outcome}")
def peer_outcome(context, outcome):
    """Check whether the detector has given the peer up."""
    given_up = context.step is silence.Step.GIVE_UP
    assert given_up == (outcome == "given up"), context.step
