"""Steps for a store that comes back from an older copy."""

import dataclasses

import behave
import platform_mesh
import ports
from standins import store as store_standin

from arbutusstall import _clock
from arbutusstall import _effects
from arbutusstall import _settings
from arbutusstall import errors
from arbutusstall._log import records
from arbutusstall._proxy import source_worker
from arbutusstall._shell import log_worker
from arbutusstall.platform import log
from arbutusstall.platform import operator
from arbutusstall.platform import store as stores

_TOPIC = "keyed.op"


class _Sink(list):
    """Keeps events in their order."""

    put = list.append


def _start(context, era):
    server = store_standin.Server(ports.take())
    context.add_cleanup(server.stop)
    context.store = server.store
    context.store.faults = store_standin.Faults(era=era)
    context.settings = _settings.LogSettings(
        url=f"http://{server.address}", poll_s=0.05, retry_cap_s=0.1
    )
    context.client = stores.Store(context.settings)
    context.events = _Sink()


def _set_era(context, era):
    context.store.faults = dataclasses.replace(context.store.faults, era=era)


@behave.given("a store in era {era:d} with {count:d} records in a topic")
def store_in_era(context, era, count):
    """Start the store and its client."""
    _start(context, era)
    for index in range(count):
        context.store.put(f"k{index}", index)


@behave.then("reads of kept, newest and missing records tell era {era:d}")
def era_told(context, era):
    """Read in each way that the client has."""
    client = context.client
    assert client.read(_TOPIC, 0, 0.0).era == era
    assert client.read_newest(_TOPIC).era == era
    missing = client.read(_TOPIC, 9, 0.0)
    assert (missing.era, missing.values) == (era, ())


@behave.then("without the header they tell era {era:d}")
def no_header(context, era):
    """Leave out the header, as a store without eras does."""
    _set_era(context, 0)
    era_told(context, era)


@behave.when(
    "the client has seen era {new:d} and an answer of era {old:d} arrives"
)
def earlier_answer(context, new, old):
    """Read in both eras."""
    _set_era(context, new)
    context.client.read(_TOPIC, 0, 0.0)
    _set_era(context, old)


@behave.then("the read fails as unavailable")
def read_refused(context):
    """Expect the error that readers retry after."""
    for read in (
        lambda: context.client.read(_TOPIC, 0, 0.0),
        lambda: context.client.read_newest(_TOPIC),
    ):
        try:
            read()
        except errors.LogUnavailable as exc:
            assert "era 3 after 4" in exc.reason, exc.reason
        else:
            raise AssertionError("an answer of an earlier era was used")


@behave.when(
    "the store is rewound by {count:d} records after a read of the topic"
)
def rewind_after_read(context, count):
    """Keep what was read before the rewind."""
    context.newest = context.client.read_newest(_TOPIC)
    context.store.rewind(count)


@behave.then("an append at the end that was read is not confirmed")
def append_refused(context):
    """The topic has the same end, but in another era."""
    try:
        context.client.append_at(_TOPIC, [b"\x01kv"], context.newest)
    except errors.LogUnavailable as exc:
        assert "era 4 after a read in 3" in exc.reason, exc.reason
    else:
        raise AssertionError("an append across eras was confirmed")


def _publish(context, version):
    routes = {"r": platform_mesh.route("kvoty")}
    context.store.put("config", platform_mesh.configuration(version, routes))


def _published(context):
    return [
        event.source_version
        for event in list(context.events)
        if isinstance(event, _effects.Published)
    ]


@behave.given("a source's worker that has read versions 3, 4 and 5 in era 1")
def follow_source(context):
    """Let a worker follow the operator's topic."""
    _start(context, 1)
    worker = source_worker.SourceWorker(
        operator.OperatorSource(context.client),
        context.settings,
        context.events.put,
    )
    context.add_cleanup(worker.stop)
    for version in (3, 4, 5):
        _publish(context, version)
    worker.follow(_effects.FollowLog(offset=0))
    platform_mesh.wait_until(lambda: _published(context) == [5])


@behave.when(
    "the store is rewound by {count:d} records and the operator publishes "
    "{version:d}"
)
def rewind_and_publish(context, count, version):
    """Assign the offsets again to other records."""
    context.began = len(context.events)
    context.store.rewind(count)
    _publish(context, version)


@behave.then(
    "the worker reports era {era:d} before it delivers version {version:d} "
    "once"
)
def read_anew(context, era, version):
    """Compare the events of the new era."""
    platform_mesh.wait_until(lambda: _published(context)[-1] == version)
    found = [
        event
        for event in list(context.events)[context.began :]
        if isinstance(event, _effects.StoreEraChanged | _effects.Published)
    ]
    assert found[0] == _effects.StoreEraChanged(era=era, before=era - 1)
    # A kept version may be read once more before the next one is published.
    versions = [event.source_version for event in found[1:]]
    assert versions.count(version) == 1 and len(versions) <= 2, versions


@behave.then(
    "each read was confirmed after its events, with era and send time"
)
def confirmed(context):
    """Guards against a configuration that counts as read too early."""
    platform_mesh.wait_until(
        lambda: isinstance(context.events[-1], _effects.SourceConfirmed)
    )
    events = list(context.events)
    reads = [
        event
        for event in events
        if isinstance(event, _effects.SourceConfirmed)
    ]
    times = [event.sent_s for event in reads]
    assert times == sorted(times) and times[0] > 0.0
    assert times[-1] <= _clock.steady_s()
    eras = [event.era for event in reads]
    assert eras == sorted(eras) and set(eras) == {1, 2}, eras
    changed = next(
        index
        for index, event in enumerate(events)
        if isinstance(event, _effects.StoreEraChanged)
    )
    assert all(
        event.era == 1
        for event in events[:changed]
        if isinstance(event, _effects.SourceConfirmed)
    )


@behave.given("a log's worker that has read {count:d} records in era 1")
def follow_log(context, count):
    """Let a worker follow the log's topic."""
    _start(context, 1)
    for _ in range(count):
        context.store.append("arbutusstall", [b"{"])
    worker = log_worker.LogWorker(
        log.StoreLog(context.client), context.settings, context.events
    )
    context.add_cleanup(worker.stop)
    worker.follow(_effects.FollowLog(offset=0))
    platform_mesh.wait_until(lambda: len(context.events) > 0)


@behave.when("the store is rewound by {count:d} records")
def rewind(context, count):
    """Lose the newest records."""
    context.store.rewind(count)


@behave.then("the worker reports era {era:d}, and its reads tell it")
def log_era(context, era):
    """Compare the order of the events."""
    expected = _effects.StoreEraChanged(era=era, before=era - 1)
    platform_mesh.wait_until(lambda: expected in context.events[:-1])
    events = list(context.events)
    changed = events.index(expected)
    assert {event.era for event in events[:changed]} == {era - 1}
    assert {event.era for event in events[changed + 1 :]} == {era}


def _leads_in(mesh, era):
    for data in mesh.store.records("arbutusstall"):
        record, written_in = records.decode_with_era(data)
        if isinstance(record, records.LeaseRenewal) and written_in == era:
            return True
    return False


@behave.given("the store reports era {era:d}, in which a node leads")
def platform_era(context, era):
    """Set the header and wait for a record that has the era."""
    mesh = context.platform
    mesh.store.faults = store_standin.Faults(era=era)
    platform_mesh.wait_until(lambda: _leads_in(mesh, era), 30.0)


@behave.when(
    "the platform's store loses the newest {count:d} records of each topic"
)
def platform_rewind(context, count):
    """Rewind the store of running nodes."""
    context.platform.store.rewind(count)


@behave.then("within {limit_s:d} seconds every node routes by version 8")
def routed(context, limit_s):
    """Send requests until the new target answers."""
    mesh = context.platform
    for name in mesh.nodes_by_name:
        platform_mesh.wait_until(
            lambda name=name: b"i-n2" in mesh.send(name).body, limit_s
        )


@behave.then(
    "within {limit_s:d} seconds a node leads in era {era:d} and the roster "
    "has entries again"
)
def leads_again(context, limit_s, era):
    """Guards against nodes that go on by the offsets of the earlier era."""
    mesh = context.platform
    platform_mesh.wait_until(lambda: _leads_in(mesh, era), limit_s)
    assert mesh.store.newest("keyed.arbutusstall-roster")
