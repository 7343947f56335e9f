"""Steps for rollouts with real processes."""

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
_CALL_INTERVAL_S = 0.01
_TIMEOUT_S = 45.0
_QUIET_S = 1.5
_ROLLOUT_ID = "move/kvoty"
_POLICY = {
    "first_percent": 10.0,
    "watch_s": 2.0,
    "warm_up_s": 0.5,
    "few_calls": 4,
}


@behave.given("a mesh whose callers use two routes of kvoty")
def start(context):
    """Start nodes, publish kvoty and its routes, and start callers.

    The nodes of prodej start first and become the roots, so that no root
    has a target of kvoty.
    """
    context.mesh = mesh.Mesh(
        context.directory,
        {"relay": {"roots": 2}, "rollout": _POLICY},
    )
    context.mesh.start_log()
    _start_nodes(context, "prodej", ("v1", "v1"))
    assert context.mesh.wait_until(lambda: _leader(context), _TIMEOUT_S), (
        _state(context)
    )
    _start_nodes(context, "kvoty", ("v1", "v1", "v2", "v2"))
    everyone = len(context.mesh.nodes_by_name)
    assert context.mesh.wait_until(
        lambda: all(
            context.mesh.status(name)["serving"] == everyone
            for name in context.mesh.nodes_by_name
        ),
        _TIMEOUT_S,
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


@behave.when("v2 answers {prefix} {delay:d} ms later than before")
def slow(context, prefix, delay):
    """Delay the answers of v2's targets on one route."""
    for name in _nodes(context, "v2"):
        context.mesh.set_behaviour(
            name, delay_s=delay / 1000, slow_prefix=prefix
        )


@behave.when("v2 fails {share:d} of 10 calls")
def fail(context, share):
    """Make the targets of v2 fail a share of their calls."""
    for name in _nodes(context, "v2"):
        context.mesh.set_behaviour(name, fail=share / 10)


@behave.when("v2 has run some calls")
def has_run(context):
    """Wait until v2 has run five calls."""
    assert context.mesh.wait_until(
        lambda: _executions(context, "v2") >= 5, _TIMEOUT_S
    )


@behave.when("a log outage starts")
def start_outage(context):
    """Start a log outage."""
    context.mesh.set_log_faults(out=True)


@behave.when("the log outage ends")
def end_outage(context):
    """End the log outage."""
    context.mesh.set_log_faults(out=False)


@behave.when("the leader is frozen until another one leads, then resumed")
def freeze_leader(context):
    """Stop the leader's process until its lease is replaced."""
    old = _leader(context)
    context.mesh.signal(old, signal.SIGSTOP)
    assert context.mesh.wait_until(
        lambda: _leader(context) not in ("", old), _TIMEOUT_S
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
    """Check the start of the verdict's reason."""
    reason = _rollout(context).reason
    assert reason.startswith(f"v2 {text}"), reason


@behave.then("every node logs {names}")
def logged(context, names):
    """Wait for the events in every node's log."""
    for name in context.mesh.nodes_by_name:
        path = context.directory / f"{name}.log"
        assert context.mesh.wait_until(
            lambda path=path: all(
                f"={event} " in path.read_text() for event in names.split(", ")
            ),
            _TIMEOUT_S,
        ), path.read_text()


@behave.then("only {version} runs calls")
@behave.then("only {version} runs calls, despite the log outage")
def only_version_runs(context, version):
    """Wait until the other version runs no more calls.

    The other version must run none for 1.5 s; then this one must still
    run some.
    """
    other = "v1" if version == "v2" else "v2"
    assert context.mesh.wait_until(
        lambda: _is_quiet(context, other), _TIMEOUT_S
    )
    before = _executions(context, version)
    assert context.mesh.wait_until(
        lambda: _executions(context, version) > before, _TIMEOUT_S
    )


@behave.then(
    "each accepted step on the log has the next number and names the lease "
    "then held"
)
def steps_in_order(context):
    """Fold the log and check the decisions that changed the rollout."""
    state, steps, leases = agreed.Agreed(), [], set()
    for entry in _client(context).read(0, 0.0).entries:
        result = fold.apply_entry(state, entry.offset, entry.data)
        before, after = _find(state), _find(result.state)
        if (
            isinstance(result.record, records.ShareDecision)
            and before != after
        ):
            assert result.record.lease == state.lease.offset
            steps.append(result.record.step)
            leases.add(result.record.lease)
        state = result.state
    assert steps == list(range(1, len(steps) + 1)), steps
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
    return rows.get(_ROLLOUT_ID)


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
        time.sleep(_CALL_INTERVAL_S)
