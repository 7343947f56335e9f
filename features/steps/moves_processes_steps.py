"""Steps for moves among real processes."""

import contextlib
import datetime
import itertools
import signal
import threading
import time

import behave
import mesh

from arbutusstall import errors
from arbutusstall import settings as node_settings
from arbutusstall._log import fold
from arbutusstall._log import records
from arbutusstall._shell import http
from arbutusstall._shell import log_client
from arbutusstall._tables import agreed

_ROUTES = ("/kvoty", "/kvoty/lake")
_CALLERS = 3
_PAUSE_S = 0.01
_READY_S = 45.0
_QUIET_S = 1.5
_MOVE = "move/kvoty"
_POLICY = {
    "first_percent": 10.0,
    "watch_s": 2.0,
    "warm_up_s": 0.5,
    "few_calls": 4,
}


@behave.given("a mesh whose callers use two routes of kvoty")
def start(context):
    """Start the roots first, so that no target of kvoty stands by them."""
    context.mesh = mesh.Mesh(
        context.directory,
        {"relay": {"roots": 2}, "rollout": _POLICY},
    )
    context.mesh.start_log()
    _start_nodes(context, "prodej", ("v1", "v1"))
    assert context.mesh.wait_until(lambda: _leader(context), _READY_S), _state(
        context
    )
    _start_nodes(context, "kvoty", ("v1", "v1", "v2", "v2"))
    everyone = len(context.mesh.nodes_by_name)
    assert context.mesh.wait_until(
        lambda: all(
            context.mesh.status(name)["serving"] == everyone
            for name in context.mesh.nodes_by_name
        ),
        _READY_S,
    ), [context.mesh.status(name) for name in context.mesh.nodes_by_name]
    _publish(
        context,
        {
            "name": "first",
            "add": {
                "services": [{"name": "kvoty"}],
                "routes": [
                    {"prefix": prefix, "service": "kvoty"}
                    for prefix in _ROUTES
                ],
            },
            "shares": [
                {"service": "kvoty", "percent_by_version": {"v1": 100}}
            ],
        },
    )
    context.stop = threading.Event()
    for index in range(_CALLERS):
        threading.Thread(
            target=_call, args=(context, index, context.stop), daemon=True
        ).start()
    context.add_cleanup(context.stop.set)


@behave.when("kvoty moves to v2 over {seconds:d} seconds")
def move(context, seconds):
    """Publish the release."""
    by = datetime.datetime.now(datetime.UTC) + datetime.timedelta(
        seconds=seconds
    )
    item = {
        "service": "kvoty",
        "percent_by_version": {"v2": 100},
        "by": by.isoformat(),
    }
    _publish(context, {"name": "move", "shares": [item]})


@behave.when("v2 answers {prefix} {delay:d} ms late")
def slow(context, prefix, delay):
    """Slow the targets of v2 on one route."""
    for name in _nodes(context, "v2"):
        context.mesh.set_behaviour(
            name, delay_s=delay / 1000, slow_prefix=prefix
        )


@behave.when("v2 fails {share:d} of 10 calls")
def fail(context, share):
    """Let the targets of v2 fail."""
    for name in _nodes(context, "v2"):
        context.mesh.set_behaviour(name, fail=share / 10)


@behave.when("v2 has run some calls")
def has_run(context):
    """Wait for the first calls of the new version."""
    assert context.mesh.wait_until(
        lambda: _executions(context, "v2") >= 5, _READY_S
    )


@behave.when("the log goes out")
def log_out(context):
    """Begin an outage."""
    context.mesh.set_log_faults(out=True)


@behave.when("the log comes back")
def log_back(context):
    """End the outage."""
    context.mesh.set_log_faults(out=False)


@behave.when("the leader is frozen until another one leads, then woken")
def freeze_leader(context):
    """Stop the leader's process for longer than its lease."""
    old = _leader(context)
    context.mesh.signal(old, signal.SIGSTOP)
    assert context.mesh.wait_until(
        lambda: _leader(context) not in ("", old), _READY_S
    )
    context.mesh.signal(old, signal.SIGCONT)


@behave.then("kvoty's move ends as {verdict} within {limit:d} seconds")
def ends(context, verdict, limit):
    """Wait for the verdict on the log."""
    assert context.mesh.wait_until(
        lambda: _rollout(context).state is not agreed.RolloutState.RUNNING,
        limit,
    ), _rollout(context)
    rollout = _rollout(context)
    assert rollout.state.value == verdict, rollout


@behave.then('the verdict says that v2 "{text}"')
def verdict_says(context, text):
    """Check the reason that operators read."""
    reason = _rollout(context).reason
    assert reason.startswith(f"v2 {text}"), reason


@behave.then("every node logs {names}")
def logged(context, names):
    """Look for the events in every node's log."""
    for name in context.mesh.nodes_by_name:
        path = context.directory / f"{name}.log"
        assert context.mesh.wait_until(
            lambda path=path: all(
                f"={event} " in path.read_text() for event in names.split(", ")
            ),
            _READY_S,
        ), path.read_text()


@behave.then("only {version} runs calls")
@behave.then("only {version} runs calls though the log is out")
def only(context, version):
    """Wait until the other version runs no call for a while."""
    other = "v1" if version == "v2" else "v2"
    assert context.mesh.wait_until(lambda: _is_quiet(context, other), _READY_S)
    before = _executions(context, version)
    assert context.mesh.wait_until(
        lambda: _executions(context, version) > before, _READY_S
    )


@behave.then(
    "each step on the log follows the last under the lease of its time"
)
def steps_in_order(context):
    """Fold the log again and check each decision that counted."""
    state, counted, leases = agreed.Agreed(), [], set()
    for entry in _client(context).read(0, 0.0).entries:
        done = fold.apply_entry(state, entry.offset, entry.data)
        before, after = _find(state), _find(done.state)
        if isinstance(done.record, records.ShareDecision) and before != after:
            assert done.record.lease == state.lease.offset
            counted.append(done.record.step)
            leases.add(done.record.lease)
        state = done.state
    assert counted == list(range(1, len(counted) + 1)), counted
    assert len(leases) > 1, leases


def _start_nodes(context, service, versions):
    for index, version in enumerate(versions):
        context.mesh.start_node(
            mesh.NodeSpec(
                name=f"{service}-{version}-{index}",
                data_centre="lipno",
                service=service,
                version=version,
            )
        )
    context.mesh.wait_ready()


def _publish(context, release):
    done = context.mesh.publish(release)
    assert done.returncode == 0, done.stdout + done.stderr


def _client(context):
    return log_client.HttpLogClient(
        node_settings.LogSettings(url=f"http://{context.mesh.log}")
    )


def _state(context):
    state = agreed.Agreed()
    for entry in _client(context).read(0, 0.0).entries:
        state = fold.apply_entry(state, entry.offset, entry.data).state
    return state


def _find(state):
    rows = {**state.ended_rollouts_by_id, **state.snapshot.rollouts_by_id}
    return rows.get(_MOVE)


def _rollout(context):
    return _find(_state(context))


def _leader(context):
    return _state(context).lease.holder


def _nodes(context, version):
    return [
        name
        for name in context.mesh.nodes_by_name
        if name.startswith(f"kvoty-{version}-")
    ]


def _executions(context, version):
    return sum(
        len(context.mesh.executions(name)) for name in _nodes(context, version)
    )


def _is_quiet(context, version):
    before = _executions(context, version)
    time.sleep(_QUIET_S)
    return _executions(context, version) == before


def _call(context, index, stop):
    addresses = [
        node.callers
        for name, node in context.mesh.nodes_by_name.items()
        if name.startswith("kvoty-")
    ]
    for number in itertools.count(index):
        if stop.is_set():
            return
        address = addresses[number % len(addresses)]
        url = f"http://{address}{_ROUTES[number // 7 % 2]}"
        with contextlib.suppress(errors.ArbutusstallError):
            http.send(http.Request(method="GET", url=url))
        time.sleep(_PAUSE_S)
