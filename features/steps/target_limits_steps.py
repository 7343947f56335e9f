"""Steps for targets that name a limit or say that they leave."""

from concurrent import futures
import dataclasses
import threading
import time

import behave

from arbutusstall import errors

_SETTLE_S = 3.0
_WINDOW_S = 4.0
_SENDERS = 48
_RESTARTS_S = (3.5, 5.0)


def _first(context):
    return context.platform.endpoints_by_node["n0"]


@behave.when("the first target names a limit of {limit:g} request a second")
@behave.when("the first target names a limit of {limit:g} requests a second")
def name_limit(context, limit):
    """Name it in each answer from now on."""
    target = _first(context)
    target.behaviour = dataclasses.replace(target.behaviour, limit_per_s=limit)
    context.named_s = time.monotonic()


@behave.when("the first target says in its answers that it leaves")
def say_leaving(context):
    """Say so in each answer; the heartbeats stay as they are."""
    target = _first(context)
    target.behaviour = dataclasses.replace(target.behaviour, leaving=True)
    context.named_s = time.monotonic()


def _send_for(context, rate, seconds):
    mesh = context.platform
    names = list(mesh.nodes_by_name)

    def send(number):
        name = names[number % len(names)]
        try:
            response = mesh.send(name, request_id=f"{name}-{number}")
        except errors.ArbutusstallError as exc:
            return str(exc)
        return response.status

    started_s = time.monotonic()
    with futures.ThreadPoolExecutor(_SENDERS) as pool:
        sent = []
        for number in range(int(rate * seconds)):
            due_s = started_s + number / rate
            time.sleep(max(0.0, due_s - time.monotonic()))
            sent.append(pool.submit(send, number))
        context.outcomes = [item.result() for item in sent]


@behave.when("{rate:d} requests a second are sent for {seconds:d} seconds")
def send_for(context, rate, seconds):
    """Send them in turn through all nodes."""
    _send_for(context, rate, seconds)


@behave.when(
    "{rate:d} requests a second are sent for {seconds:d} seconds while its"
    " node restarts"
)
def send_beside_restarts(context, rate, seconds):
    """Kill the node of the first target twice and start it again at once."""
    node = context.platform.nodes_by_name["n0"]

    def restart():
        started_s = time.monotonic()
        for at_s in _RESTARTS_S:
            time.sleep(started_s + at_s - time.monotonic())
            node.kill()
            node.start()

    thread = threading.Thread(target=restart)
    thread.start()
    _send_for(context, rate, seconds)
    thread.join()


def _starts(context, others_only=False):
    """Return the times at which the first target got requests."""
    return sorted(
        item.at_s
        for item in _first(context).arrivals
        if item.at_s > context.named_s
        and not (others_only and item.request_id.startswith("n0-"))
    )


def _check_windows(context, starts_s, most):
    settled_s = context.named_s + _SETTLE_S
    counts = [
        sum(begin_s <= other_s < begin_s + _WINDOW_S for other_s in starts_s)
        for begin_s in starts_s
        if begin_s >= settled_s
    ]
    if max(counts, default=0) > most:
        context.platform.print_logs()
    assert max(counts, default=0) <= most, max(counts)


@behave.then("it gets at most {most:d} requests in any 4 seconds")
def within_limit(context, most):
    """Check each window that begins with a request."""
    starts_s = _starts(context)
    _check_windows(context, starts_s, most)
    assert starts_s, "it was never asked"


@behave.then(
    "it gets at most {most:d} requests in any 4 seconds from the other nodes"
)
def within_limit_of_others(context, most):
    """Leave out what began at the node that restarted."""
    _check_windows(context, _starts(context, others_only=True), most)


@behave.then("at least 99 of 100 requests are answered")
def most_answered(context):
    """Check that what exceeds the limit is answered elsewhere."""
    answered = context.outcomes.count(200)
    assert answered >= 0.99 * len(context.outcomes), context.outcomes


@behave.then(
    "it gets no request later than {seconds:g} seconds after its first such"
    " answer"
)
def nothing_later(context, seconds):
    """Check the requests that began at nodes that were not restarted."""
    starts_s = _starts(context)
    assert starts_s, "it was never asked"
    late = [
        at_s
        for at_s in _starts(context, others_only=True)
        if at_s > starts_s[0] + seconds
    ]
    if late:
        context.platform.print_logs()
    assert not late, (len(late), late[0] - starts_s[0])
