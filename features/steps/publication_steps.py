"""Steps for configurations and orders from an external source."""

import random

import behave
import fleet

from arbutusstall import _effects
from arbutusstall import _notes
from arbutusstall._log import records
from arbutusstall._systems import announcements
from arbutusstall._systems import routing
from arbutusstall._tables import agreed

_SERVICE = "ordered"


def _published(version):
    service = f"service-{version}"
    return _effects.Published(
        source_version=version,
        services=(
            agreed.Service(name=service),
            agreed.Service(name=_SERVICE),
        ),
        routes=(
            agreed.Route(prefix="a.example/x/", service=service),
            agreed.Route(prefix="a.example/o/", service=_SERVICE),
        ),
    )


def _release(service):
    note = _notes.ReleaseNote(
        name=service,
        add=_notes.Items(services=(_notes.ServiceItem(name=service),)),
        shares=(
            _notes.ShareItem(
                service=service, percent_by_version={"v1": 100.0}
            ),
        ),
    )
    return records.ReleaseRecord(
        record_id=f"release/{service}",
        note=note,
        digest=service,
        published_s=0.0,
        seen={},
    )


def _all_nodes(context, condition):
    return lambda: all(
        condition(core.tables) for core in context.fleet.cores_by_name.values()
    )


@behave.when("the source's version {version:d} reaches one root")
def publish_at_root(context, version):
    """Deliver the version to one root; the tree has to pass it on."""
    root = context.fleet.roots()[0]
    context.fleet.put(root, _published(version))


@behave.then("within {limit:d} seconds all nodes route by version {version:d}")
def all_route(context, limit, version):
    """Wait until every node matches a request to the version's route."""

    def routes(tables):
        view = _effects.View(snapshot=tables.snapshot)
        route = routing.match(view, "/x/1", "a.example")
        return route is not None and route.service == f"service-{version}"

    fleet.wait_until(context.fleet, _all_nodes(context, routes), float(limit))


@behave.when(
    "the source's versions 5 and 6 reach different roots before and after a "
    "release"
)
def publish_crossing(context):
    """Deliver two versions to two roots, with a release between them."""
    roots = context.fleet.roots()
    context.fleet.put(roots[0], _published(5))
    context.fleet.append(_release("crossing"))
    context.fleet.put(roots[-1], _published(6))


@behave.then(
    "within {limit:d} seconds all nodes have version 6 and the release's "
    "shares"
)
def merged(context, limit):
    """Wait until every node has the newest of both parts."""

    def has_both(tables):
        return tables.snapshot.source_version == 6 and (
            "crossing" in tables.snapshot.shares_by_service
        )

    fleet.wait_until(
        context.fleet, _all_nodes(context, has_both), float(limit)
    )


@behave.when("the source's version 6 and then version 5 reach a node")
def older_later(context):
    """Deliver a newer version and then an older one, as from a stale read."""
    root = context.fleet.roots()[0]
    context.fleet.put(root, _published(6))
    context.fleet.put(root, _published(5))


@behave.given("targets of version v1 and v2 of a service")
def two_versions(context):
    """Announce a target of each version at the first two nodes."""
    root = context.fleet.roots()[0]
    context.fleet.put(root, _published(3))
    names = sorted(context.fleet.cores_by_name)
    for name, version in zip(names[:2], ("v1", "v2"), strict=True):
        context.fleet.put(
            name,
            _effects.Announced(
                service=_SERVICE,
                version=version,
                address="127.0.0.1:1",
                slots=8,
            ),
        )
    context.fleet.run(3.0)


def _order(context, outcome):
    for root in context.fleet.roots():
        context.fleet.put(
            root,
            _effects.Ordered(
                order_id="order-7",
                service=_SERVICE,
                version="v2",
                duration_s=16.0,
                outcome=outcome,
            ),
        )
    context.fleet.run(4.0)


@behave.when("all roots read the order to move it to v2")
def order(context):
    """Deliver the same order to all roots."""
    _order(context, agreed.RolloutState.RUNNING)


@behave.when(
    "all roots read the order to move it to v2 with its earlier rollback"
)
def order_again(context):
    """Deliver the order with the verdict that was reported before."""
    _order(context, agreed.RolloutState.ROLLED_BACK)


@behave.then("one rollout to v2 runs, from v1, and running is reported")
def one_rollout(context):
    """Check for one rollout, however many copies of the order exist."""
    for core in context.fleet.cores_by_name.values():
        found = [
            rollout
            for rollout in core.tables.snapshot.rollouts_by_id.values()
            if rollout.service == _SERVICE
        ]
        assert len(found) == 1, found
        assert dict(found[0].start) == {"v1": 100.0}
        assert dict(found[0].goal) == {"v2": 100.0}
    reports = {
        (report.service, report.version, report.state)
        for report in context.fleet.reports
    }
    assert reports == {(_SERVICE, "v2", agreed.RolloutState.RUNNING)}


@behave.then("v2 gets no traffic")
def no_traffic(context):
    """Check the version that each node chooses."""
    rng = random.Random(1)
    for name, view in context.fleet.views_by_name.items():
        version = routing.choose_version(view, _SERVICE, rng)
        assert version == "v1", (name, version)


@behave.given("announcements of a target")
def create_announcements(context):
    """Create the record of announcements, still empty."""
    context.announcements = announcements.Announcements(silent_s=6.0)


@behave.then("each is classified by its start and sequence")
def classified(context):
    """Process announcements in order of arrival and check each result."""
    kind = announcements.AnnouncementKind

    def process(instance, born_ms, sequence, draining=False):
        return context.announcements.process(
            announcements.Announcement(
                instance=instance,
                service="kvoty",
                version="v1",
                address="127.0.0.1:1",
                slots=8,
                sequence=sequence,
                draining=draining,
                born_ms=born_ms,
            ),
            10.0,
        )

    assert process("i-1", 100, 4) is kind.SERVING
    assert process("i-1", 100, 4) is kind.SERVING
    assert process("i-1", 100, 3) is kind.OUTDATED
    assert process("i-2", 200, 1) is kind.SERVING
    assert process("i-1", 100, 9) is kind.OUTDATED
    assert process("i-2", 200, 2, draining=True) is kind.LEAVING
    assert process("i-2", 200, 3) is kind.OUTDATED
    assert process("i-2", 300, 1) is kind.SERVING
    context.announcements.leave("i-2", wall_ms=350)
    assert process("i-2", 300, 2) is kind.OUTDATED
    assert process("i-2", 320, 1) is kind.SERVING
    assert process("i-3", 400, 1) is kind.SERVING
    assert not context.announcements.detect_silence(15.0)
    assert context.announcements.detect_silence(16.0)
    assert not context.announcements.detect_silence(17.0)
    # The target ends before its first heartbeat arrives here.
    context.announcements.leave("i-4", wall_ms=500)
    assert process("i-4", 450, 7) is kind.OUTDATED
    assert process("i-4", 510, 1) is kind.SERVING
