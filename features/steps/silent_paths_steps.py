"""Steps for configurations beside paths that have gone silent."""

import behave
import source_fleet

_CHANGES = 5
_CHANGE_INTERVAL_S = 0.3
_OUTAGE_S = 6.0
_WATCH_S = 8.0


@behave.given("fleet {seed:d} on the platform of {count:d} nodes in {centres}")
def build(context, seed, count, centres):
    """Start the fleet and wait until it has settled."""
    context.nodes = source_fleet.build(count, centres.split(", "), seed)


@behave.when(
    "the source leaves {count:d} roots without answers for {seconds:d} seconds"
)
def leave_roots_unanswered(context, count, seconds):
    """Leave reads that wait, and further ones, without an answer."""
    nodes = context.nodes
    for name in nodes.roots()[:count]:
        _set_reach(nodes, name, source_fleet.Reach.SILENT, seconds)
    _publish_and_watch(nodes)


@behave.when(
    "the source refuses a root and the others lose power {seconds:g} s later"
)
def refuse_root(context, seconds):
    """Refuse the reads of one root and power off all other roots."""
    nodes = context.nodes
    first, *others = nodes.roots()
    _set_reach(nodes, first, source_fleet.Reach.REFUSED, seconds + _OUTAGE_S)
    nodes.run(seconds)
    for name in others:
        nodes.power_off(name)
    _publish_and_watch(nodes)


@behave.when(
    "a root loses power and {seconds:g} s later a child of it with children"
)
def lose_power_in_a_row(context, seconds):
    """Power off two levels, and publish after the first."""
    nodes = context.nodes
    parents = {nodes.parent(name) for name in nodes.cores_by_name}
    child = next(
        name
        for name in nodes.cores_by_name
        if name in parents and nodes.parent(name)
    )
    nodes.power_off(nodes.parent(child))
    nodes.after(seconds, lambda: nodes.power_off(child))
    _publish_and_watch(nodes)


@behave.when(
    "a configuration is published every second for {seconds:d} seconds"
)
def publish_in_calm(context, seconds):
    """Publish, and record who reads the source."""
    nodes = context.nodes
    nodes.readers.clear()
    for index in range(seconds):
        nodes.after(index, nodes.publish)
    nodes.watch(seconds)


@behave.then("no node that reaches the source lacked a configuration too long")
def nobody_late(context):
    """Compare with the bound."""
    nodes = context.nodes
    assert not nodes.late, (
        f"{len(nodes.late)} nodes late, longest {nodes.oldest_s:.2f} s: "
        f"{sorted(nodes.late)[:5]}"
    )


@behave.then("only the roots have read the source")
def only_roots_read(context):
    """Check who has sent reads."""
    readers = context.nodes.readers
    assert readers <= set(context.nodes.roots()), readers


def _set_reach(nodes, name, reach, seconds):
    nodes.set_reach(name, reach)
    answered = source_fleet.Reach.ANSWERED
    nodes.after(seconds, lambda: nodes.set_reach(name, answered))


def _publish_and_watch(nodes):
    for index in range(_CHANGES):
        nodes.after(index * _CHANGE_INTERVAL_S, nodes.publish)
    nodes.watch(_WATCH_S)
