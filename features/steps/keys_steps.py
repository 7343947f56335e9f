"""Steps for requests with an Idempotency-Key."""

from concurrent import futures
import time

import behave
import call_rig
import cut_steps

from arbutusstall import _effects
from arbutusstall._systems import keys
from arbutusstall._systems import quarantine
from arbutusstall._tables import members
from arbutusstall._wire import messages

_HORIZON_MS = 1_500
_KEY = "key-1"


@behave.given("3 endpoints that honour keys and two nodes that callers use")
def start(context):
    """Start them and wait until the key's owner may grant it."""
    context.rig = call_rig.Rig(3, key_horizon_ms=_HORIZON_MS)
    context.add_cleanup(context.rig.stop)
    context.rig.put_in_force(3)
    endpoints = context.rig.endpoints
    names = [endpoint.name for endpoint in endpoints]
    # Later steps remove the last endpoint, which has to own the key.
    numbers = (f"{_KEY}{n}" for n in range(1000))
    context.key = next(
        key
        for key in numbers
        if keys.owner(call_rig.SERVICE, key, names) == names[-1]
    )
    context.owner = endpoints[-1]
    cut_steps.poll(lambda: _ownership(context) is keys.Ownership.SETTLED)
    context.body = b"ticket"


def _ownership(context):
    proxy = context.owner.inbound
    return proxy._keys.ownership(call_rig.SERVICE, context.key, proxy.now_ms())


def _send(context, caller, body=b"ticket"):
    return context.rig.send(
        request_id="request",
        caller=caller,
        body=body,
        Idempotency_Key=context.key,
    )


@behave.when("a POST with a key is sent through one node")
def send_first(context):
    """Send the request; its answer counts as lost."""
    context.first_response = _send(context, 0)
    assert context.first_response.status == 200, context.first_response


@behave.when("it is sent again through the other node")
def send_again(context):
    """Send the same request."""
    context.second_response = _send(context, 1)


@behave.when("another body is sent with the same key")
def send_other_body(context):
    """Use the key for a different request."""
    context.second_response = _send(context, 1, b"other ticket")


@behave.when("a POST with a key is sent through both nodes at the same time")
def send_concurrently(context):
    """Hold the targets until both requests have been sent."""
    targets = [endpoint.target for endpoint in context.rig.endpoints]
    for target in targets:
        target.release.clear()
    with futures.ThreadPoolExecutor(max_workers=2) as pool:
        jobs = [pool.submit(_send, context, caller) for caller in (0, 1)]
        cut_steps.poll(lambda: context.rig.executions("request") >= 1)
        time.sleep(0.2)
        for target in targets:
            target.release.set()
        context.first_response, context.second_response = (
            job.result() for job in jobs
        )


@behave.when("a POST with a key is granted but never reaches its endpoint")
def grant_without_send(context):
    """Grant the key to a call that was never sent."""
    endpoint = context.rig.endpoints[0]
    claimed = context.owner.inbound.claim(
        messages.KeyClaim(
            service=call_rig.SERVICE,
            key=context.key,
            grant=messages.KeyGrant(
                call_id="lost-call",
                fingerprint=_fingerprint(context),
                node=endpoint.name,
                inbound=endpoint.link.listen,
                incarnation=endpoint.inbound.incarnation,
                sent_ms=endpoint.inbound.now_ms(),
            ),
        )
    )
    assert claimed.state is messages.KeyState.GRANTED, claimed


def _fingerprint(context):
    return quarantine.fingerprint(
        "POST", call_rig.PREFIX, b"ticket", context.key
    )


@behave.when("the owner of the key is replaced")
def owner_replaced(context):
    """Crash the owner and start its next incarnation."""
    context.owner.crash()
    context.owner.start()
    context.rig.put_in_force(3)


@behave.when("the endpoint that ran it is replaced")
def executor_replaced(context):
    """Crash the endpoint that ran the request and restart it."""
    for endpoint in context.rig.endpoints:
        if endpoint.target.executions.count("request"):
            endpoint.crash()
            endpoint.start()
    context.rig.put_in_force(3)


@behave.when("the owner of the key leaves the membership")
def owner_leaves(context):
    """Remove the last endpoint from every node's view."""
    context.rig.put_in_force(2)


@behave.then("both got the same answer and it ran once")
def same_answer(context):
    """Compare the two answers and count the executions."""
    assert context.second_response.status == 200, context.second_response
    assert context.first_response.body == context.second_response.body
    assert context.rig.executions("request") == 1


@behave.then("the second got {outcome} and it ran once")
def second_got(context, outcome):
    """Check the outcome of the second request and the executions."""
    headers = {
        name.lower(): value for name, value in context.second_response.headers
    }
    if outcome == "the answer":
        assert context.second_response.status == 200, context.second_response
    else:
        assert headers["arbutusstall-outcome"] == outcome, (
            context.second_response
        )
    assert context.rig.executions("request") == 1


@behave.then(
    "of two partitions of {count:d} owners at most one grants a new key"
)
def grants_after_partition(context, count):
    """Split the list of owners at each place; ask all for each key."""
    names = [f"node-{n}" for n in range(count)]
    granted = {}
    for size in range(1, count):
        for partition in (names[:size], names[size:]):
            for name in partition:
                table = keys.KeyTable(name, 1_000)
                table.update_owners(_view(names), 0)
                table.update_owners(_view(partition), 5_000)
                for number in range(50):
                    if _is_ever_settled(table, f"k{number}"):
                        granted.setdefault((size, number), []).append(name)
    assert granted
    assert all(len(owners) == 1 for owners in granted.values()), granted


def _is_ever_settled(table, key):
    # Soon after the partition, and long after every earlier grant expired.
    return any(
        table.ownership("s", key, now_ms) is keys.Ownership.SETTLED
        for now_ms in (5_500, 600_000)
    )


def _view(names):
    rows = tuple(
        members.Member(
            node=name,
            data_centre="lipno",
            incarnation=1,
            state=members.MemberState.SERVING,
            service="s",
        )
        for name in names
    )
    return _effects.View(members_by_service={"s": rows})
