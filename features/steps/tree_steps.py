"""Steps for the distribution tree, run by the driver."""

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
    """Start the nodes and publish a first release."""
    context.centres = centres.split(", ")
    context.fleet = fleet.build(
        count, context.centres, seed=_SEED, relay=relay
    )
    context.next_index = count
    fleet.wait_until(context.fleet, lambda: _settled(context), 30.0)
    version = fleet.publish(context.fleet, services=3)
    fleet.wait_converged(context.fleet, version, 4.0)
    context.fleet.run(15.0)
    context.begin_s = context.fleet.now_s


@behave.given("a small fleet of {count:d} nodes in {centres} that has settled")
def build_small(context, count, centres):
    """Nodes without a parent read the log at once."""
    relay = settings.RelaySettings(detached_readers=64)
    build(context, count, centres, relay)


@behave.given("a fast fleet of {count:d} nodes in {centres} that has settled")
def build_fast(context, count, centres):
    """Nodes that take each other for dead after seconds."""
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
    """Stop the clock of one root for a while."""
    context.name = context.fleet.roots()[0]
    context.fleet.frozen.add(context.name)
    context.fleet.run(seconds)
    context.fleet.frozen.clear()


@behave.then("no node takes a living node for dead for {seconds:d} seconds")
def none_taken_for_dead(context, seconds):
    """Look at every node's table every fifth of a second."""
    made = context.fleet
    for _ in range(seconds * 5):
        made.run(0.2)
        for name, core in made.cores_by_name.items():
            dead = [
                row.node
                for row in core.tables.members_by_node.values()
                if not row.live
            ]
            assert not dead, (name, dead)


@behave.when("a {kind} is killed and starts again after {seconds:d} seconds")
def killed_and_started(context, kind, seconds):
    """Under its name and address, with nothing in memory."""
    made = context.fleet
    parents = {made.parent(name) for name in made.cores_by_name}
    roots = set(made.roots())
    context.name = next(
        name
        for name in made.cores_by_name
        if name not in roots and (name in parents) == (kind == "parent")
    )
    settings = made.cores_by_name[context.name].tables.settings
    made.kill(context.name)
    made.run(float(seconds))
    made.add(settings)


@behave.when("all roots of {centre} die")
def kill_roots(context, centre):
    """Kill all roots of a data centre."""
    for name in context.fleet.roots():
        if _centre(context, name) == centre:
            context.fleet.kill(name)


@behave.when(
    "all nodes of {centre} are gone for {seconds:d} seconds and come"
    " back as new"
)
def herd(context, centre, seconds):
    """Kill a data centre and start as many nodes with new names."""
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
    """Let every request to the log fail."""
    context.fleet.is_log_down = True


@behave.when("the fleet's log is out for {seconds:d} seconds")
def log_outage(context, seconds):
    """Let every request to the log fail for a while."""
    context.fleet.is_log_down = True
    context.fleet.run(seconds)
    context.fleet.is_log_down = False
    context.fleet.run(1.0)


@behave.when("the fleet's log answers after {delay_ms:d} milliseconds")
def slow_log(context, delay_ms):
    """Delay every answer of the log."""
    context.fleet.log_delay_s = delay_ms / 1000


@behave.then("nobody lost a position that it had taken")
def no_root_lost(context):
    """Check that no claim replaced a newer one."""
    lost = [
        name
        for at_s, name, emit in context.fleet.emitted
        if at_s > context.begin_s and emit.event == "root-role-lost"
    ]
    assert not lost, lost


@behave.given("a node with label {label:d} and a child")
def labelled(context, label):
    """Make a node that has a child and a way to a root."""
    context.label = label
    context.core = None


@behave.then("it refuses a joiner with children and label {label:d}")
def refuses(context, label):
    """Send a hello and expect a refusal."""
    assert isinstance(_answer(context, label), messages.Refusal)


@behave.then("it admits a joiner with children and label {label:d}")
def admits(context, label):
    """Send a hello and expect a welcome."""
    assert isinstance(_answer(context, label), messages.Welcome)


@behave.then("it leaves a parent that turns out to have label {label:d}")
def leaves(context, label):
    """Send a welcome and expect the link to be closed."""
    core, effects = _welcomed(context, label)
    assert protocols.Disconnect(peer="parent") in effects, effects
    assert "parent" not in core.tables.links_by_peer


@behave.then("it accepts a parent that turns out to have label {label:d}")
def accepts(context, label):
    """Send a welcome and expect the link to be kept."""
    core, _ = _welcomed(context, label)
    assert "parent" in core.tables.links_by_peer
    assert core.tables.relay.label == context.label


@behave.then("it keeps a parent that welcomes it twice")
def keeps_parent(context):
    """As after two hellos that lay in the parent's sockets."""
    core, _ = _welcomed(context, context.label - 1)
    welcome = messages.Welcome(node="parent", label=context.label - 1)
    again = protocols.Received(peer="parent", message=welcome)
    effects = core.handle(again, _NOW)
    assert protocols.Disconnect(peer="parent") not in effects, effects
    assert "parent" in core.tables.links_by_peer


@behave.then("it drops a silent parent that goes on inviting it")
def drops_inviting_parent(context):
    """It says so because it has no link to this node."""
    core, _ = _welcomed(context, context.label - 1)
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


@behave.when("a node starts that knows two seeds")
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
    """Kill and restart nodes, looking at the tree all the time."""
    rng = random.Random(seed)
    made = context.fleet
    context.before = {name: made.parent(name) for name in made.cores_by_name}
    context.faults = []
    context.dead = set()
    roots = set(made.roots())
    for _ in range(count):
        name = rng.choice([n for n in made.cores_by_name if n not in roots])
        settings = made.cores_by_name[name].tables.settings
        made.kill(name)
        context.dead.add(name)
        made.run(rng.random())
        made.add(settings)
        made.run(rng.random())
        context.faults += fleet.check_shape(made).faults
    fleet.wait_until(made, lambda: _settled(context), 20.0)


@behave.when("the link of a child to its parent goes silent")
def silence(context):
    """Lose everything on one link, both ways."""
    context.name, context.parent = _child(context)
    context.fleet.silent_pairs.add(frozenset((context.name, context.parent)))


@behave.when("a child hears nothing from its parent")
def one_way(context):
    """Lose everything on one link, one way."""
    context.name, context.parent = _child(context)
    context.fleet.dropped_directions.add((context.parent, context.name))


@behave.when("a node with children stops")
def stop_parent(context):
    """Tell a node to stop, and end it after its grace time."""
    made = context.fleet
    roots = set(made.roots())
    counts = {}
    for name in made.cores_by_name:
        counts.setdefault(made.parent(name), []).append(name)
    context.name = max(
        (name for name in counts if name and name not in roots),
        key=lambda name: len(counts[name]),
    )
    context.children = counts[context.name]
    context.orphaned = set()
    left = protocols.Left(reason="node stops", stopping=True)
    made.put(context.name, left)


@behave.when(
    "{one} and {other} are cut from each other for {seconds:d} seconds"
)
def cut(context, one, other, seconds):
    """Break and forbid all links between two data centres."""
    made = context.fleet
    names = {n for n in made.cores_by_name if _centre(context, n) == one}
    made.cut_links(names)
    for name in names:
        for far in made.cores_by_name:
            if far not in names:
                made.refused_pairs.add(frozenset((name, far)))
    made.run(seconds)


@behave.when("the cut is healed")
def heal(context):
    """Allow all links again."""
    context.fleet.refused_pairs.clear()


@behave.when("a node without children is frozen")
def freeze_leaf(context):
    """Freeze a leaf."""
    made = context.fleet
    parents = {made.parent(name) for name in made.cores_by_name}
    context.name = next(
        name
        for name in made.cores_by_name
        if name not in parents and made.parent(name)
    )
    made.frozen.add(context.name)


@behave.when("a release is published to the fleet")
def publish(context):
    """Publish and let it spread for less than a link's silence limit."""
    fleet.publish(context.fleet)
    context.fleet.run(2.0)


@behave.when("it is thawed")
def thaw(context):
    """Let the frozen node run again."""
    context.fleet.frozen.clear()
    context.fleet.run(3.0)


@behave.then("all positions are held again within {limit:d} seconds")
def roots_held(context, limit):
    """Wait for all positions and links."""
    fleet.wait_until(context.fleet, lambda: _settled(context), limit)


@behave.then("no position changes hands for {seconds:d} seconds")
def roots_kept(context, seconds):
    """Compare the holders before and after."""
    before = sorted(context.fleet.roots())
    begin_s = context.fleet.now_s
    context.fleet.run(seconds)
    assert sorted(context.fleet.roots()) == before
    events = [
        emit.event
        for at_s, _, emit in context.fleet.emitted
        if at_s > begin_s and emit.event.startswith("root-position")
    ]
    assert not events, events


@behave.then("the fleet's log took at most {limit:d} appends a second")
def append_rate(context, limit):
    """Check the busiest second since the fleet had settled."""
    counts = {}
    for at_s in context.fleet.append_times:
        if at_s >= context.begin_s:
            counts[int(at_s)] = counts.get(int(at_s), 0) + 1
    assert max(counts.values()) <= limit, max(counts.values())


@behave.then(
    "it is no root any more and has a parent within {limit:d} seconds"
)
def stepped_down(context, limit):
    """Wait until the former root is an ordinary node."""
    made = context.fleet
    fleet.wait_until(
        made,
        lambda: context.name not in made.roots() and made.parent(context.name),
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
    """Publish and wait."""
    fleet.wait_converged(context.fleet, fleet.publish(context.fleet), limit)


@behave.then("the new node has the configuration within {limit:d} seconds")
def new_node_ready(context, limit):
    """Wait for the node that started."""
    made = context.fleet
    version = max(c.tables.snapshot.version for c in _cores(context))
    core = made.cores_by_name[context.name]
    fleet.wait_until(
        made, lambda: core.tables.snapshot.version == version, limit
    )


@behave.then("no tree fault was seen")
def no_faults(context):
    """Check what the looks at the tree found."""
    assert not context.faults, context.faults


@behave.then("only nodes that lost their parent have another one")
def moved_orphans_only(context):
    """Compare the parents before and after the churn."""
    made = context.fleet
    moved = [
        name
        for name, old in context.before.items()
        if name not in context.dead
        and old not in context.dead
        and made.parent(name) != old
    ]
    assert not moved, moved


@behave.then("the child has another parent within {limit:d} seconds")
def other_parent(context, limit):
    """Wait until the child has changed over."""
    made = context.fleet
    versions = made.cores_by_name[context.name].tables
    context.versions = set()

    def moved():
        context.versions.add(versions.snapshot.version)
        return made.parent(context.name) not in ("", context.parent)

    fleet.wait_until(made, moved, limit)


@behave.then("it kept its configuration all the time")
def kept(context):
    """Check that only one version was seen."""
    assert len(context.versions) == 1 and 0 not in context.versions


@behave.then("its children have other parents within {limit:d} seconds")
def handed_over(context, limit):
    """Wait until the stopping node has no children."""
    made = context.fleet

    def moved():
        parents = [made.parent(child) for child in context.children]
        context.orphaned |= {
            child
            for child, parent in zip(context.children, parents, strict=True)
            if not parent
        }
        return context.name not in parents

    fleet.wait_until(made, moved, limit, step_s=0.02)


@behave.then("none of them was without a parent")
def no_orphans(context):
    """Check what was seen during the hand-over."""
    assert not context.orphaned, context.orphaned


@behave.then("nobody took a node of the other side for dead")
def all_live(context):
    """Check every row of every table."""
    for core in _cores(context):
        states = [row.live for row in core.tables.members_by_node.values()]
        assert all(states), core.tables.member.node


@behave.then("the roots know each other again within {limit:d} seconds")
def roots_linked(context, limit):
    """Wait for the mesh of the roots."""
    made = context.fleet

    def linked():
        roots = made.roots()
        return all(
            other in made.cores_by_name[root].tables.links_by_peer
            for root in roots
            for other in roots
            if root != other
        )

    fleet.wait_until(made, linked, limit)


@behave.then(
    "every root counts {known:d} known and {count:d} in force and names it"
)
def counts_naming(context, known, count):
    """Check the sums of all roots and the name of the lacking node."""
    for report in _reports(context):
        assert (report.known, report.in_force) == (known, count), report
        assert context.name in report.lacking, report


@behave.then("every root counts {known:d} known and {count:d} in force")
def counts(context, known, count):
    """Check the sums of all roots."""
    for report in _reports(context):
        assert (report.known, report.in_force) == (known, count), report
        assert not report.lacking, report


def _labelled(context):
    core = protocols.NodeCore(fleet.settings(1, "lipno"), random.Random(1), 1)
    core.tables.relay.label = context.label
    core.tables.relay.attached = True
    core.tables.links_by_peer["child"] = links.Link(
        peer="child", address="10.1.1.1:1", role=links.LinkRole.CHILD
    )
    return core


def _answer(context, label):
    hello = messages.Hello(
        node="joiner",
        data_centre="lipno",
        address="10.1.1.2:1",
        version=0,
        digest="",
        label=label,
    )
    event = protocols.Received(peer="joiner", message=hello)
    effects = _labelled(context).handle(event, _NOW)
    return next(
        effect.message
        for effect in effects
        if isinstance(effect, protocols.Send)
    )


def _welcomed(context, label):
    core = _labelled(context)
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
    made = context.fleet
    roots = set(made.roots())
    return next(
        (name, made.parent(name))
        for name in made.cores_by_name
        if made.parent(name) and made.parent(name) not in roots
    )


def _reports(context):
    made = context.fleet
    return [
        progress.mesh(made.cores_by_name[name].tables) for name in made.roots()
    ]


@behave.when("the source turns the roots of {centres} away")
def source_lost(context, centres):
    """They say so to their children and to each other."""
    _tell_roots(context, centres, available=False)


@behave.when("the source serves the roots of {centres} again")
def source_back(context, centres):
    """As it does the others."""
    _tell_roots(context, centres, available=True)


@behave.then("after {seconds:d} seconds {who} reads the log")
def readers(context, seconds, who):
    """Every node, or the roots only."""
    context.fleet.run(seconds)
    reading = {
        name
        for name, core in context.fleet.cores_by_name.items()
        if core.tables.relay.follows_log
    }
    roots = set(context.fleet.roots())
    everybody = set(context.fleet.cores_by_name)
    wanted = everybody if who == "every node" else roots
    assert reading == wanted, (reading, wanted)


def _tell_roots(context, centres, *, available):
    for name in context.fleet.roots():
        if _centre(context, name) in centres.split(", "):
            event = _effects.SourceChanged(available=available, reason="test")
            context.fleet.put(name, event)
