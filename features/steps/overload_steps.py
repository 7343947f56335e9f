"""Steps for admission, retries, balancing and poison requests."""

from concurrent import futures
import random

import behave
import call_rig

from arbutusstall import _effects
from arbutusstall._systems import attempts
from arbutusstall._systems import balancing
from arbutusstall._systems import quarantine
from arbutusstall._tables import members

_NOW_S = 1_000.0


def _headers(response):
    return {name.lower(): value for name, value in response.headers}


@behave.given("1 endpoint with {slots:d} slots and a queue of {queue:d}")
def small_endpoint(context, slots, queue):
    """Start an endpoint that is soon full."""
    context.rig = call_rig.Rig(1, slots=slots, queue=queue)
    context.add_cleanup(context.rig.stop)
    context.rig.send(request_id="warm")


@behave.when("{count:d} POSTs arrive at the same time")
def burst(context, count):
    """Send them from as many threads."""
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


@behave.then("at most {count:d} ran at the same time")
def most_running(context, count):
    """Check what the target saw."""
    assert context.rig.endpoints[0].target.max_running <= count


@behave.then("each POST got the answer and ran once, or not-run and ran never")
def all_true(context):
    """Compare each outcome with the target's list."""
    for name, response in context.responses.items():
        outcome = _headers(response).get("arbutusstall-outcome")
        ran = context.rig.executions(name)
        if response.status == 200:
            assert ran == 1, (name, ran)
        else:
            assert (outcome, ran) == ("not-run", 0), (name, response)


@behave.then("some got not-run with a Retry-After")
def some_refused(context):
    """Check the refusals' headers."""
    refused = [
        _headers(response)
        for response in context.responses.values()
        if response.status == 503
    ]
    assert refused
    assert all(int(headers["retry-after"]) >= 1 for headers in refused)


@behave.when("one target sheds load and {count:d} POSTs are sent")
def shed(context, count):
    """Let the first target refuse by itself."""
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


@behave.then("all {count:d} get the answer of the other target")
def other_target(context, count):
    """Check the second target's list."""
    ran = context.rig.endpoints[1].target.executions
    for name, response in context.responses.items():
        assert response.status == 200, response
        assert ran.count(name) == 1


@behave.when("the target passes on a refusal of a call further down")
def passes_on(context):
    """Answer as a target that copies what it got."""
    target = context.rig.endpoints[0].target
    target.status = 503
    target.extra_headers = {
        "Arbutusstall-Outcome": "not-run",
        "Arbutusstall-Reason": "overload",
    }
    context.response = context.rig.send()


@behave.then("a plain 503 that names no outcome arrives")
def plain(context):
    """The request has run, so nothing may say that it has not."""
    assert context.response.status == 503
    assert "arbutusstall-outcome" not in _headers(context.response)


@behave.when("{count:d} requests fail with a budget of a fifth")
def spend_budget(context, count):
    """Ask for a retry after each request."""
    budget = attempts.RetryBudget(0.2)
    context.retries = 0
    for _ in range(count):
        budget.deposit()
        context.retries += budget.withdraw()


@behave.then("at most {count:d} retries are allowed")
def retries_bounded(context, count):
    """Check the count; some must have been allowed."""
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


def _use(context, rows, now_s=_NOW_S):
    context.view = _effects.View(members_by_service={"kvoty": tuple(rows)})
    context.balancer.update_endpoints(context.view, now_s)


def _chosen(context, count=500, now_s=_NOW_S):
    return [
        context.balancer.choose(context.view, "kvoty", "v1", now_s).node
        for _ in range(count)
    ]


@behave.given("a balancer over {count:d} endpoints")
def balancer(context, count):
    """All in one data centre."""
    context.balancer = balancing.Balancer("lipno", random.Random(1))
    _use(context, [_member(f"kvoty-{n}") for n in range(count)])


@behave.when("1 endpoint fails, it is not chosen for half a second")
def one_fails(context):
    """One unreachable endpoint is avoided, then tried again."""
    context.balancer.record_failure("kvoty-0", _NOW_S, True)
    assert "kvoty-0" not in _chosen(context, now_s=_NOW_S + 0.3)
    assert "kvoty-0" in _chosen(context, now_s=_NOW_S + 0.7)


@behave.when("all endpoints fail, at least {count:d} are still chosen")
def all_fail(context, count):
    """The floor keeps some."""
    for number in range(6):
        context.balancer.record_failure(f"kvoty-{number}", _NOW_S, True)
    assert len(set(_chosen(context))) >= count


@behave.given("a balancer over 2 near and 2 far endpoints")
def near_and_far(context):
    """Two data centres."""
    context.balancer = balancing.Balancer("lipno", random.Random(1))
    _use(
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
    """Without load."""
    assert set(_chosen(context)) == {"near-0", "near-1"}


@behave.then(
    "only {place} ones are chosen while they report {calls:d} calls for "
    "{slots:d} slots"
)
@behave.then(
    "only {place} ones are chosen when they report {calls:d} calls for "
    "{slots:d} slots"
)
def chosen_under_load(context, place, calls, slots):
    """With all near slots taken and some calls in the queue."""
    for name in ("near-0", "near-1"):
        report = balancing.AnswerReport(in_flight=calls, slots=slots)
        context.balancer.record_answer(name, report, _NOW_S)
    assert set(_chosen(context)) == {f"{place}-0", f"{place}-1"}


@behave.when("a seventh appears")
def seventh(context):
    """Add an endpoint later than the others."""
    _use(context, [_member(f"kvoty-{n}") for n in range(7)], _NOW_S)


@behave.then("it gets less than a third of an equal part in its first second")
def little_traffic(context):
    """Count how often it is chosen, then and when it is warm."""
    cold = _chosen(context, 2_000, _NOW_S + 0.5).count("kvoty-6")
    warm = _chosen(context, 2_000, _NOW_S + 10.0).count("kvoty-6")
    assert 0 < cold < 2_000 / 7 / 3, cold
    assert warm > 2_000 / 7 / 2, warm


@behave.when("a POST arrives that is {depth:d} calls deep")
def deep(context, depth):
    """Send it with the depth header of a chain."""
    context.response = context.rig.send(Arbutusstall_Depth=str(depth))


@behave.given("marks of requests at {count:d} nodes")
def marks(context, count):
    """Each node has its own table; marks reach all between sends."""
    context.tables = [quarantine.Suspects() for _ in range(count)]
    context.crashes = 0


@behave.when("a poison request is sent {count:d} times among 19 others")
def send_poison(context, count):
    """Send it to another node each time, in company if it may."""
    others = [f"other-{n}" for n in range(19)]
    for turn in range(count):
        table = context.tables[turn % len(context.tables)]
        now_s = _NOW_S + turn
        if table.treatment("poison", now_s) is quarantine.Treatment.REFUSE:
            continue
        solo = (
            table.treatment("poison", now_s) is quarantine.Treatment.EXCLUSIVE
        )
        context.crashes += 1
        company = ["poison"] if solo else ["poison", *others]
        rows = table.record_crash(company, f"crash-{turn}", now_s)
        for other in context.tables:
            other.merge(rows)


@behave.then("at most {count:d} targets crashed")
def crashes_bounded(context, count):
    """Two are needed to tell the request from its company."""
    assert 0 < context.crashes <= count, context.crashes


@behave.then("the poison request is refused in the end")
def poison_refused(context):
    """At every node."""
    for table in context.tables:
        treatment = table.treatment("poison", _NOW_S + 20)
        assert treatment is quarantine.Treatment.REFUSE


@behave.then("each of the others runs normally in the end")
def others_run(context):
    """They run alone once and are cleared."""
    for table in context.tables:
        for number in range(19):
            name = f"other-{number}"
            treatment = table.treatment(name, _NOW_S + 20)
            assert treatment is quarantine.Treatment.EXCLUSIVE, treatment
            table.record_success(name, _NOW_S + 20)
            treatment = table.treatment(name, _NOW_S + 21)
            assert treatment is quarantine.Treatment.NORMAL
