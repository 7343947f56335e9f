"""Steps that inject faults into a trial with calls."""

import contextlib
import time

import behave
import fault_proxy

from arbutusstall import errors
from arbutusstall._shell import http

_FAULT_DURATION_S = 0.4


def _each_proxy(context, times, fault, apply_fault):
    """Apply a fault to one inbound proxy after the other."""
    proxies = sorted(context.trial.mesh.proxies_by_name.items())
    for index in range(times):
        name, proxy = proxies[index % len(proxies)]
        number = context.trial.begin_fault(fault, [name.partition("/")[0]])
        apply_fault(proxy)
        time.sleep(_FAULT_DURATION_S)
        proxy.set()
        context.trial.end_fault(number)


@behave.when("links of inbound proxies go silent {times:d} times")
def go_silent(context, times):
    """Silence the open links of one node after the other."""
    _each_proxy(context, times, "silent", lambda proxy: proxy.silence_open())


@behave.when("answers are cut after the request went through, {times:d} times")
def cut_answers(context, times):
    """Reset the link in place of the next answer."""
    marker = {fault_proxy.DOWN: b"answer"}
    _each_proxy(
        context,
        times,
        "cut-answer",
        lambda proxy: proxy.set(reset_on=marker, once=True),
    )


@behave.when(
    "links of inbound proxies are reset at byte {count:d}, {times:d} times"
)
def reset_links(context, count, times):
    """Reset in the middle of an answer and of a request in turn."""
    directions = [fault_proxy.UP, fault_proxy.DOWN] * times

    def apply_fault(proxy):
        proxy.set(reset_at={directions.pop(): count}, once=True)

    _each_proxy(context, times, "reset", apply_fault)


@behave.when("answers of targets are cut at byte {count:d}, {times:d} times")
def cut_target_answers(context, count, times):
    """Reset the link to a target in the middle of an answer."""
    _each_proxy(
        context,
        times,
        "target-cut",
        lambda proxy: proxy.set(reset_at={fault_proxy.DOWN: count}, once=True),
    )


@behave.when(
    "links of inbound proxies lose one direction for {seconds:d} seconds"
)
def drop_one_direction(context, seconds):
    """Drop the answers of one node and the requests to another."""
    proxies = sorted(context.trial.mesh.proxies_by_name.items())
    (first, down), (second, up) = proxies[:2]
    names = [first.partition("/")[0], second.partition("/")[0]]
    number = context.trial.begin_fault("one-way", names)
    down.set(vanish=frozenset({fault_proxy.DOWN}))
    up.set(vanish=frozenset({fault_proxy.UP}))
    time.sleep(seconds)
    down.set()
    up.set()
    # The open streams lack the dropped bytes and cannot continue.
    down.reset_open()
    up.reset_open()
    context.trial.end_fault(number)


@behave.given("the targets take {delay:d} ms for an answer")
def delay_targets(context, delay):
    """Set the same delay for every target."""
    for name in context.trial.mesh.nodes_by_name:
        context.trial.mesh.set_behaviour(name, delay_s=delay / 1000)


@behave.when("a target leaves and its node stops later")
def target_leaves(context):
    """Let the first node's target leave; stop the node 5 s later."""
    time.sleep(1.0)
    mesh = context.trial.mesh
    name = next(iter(mesh.nodes_by_name))
    target = mesh.nodes_by_name[name].target
    mesh.post(f"http://{target}/leave", {})
    time.sleep(5.0)
    assert context.trial.stop_node(name) == 0


@behave.when("a node stops at once")
def node_stops(context):
    """Stop the last node while it has calls."""
    name = list(context.trial.mesh.nodes_by_name)[-1]
    assert context.trial.stop_node(name) == 0


@behave.when(
    "a caller sends a crashing request through {count:d} nodes in turn"
)
def send_crashing_request(context, count):
    """Send the same request to each node, whatever its outcome."""
    mesh = context.trial.mesh
    names = list(mesh.nodes_by_name)[:count]
    context.trial.begin_fault("target-crash", ["*"])
    for index, name in enumerate(names):
        request = http.Request(
            method="POST",
            url=f"http://{mesh.nodes_by_name[name].callers}/kvoty/crash",
            headers=(
                ("Arbutusstall-Request-Id", f"crash-{index}"),
                ("Arbutusstall-Deadline-Ms", "2000"),
            ),
            body=b"crash",
            timeout_s=4.0,
        )
        with contextlib.suppress(errors.ArbutusstallError):
            http.send(request)


@behave.then("at most {limit:d} targets ended because of it")
def targets_lost(context, limit):
    """Count the target processes that ended."""
    mesh = context.trial.mesh
    lost = [
        name
        for name, process in mesh.processes_by_name.items()
        if name.endswith("-target") and process.poll() is not None
    ]
    assert 1 <= len(lost) <= limit, lost
