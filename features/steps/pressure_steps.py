"""Steps for admission, balancing and retry budgets under load.

They drive the decisions in virtual time, without a network.
"""

import collections
import random

import behave

from arbutusstall import _effects
from arbutusstall._systems import admission
from arbutusstall._systems import attempts
from arbutusstall._systems import balancing
from arbutusstall._systems import caller_waits
from arbutusstall._systems import endpoint_stats
from arbutusstall._systems import revocation
from arbutusstall._tables import members
from arbutusstall._wire import messages

_NOW_S = 1_000.0
_DEADLINE_MS = 1_000
_OBJECTIVE_MS = 300
_RETRY_DELAY_MS = 150


class _Target:
    """Simulated target behind an `admission.Admission`.

    Calls run in virtual time, each for a given duration.
    """

    def __init__(self, slots: int, taken_ms: int) -> None:
        limits = revocation.Limits(
            horizon_ms=60_000, max_entries=10_000, max_answer_bytes=1_000_000
        )
        self.table = revocation.CallTable(1, limits)
        self.admission = admission.Admission(self.table, slots, 256, 1_500)
        self.now_ms = 0
        self.taken_ms = taken_ms
        self.arrived_ms_by_id: dict[str, int] = {}
        self.waited_ms_by_id: dict[str, int] = {}
        self.refused: set[str] = set()
        self.held_ms_by_refused_id: dict[str, int] = {}
        self.busy_ms = 0
        self._running: list[tuple[int, str]] = []
        self._wait_limits_ms_by_id: dict[str, int] = {}
        self._taken_ms_by_id: dict[str, int] = {}

    def arrive(self, call_id: str, *, taken_ms: int = 0, **more) -> None:
        """Request a slot for a call that arrives now."""
        self.arrived_ms_by_id[call_id] = self.now_ms
        self._taken_ms_by_id[call_id] = taken_ms or self.taken_ms
        attempt_id = revocation.AttemptId(
            call_id=call_id, incarnation=1, sent_ms=self.now_ms
        )
        deadline_ms = more.pop("deadline_ms", _DEADLINE_MS)
        decision = self.admission.request_slot(
            attempt_id, self.now_ms, deadline_ms, **more
        )
        for evicted in decision.evicted:
            self._refuse(evicted)
        if decision.verdict is admission.Verdict.REFUSE:
            self._refuse(call_id)
        elif decision.verdict is admission.Verdict.START:
            self._start(call_id)
        else:
            self._wait_limits_ms_by_id[call_id] = (
                self.now_ms + decision.wait_ms
            )

    def advance(self, duration_ms: int) -> None:
        """Advance the virtual time, one millisecond at a time."""
        for _ in range(duration_ms):
            self.now_ms += 1
            self.busy_ms += len(self._running)
            for end_ms, call_id in sorted(self._running):
                if end_ms <= self.now_ms:
                    self._running.remove((end_ms, call_id))
                    for other in self.admission.release_slot(
                        call_id, self.now_ms
                    ):
                        self._start(other)
            for call_id, limit_ms in list(self._wait_limits_ms_by_id.items()):
                if self.now_ms >= limit_ms:
                    del self._wait_limits_ms_by_id[call_id]
                    if self.admission.cancel_queued(call_id, self.now_ms):
                        self._refuse(call_id)

    def _refuse(self, call_id: str) -> None:
        self.refused.add(call_id)
        held_ms = self.now_ms - self.arrived_ms_by_id[call_id]
        self.held_ms_by_refused_id[call_id] = held_ms

    def _start(self, call_id: str) -> None:
        assert call_id not in self.refused, call_id
        self._wait_limits_ms_by_id.pop(call_id, None)
        waited_ms = self.now_ms - self.arrived_ms_by_id[call_id]
        self.waited_ms_by_id[call_id] = waited_ms
        end_ms = self.now_ms + self._taken_ms_by_id[call_id]
        self._running.append((end_ms, call_id))


@behave.given("a target with {slots:d} slot that takes {taken_ms:d} ms a call")
@behave.given(
    "a target with {slots:d} slots that takes {taken_ms:d} ms a call"
)
def make_target(context, slots, taken_ms):
    """Run some calls first so that the service time is known."""
    context.loaded_target = _Target(slots, taken_ms)
    for number in range(40):
        context.loaded_target.arrive(f"warm-{number}", route="long")
        context.loaded_target.advance(taken_ms + 1)


@behave.when("it is busy and new requests wait, then a nested call arrives")
def nested_call(context):
    """Fill the slot and queue requests before the nested call."""
    context.loaded_target.arrive("running", rank=1)
    for number in range(3):
        context.loaded_target.arrive(f"new-{number}", rank=1)
    context.loaded_target.arrive("nested", rank=-1)
    context.loaded_target.advance(101)


@behave.then("the nested call starts next")
def nested_next(context):
    """Check that it starts before the requests queued earlier."""
    started = list(context.loaded_target.waited_ms_by_id)
    assert started[-2:] == ["running", "nested"], started[-3:]


@behave.when("3 requests of low rank wait and 3 of high rank arrive")
def arrive_by_rank(context):
    """Queue three requests, then send more urgent ones.

    The objective leaves room for three requests in the queue.
    """
    context.loaded_target.arrive("running", rank=0)
    for number in range(3):
        context.loaded_target.arrive(f"low-{number}", rank=2, aim_ms=800)
    for number in range(3):
        context.loaded_target.arrive(f"high-{number}", rank=0, aim_ms=800)
    context.refused_at_once = set(context.loaded_target.refused)
    context.loaded_target.advance(1_000)


@behave.then("some of low rank are refused, none of high rank")
def only_low_refused(context):
    """Check the refusals made when the urgent requests arrived."""
    kinds = {name.partition("-")[0] for name in context.refused_at_once}
    assert kinds == {"low"}, context.refused_at_once


@behave.then("the refused ones never start")
def never_start(context):
    """Check that no refused request has started."""
    started = context.loaded_target.waited_ms_by_id.keys()
    assert not started & context.loaded_target.refused


@behave.when(
    "twice as many callers as it can serve arrive and retry after 150 ms"
)
def retrying_callers(context):
    """Offer twice the capacity; each refused caller retries once."""
    target = context.loaded_target
    target.busy_ms = 0
    context.started_ms = target.now_ms
    context.first_ms_by_id = {}
    waits = caller_waits.CallerWaits()
    retry_ms_by_id = {}
    gap_ms = target.taken_ms / target.admission.slots / 2
    due_ms = float(target.now_ms)
    end_ms = target.now_ms + 10_000

    def submit(name, first_ms):
        left_ms = _DEADLINE_MS - (target.now_ms - first_ms)
        waited_ms = waits.waited_ms("/x", left_ms, target.now_ms / 1_000)
        context.first_ms_by_id[name] = first_ms
        target.arrive(
            name,
            deadline_ms=left_ms,
            route="long",
            aim_ms=max(1, _OBJECTIVE_MS - waited_ms),
        )

    while target.now_ms < end_ms:
        while due_ms <= target.now_ms:
            submit(f"first-{due_ms}", target.now_ms)
            due_ms += gap_ms
        for name in target.refused - retry_ms_by_id.keys():
            if name.startswith("first"):
                retry_ms_by_id[name] = target.now_ms + _RETRY_DELAY_MS
        for name, retry_ms in retry_ms_by_id.items():
            if retry_ms == target.now_ms:
                submit(f"again-{name}", context.first_ms_by_id[name])
        target.advance(1)


@behave.then(
    "no answer is later than {limit:d} ms after its caller's first request"
)
def in_time(context, limit):
    """Check every answer, those to retries included."""
    target = context.loaded_target
    started = target.waited_ms_by_id.keys() & context.first_ms_by_id.keys()
    assert started
    for name in started:
        start_ms = target.arrived_ms_by_id[name] + target.waited_ms_by_id[name]
        taken_ms = start_ms + target.taken_ms - context.first_ms_by_id[name]
        assert taken_ms <= limit, (name, taken_ms)


@behave.given("callers of a route that start with deadlines of {left:d} ms")
def callers_start(context, left):
    """Record requests of the route for one second."""
    context.caller_waits = caller_waits.CallerWaits()
    for number in range(10):
        context.caller_waits.waited_ms("/x", left, _NOW_S + number / 10)


@behave.when("a caller arrives with {left:d} ms left")
def caller_arrives(context, left):
    """Record one more request, two seconds after the first."""
    context.waited_ms = context.caller_waits.waited_ms("/x", left, _NOW_S + 2)


@behave.when(
    "callers start with deadlines of {left:d} ms for {seconds:d} seconds"
)
def callers_change(context, left, seconds):
    """Record one request a second."""
    for number in range(1, seconds + 1):
        context.waited_ms = context.caller_waits.waited_ms(
            "/x", left, _NOW_S + number
        )


@behave.then("it is estimated to have waited for {waited:d} ms")
@behave.then("the last of them is estimated to have waited for {waited:d} ms")
def waited_for(context, waited):
    """Check the wait estimated from the time left."""
    assert context.waited_ms == waited, context.waited_ms


@behave.when(
    "requests with an objective of 300 ms arrive at twice its capacity"
)
def overload_twice(context):
    """Send requests for ten seconds."""
    target = context.loaded_target
    target.busy_ms = 0
    context.started_ms = target.now_ms
    for number in range(800):
        target.arrive(f"r-{number}", rank=1, route="long", aim_ms=300)
        target.advance(12 if number % 2 else 13)


@behave.then("each started request has waited at most 200 ms")
def short_waits(context):
    """Check the queue time of each started request."""
    waits = [
        waited_ms
        for name, waited_ms in context.loaded_target.waited_ms_by_id.items()
        if name.startswith("r-")
    ]
    assert len(waits) > 350, len(waits)
    assert max(waits) <= 200, max(waits)


@behave.then("the slots are always in use")
def slots_used(context):
    """Check that the refusals leave hardly any time of the slots unused."""
    target = context.loaded_target
    total_ms = (target.now_ms - context.started_ms) * target.admission.slots
    assert target.busy_ms > 0.97 * total_ms, target.busy_ms / total_ms


@behave.when(
    "nested calls of {taken:d} ms use {nested:d} percent of it and new"
    " requests {own:d} percent"
)
def nested_fill(context, taken, nested, own):
    """Let calls arrive at random times for ten seconds.

    Requests have an objective of 500 ms. The use of the slots is
    measured after the first second, when the queue has filled.
    """
    target = context.loaded_target
    rng = random.Random(5)
    slots = target.admission.slots
    kinds = (
        ("nested", slots * nested / 100 / taken, taken),
        ("own", slots * own / 100 / target.taken_ms, target.taken_ms),
    )
    for number in range(10_000):
        if number == 1_000:
            target.busy_ms = 0
            context.started_ms = target.now_ms
        for kind, rate, work_ms in kinds:
            if rng.random() >= rate:
                continue
            nested_call = kind == "nested"
            target.arrive(
                f"{kind}-{number}",
                taken_ms=work_ms,
                rank=-1 if nested_call else 1,
                route="short" if nested_call else "long",
                aim_ms=0 if nested_call else 500,
                deadline_ms=400 if nested_call else 1_200,
            )
        target.advance(1)


def _held_ms_of_requests(context):
    target = context.loaded_target
    held = sorted(
        held_ms
        for call_id, held_ms in target.held_ms_by_refused_id.items()
        if call_id.startswith("own")
    )
    assert len(held) > 50, held
    return held


@behave.then("half of the refused requests were held for at most {limit:d} ms")
def half_held(context, limit):
    """Check the median time from arrival to refusal.

    A request is refused as soon as it is certain to miss its objective.
    """
    held = _held_ms_of_requests(context)
    assert held[len(held) // 2] <= limit, held[:: len(held) // 10]


@behave.then("no refused request was held for more than {limit:d} ms")
def all_held(context, limit):
    """Check the longest time from arrival to refusal.

    A refused caller needs the rest of its objective for a retry.
    """
    held = _held_ms_of_requests(context)
    assert held[-1] <= limit, held[-10:]


@behave.when("short nested calls of 20 ms with a deadline of 250 ms arrive")
def short_nested_calls(context):
    """Send short calls while long requests occupy all slots."""
    target = context.loaded_target
    for number in range(100):
        target.arrive(f"long-{number}", rank=1, route="long", aim_ms=600)
        target.arrive(
            f"short-{number}",
            taken_ms=20,
            rank=-1,
            route="short",
            deadline_ms=250,
        )
        target.advance(40)


@behave.then("none of them is refused")
def none_refused(context):
    """Check that each is admitted when the next slot is free."""
    refused = {
        name for name in context.loaded_target.refused if "short" in name
    }
    assert not refused, refused


def _member(name, data_centre="lipno"):
    return members.Member(
        node=name,
        data_centre=data_centre,
        incarnation=1,
        state=members.MemberState.SERVING,
        service="kvoty",
        version="v1",
        slots=8,
    )


class _Traffic:
    """Sends calls through a balancer in virtual time."""

    def __init__(self, rows) -> None:
        self.view = _effects.View(members_by_service={"kvoty": tuple(rows)})
        self.balancer = balancing.Balancer("lipno", random.Random(3))
        self.balancer.update_endpoints(self.view, _NOW_S - 60.0)
        self.now_s = _NOW_S
        self.counts = collections.Counter()

    def run(self, count, *, taken_ms=None, failing=None) -> None:
        """Send calls 10 ms apart, each answered before the next."""
        self.counts.clear()
        for number in range(count):
            self.now_s += 0.01
            row = self.balancer.choose(self.view, "kvoty", "v1", self.now_s)
            self.counts[row.node] += 1
            self.balancer.record_sent(row.node)
            report = endpoint_stats.AnswerReport(
                in_flight=1,
                slots=8,
                route="r",
                taken_ms=(taken_ms or {}).get(row.node, 100.0),
                failed=number % 100 < 100 * (failing or {}).get(row.node, 0),
            )
            self.balancer.record_answer(row.node, report, self.now_s)


@behave.given("a cost-based balancer over {count:d} endpoints")
def cost_balancer(context, count):
    """Create endpoints in the local data centre, of equal speed."""
    rows = [_member(f"kvoty-{number}") for number in range(count)]
    context.traffic = _Traffic(rows)
    context.traffic.run(400)


@behave.when("one of them takes 10 times as long for a while")
def slow_one(context):
    """Count calls only after the first 100 have shown the delay."""
    slow = {"kvoty-0": 1_000.0}
    context.traffic.run(100, taken_ms=slow)
    context.traffic.run(400, taken_ms=slow)


@behave.when("one of them answers faster, but half of its calls with errors")
def failing_one(context):
    """Count calls only after the first 100 have shown the errors."""
    fast, failing = {"kvoty-0": 20.0}, {"kvoty-0": 0.5}
    context.traffic.run(100, taken_ms=fast, failing=failing)
    context.traffic.run(400, taken_ms=fast, failing=failing)


@behave.then("it gets less than a tenth of the calls")
def small_share(context):
    """Check its share; an equal share would be a quarter."""
    counts = context.traffic.counts
    assert counts["kvoty-0"] < 40, counts


@behave.then("15 seconds after it has recovered it gets its share again")
def recovered(context):
    """Let 15 s pass, then count its calls.

    No call in between shows that it has recovered.
    """
    context.traffic.now_s += 15.0
    context.traffic.run(400)
    assert context.traffic.counts["kvoty-0"] > 50, context.traffic.counts


@behave.when("every endpoint answers with errors")
def all_failing(context):
    """Answer every call with an error.

    This happens when a service that all endpoints call is unavailable.
    """
    failing = {f"kvoty-{number}": 1.0 for number in range(4)}
    context.traffic.run(400, failing=failing)


@behave.then("all of them are still chosen")
def all_chosen(context):
    """Check that no endpoint has been ejected."""
    counts = context.traffic.counts
    assert len(counts) == 4, counts
    assert min(counts.values()) > 40, counts


@behave.given(
    "a cost-based balancer with a near endpoint at half speed and a far one"
)
def near_half_speed(context):
    """Answer calls in 150 ms near and in 75 ms far away."""
    context.traffic = _Traffic([_member("near"), _member("far", "svet")])
    context.traffic.run(200, taken_ms={"near": 150.0, "far": 75.0})


@behave.then(
    "all calls stay near until half as many are queued as it has slots"
)
def stay_near(context):
    """Send unanswered calls until one goes to the far endpoint.

    The slower the near endpoint is, the fewer calls it keeps.
    """
    traffic = context.traffic
    sent = 0
    while sent < 16:
        row = traffic.balancer.choose(
            traffic.view, "kvoty", "v1", traffic.now_s
        )
        if row.node == "far":
            break
        traffic.balancer.record_sent(row.node)
        sent += 1
    assert 8 <= sent <= 12, sent


@behave.given(
    "a retry budget of {percent:d} percent with a burst of {burst:d}"
)
def retry_budget(context, percent, burst):
    """Create the retry budget of one service at one node."""
    context.retry_share = percent / 100
    context.retry_burst = burst
    context.budget = attempts.RetryBudget(context.retry_share, burst)


@behave.when(
    "{count:d} calls arrive, half of them nested, and one in two is shed"
)
def shed_second(context, count):
    """Shed calls at random with a probability of one half."""
    _shed(context, count, 2)


@behave.when(
    "{count:d} calls arrive, half of them nested, and one in {nth:d} is shed"
)
def shed_some(context, count, nth):
    """Shed calls at random with a probability of 1 in `nth`."""
    _shed(context, count, nth)


def _shed(context, count, nth):
    rng = random.Random(11)
    context.call_count = count
    context.shed = collections.Counter()
    context.retried = collections.Counter()
    for _ in range(count):
        nested = rng.random() < 0.5
        context.budget.deposit()
        if rng.random() < 1 / nth:
            context.shed[nested] += 1
            context.retried[nested] += context.budget.withdraw(nested=nested)


@behave.then("nested calls get at least {percent:d} percent of the retries")
def nested_first(context, percent):
    """Check the share of nested calls; an equal one is a half."""
    share = context.retried[True] / context.retried.total()
    assert share >= percent / 100, context.retried


@behave.then(
    "all retries are at most {percent:d} percent of the calls and the burst"
)
def within_budget(context, percent):
    """Check that the budget is nearly used up but not exceeded."""
    max_retries = context.call_count * percent / 100 + context.retry_burst
    assert 0.95 * max_retries <= context.retried.total() <= max_retries, (
        context.retried
    )


@behave.then("{least:d} of {count:d} shed calls get their retry")
def most_retried(context, least, count):
    """Check the share of shed calls that were retried.

    Calls shed in quick succession may find the budget empty.
    """
    share = context.retried.total() / context.shed.total()
    assert share >= least / count, (context.retried, context.shed)


@behave.given(
    "a cost-based balancer over {near:d} near endpoints and {far:d} far ones"
)
def near_and_far(context, near, far):
    """Create endpoints of the same speed in two data centres."""
    rows = [_member(f"near-{number}") for number in range(near)]
    rows += [_member(f"far-{number}", "svet") for number in range(far)]
    context.traffic = _Traffic(rows)
    context.traffic.run(400)


@behave.when(
    "{count:d} calls wait at each near endpoint and none runs at the far ones"
)
def near_full(context, count):
    """Report the load of each endpoint with an answer."""
    traffic = context.traffic
    for row in traffic.view.members_by_service["kvoty"]:
        report = endpoint_stats.AnswerReport(
            in_flight=8 + count if row.node.startswith("near") else 0,
            slots=8,
            route="r",
            taken_ms=100.0,
        )
        traffic.balancer.record_sent(row.node)
        traffic.balancer.record_answer(row.node, report, traffic.now_s)


def _chosen_node(context, tried):
    traffic = context.traffic
    row = traffic.balancer.choose(
        traffic.view, "kvoty", "v1", traffic.now_s, tried
    )
    return row.node


@behave.then("a new call goes to a near one")
def goes_near(context):
    """Check that a short queue keeps the call in its data centre."""
    assert _chosen_node(context, frozenset()).startswith("near")


@behave.then("a call that a near one has refused goes to a far one")
def goes_far(context):
    """Check the next endpoint of a call refused by a near one.

    The other near endpoints are just as full.
    """
    assert _chosen_node(context, frozenset({"near-0"})).startswith("far")


@behave.given(
    "3 full endpoints that expect room in {first:d}, {second:d} and"
    " {third:d} ms"
)
def make_refusals(context, first, second, third):
    """Create the refusals of the endpoints; 0 means that one tells none."""
    context.refusals = [
        attempts.from_answer(
            messages.CallAnswer(
                call_id="c", not_run=admission.OVERLOAD, retry_after_ms=wait_ms
            )
        )
        for wait_ms in (first, second, third)
    ]


@behave.when("{count:d} requests are refused by each of them in turn")
def refuse_in_turn(context, count):
    """Collect the delays that the callers are told."""
    rng = random.Random(1)
    context.delays_ms = []
    for _ in range(count):
        rng.shuffle(context.refusals)
        last = None
        for attempt in context.refusals:
            last = attempts.with_earliest_retry(attempt, last)
        context.delays_ms.append(
            attempts.spread_retry_ms(last.retry_after_ms, rng)
        )


@behave.then(
    "their callers are told to come back after {low:d} to {high:d} ms"
)
def delays_within(context, low, high):
    """Check the range, and remember its width."""
    assert low <= min(context.delays_ms), min(context.delays_ms)
    assert max(context.delays_ms) <= high, max(context.delays_ms)
    context.tenth_ms = (high - low) / 10


@behave.then("no tenth of that time is given to more than {most:d} of them")
def delays_spread(context, most):
    """Count the delays by tenths of the range."""
    counts = collections.Counter(
        int(delay_ms // context.tenth_ms) for delay_ms in context.delays_ms
    )
    assert max(counts.values()) <= most, counts
