"""Steps for membership, run by the driver."""

import random

import behave
import fleet
import hypothesis
from hypothesis import strategies

from arbutusstall import _clock
from arbutusstall import protocols
from arbutusstall import settings as node_settings
from arbutusstall._systems import membership
from arbutusstall._systems import rows as table
from arbutusstall._tables import members
from arbutusstall._wire import messages

_SEED = 11
# Shorter times than the defaults; the ratios are kept.
_RELAY = node_settings.RelaySettings(
    refresh_s=5.0, expire_s=16.0, forget_s=30.0
)
_START = _clock.Instant(mono_s=1.0, wall_s=1.0)


@behave.given("{count:d} members in {centres} that know each other")
def build(context, count, centres):
    """Start nodes with a target beside each."""
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
    """Let the target of one node leave."""
    context.name = _leaf(context)
    context.fleet.put(context.name, protocols.Left(reason="target"))


@behave.when("a node dies")
def die(context):
    """Kill a leaf that has been reported alive before."""
    context.fleet.run(3 * _RELAY.refresh_s)
    context.name = _leaf(context)
    context.fleet.kill(context.name)


@behave.when("a node without children is cut off until the row is removed")
def cut_off(context):
    """Keep one node away until the others have removed the row."""
    made = context.fleet
    away = context.away = _leaf(context)
    made.cut_links([away])
    pairs = {frozenset((away, name)) for name in made.cores_by_name}
    made.refused_pairs |= pairs
    others = [n for n in made.cores_by_name if n != away]
    fleet.wait_until(made, lambda: not _has_row(context, others), 120.0)
    assert _has_row(context, [away])
    made.refused_pairs -= pairs
    made.run(5.0)


@behave.when("a root takes a live node for dead")
def accuse(context):
    """Spread a row that says a live node is silent."""
    made = context.fleet
    context.name = _leaf(context)
    tables = made.cores_by_name[made.roots()[0]].tables
    membership.mark_silent(tables, [context.name], made.clock.now())


@behave.when(
    "an endpoint leaves and returns {count:d} times within {seconds:d} seconds"
)
def flap(context, count, seconds):
    """Let one target leave and return again and again, then leave."""
    made = context.fleet
    context.name = _leaf(context)
    before = made.cores_by_name[context.name].tables.member.sequence
    for _ in range(count):
        made.put(context.name, protocols.Left(reason="target"))
        made.run(seconds / count / 2)
        _announce(context, context.name)
        made.run(seconds / count / 2)
    made.put(context.name, protocols.Left(reason="target"))
    own = made.cores_by_name[context.name].tables.member
    context.changes = own.sequence - before


@behave.when("its endpoint returns and stays")
def stay(context):
    """Announce the target for good."""
    _announce(context, context.name)


@behave.when("every node of {centre} restarts within {seconds:d} seconds")
def restart_centre(context, centre, seconds):
    """Restart a data centre, its targets with it."""
    made = context.fleet
    context.sent = _sent(made)
    context.begin_s = made.now_s
    for name, core in list(made.cores_by_name.items()):
        if core.tables.member.data_centre == centre:
            settings = core.tables.settings
            made.kill(name)
            delay_s = made.rng.random() * seconds
            made.after(
                delay_s, lambda settings=settings: _restart(context, settings)
            )
    made.run(float(seconds))


@behave.when("a leaf loses its parent and attaches again")
def reattach(context):
    """Break the link of one leaf and count the rows it gets."""
    made = context.fleet
    name = _leaf(context)
    made.run(10.0)
    context.rows = 0
    core = made.cores_by_name[name]
    handle = core.handle

    def count(event, now):
        if isinstance(event, protocols.Received) and isinstance(
            event.message, messages.MemberUpdate
        ):
            context.rows += len(event.message.rows)
        return handle(event, now)

    core.handle = count
    parent = made.parent(name)
    made.put(name, protocols.LinkLost(peer=parent, reason="test"))
    fleet.wait_until(made, lambda: made.parent(name) != "", 10.0)
    made.run(5.0)


@behave.then("no node would call it after {limit:d} seconds")
def gone(context, limit):
    """Wait until the member is in no view."""
    fleet.wait_until(context.fleet, lambda: not _callers(context), limit)


@behave.then("every node would call it after {limit:d} seconds")
def back(context, limit):
    """Wait until the member is in every view."""
    made = context.fleet
    fleet.wait_until(
        made,
        lambda: len(_callers(context)) == len(made.cores_by_name),
        limit,
    )


@behave.then(
    "every node would call the node that was cut off after {limit:d} seconds"
)
def returned(context, limit):
    """Wait until the node that was taken for dead is known again."""
    context.name = context.away
    back(context, limit)


@behave.then("no node has its row after {limit:d} seconds")
def removed(context, limit):
    """Wait until the row is gone everywhere, and stays so."""
    made = context.fleet
    names = list(made.cores_by_name)
    fleet.wait_until(made, lambda: not _has_row(context, names), limit)
    made.run(10.0)
    assert not _has_row(context, names)


@behave.then("its row changed at most {limit:d} times")
def few_changes(context, limit):
    """Check the number of changes of the flapping row."""
    assert context.changes <= limit, context.changes


@behave.then("it was never seen serving after it left for good")
def stays_away(context):
    """Check every view for a while."""
    made = context.fleet
    made.run(1.0)
    for _ in range(20):
        assert not _callers(context)
        made.run(0.5)


@behave.then("all tables agree after {limit:d} seconds")
def agree(context, limit):
    """Wait until all nodes know all nodes."""
    fleet.wait_until(context.fleet, lambda: _agree(context), limit)


@behave.then(
    "nobody sent more than {limit:d} kilobytes a second over {seconds:d}"
    " seconds"
)
def cheap(context, limit, seconds):
    """Check the bytes of each node since the restart."""
    made = context.fleet
    made.run(max(0.0, context.begin_s + seconds - made.now_s))
    sent = _sent(made)
    rates = [
        (sent[name] - context.sent.get(name, 0)) / seconds for name in sent
    ]
    assert max(rates) <= limit * 1000, max(rates)


@behave.then("it got less than {limit:d} rows")
def few_rows(context, limit):
    """Check what the reattached leaf was sent."""
    assert context.rows < limit, context.rows


@behave.then("any order and repetition of rows gives the same table")
def merge(context):
    """Merge random rows in two orders into two nodes."""
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
        # Rows of one node with one rank are the same row.
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


def _leaf(context):
    made = context.fleet
    parents = {made.parent(name) for name in made.cores_by_name}
    return next(
        name
        for name in made.cores_by_name
        if made.parent(name) and name not in parents
    )


def _callers(context):
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
    made = context.fleet
    return any(
        context.name in made.cores_by_name[name].tables.members_by_node
        for name in names
    )


def _agree(context):
    cores = list(context.fleet.cores_by_name.values())
    totals = {table.checksum(core.tables) for core in cores}
    first = cores[0].tables.members_by_node.values()
    serving = sum(row.state is members.MemberState.SERVING for row in first)
    return len(totals) == 1 and serving == len(cores)


def _sent(made):
    return {
        name: traffic.sent_bytes
        for name, traffic in made.traffic_by_name.items()
    }
