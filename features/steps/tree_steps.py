"""Steps for the distribution tree, run in the simulated driver."""

import random

import behave
import fleet

from arbutusstall import _clock
from arbutusstall import _effects
from arbutusstall import protocols
from arbutusstall import settings
from arbutusstall._systems import progress
from arbutusstall._tables import links
from arbutusstall._wire import messages

_SEED = 7
_NOW = _clock.Instant(mono_s=10.0, wall_s=10.0)


@behave.given("a fleet of {count:d} nodes in {centres} that has settled")
def build(context, count, centres, relay=None):
    """Start the nodes, wait for the tree and publish a first release."""
    context.centres = centres.split(", ")
    context.fleet = fleet.build(
        count, context.centres, seed=_SEED, relay=relay
    )
    context.next_index = count
    fleet.wait_until(context.fleet, lambda: _settled(context), 30.0)
    version = fleet.publish(context.fleet, services=3)
    fleet.wait_converged(context.fleet, version, 4.0)
    context.fleet.run(15.0)
    context.started_s = context.fleet.now_s


@behave.given("a small fleet of {count:d} nodes in {centres} that has settled")
def build_small(context, count, centres):
    """Start nodes that read the log as soon as they have no parent."""
    relay = settings.RelaySettings(detached_readers=64)
    build(context, count, centres, relay)


@behave.given("a fast fleet of {count:d} nodes in {centres} that has settled")
def build_fast(context, count, centres):
    """Start nodes with timeouts of a few seconds."""
    relay = settings.RelaySettings(
        roots=1,
        heartbeat_s=0.5,
        silent_s=1.5,
        root_renew_s=3.0,
        root_expire_s=7.5,
        refresh_s=2.0,
        expire_s=6.0,
        forget_s=20.0,
        retry_cap_s=1.0,
        detached_readers=64,
    )
    build(context, count, centres, relay)


@behave.when("a root dies")
def kill_root(context):
    """Kill one root."""
    context.fleet.kill(context.fleet.roots()[0])


@behave.when("a root is frozen for {seconds:d} seconds")
def freeze_root(context, seconds):
    """Process no events and no ticks of one root for a while."""
    context.name = context.fleet.roots()[0]
    context.fleet.frozen.add(context.name)
    context.fleet.run(seconds)
    context.fleet.frozen.clear()


@behave.then("no node declares a live node dead for {seconds:d} seconds")
def none_declared_dead(context, seconds):
    """Check every node's member table every 0.2 s."""
    nodes = context.fleet
    for _ in range(seconds * 5):
        nodes.run(0.2)
        for name, core in nodes.cores_by_name.items():
            dead = [
                row.node
                for row in core.tables.members_by_node.values()
                if not row.live
            ]
            assert not dead, (name, dead)


@behave.when("a {kind} is killed and starts again after {seconds:d} seconds")
def restart_node(context, kind, seconds):
    """Restart under the same name and address with empty memory."""
    nodes = context.fleet
    parents = {nodes.parent(name) for name in nodes.cores_by_name}
    roots = set(nodes.roots())
    context.name = next(
        name
        for name in nodes.cores_by_name
        if name not in roots and (name in parents) == (kind == "parent")
    )
    settings = nodes.cores_by_name[context.name].tables.settings
    nodes.kill(context.name)
    nodes.run(float(seconds))
    nodes.add(settings)


@behave.given("one node has left the fleet for good")
def leave_for_good(context):
    """Stop a leaf, and wait until all others know."""
    nodes = context.fleet
    parents = {nodes.parent(name) for name in nodes.cores_by_name}
    name = next(
        name
        for name in nodes.cores_by_name
        if name not in parents and name not in nodes.roots()
    )
    nodes.put(name, protocols.Left(reason="removed", stopping=True))
    nodes.run(1.0)
    nodes.kill(name)
    nodes.run(3.0)


@behave.when(
    "all but {survivors:d} nodes are killed and start again within 1 second"
)
def restart_most(context, survivors):
    """Kill the nodes together and restart each after its own delay."""
    nodes = context.fleet
    names = sorted(nodes.cores_by_name)
    nodes.rng.shuffle(names)
    for name in names[survivors:]:
        settings = nodes.cores_by_name[name].tables.settings
        nodes.kill(name)
        delay_s = 1.0 + nodes.rng.random()
        nodes.after(delay_s, lambda settings=settings: nodes.add(settings))
    nodes.run(2.0)
    context.names = names


@behave.then(
    "each node has the configuration 0.5 seconds after the last start"
)
def each_has_configuration(context):
    """Check the versions half a second later."""
    context.fleet.run(0.5)
    version = max(c.tables.snapshot.version for c in _cores(context))
    assert version > 0
    behind = fleet.nodes_behind(context.fleet, version)
    assert not behind, behind


@behave.then("each of them knows the nodes that are left, and only these")
def each_knows_members(context):
    """Compare the live rows with the nodes of the fleet."""
    for core in _cores(context):
        known = {
            row.node
            for row in core.tables.members_by_node.values()
            if row.live
        }
        assert known == set(context.names), known ^ set(context.names)


@behave.when("the fleet's log answers again")
def log_answers(context):
    """End the outage of the log."""
    context.fleet.is_log_down = False
    context.fleet.run(3.0)


@behave.then(
    "no node has sent more than {count:d} messages a second meanwhile"
)
def few_messages(context, count):
    """Check the number of messages since the start of the fleet."""
    seconds = context.fleet.now_s
    for name, traffic in context.fleet.traffic_by_name.items():
        assert traffic.sent <= count * seconds, (name, traffic.sent)


@behave.when("all roots of {centre} die")
def kill_roots(context, centre):
    """Kill all roots of a data centre."""
    for name in context.fleet.roots():
        if _centre(context, name) == centre:
            context.fleet.kill(name)


@behave.when(
    "all nodes of {centre} are killed and replaced by new ones after"
    " {seconds:d} seconds"
)
def replace_centre(context, centre, seconds):
    """Kill a data centre's nodes and start as many with new names."""
    gone = [
        name
        for name in list(context.fleet.cores_by_name)
        if _centre(context, name) == centre
    ]
    for name in gone:
        context.fleet.kill(name)
    context.fleet.run(seconds)
    for _ in gone:
        context.fleet.add(fleet.settings(context.next_index, centre))
        context.next_index += 1


@behave.when("the fleet's log is out")
def log_out(context):
    """Make every request to the log fail."""
    context.fleet.is_log_down = True


@behave.when("the fleet's log is out for {seconds:d} seconds")
def log_outage(context, seconds):
    """Make every request to the log fail for a while."""
    context.fleet.is_log_down = True
    context.fleet.run(seconds)
    context.fleet.is_log_down = False
    context.fleet.run(1.0)


@behave.when("the fleet's log answers after {delay_ms:d} milliseconds")
def slow_log(context, delay_ms):
    """Delay every answer from the log."""
    context.fleet.log_delay_s = delay_ms / 1000


@behave.then("no node lost a root position that it had claimed")
def no_root_lost(context):
    """Check that no root was displaced by another claim."""
    lost = [
        name
        for at_s, name, emit in context.fleet.emitted
        if at_s > context.started_s and emit.event == "root-role-lost"
    ]
    assert not lost, lost


@behave.given("a node with label {label:d} and a child")
def set_label(context, label):
    """Store the label; later steps build the node with its child."""
    context.label = label
    context.core = None


@behave.then("it refuses a joiner with children and label {label:d}")
def refuses(context, label):
    """Send a Hello and expect a Refusal."""
    assert isinstance(_answer_to_hello(context, label), messages.Refusal)


@behave.then("it admits a joiner with children and label {label:d}")
def admits(context, label):
    """Send a Hello and expect a Welcome."""
    assert isinstance(_answer_to_hello(context, label), messages.Welcome)


@behave.then(
    "it closes the link to a parent whose welcome has label {label:d}"
)
def closes_link(context, label):
    """Send a Welcome and expect the link to be closed."""
    core, effects = _core_after_welcome(context, label)
    assert protocols.Disconnect(peer="parent") in effects, effects
    assert "parent" not in core.tables.links_by_peer


@behave.then("it keeps the link to a parent whose welcome has label {label:d}")
def keeps_link(context, label):
    """Send a Welcome and expect the link to be kept."""
    core, _ = _core_after_welcome(context, label)
    assert "parent" in core.tables.links_by_peer
    assert core.tables.relay.label == context.label


@behave.then("it keeps the link to a parent that sends two welcomes")
def keeps_parent(context):
    """Repeat the Welcome.

    A parent that was paused answers every Hello that was waiting in its
    sockets; the second answer must not close the link.
    """
    core, _ = _core_after_welcome(context, context.label - 1)
    welcome = messages.Welcome(node="parent", label=context.label - 1)
    again = protocols.Received(peer="parent", message=welcome)
    effects = core.handle(again, _NOW)
    assert protocols.Disconnect(peer="parent") not in effects, effects
    assert "parent" in core.tables.links_by_peer


@behave.then("it drops a silent parent that keeps sending invitations")
def drops_inviting_parent(context):
    """Receive invitations only, past the silence limit.

    A parent that invites has no link to this node, so an invitation must
    not count as a sign of life of the link.
    """
    core, _ = _core_after_welcome(context, context.label - 1)
    invitation = messages.Hello(
        node="parent",
        data_centre="lipno",
        address="10.1.1.3:1",
        version=1,
        digest="",
        invite=True,
    )
    event = protocols.Received(peer="parent", message=invitation)
    silent_s = core.tables.settings.relay.silent_s
    mono_s = _NOW.mono_s
    while mono_s < _NOW.mono_s + silent_s + 1.0:
        mono_s += 0.5
        now = _clock.Instant(mono_s=mono_s, wall_s=mono_s)
        core.handle(event, now)
        core.tick(now)
    assert "parent" not in core.tables.links_by_peer


@behave.when("a node with two seed addresses starts")
def start_with_seeds(context):
    """Start a node with the relay addresses of two others."""
    seeds = tuple(
        core.tables.member.relay
        for core in list(context.fleet.cores_by_name.values())[:2]
    )
    settings = fleet.settings(
        context.next_index, context.centres[0], seeds=seeds
    )
    context.name = settings.node
    context.fleet.add(settings)


@behave.when(
    "{count:d} nodes die and start again at random with seed {seed:d}"
)
def churn(context, count, seed):
    """Kill and restart nodes, and check the tree after each restart."""
    rng = random.Random(seed)
    nodes = context.fleet
    context.before = {name: nodes.parent(name) for name in nodes.cores_by_name}
    context.faults = []
    context.dead = set()
    roots = set(nodes.roots())
    for _ in range(count):
        name = rng.choice([n for n in nodes.cores_by_name if n not in roots])
        settings = nodes.cores_by_name[name].tables.settings
        nodes.kill(name)
        context.dead.add(name)
        nodes.run(rng.random())
        nodes.add(settings)
        nodes.run(rng.random())
        context.faults += fleet.check_shape(nodes).faults
    fleet.wait_until(nodes, lambda: _settled(context), 20.0)


@behave.when("the link of a child to its parent goes silent")
def silence(context):
    """Drop all messages of one link in both directions."""
    context.name, context.parent = _child(context)
    context.fleet.silent_pairs.add(frozenset((context.name, context.parent)))


@behave.when("a child receives nothing from its parent")
def one_way(context):
    """Drop all messages of one link from the parent to the child."""
    context.name, context.parent = _child(context)
    context.fleet.dropped_directions.add((context.parent, context.name))


@behave.when("a node with children stops")
def stop_parent(context):
    """Announce the stop of the node with the most children."""
    nodes = context.fleet
    roots = set(nodes.roots())
    counts = {}
    for name in nodes.cores_by_name:
        counts.setdefault(nodes.parent(name), []).append(name)
    context.name = max(
        (name for name in counts if name and name not in roots),
        key=lambda name: len(counts[name]),
    )
    context.children = counts[context.name]
    context.orphaned = set()
    left = protocols.Left(reason="node stops", stopping=True)
    nodes.put(context.name, left)


@behave.when(
    "a network partition separates {one} and {other} for {seconds:d} seconds"
)
def partition(context, one, other, seconds):
    """Close and refuse all links from one data centre to the others."""
    nodes = context.fleet
    names = {n for n in nodes.cores_by_name if _centre(context, n) == one}
    nodes.cut_links(names)
    for name in names:
        for far in nodes.cores_by_name:
            if far not in names:
                nodes.refused_pairs.add(frozenset((name, far)))
    nodes.run(seconds)


@behave.when("the partition ends")
def end_partition(context):
    """Accept all links again."""
    context.fleet.refused_pairs.clear()


@behave.when("a node without children is frozen")
def freeze_leaf(context):
    """Process no events and no ticks of one leaf."""
    nodes = context.fleet
    parents = {nodes.parent(name) for name in nodes.cores_by_name}
    context.name = next(
        name
        for name in nodes.cores_by_name
        if name not in parents and nodes.parent(name)
    )
    nodes.frozen.add(context.name)


@behave.when("a release is published to the fleet")
def publish(context):
    """Publish, and run for less time than a link's silence limit."""
    fleet.publish(context.fleet)
    context.fleet.run(2.0)


@behave.when("it resumes")
def resume(context):
    """Process the frozen node's events and ticks again."""
    context.fleet.frozen.clear()
    context.fleet.run(3.0)


@behave.then("all root positions are held again within {limit:d} seconds")
def roots_held(context, limit):
    """Wait until all root positions are held and all nodes attached."""
    fleet.wait_until(context.fleet, lambda: _settled(context), limit)


@behave.then("no root position changes its holder for {seconds:d} seconds")
def roots_kept(context, seconds):
    """Compare the roots before and after, and check the events."""
    before = sorted(context.fleet.roots())
    started_s = context.fleet.now_s
    context.fleet.run(seconds)
    assert sorted(context.fleet.roots()) == before
    events = [
        emit.event
        for at_s, _, emit in context.fleet.emitted
        if at_s > started_s and emit.event.startswith("root-position")
    ]
    assert not events, events


@behave.then("the fleet's log received at most {limit:d} appends a second")
def append_rate(context, limit):
    """Check the second with the most appends since the fleet settled."""
    counts = {}
    for at_s in context.fleet.append_times:
        if at_s >= context.started_s:
            counts[int(at_s)] = counts.get(int(at_s), 0) + 1
    assert max(counts.values()) <= limit, max(counts.values())


@behave.then(
    "it is no longer a root and has a parent within {limit:d} seconds"
)
def stepped_down(context, limit):
    """Wait until the former root is an ordinary node."""
    nodes = context.fleet
    fleet.wait_until(
        nodes,
        lambda: (
            context.name not in nodes.roots() and nodes.parent(context.name)
        ),
        limit,
    )


@behave.then("{count:d} nodes are roots")
def root_count(context, count):
    """Check the number of roots."""
    assert len(context.fleet.roots()) == count, context.fleet.roots()


@behave.then(
    "a release to the fleet is in force everywhere within {limit:d} seconds"
)
def release_everywhere(context, limit):
    """Publish a release and wait until all nodes have it."""
    fleet.wait_converged(context.fleet, fleet.publish(context.fleet), limit)


@behave.then("the new node has the configuration within {limit:d} seconds")
def new_node_ready(context, limit):
    """Wait until the started node has the newest configuration."""
    nodes = context.fleet
    version = max(c.tables.snapshot.version for c in _cores(context))
    core = nodes.cores_by_name[context.name]
    fleet.wait_until(
        nodes, lambda: core.tables.snapshot.version == version, limit
    )


@behave.then("no tree fault was seen")
def no_faults(context):
    """Check the faults found by the checks of the tree."""
    assert not context.faults, context.faults


@behave.then("only nodes whose parent died have a different parent")
def moved_orphans_only(context):
    """Compare the parents before and after the churn."""
    nodes = context.fleet
    moved = [
        name
        for name, old in context.before.items()
        if name not in context.dead
        and old not in context.dead
        and nodes.parent(name) != old
    ]
    assert not moved, moved


@behave.then("the child has another parent within {limit:d} seconds")
def other_parent(context, limit):
    """Wait for the new parent and record the versions seen until then."""
    nodes = context.fleet
    tables = nodes.cores_by_name[context.name].tables
    context.versions = set()

    def has_moved():
        context.versions.add(tables.snapshot.version)
        return nodes.parent(context.name) not in ("", context.parent)

    fleet.wait_until(nodes, has_moved, limit)


@behave.then("it had a configuration throughout, and always the same")
def kept(context):
    """Check that exactly one version was seen, and not version 0."""
    assert len(context.versions) == 1 and 0 not in context.versions


@behave.then("its children have other parents within {limit:d} seconds")
def handed_over(context, limit):
    """Wait until the stopping node has no children.

    Records children that are without a parent at any step on the way.
    """
    nodes = context.fleet

    def have_moved():
        parents = [nodes.parent(child) for child in context.children]
        context.orphaned |= {
            child
            for child, parent in zip(context.children, parents, strict=True)
            if not parent
        }
        return context.name not in parents

    fleet.wait_until(nodes, have_moved, limit, step_s=0.02)


@behave.then("none of them was ever without a parent")
def no_orphans(context):
    """Check the children seen without a parent during the hand-over."""
    assert not context.orphaned, context.orphaned


@behave.then("no node declared a node of the other side dead")
def all_live(context):
    """Check every row of every member table."""
    for core in _cores(context):
        states = [row.live for row in core.tables.members_by_node.values()]
        assert all(states), core.tables.member.node


@behave.then("all roots are linked to each other within {limit:d} seconds")
def roots_linked(context, limit):
    """Wait until each root has a link to every other root."""
    nodes = context.fleet

    def linked():
        roots = nodes.roots()
        return all(
            other in nodes.cores_by_name[root].tables.links_by_peer
            for root in roots
            for other in roots
            if root != other
        )

    fleet.wait_until(nodes, linked, limit)


@behave.then(
    "every root counts {known:d} known nodes and {count:d} in force, and"
    " names the frozen one"
)
def counts_naming(context, known, count):
    """Check the totals of all roots and the node that lacks the release."""
    for report in _reports(context):
        assert (report.known, report.in_force) == (known, count), report
        assert context.name in report.lacking, report


@behave.then("every root counts {known:d} known nodes and {count:d} in force")
def counts(context, known, count):
    """Check the totals of all roots."""
    for report in _reports(context):
        assert (report.known, report.in_force) == (known, count), report
        assert not report.lacking, report


def _node_with_label(context):
    core = protocols.NodeCore(fleet.settings(1, "lipno"), random.Random(1), 1)
    core.tables.relay.label = context.label
    core.tables.relay.attached = True
    core.tables.links_by_peer["child"] = links.Link(
        peer="child", address="10.1.1.1:1", role=links.LinkRole.CHILD
    )
    return core


def _answer_to_hello(context, label):
    hello = messages.Hello(
        node="joiner",
        data_centre="lipno",
        address="10.1.1.2:1",
        version=0,
        digest="",
        label=label,
    )
    event = protocols.Received(peer="joiner", message=hello)
    effects = _node_with_label(context).handle(event, _NOW)
    return next(
        effect.message
        for effect in effects
        if isinstance(effect, protocols.Send)
    )


def _core_after_welcome(context, label):
    core = _node_with_label(context)
    core.tables.relay.attached = False
    core.tables.attaching_to = "10.1.1.3:1"
    welcome = messages.Welcome(node="parent", label=label)
    event = protocols.Received(peer="parent", message=welcome)
    return core, core.handle(event, _NOW)


def _cores(context):
    return list(context.fleet.cores_by_name.values())


def _centre(context, name):
    return context.fleet.cores_by_name[name].tables.member.data_centre


def _settled(context):
    node = next(iter(context.fleet.cores_by_name.values()))
    roots = node.tables.settings.relay.roots
    return fleet.is_settled(context.fleet, roots * len(context.centres))


def _child(context):
    nodes = context.fleet
    roots = set(nodes.roots())
    return next(
        (name, nodes.parent(name))
        for name in nodes.cores_by_name
        if nodes.parent(name) and nodes.parent(name) not in roots
    )


def _reports(context):
    nodes = context.fleet
    return [
        progress.mesh(nodes.cores_by_name[name].tables)
        for name in nodes.roots()
    ]


@behave.when("the source refuses requests from the roots of {centres}")
def source_lost(context, centres):
    """Report the source as unavailable to each of these roots.

    They pass this on to their children and to each other.
    """
    _report_source(context, centres, available=False)


@behave.when("the source answers the roots of {centres} again")
def source_back(context, centres):
    """Report the source as available to each of these roots."""
    _report_source(context, centres, available=True)


@behave.then("after {seconds:d} seconds {who} reads the log")
def readers(context, seconds, who):
    """Check which nodes read the log: every node, or the roots only."""
    context.fleet.run(seconds)
    reading = {
        name
        for name, core in context.fleet.cores_by_name.items()
        if core.tables.relay.follows_log
    }
    roots = set(context.fleet.roots())
    all_names = set(context.fleet.cores_by_name)
    wanted = all_names if who == "every node" else roots
    assert reading == wanted, (reading, wanted)


def _report_source(context, centres, *, available):
    for name in context.fleet.roots():
        if _centre(context, name) in centres.split(", "):
            event = _effects.SourceChanged(available=available, reason="test")
            context.fleet.put(name, event)
