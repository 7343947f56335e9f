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
_CHECK_MS = 100
_SENT_MS = 20_000


@behave.when("the open links go silent before and a {method} is sent")
def silent_before(context, method):
    """Silence every kept connection, then send."""
    assert context.rig.endpoints[0].link.silence_open() > 0
    _send(context, method)


@behave.when("the open links go silent while it runs and a {method} is sent")
def silent_while(context, method):
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
def one_way(context, direction):
    """Make the link one-way, for new connections as well."""
    way = "down" if direction == "from" else "up"
    context.rig.endpoints[0].link.set(vanish=frozenset({way}))
    _send(context, "POST")


@behave.when("a POST takes longer than the share of its deadline")
def long_call(context):
    """Take more than the time after which the call is asked for."""
    context.rig.endpoints[0].target.delay_s = 1.2
    _send(context, "POST")


def _send(context, method):
    started_s = time.monotonic()
    context.response = context.rig.send(method)
    context.took_s = time.monotonic() - started_s
    if method == "GET":
        assert context.response.status != 200 or (
            context.response.body == b"/vazeni "
        )
        context.response = _WithTicket(context.response)


class _WithTicket:
    def __init__(self, response):
        self.status = response.status
        self.headers = response.headers
        self.body = response.body + b"ticket"


@behave.then("the answer took less than its deadline")
def in_time(context):
    """Allow a margin for a busy machine."""
    assert context.took_s < _DEADLINE_S + 1.0, context.took_s


@behave.then("no target was told to cancel")
def not_cancelled(context):
    """Check the targets' lists."""
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
    """Wait until the connection to the target is broken off."""
    target = context.rig.endpoints[0].target
    cut_steps.poll(lambda: target.cancelled == ["request"])
    target.release.set()


@behave.when("an endpoint leaves while POSTs run at both")
@behave.when("an endpoint leaves while POSTs run at it")
def leave(context):
    """Hold some POSTs at the targets and drain the first endpoint."""
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
    """Check the held calls."""
    assert [one.status for one in context.held] == [200] * 8, context.held


@behave.then("20 POSTs sent after the leave run at the other endpoint only")
def after_leave(context):
    """Send more and look where they ran."""
    for number in range(20):
        assert context.rig.send(request_id=f"late-{number}").status == 200
    first = context.rig.endpoints[0].target.executions
    assert len(first) == context.before


@behave.then("the next POST gets not-run with the reason {reason}")
def refused_with(context, reason):
    """Check the refusal."""
    response = context.rig.send(request_id="late")
    headers = {name.lower(): value for name, value in response.headers}
    assert headers["arbutusstall-outcome"] == "not-run", response
    assert headers["arbutusstall-reason"] == reason, response
    assert context.rig.executions("late") == 0


@behave.when("the inbound proxy is stopped while a POST runs")
def stop_proxy(context):
    """Begin a graceful stop with a call at the target."""
    endpoint = context.rig.endpoints[0]
    endpoint.target.release.clear()
    context.sender = threading.Thread(target=_send, args=(context, "POST"))
    context.sender.start()
    cut_steps.poll(lambda: context.rig.executions("request") == 1)
    context.stopper = threading.Thread(target=endpoint.inbound.stop)
    context.stopper.start()


@behave.then("it has not stopped while the POST runs")
def still_there(context):
    """The proxy answers revocations until the call has ended."""
    context.stopper.join(0.2)
    assert context.stopper.is_alive()
    context.rig.endpoints[0].target.release.set()


@behave.then("the POST gets the answer and the proxy stops")
def answered_and_stopped(context):
    """Join both threads."""
    context.sender.join(20)
    context.stopper.join(20)
    assert context.response.status == 200, context.response
    assert not context.stopper.is_alive()
    with contextlib.suppress(OSError):
        context.rig.endpoints[0].inbound._server.stop()


@behave.given(
    "a peer that was heard last {quiet:d} ms before a call is sent to it"
)
def quiet_peer(context, quiet):
    """Nothing was asked of it meanwhile."""
    context.watch = silence.SilenceWatch()
    context.heard_ms = _SENT_MS - quiet
    context.watch.record_request(_SENT_MS / 1000)


@behave.when(
    "the call waits for {waits:d} ms and the peer answers pings {pings}"
)
def call_waits(context, waits, pings):
    """Checked every 100 ms, as the node does."""
    answer_ms = None if pings == "not at all" else int(pings.split()[1])
    pong_ms = None
    context.step = silence.Step.WAIT
    for now_ms in range(_SENT_MS + 50, _SENT_MS + waits, _CHECK_MS):
        if pong_ms is not None and now_ms >= pong_ms:
            context.heard_ms, pong_ms = pong_ms, None
        step = context.watch.check(context.heard_ms / 1000, now_ms / 1000)
        if step is silence.Step.PING and answer_ms is not None:
            pong_ms = now_ms + answer_ms
        if step is silence.Step.GIVE_UP:
            context.step = step
            return


@behave.then("the peer is {outcome}")
def peer_outcome(context, outcome):
    """Kept or given up."""
    given_up = context.step is silence.Step.GIVE_UP
    assert given_up == (outcome == "given up"), context.step
