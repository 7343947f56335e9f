"""Steps for membership, run in the simulated driver."""

import dataclasses
import random

import behave
import fleet
import hypothesis
from hypothesis import strategies

from arbutusstall import _clock
from arbutusstall import protocols
from arbutusstall import settings as node_settings
from arbutusstall._log import roster
from arbutusstall._systems import membership
from arbutusstall._systems import rows as table
from arbutusstall._tables import members
from arbutusstall._wire import messages

_SEED = 11
# Shorter than the default times, in the same ratios.
_RELAY = node_settings.RelaySettings(
    refresh_s=5.0, expire_s=16.0, forget_s=30.0
)
_START = _clock.Instant(mono_s=1.0, wall_s=1.0)


@behave.given("{count:d} members in {centres} whose tables agree")
def build(context, count, centres):
    """Start nodes, announce a target at each and wait until all agree."""
    context.centres = centres.split(", ")
    context.fleet = fleet.build(
        count, context.centres, seed=_SEED, relay=_RELAY
    )
    roots = 3 * len(context.centres)
    fleet.wait_until(
        context.fleet, lambda: fleet.is_settled(context.fleet, roots), 30.0
    )
    for name in context.fleet.cores_by_name:
        _announce(context, name)
    fleet.wait_until(context.fleet, lambda: _agree(context), 40.0)


@behave.when("an endpoint leaves")
def leave(context):
    """Report to one node that its target leaves."""
    context.name = _leaf(context)
    context.fleet.put(context.name, protocols.Left(reason="target"))


@behave.when("a node dies")
def die(context):
    """Kill a leaf after it has been reported alive to all."""
    context.fleet.run(3 * _RELAY.refresh_s)
    context.name = _leaf(context)
    context.fleet.kill(context.name)


@behave.when("the log is out, a target departs and another node dies")
def depart_in_outage(context):
    """Let a target announce its departure, and kill another leaf."""
    context.fleet.run(3 * _RELAY.refresh_s)
    context.fleet.is_log_down = True
    context.name = _leaf(context)
    departed = protocols.Left(reason="draining", departed="i-1")
    context.fleet.put(context.name, departed)
    context.dead = _leaf(context, other_than=context.name)
    context.fleet.kill(context.dead)


@behave.then("nothing is recorded in the roster within {seconds:d} seconds")
def nothing_recorded(context, seconds):
    """Check that no record reaches the roster meanwhile."""
    context.fleet.run(seconds)
    assert not context.fleet.absences


@behave.when("the outage ends for all members")
def end_outage(context):
    """End the outage."""
    context.fleet.is_log_down = False


@behave.then("both are recorded in the roster once within {seconds:d} seconds")
def recorded_once(context, seconds):
    """Check the recorded rows."""
    context.fleet.run(seconds)
    rows = [row for item in context.fleet.absences for row in item.rows]
    assert {row.node for row in rows} == {context.name, context.dead}, rows
    assert len(rows) == 2, rows
    departed = {row.node: row.departed for row in rows}
    assert departed[context.name] == "i-1"
    assert departed[context.dead] == ""


@behave.when(
    "the target of a leaf departs and the leaf is restarted with the log {log}"
)
def restart_departed(context, log):
    """Kill the leaf a second after the departure, and start it again."""
    nodes = context.fleet
    nodes.is_log_down = log == "out"
    context.name = _leaf(context)
    settings = nodes.cores_by_name[context.name].tables.settings
    _announce(context, context.name)
    nodes.run(1.0)
    departed = protocols.Left(reason="draining", departed="i-1/7")
    nodes.put(context.name, departed)
    nodes.run(1.0)
    nodes.kill(context.name)
    nodes.run(1.0)
    nodes.add(settings)


@behave.then("it is told of the departure within {seconds:d} seconds")
def told_of_departure(context, seconds):
    """Check that the new process has the start of the target."""
    context.fleet.run(seconds)
    assert (context.name, "i-1/7") in context.fleet.departures


@behave.given("a roster entry of process {number:d} with the target {target}")
def roster_entry(context, number, target):
    """Create the entry; its process started at ``number`` milliseconds."""
    context.entry = roster.RosterEntry(
        member=_gone_row(number, target), instance=target, born_ms=7
    )


@behave.when(
    "its node is gone with process {number:d}, the target {target} {how}"
)
def compare_with_roster(context, number, target, how):
    """Compare the entry with the last row of its node."""
    row = dataclasses.replace(
        _gone_row(number, target),
        state=members.MemberState.LEAVING,
        departed=f"{target}/7" if how == "departed" else "",
    )
    changed = roster.gone_entries([row], [context.entry])
    context.entry = next(iter(changed), context.entry)


@behave.then("the entry is {absent} and {departed}")
def check_entry(context, absent, departed):
    """Check both flags of the entry."""
    assert context.entry.absent == (absent == "absent")
    assert context.entry.departed == (departed == "departed")


def _gone_row(incarnation, target):
    return members.Member(
        node="n1",
        data_centre="lipno",
        incarnation=incarnation,
        service="kvoty",
        target=f"{target}:8080",
    )


@behave.when(
    "a node without children is disconnected until the others remove the row"
)
def disconnect(context):
    """Refuse all links of one node until the others removed the row."""
    nodes = context.fleet
    disconnected = context.disconnected = _leaf(context)
    nodes.cut_links([disconnected])
    pairs = {frozenset((disconnected, name)) for name in nodes.cores_by_name}
    nodes.refused_pairs |= pairs
    others = [n for n in nodes.cores_by_name if n != disconnected]
    fleet.wait_until(nodes, lambda: not _has_row(context, others), 120.0)
    assert _has_row(context, [disconnected])
    nodes.refused_pairs -= pairs
    nodes.run(5.0)


@behave.when("a root declares a live node dead")
def declare_dead(context):
    """Mark a live node silent at one root, which sends the row on."""
    nodes = context.fleet
    context.name = _leaf(context)
    tables = nodes.cores_by_name[nodes.roots()[0]].tables
    membership.mark_silent(tables, [context.name], nodes.clock.now())


@behave.when(
    "an endpoint leaves and returns {count:d} times within {seconds:d} seconds"
)
def flap(context, count, seconds):
    """Let one target leave and return ``count`` times, then leave."""
    nodes = context.fleet
    context.name = _leaf(context)
    before = nodes.cores_by_name[context.name].tables.member.sequence
    for _ in range(count):
        nodes.put(context.name, protocols.Left(reason="target"))
        nodes.run(seconds / count / 2)
        _announce(context, context.name)
        nodes.run(seconds / count / 2)
    nodes.put(context.name, protocols.Left(reason="target"))
    own = nodes.cores_by_name[context.name].tables.member
    context.changes = own.sequence - before


@behave.when("its endpoint returns once more and stays")
def return_once_more(context):
    """Announce the target and leave it announced."""
    _announce(context, context.name)


@behave.when("every node of {centre} restarts within {seconds:d} seconds")
def restart_centre(context, centre, seconds):
    """Restart a data centre's nodes and targets at random times."""
    nodes = context.fleet
    context.sent = _sent_bytes_by_node(nodes)
    context.started_s = nodes.now_s
    for name, core in list(nodes.cores_by_name.items()):
        if core.tables.member.data_centre == centre:
            settings = core.tables.settings
            nodes.kill(name)
            delay_s = nodes.rng.random() * seconds
            nodes.after(
                delay_s, lambda settings=settings: _restart(context, settings)
            )
    nodes.run(float(seconds))


@behave.when("a leaf loses its parent and attaches again")
def reattach(context):
    """End one leaf's link to its parent and count the rows it receives."""
    nodes = context.fleet
    name = _leaf(context)
    nodes.run(10.0)
    context.row_count = 0
    core = nodes.cores_by_name[name]
    handle = core.handle

    def count(event, now):
        if isinstance(event, protocols.Received) and isinstance(
            event.message, messages.MemberUpdate
        ):
            context.row_count += len(event.message.rows)
        return handle(event, now)

    core.handle = count
    parent = nodes.parent(name)
    nodes.put(name, protocols.LinkLost(peer=parent, reason="test"))
    fleet.wait_until(nodes, lambda: nodes.parent(name) != "", 10.0)
    nodes.run(5.0)


@behave.then("no node routes calls to it after {limit:d} seconds")
def gone(context, limit):
    """Wait until the member is in no node's view."""
    fleet.wait_until(
        context.fleet, lambda: not _nodes_routing_to(context), limit
    )


@behave.then("every node routes calls to it after {limit:d} seconds")
def back(context, limit):
    """Wait until the member is in every node's view."""
    nodes = context.fleet
    fleet.wait_until(
        nodes,
        lambda: len(_nodes_routing_to(context)) == len(nodes.cores_by_name),
        limit,
    )


@behave.then(
    "every node routes calls to the disconnected node after {limit:d} seconds"
)
def returned(context, limit):
    """Wait until the node whose row was removed is in every view."""
    context.name = context.disconnected
    back(context, limit)


@behave.then("no node has its row in the table after {limit:d} seconds")
def removed(context, limit):
    """Wait until all nodes removed the row, and check again 10 s later."""
    nodes = context.fleet
    names = list(nodes.cores_by_name)
    fleet.wait_until(nodes, lambda: not _has_row(context, names), limit)
    nodes.run(10.0)
    assert not _has_row(context, names)


@behave.then("its row changed at most {limit:d} times")
def few_changes(context, limit):
    """Check how far the sequence number of its own row rose."""
    assert context.changes <= limit, context.changes


@behave.then("no node saw it serving after it left for the last time")
def stays_away(context):
    """Check every node's view for 10 s, from 1 s after it left."""
    nodes = context.fleet
    nodes.run(1.0)
    for _ in range(20):
        assert not _nodes_routing_to(context)
        nodes.run(0.5)


@behave.then("all tables agree after {limit:d} seconds")
def agree(context, limit):
    """Wait until all tables are equal and list every node as serving."""
    fleet.wait_until(context.fleet, lambda: _agree(context), limit)


@behave.then(
    "no node sent more than {limit:d} kilobytes a second over {seconds:d}"
    " seconds"
)
def send_rate(context, limit, seconds):
    """Check the bytes that each node sent since the restart."""
    nodes = context.fleet
    nodes.run(max(0.0, context.started_s + seconds - nodes.now_s))
    sent = _sent_bytes_by_node(nodes)
    rates = [
        (sent[name] - context.sent.get(name, 0)) / seconds for name in sent
    ]
    assert max(rates) <= limit * 1000, max(rates)


@behave.then("it received fewer than {limit:d} rows")
def few_rows(context, limit):
    """Check the number of rows sent to the reattached leaf."""
    assert context.row_count < limit, context.row_count


@behave.then("rows merged in any order and repeated give the same table")
def merge(context):
    """Merge random rows in two orders and compare the tables."""
    row = strategies.builds(
        members.Member,
        node=strategies.sampled_from(["a", "b", "c"]),
        data_centre=strategies.just("lipno"),
        incarnation=strategies.integers(1, 3),
        sequence=strategies.integers(0, 3),
        state=strategies.just(members.MemberState.SERVING),
        service=strategies.just("kvoty"),
    )

    @hypothesis.settings(derandomize=True, deadline=None, max_examples=100)
    @hypothesis.given(strategies.lists(row, max_size=12), strategies.randoms())
    def check(rows, rng):
        # Two rows of one node with the same rank are always equal.
        unique = list({(item.node, item.rank): item for item in rows}.values())
        shuffled = [*unique, *unique]
        rng.shuffle(shuffled)
        one, other = _merged(unique), _merged(shuffled)
        assert one.members_by_node == other.members_by_node
        assert table.bucket_checksums(one) == table.bucket_checksums(other)
        assert one.membership.local_live == len(one.members_by_node)

    check()


def _merged(rows):
    settings = fleet.settings(1, "lipno")
    core = protocols.NodeCore(settings, random.Random(1), 1)
    update = messages.MemberUpdate(rows=tuple(rows))
    core.handle(protocols.Received(peer="x", message=update), _START)
    return core.tables


def _announce(context, name):
    context.fleet.put(
        name,
        protocols.Announced(
            service="kvoty", version="v1", address="10.1.1.1:80", slots=20
        ),
    )


def _restart(context, settings):
    context.fleet.add(settings)
    _announce(context, settings.node)


def _leaf(context, other_than=""):
    nodes = context.fleet
    parents = {nodes.parent(name) for name in nodes.cores_by_name}
    parents.add(other_than)
    return next(
        name
        for name in nodes.cores_by_name
        if nodes.parent(name) and name not in parents
    )


def _nodes_routing_to(context):
    return [
        name
        for name in context.fleet.cores_by_name
        if any(
            row.node == context.name
            for row in context.fleet.views_by_name[
                name
            ].members_by_service.get("kvoty", ())
        )
    ]


def _has_row(context, names):
    nodes = context.fleet
    return any(
        context.name in nodes.cores_by_name[name].tables.members_by_node
        for name in names
    )


def _agree(context):
    cores = list(context.fleet.cores_by_name.values())
    checksums = {table.checksum(core.tables) for core in cores}
    first = cores[0].tables.members_by_node.values()
    serving = sum(row.state is members.MemberState.SERVING for row in first)
    return len(checksums) == 1 and serving == len(cores)


def _sent_bytes_by_node(nodes):
    return {
        name: traffic.sent_bytes
        for name, traffic in nodes.traffic_by_name.items()
    }
