"""Steps for the bound on the use of revoked API keys."""

import threading
import time

import behave
import fleet
import platform_mesh
import tenant_fleet
import tenants_steps

from arbutusstall import _clock
from arbutusstall import _effects
from arbutusstall import _settings as node_settings
from arbutusstall import errors
from arbutusstall._log import source as sources
from arbutusstall._proxy import source_worker
from arbutusstall._wire import messages
from arbutusstall.platform import operator
from arbutusstall.platform import settings as platform_settings
from arbutusstall.platform import store as stores

_SEED = 11
_BOUND_S = 2.0
# A request is served until the bound has passed since its evidence.
_KEY = ("Authorization", "Bearer m82t-zabka")


def _publish_every_second(context):
    if context.is_publishing:
        context.tenants.publish()
    context.tenants.after(1.0, lambda: _publish_every_second(context))


@behave.given("a fleet with tenants of {count:d} nodes in {centres}")
def build(context, count, centres):
    """Start the fleet, and publish a configuration every second."""
    context.tenants = tenant_fleet.build(count, centres.split(", "), _SEED)
    context.name = ""
    context.is_publishing = True
    _publish_every_second(context)


@behave.when("it runs for {seconds:d} seconds")
def run_undisturbed(context, seconds):
    """Record what happens."""
    nodes = context.tenants
    nodes.store.reads = 0
    nodes.watch(seconds)
    context.reads_per_s = nodes.store.reads / seconds


@behave.when("the store rejects one root for {seconds:d} seconds")
def reject_root(context, seconds):
    """Fail its reads, and go on for a while."""
    nodes = context.tenants
    nodes.store_cut.add(nodes.roots()[0])
    nodes.store.reads = 0
    nodes.watch(seconds)
    context.reads_per_s = nodes.store.reads / seconds
    nodes.store_cut.clear()
    nodes.watch(5.0)


@behave.when("a root with tenants is frozen for {seconds:d} seconds")
def freeze_a_root(context, seconds):
    """Freeze and thaw it."""
    nodes = context.tenants
    context.name = nodes.roots()[0]
    nodes.frozen.add(context.name)
    nodes.watch(seconds)
    nodes.frozen.clear()
    nodes.watch(10.0)


@behave.when("a node is cut off from everything for {seconds:d} seconds")
def cut_node(context, seconds):
    """Lose its messages and fail its reads."""
    nodes = context.tenants
    roots = nodes.roots()
    context.name = next(n for n in nodes.cores_by_name if n not in roots)
    nodes.store_cut.add(context.name)
    nodes.silent_pairs = {
        frozenset((context.name, other)) for other in nodes.cores_by_name
    }
    context.began_s = nodes.now_s
    nodes.watch(seconds)
    context.refused = list(nodes.unserved)
    nodes.store_cut.clear()
    nodes.silent_pairs.clear()


@behave.when("the store is out for {seconds:d} seconds")
def store_out(context, seconds):
    """Fail all reads."""
    nodes = context.tenants
    nodes.store.is_out = True
    nodes.store.reads = 0
    context.began_s = nodes.now_s
    nodes.watch(seconds)
    context.refused = list(nodes.unserved)
    context.reads_per_s = nodes.store.reads / seconds
    nodes.store.is_out = False


@behave.when(
    "the store is out {count:d} times after a change, its answers taking"
    " {delay_s:g} s"
)
def store_out_after_changes(context, count, delay_s):
    """Lose contact just after a change that only reads in flight miss."""
    nodes = context.tenants
    context.is_publishing = False
    nodes.answer_delay_s = delay_s
    for _ in range(count):
        nodes.watch(3.0 + nodes.rng.random())
        nodes.publish()
        nodes.store.is_out = True
        nodes.watch(7.0)
        nodes.store.is_out = False


@behave.when("a node gets no configurations for {seconds:d} seconds")
def lose_configurations(context, seconds):
    """Lose these messages and its reads; its heartbeats arrive."""
    nodes = context.tenants
    roots = nodes.roots()
    context.name = next(n for n in nodes.cores_by_name if n not in roots)
    nodes.without_configurations.add(context.name)
    nodes.store_cut.add(context.name)
    nodes.watch(seconds)


@behave.when("a node with tenants restarts")
def restart_one(context):
    """Kill a node and start it at once; its clock goes on."""
    nodes = context.tenants
    roots = nodes.roots()
    context.name = next(n for n in nodes.cores_by_name if n not in roots)
    settings = nodes.cores_by_name[context.name].tables.settings
    nodes.kill(context.name)
    nodes.add(settings)


@behave.when(
    "a data centre reads only the first {seconds:g} s of a restored store"
)
def read_restored(context, seconds):
    """Lose a version that it has not got, and let it read in between."""
    nodes = context.tenants
    away = {
        name
        for name, core in nodes.cores_by_name.items()
        if core.tables.member.data_centre == "svet"
    }
    pairs = {
        frozenset((one, other))
        for one in away
        for other in nodes.cores_by_name
        if other not in away
    }
    context.is_publishing = False
    nodes.silent_pairs |= pairs
    nodes.store_cut |= away
    nodes.publish()
    nodes.watch(0.3)
    nodes.restore_store(0.4)
    nodes.watch(0.9)
    nodes.store_cut.clear()
    nodes.watch(seconds)
    nodes.store_cut |= away
    nodes.watch(10.0)


@behave.when("the store is restored from a copy of {seconds:g} second ago")
def restore(context, seconds):
    """Restore it twice in a row."""
    nodes = context.tenants
    nodes.restore_store(seconds)
    nodes.watch(15.0)
    nodes.restore_store(seconds)
    nodes.watch(15.0)


@behave.then("no node served a revoked key")
def no_breach(context):
    """Check all records."""
    assert not context.tenants.breaches, context.tenants.breaches[:5]


@behave.then("every node served keys all the time")
def all_served(context):
    """Check that no node refused requests with keys."""
    assert not context.tenants.unserved, context.tenants.unserved[:5]


@behave.then("every other node served keys all the time")
def others_served(context):
    """Leave out the node that was frozen."""
    refused = [
        item for item in context.tenants.unserved if item[1] != context.name
    ]
    assert not refused, refused[:5]


@behave.then("no evidence was older than {limit_s:g} seconds")
def evidence_young(context, limit_s):
    """Check the oldest evidence that any node relied on."""
    assert context.tenants.longest_s <= limit_s, context.tenants.longest_s


@behave.then("at most {count:d} reads a second reached the store")
@behave.then("the store was asked at most {count:d} times a second")
def reads_bounded(context, count):
    """Compare the rate with the bound."""
    assert context.reads_per_s <= count, context.reads_per_s


@behave.then(
    "it served keys for at least {least_s:d} and less than {most_s:d} seconds"
)
def served_for(context, least_s, most_s):
    """Check when the node that was cut off stopped."""
    _check_stop(context, [context.name], least_s, most_s)


@behave.then(
    "every node served keys for at least {least_s:d} and less than {most_s:d}"
    " seconds"
)
def all_served_for(context, least_s, most_s):
    """Check when each node stopped."""
    _check_stop(context, context.tenants.cores_by_name, least_s, most_s)


def _check_stop(context, names, least_s, most_s):
    for name in names:
        times = [at_s for at_s, refused in context.refused if refused == name]
        assert times, name
        served_s = times[0] - context.began_s
        assert least_s <= served_s < most_s, (name, served_s)


@behave.then("it serves keys again within {seconds:d} seconds")
def serves_again(context, seconds):
    """Wait for it."""
    nodes = context.tenants
    fleet.wait_until(nodes, lambda: nodes.is_served(context.name), seconds)
    nodes.watch(5.0)


@behave.then("every node serves keys again within {seconds:d} seconds")
def all_serve_again(context, seconds):
    """Wait for all."""
    nodes = context.tenants
    fleet.wait_until(
        nodes, lambda: all(map(nodes.is_served, nodes.cores_by_name)), seconds
    )


@behave.then("a heartbeat without a bound is encoded as before")
def heartbeat_unchanged(context):
    """Check that the fields for evidence are left out."""
    heartbeat = messages.Heartbeat(
        attached=True, label=1, version=2, members=3
    )
    encoded = messages.encode(heartbeat)
    for name in (b"clock_s", b"stamp_s", b"age_s"):
        assert name not in encoded, encoded


def _bounded_proxy(context, version, age_s):
    tenants_steps.proxy_with_tenants(context)
    context.tenant_settings = node_settings.TenantSettings(revoke_s=5.0)
    context.confirmed = _effects.KeysConfirmed(
        source_version=version, confirmed_s=_clock.steady_s() - age_s
    )


@behave.given(
    "an outbound proxy with a bound whose evidence is {age_s:d} seconds old"
)
def proxy_with_evidence(context, age_s):
    """Confirm the keys of the configuration in force."""
    _bounded_proxy(context, 1, age_s)


@behave.given(
    "an outbound proxy with a bound and evidence about a later version"
)
def proxy_with_later_evidence(context):
    """Confirm the keys of a configuration that is not in force."""
    _bounded_proxy(context, 2, 0.0)


@behave.given("a settings file with the bounds {bounds}")
def settings_with_bounds(context, bounds):
    """Decode the file."""
    text = platform_mesh.settings_text(
        node="n0", service="s", store="127.0.0.1:1", first_port=1000
    )
    text = text.replace('"grace=4s"', f'"grace=4s",{bounds}')
    context.decoded = platform_settings.decode(text.encode(), "node.toml")


@behave.then("the bound on revoked keys is {seconds:g} seconds")
def bound_decoded(context, seconds):
    """Compare the setting."""
    assert context.decoded.node.tenants.revoke_s == seconds


@behave.given(
    "two nodes on the platform with a bound of 2 seconds on revoked keys"
)
def start_bounded(context):
    """Start them and wait until both serve a key."""
    bounds = f',"strictRevoke=true","revoke={_BOUND_S}s"'
    mesh = platform_mesh.PlatformMesh(context.directory, bounds)
    context.add_cleanup(mesh.stop)
    context.platform = mesh
    for name in ("n0", "n1"):
        mesh.add(name, "kvoty")
    for node in mesh.nodes_by_name.values():
        platform_mesh.wait_until(lambda node=node: node.lines("node-started"))
    _publish_keys(mesh, 4, ["m82t-zabka"])
    for name in mesh.nodes_by_name:
        platform_mesh.wait_until(
            lambda name=name: _status(mesh, name) == 200, 20.0
        )


def _publish_keys(mesh, version, keys):
    routes = {"r": platform_mesh.route("kvoty")}
    mesh.store.put(
        "config",
        {
            **platform_mesh.configuration(version, routes),
            "tenants": {"zabka": {"apiKeys": keys}},
        },
    )


def _status(mesh, name, request_id=""):
    try:
        return mesh.send(name, request_id=request_id, headers=(_KEY,)).status
    except errors.ArbutusstallError:
        return 0


@behave.when(
    "one is frozen while a key is removed, and then gets a request with it"
)
def freeze_process(context):
    """Send the request while the process is still frozen."""
    mesh = context.platform
    node = mesh.nodes_by_name["n1"]
    node.pause()
    _publish_keys(mesh, 5, ["other"])
    time.sleep(_BOUND_S + 0.1)
    statuses = []
    sender = threading.Thread(
        target=lambda: statuses.append(_status(mesh, "n1", "late"))
    )
    sender.start()
    time.sleep(0.2)
    node.resume()
    sender.join()
    context.statuses = statuses


@behave.then("the request does not reach a target")
def not_run(context):
    """Check its status, and that no target ran it."""
    assert context.statuses[0] in (401, 503), context.statuses
    assert context.platform.runs("late") == 0


@behave.when("the store rejects all requests")
def reject_all(context):
    """Answer all requests with 503 from now on."""
    mesh = context.platform
    mesh.store.faults = platform_mesh.store.Faults(out=True)
    context.began_s = time.monotonic()


@behave.then(
    "both refuse keys within 2 seconds, and serve them after it is back"
)
def refused_and_served(context):
    """Wait until the bound has passed, then check each node."""
    mesh = context.platform
    time.sleep(max(0.0, context.began_s + _BOUND_S - time.monotonic()))
    for name in mesh.nodes_by_name:
        response = mesh.send(name, headers=(_KEY,))
        assert response.status == 503, response
        assert "retry-after" in str(response.headers).lower(), response
    mesh.store.faults = platform_mesh.store.Faults()
    for name in mesh.nodes_by_name:
        platform_mesh.wait_until(
            lambda name=name: _status(mesh, name) == 200, 5.0
        )


@behave.when("the source is read and returns {what}")
def read_source(context, what):
    """Read records from a store that holds one or more of them."""
    end = 4 if what == "all records" else 5

    class _Store:
        def read(self, topic, position, wait_s):
            context.called_s = _clock.steady_s()
            return stores.Records(
                first_kept=0, next_offset=end, offset=position, values=(b"",)
            )

    context.began_s = _clock.steady_s()
    context.read = operator.OperatorSource(_Store()).read_from(3, 0.0)


@behave.then("the read counts from {since}")
def read_counts_from(context, since):
    """Compare with the time of the call."""
    sent_s = context.read.sent_s
    if since == "no time":
        assert sent_s is None, sent_s
    else:
        assert context.began_s <= sent_s <= context.called_s


@behave.when("a worker reads once in eras 1, 1, 2 and 2")
def read_in_eras(context):
    """Let it read four times, one after the other."""
    context.positions = []
    context.confirmed = []
    eras = [1, 1, 2, 2]

    class _Source:
        def read_all(self):
            return self.read_from(None, 0.0)

        def read_from(self, position, wait_s):
            if len(context.positions) == len(eras):
                raise errors.LogUnavailable(
                    step="source.read", peer="-", reason="no further reads"
                )
            era = eras[len(context.positions)]
            context.positions.append(position)
            return sources.SourceRead(
                events=(), position=5, sent_s=1.0, era=era
            )

    worker = source_worker.SourceWorker(
        _Source(),
        node_settings.LogSettings(url="http://127.0.0.1:1"),
        context.confirmed.append,
    )
    context.add_cleanup(worker.stop)
    for number in range(len(eras)):
        # A read that is asked for while another one ends is left out.
        platform_mesh.wait_until(
            lambda number=number: (
                worker.read_once(_effects.ReadSource())
                or len(context.positions) > number
            )
        )


@behave.then("its reads start anew, at 5, at 5 and anew")
def reads_started(context):
    """Compare the positions of the reads."""
    assert context.positions == [None, 5, 5, None], context.positions


@behave.then("those in eras 1, 1 and 2 confirm what they read, once each")
def reads_confirmed(context):
    """Leave out the read that met the new era with an old position."""
    platform_mesh.wait_until(lambda: len(context.confirmed) >= 3)
    eras = [event.era for event in context.confirmed]
    assert eras == [1, 1, 2], eras
