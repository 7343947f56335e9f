"""Steps for admission, retries, balancing and poison requests."""

from concurrent import futures
import random

import behave
import call_rig

from arbutusstall import _effects
from arbutusstall._systems import attempts
from arbutusstall._systems import balancing
from arbutusstall._systems import endpoint_stats
from arbutusstall._systems import quarantine
from arbutusstall._tables import members

_NOW_S = 1_000.0


def _headers(response):
    return {name.lower(): value for name, value in response.headers}


@behave.given("1 endpoint with {slots:d} slots and a queue of {queue:d}")
def small_endpoint(context, slots, queue):
    """Start an endpoint that a few requests fill."""
    context.rig = call_rig.Rig(1, slots=slots, queue=queue)
    context.add_cleanup(context.rig.stop)
    context.rig.send(request_id="warm")


@behave.when("{count:d} POSTs arrive at the same time")
def send_concurrently(context, count):
    """Send each request from a thread of its own."""
    target = context.rig.endpoints[0].target
    target.delay_s = 0.1
    with futures.ThreadPoolExecutor(max_workers=count) as pool:
        jobs = {
            f"burst-{n}": pool.submit(
                context.rig.send, request_id=f"burst-{n}"
            )
            for n in range(count)
        }
    context.responses = {name: job.result() for name, job in jobs.items()}


@behave.then("at most {count:d} requests ran at the same time")
def most_running(context, count):
    """Check the maximum that the target has counted."""
    assert context.rig.endpoints[0].target.max_running <= count


@behave.then("each POST got the answer and ran once, or not-run and ran never")
def outcomes_true(context):
    """Compare each outcome with the executions at the target."""
    for name, response in context.responses.items():
        outcome = _headers(response).get("arbutusstall-outcome")
        run_count = context.rig.executions(name)
        if response.status == 200:
            assert run_count == 1, (name, run_count)
        else:
            assert (outcome, run_count) == ("not-run", 0), (name, response)


@behave.then("some POSTs got not-run with a Retry-After")
def some_refused(context):
    """Check that refusals occurred and name a time of at least 1 s."""
    refused = [
        _headers(response)
        for response in context.responses.values()
        if response.status == 503
    ]
    assert refused
    assert all(int(headers["retry-after"]) >= 1 for headers in refused)


@behave.when("one target sheds load and {count:d} POSTs are sent")
def first_target_sheds(context, count):
    """Let the first target refuse every request as not run."""
    target = context.rig.endpoints[0].target
    target.status = 503
    target.extra_headers = {
        "Arbutusstall-Outcome": "not-run",
        "Retry-After": "1",
    }
    context.responses = {
        f"shed-{n}": context.rig.send(request_id=f"shed-{n}")
        for n in range(count)
    }


@behave.then("all {count:d} POSTs get the answer of the other target")
def other_target(context, count):
    """Check that each request ran once, at the second target."""
    executed_ids = context.rig.endpoints[1].target.executions
    for name, response in context.responses.items():
        assert response.status == 200, response
        assert executed_ids.count(name) == 1


@behave.when(
    "the target answers with the refusal of a call that it made itself"
)
def passes_on(context):
    """Let the target copy the refusal headers of a call of its own."""
    target = context.rig.endpoints[0].target
    target.status = 503
    target.extra_headers = {
        "Arbutusstall-Outcome": "not-run",
        "Arbutusstall-Reason": "overload",
    }
    context.response = context.rig.send()


@behave.then("a 503 response that names no outcome arrives")
def no_outcome_named(context):
    """Check that the answer does not claim that the request did not run.

    The request has run at the target; only its own call was refused.
    """
    assert context.response.status == 503
    assert "arbutusstall-outcome" not in _headers(context.response)


@behave.when(
    "{count:d} requests fail with a retry budget of a fifth of the requests"
)
def spend_budget(context, count):
    """Ask for a retry after each request."""
    budget = attempts.RetryBudget(0.2)
    context.retries = 0
    for _ in range(count):
        budget.deposit()
        context.retries += budget.withdraw()


@behave.then("at most {count:d} retries are allowed")
def retries_bounded(context, count):
    """Check the number of allowed retries, which must not be 0."""
    assert 0 < context.retries <= count, context.retries


def _member(name, centre="lipno"):
    return members.Member(
        node=name,
        data_centre=centre,
        incarnation=1,
        state=members.MemberState.SERVING,
        service="kvoty",
        version="v1",
        slots=10,
    )


def _update_view(context, rows, now_s=_NOW_S):
    context.view = _effects.View(members_by_service={"kvoty": tuple(rows)})
    context.balancer.update_endpoints(context.view, now_s)


def _chosen_nodes(context, count=500, now_s=_NOW_S):
    return [
        context.balancer.choose(context.view, "kvoty", "v1", now_s).node
        for _ in range(count)
    ]


@behave.given("a balancer over {count:d} endpoints")
def balancer(context, count):
    """Create endpoints in one data centre."""
    context.balancer = balancing.Balancer("lipno", random.Random(1))
    _update_view(context, [_member(f"kvoty-{n}") for n in range(count)])


@behave.when("1 endpoint fails, it is not chosen for half a second")
def one_fails(context):
    """Report an unreachable endpoint.

    It must be avoided after 0.3 s and chosen again after 0.7 s.
    """
    context.balancer.record_failure("kvoty-0", _NOW_S, True)
    assert "kvoty-0" not in _chosen_nodes(context, now_s=_NOW_S + 0.3)
    assert "kvoty-0" in _chosen_nodes(context, now_s=_NOW_S + 0.7)


@behave.when("all endpoints fail, at least {count:d} are still chosen")
def all_fail(context, count):
    """Report every endpoint as unreachable and count those chosen.

    Ejection leaves at least half of the endpoints available.
    """
    for number in range(6):
        context.balancer.record_failure(f"kvoty-{number}", _NOW_S, True)
    assert len(set(_chosen_nodes(context))) >= count


@behave.given("a balancer over 2 near and 2 far endpoints")
def near_and_far(context):
    """Create endpoints in two data centres."""
    context.balancer = balancing.Balancer("lipno", random.Random(1))
    _update_view(
        context,
        [
            _member("near-0"),
            _member("near-1"),
            _member("far-0", "svet"),
            _member("far-1", "svet"),
        ],
    )


@behave.then("only near ones are chosen")
def near_only(context):
    """Check the choices while no load was reported."""
    assert set(_chosen_nodes(context)) == {"near-0", "near-1"}


@behave.then(
    "only {place} ones are chosen while the near ones report {calls:d} calls "
    "for {slots:d} slots"
)
@behave.then(
    "only {place} ones are chosen when the near ones report {calls:d} calls "
    "for {slots:d} slots"
)
def chosen_under_load(context, place, calls, slots):
    """Report the load of the near endpoints and check the choices."""
    for name in ("near-0", "near-1"):
        report = endpoint_stats.AnswerReport(in_flight=calls, slots=slots)
        context.balancer.record_answer(name, report, _NOW_S)
    assert set(_chosen_nodes(context)) == {f"{place}-0", f"{place}-1"}


@behave.when("a seventh endpoint joins")
def add_seventh(context):
    """Add it to the known endpoints, so that it gets a slow start."""
    _update_view(context, [_member(f"kvoty-{n}") for n in range(7)], _NOW_S)


@behave.then("it gets less than a third of an equal share in its first second")
def small_share_when_cold(context):
    """Compare its share when cold with that after the warm-up."""
    cold = _chosen_nodes(context, 2_000, _NOW_S + 0.5).count("kvoty-6")
    warm = _chosen_nodes(context, 2_000, _NOW_S + 10.0).count("kvoty-6")
    assert 0 < cold < 2_000 / 7 / 3, cold
    assert warm > 2_000 / 7 / 2, warm


@behave.when("a POST arrives at depth {depth:d} of a call chain")
def send_deep(context, depth):
    """Send it with the depth header of a call chain."""
    context.response = context.rig.send(Arbutusstall_Depth=str(depth))


@behave.given("tables of suspect requests at {count:d} nodes")
def suspect_tables(context, count):
    """Create a table of suspect requests for each node."""
    context.tables = [quarantine.Suspects() for _ in range(count)]
    context.crashes = 0


@behave.when("a poison request is sent {count:d} times beside 19 others")
def send_poison(context, count):
    """Run the poison request at one node after the other.

    The other requests run beside it unless it has to run alone. After
    each crash the marks of the node reach all other nodes.
    """
    others = [f"other-{n}" for n in range(19)]
    for turn in range(count):
        table = context.tables[turn % len(context.tables)]
        now_s = _NOW_S + turn
        if table.treatment("poison", now_s) is quarantine.Treatment.REFUSE:
            continue
        exclusive = (
            table.treatment("poison", now_s) is quarantine.Treatment.EXCLUSIVE
        )
        context.crashes += 1
        running_ids = ["poison"] if exclusive else ["poison", *others]
        rows = table.record_crash(running_ids, f"crash-{turn}", now_s)
        for other in context.tables:
            other.merge(rows)


@behave.then("at most {count:d} targets crashed")
def crashes_bounded(context, count):
    """Check the crashes; the second one shows which request is poison."""
    assert 0 < context.crashes <= count, context.crashes


@behave.then("the poison request is refused in the end")
def poison_refused(context):
    """Check the decision of every node."""
    for table in context.tables:
        treatment = table.treatment("poison", _NOW_S + 20)
        assert treatment is quarantine.Treatment.REFUSE


@behave.then("each of the others runs normally after one exclusive run")
def others_cleared(context):
    """Check that one exclusive run clears each of the others."""
    for table in context.tables:
        for number in range(19):
            name = f"other-{number}"
            treatment = table.treatment(name, _NOW_S + 20)
            assert treatment is quarantine.Treatment.EXCLUSIVE, treatment
            table.record_success(name, _NOW_S + 20)
            treatment = table.treatment(name, _NOW_S + 21)
            assert treatment is quarantine.Treatment.NORMAL
