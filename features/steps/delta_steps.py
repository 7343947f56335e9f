"""Steps for configuration deltas."""

import random

import behave
import fleet
import hypothesis
from hypothesis import strategies

from arbutusstall import _clock
from arbutusstall import protocols
from arbutusstall._systems import deltas
from arbutusstall._systems import distribution
from arbutusstall._tables import agreed
from arbutusstall._tables import links
from arbutusstall._wire import messages

_NOW = _clock.Instant(mono_s=100.0, wall_s=100.0)


@behave.then(
    "the delta between any two configurations turns one into the other"
)
def round_trip(context):
    """Encode, decode and apply deltas of random configurations."""
    names = strategies.lists(strategies.sampled_from("abcdef"), unique=True)

    @hypothesis.settings(derandomize=True, deadline=None, max_examples=200)
    @hypothesis.given(names, names, strategies.integers(1, 9))
    def check(before, after, timeout_ms):
        old = _snapshot(1, before, 5)
        new = _snapshot(2, after, timeout_ms)
        delta = deltas.difference(old, new, deltas.digest(new))
        delta = messages.decode(messages.encode(delta))
        assert deltas.apply(old, delta) == new
        assert deltas.apply(new, delta) is None

    check()


@behave.given("a child with version {version:d} of a configuration")
def child(context, version):
    """Create a node with a parent and a configuration."""
    settings = fleet.settings(1, "lipno")
    context.core = protocols.NodeCore(settings, random.Random(1), 1)
    tables = context.core.tables
    tables.links_by_peer["parent"] = links.Link(
        peer="parent", address="10.1.1.1:1", role=links.LinkRole.PARENT
    )
    distribution.adopt(tables, _snapshot(version, "ab", 5), _NOW)


@behave.when(
    "its parent sends a delta to version {version:d} with a wrong digest"
)
def wrong_digest(context, version):
    """Send a delta with the digest of another configuration."""
    old = context.core.tables.snapshot
    new = _snapshot(version, "abc", 5)
    _receive(context, deltas.difference(old, new, deltas.digest(old)))


@behave.when(
    "its parent sends a delta from version {base:d} to version {version:d}"
)
def other_base(context, base, version):
    """Send a delta from a version that the child does not have."""
    old, new = _snapshot(base, "a", 5), _snapshot(version, "abc", 5)
    _receive(context, deltas.difference(old, new, deltas.digest(new)))


@behave.when("its parent sends a full snapshot of version {version:d}")
def full_snapshot(context, version):
    """Send a full snapshot."""
    snapshot = _snapshot(version, "abc", 5)
    _receive(
        context,
        messages.SnapshotUpdate(
            digest=deltas.digest(snapshot), snapshot=snapshot
        ),
    )


@behave.when(
    "its parent sends a full snapshot with a route to an unknown service"
)
def dangling(context):
    """Send a snapshot whose route refers to a service it lacks."""
    snapshot = agreed.Snapshot(
        version=9,
        routes_by_prefix={"/x": agreed.Route(prefix="/x", service="x")},
    )
    _receive(
        context,
        messages.SnapshotUpdate(
            digest=deltas.digest(snapshot), snapshot=snapshot
        ),
    )


@behave.then(
    "the child still has version {version:d} and requests a full snapshot"
)
def requests_snapshot(context, version):
    """Check the version, the request, and that nothing was put in force."""
    assert context.core.tables.snapshot.version == version
    wanted = [
        effect.message
        for effect in context.effects
        if isinstance(effect, protocols.Send)
    ]
    assert wanted == [messages.SnapshotWanted(version=version)], wanted
    assert not any(
        isinstance(effect, protocols.PutInForce) for effect in context.effects
    )


@behave.then("the child has version {version:d}")
def has_version(context, version):
    """Check the version in force."""
    assert context.core.tables.snapshot.version == version


@behave.given("a parent with {count:d} children and {services:d} services")
def parent(context, count, services):
    """Create a node whose children all have its configuration."""
    settings = fleet.settings(1, "lipno")
    context.core = protocols.NodeCore(settings, random.Random(1), 1)
    context.names = [f"service-{index}" for index in range(services)]
    distribution.adopt(
        context.core.tables, _snapshot(1, context.names, 5), _NOW
    )
    for index in range(count):
        context.core.tables.links_by_peer[f"child-{index}"] = links.Link(
            peer=f"child-{index}",
            address=f"10.1.1.{index}:1",
            role=links.LinkRole.CHILD,
            version=1,
        )


@behave.when("one route changes")
def change_route(context):
    """Put a configuration in force that differs in one route."""
    snapshot = _snapshot(2, context.names, 5)
    prefix = f"/{context.names[0]}"
    routes = dict(snapshot.routes_by_prefix)
    routes[prefix] = agreed.Route(
        prefix=prefix, service=context.names[0], timeout_ms=9
    )
    snapshot = agreed.Snapshot(
        version=2,
        services_by_name=snapshot.services_by_name,
        routes_by_prefix=routes,
    )
    context.effects = distribution.adopt(context.core.tables, snapshot, _NOW)


@behave.then(
    "all children get the same delta object of at most {limit:d} bytes"
)
def one_delta(context, limit):
    """Check that the messages are one object, and its encoded size."""
    sent = [
        effect.message
        for effect in context.effects
        if isinstance(effect, protocols.Send)
    ]
    assert len(sent) == 16
    assert len({id(message) for message in sent}) == 1
    assert isinstance(sent[0], messages.SnapshotDelta)
    assert len(messages.encode(sent[0])) <= limit


@behave.when("{count:d} changes are published within a second")
def burst(context, count):
    """Publish releases at an even rate within one second."""
    for _ in range(count):
        context.version = fleet.publish(context.fleet)
        context.fleet.run(1.0 / count)


@behave.then(
    "the last of them is in force everywhere within {limit:d} seconds"
)
def last_in_force(context, limit):
    """Wait until all nodes have the newest version."""
    fleet.wait_converged(context.fleet, context.version, limit)


def _snapshot(version, names, timeout_ms):
    return agreed.Snapshot(
        version=version,
        services_by_name={name: agreed.Service(name=name) for name in names},
        routes_by_prefix={
            f"/{name}": agreed.Route(
                prefix=f"/{name}", service=name, timeout_ms=timeout_ms
            )
            for name in names
        },
    )


def _receive(context, message):
    event = protocols.Received(peer="parent", message=message)
    context.effects = context.core.handle(event, _NOW)
