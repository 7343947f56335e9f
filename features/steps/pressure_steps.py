"""Steps for admission and balancing under pressure, without a network."""

import collections
import random

import behave

from arbutusstall import _effects
from arbutusstall._systems import admission
from arbutusstall._systems import attempts
from arbutusstall._systems import balancing
from arbutusstall._systems import caller_waits
from arbutusstall._systems import revocation
from arbutusstall._tables import members

_NOW_S = 1_000.0
_DEADLINE_MS = 1_000
_AIM_MS = 300
_COME_BACK_MS = 150


class _Target:
    """A target in virtual time behind an `admission.Admission`."""

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
        self.held_ms_by_refused: dict[str, int] = {}
        self.busy_ms = 0
        self._ends: list[tuple[int, str]] = []
        self._limits_by_id: dict[str, int] = {}
        self._taken_ms_by_id: dict[str, int] = {}

    def arrive(self, call_id: str, *, taken_ms: int = 0, **more) -> None:
        """Ask for a slot."""
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
            self._limits_by_id[call_id] = self.now_ms + decision.wait_ms

    def advance(self, duration_ms: int) -> None:
        """Let time pass, a millisecond at a time."""
        for _ in range(duration_ms):
            self.now_ms += 1
            self.busy_ms += len(self._ends)
            for end_ms, call_id in sorted(self._ends):
                if end_ms <= self.now_ms:
                    self._ends.remove((end_ms, call_id))
                    for other in self.admission.release_slot(
                        call_id, self.now_ms
                    ):
                        self._start(other)
            for call_id, limit_ms in list(self._limits_by_id.items()):
                if self.now_ms >= limit_ms:
                    del self._limits_by_id[call_id]
                    if self.admission.cancel_queued(call_id, self.now_ms):
                        self._refuse(call_id)

    def _refuse(self, call_id: str) -> None:
        self.refused.add(call_id)
        held_ms = self.now_ms - self.arrived_ms_by_id[call_id]
        self.held_ms_by_refused[call_id] = held_ms

    def _start(self, call_id: str) -> None:
        assert call_id not in self.refused, call_id
        self._limits_by_id.pop(call_id, None)
        waited_ms = self.now_ms - self.arrived_ms_by_id[call_id]
        self.waited_ms_by_id[call_id] = waited_ms
        end_ms = self.now_ms + self._taken_ms_by_id[call_id]
        self._ends.append((end_ms, call_id))


@behave.given("a target with {slots:d} slot that takes {taken_ms:d} ms")
@behave.given("a target with {slots:d} slots that takes {taken_ms:d} ms")
def make_target(context, slots, taken_ms):
    """Let it learn its service time first."""
    context.pressed = _Target(slots, taken_ms)
    for number in range(40):
        context.pressed.arrive(f"warm-{number}", route="long")
        context.pressed.advance(taken_ms + 1)


@behave.when("it is busy and new requests wait, then a nested call arrives")
def nested_call(context):
    """The nested call comes last."""
    context.pressed.arrive("running", rank=1)
    for number in range(3):
        context.pressed.arrive(f"new-{number}", rank=1)
    context.pressed.arrive("nested", rank=-1)
    context.pressed.advance(101)


@behave.then("the nested call starts next")
def nested_next(context):
    """Before those that came earlier."""
    started = list(context.pressed.waited_ms_by_id)
    assert started[-2:] == ["running", "nested"], started[-3:]


@behave.when("3 requests of low rank wait and 3 of high rank arrive")
def displace(context):
    """The objective leaves room for three in the queue."""
    context.pressed.arrive("running", rank=0)
    for number in range(3):
        context.pressed.arrive(f"low-{number}", rank=2, aim_ms=800)
    for number in range(3):
        context.pressed.arrive(f"high-{number}", rank=0, aim_ms=800)
    context.refused_at_once = set(context.pressed.refused)
    context.pressed.advance(1_000)


@behave.then("some of low rank are refused, none of high rank")
def low_refused(context):
    """At once, not when their time is up."""
    kinds = {name.partition("-")[0] for name in context.refused_at_once}
    assert kinds == {"low"}, context.refused_at_once


@behave.then("the refused ones never start")
def never_start(context):
    """A refusal stays true."""
    started = context.pressed.waited_ms_by_id.keys()
    assert not started & context.pressed.refused


@behave.when(
    "twice as many callers as it can serve come, and again 150 ms later"
)
def come_again(context):
    """Each caller that is refused comes back once."""
    target = context.pressed
    target.busy_ms = 0
    context.began_ms = target.now_ms
    context.first_ms_by_id = {}
    waits = caller_waits.CallerWaits()
    back_ms_by_id = {}
    gap_ms = target.taken_ms / target.admission.slots / 2
    due_ms = float(target.now_ms)
    end_ms = target.now_ms + 10_000

    def ask(name, first_ms):
        left_ms = _DEADLINE_MS - (target.now_ms - first_ms)
        waited_ms = waits.waited_ms("/x", left_ms, target.now_ms / 1_000)
        context.first_ms_by_id[name] = first_ms
        target.arrive(
            name,
            deadline_ms=left_ms,
            route="long",
            aim_ms=max(1, _AIM_MS - waited_ms),
        )

    while target.now_ms < end_ms:
        while due_ms <= target.now_ms:
            ask(f"first-{due_ms}", target.now_ms)
            due_ms += gap_ms
        for name in target.refused - back_ms_by_id.keys():
            if name.startswith("first"):
                back_ms_by_id[name] = target.now_ms + _COME_BACK_MS
        for name, back_ms in back_ms_by_id.items():
            if back_ms == target.now_ms:
                ask(f"again-{name}", context.first_ms_by_id[name])
        target.advance(1)


@behave.then(
    "no answer is later than {limit:d} ms after its caller's first request"
)
def in_time(context, limit):
    """Those that came back included."""
    target = context.pressed
    started = target.waited_ms_by_id.keys() & context.first_ms_by_id.keys()
    assert started
    for name in started:
        start_ms = target.arrived_ms_by_id[name] + target.waited_ms_by_id[name]
        taken_ms = start_ms + target.taken_ms - context.first_ms_by_id[name]
        assert taken_ms <= limit, (name, taken_ms)


@behave.given("callers of a route that start with {left:d} ms")
def callers(context, left):
    """A second's worth of them."""
    context.caller_waits = caller_waits.CallerWaits()
    for number in range(10):
        context.caller_waits.waited_ms("/x", left, _NOW_S + number / 10)


@behave.when("one comes with {left:d} ms left")
def one_comes(context, left):
    """A second later."""
    context.waited_ms = context.caller_waits.waited_ms("/x", left, _NOW_S + 2)


@behave.when("callers start with {left:d} ms for {seconds:d} seconds")
def callers_change(context, left, seconds):
    """One a second."""
    for number in range(1, seconds + 1):
        context.waited_ms = context.caller_waits.waited_ms(
            "/x", left, _NOW_S + number
        )


@behave.then("it is taken to have waited for {waited:d} ms")
@behave.then("the last of them is taken to have waited for {waited:d} ms")
def waited_for(context, waited):
    """As estimated from its time left."""
    assert context.waited_ms == waited, context.waited_ms


@behave.when(
    "requests with an objective of 300 ms arrive at twice its capacity"
)
def overload(context):
    """For ten seconds."""
    target = context.pressed
    target.busy_ms = 0
    context.began_ms = target.now_ms
    for number in range(800):
        target.arrive(f"r-{number}", rank=1, route="long", aim_ms=300)
        target.advance(12 if number % 2 else 13)


@behave.then("each that starts has waited at most 200 ms")
def short_waits(context):
    """What is served is served in time."""
    waits = [
        waited_ms
        for name, waited_ms in context.pressed.waited_ms_by_id.items()
        if name.startswith("r-")
    ]
    assert len(waits) > 350, len(waits)
    assert max(waits) <= 200, max(waits)


@behave.then("the slots are always in use")
def slots_used(context):
    """Refusing is no reason to idle."""
    target = context.pressed
    total_ms = (target.now_ms - context.began_ms) * target.admission.slots
    assert target.busy_ms > 0.97 * total_ms, target.busy_ms / total_ms


@behave.when(
    "nested calls of {taken:d} ms fill {nested:d} percent of it and requests"
    " arrive for {own:d}"
)
def nested_fill(context, taken, nested, own):
    """Ten seconds at random times; requests have 500 ms.

    The slots are looked at once the queue has filled.
    """
    target = context.pressed
    rng = random.Random(5)
    slots = target.admission.slots
    kinds = (
        ("nested", slots * nested / 100 / taken, taken),
        ("own", slots * own / 100 / target.taken_ms, target.taken_ms),
    )
    for number in range(10_000):
        if number == 1_000:
            target.busy_ms = 0
            context.began_ms = target.now_ms
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


def _held_of_own(context):
    target = context.pressed
    held = sorted(
        held_ms
        for call_id, held_ms in target.held_ms_by_refused.items()
        if call_id.startswith("own")
    )
    assert len(held) > 50, held
    return held


@behave.then("half of the refused requests were held for at most {limit:d} ms")
def half_held(context, limit):
    """They are told when it is known."""
    held = _held_of_own(context)
    assert held[len(held) // 2] <= limit, held[:: len(held) // 10]


@behave.then("no refused request was held for more than {limit:d} ms")
def all_held(context, limit):
    """A part of the objective is left to come back."""
    held = _held_of_own(context)
    assert held[-1] <= limit, held[-10:]


@behave.when("short nested calls of 20 ms with a deadline of 250 ms arrive")
def short_calls(context):
    """Among long requests that keep all slots busy."""
    target = context.pressed
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
    """They start when the next slot is free."""
    refused = {name for name in context.pressed.refused if "short" in name}
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
    """Calls through a balancer in virtual time."""

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
            report = balancing.AnswerReport(
                in_flight=1,
                slots=8,
                route="r",
                taken_ms=(taken_ms or {}).get(row.node, 100.0),
                failed=number % 100 < 100 * (failing or {}).get(row.node, 0),
            )
            self.balancer.record_answer(row.node, report, self.now_s)


@behave.given("a cost balancer over {count:d} endpoints")
def cost_balancer(context, count):
    """All near, after a calm time."""
    rows = [_member(f"kvoty-{number}") for number in range(count)]
    context.traffic = _Traffic(rows)
    context.traffic.run(400)


@behave.when("one of them takes 10 times as long for a while")
def slow_one(context):
    """The first calls find that out."""
    slow = {"kvoty-0": 1_000.0}
    context.traffic.run(100, taken_ms=slow)
    context.traffic.run(400, taken_ms=slow)


@behave.when("one of them answers half of its calls with errors, faster")
def failing_one(context):
    """The first calls find that out."""
    fast, failing = {"kvoty-0": 20.0}, {"kvoty-0": 0.5}
    context.traffic.run(100, taken_ms=fast, failing=failing)
    context.traffic.run(400, taken_ms=fast, failing=failing)


@behave.then("it gets less than a tenth of the calls")
def little(context):
    """An equal part is a quarter."""
    counts = context.traffic.counts
    assert counts["kvoty-0"] < 40, counts


@behave.then("some seconds after it is well it gets its part again")
def well_again(context):
    """Without a call that tells so in between."""
    context.traffic.now_s += 15.0
    context.traffic.run(400)
    assert context.traffic.counts["kvoty-0"] > 50, context.traffic.counts


@behave.when("every endpoint answers with errors")
def all_failing(context):
    """Such as when a service further down is out."""
    failing = {f"kvoty-{number}": 1.0 for number in range(4)}
    context.traffic.run(400, failing=failing)


@behave.then("all of them are still chosen")
def all_chosen(context):
    """None is ejected."""
    counts = context.traffic.counts
    assert len(counts) == 4, counts
    assert min(counts.values()) > 40, counts


@behave.given(
    "a cost balancer with a near endpoint at half speed and a far one"
)
def near_half_speed(context):
    """The far one is faster than usual."""
    context.traffic = _Traffic([_member("near"), _member("far", "svet")])
    context.traffic.run(200, taken_ms={"near": 150.0, "far": 75.0})


@behave.then("all calls stay near until half as many wait as it has slots")
def stay_near(context):
    """Then they go far; a slow endpoint sends them away sooner."""
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
    """Of one service at one node."""
    context.retry_share = percent / 100
    context.retry_burst = burst
    context.budget = attempts.RetryBudget(context.retry_share, burst)


@behave.when(
    "{count:d} calls come, half of them nested, and every second is shed"
)
def shed_second(context, count):
    """By chance, as endpoints shed."""
    _shed(context, count, 2)


@behave.when(
    "{count:d} calls come, half of them nested, and every {nth:d}th is shed"
)
def shed_some(context, count, nth):
    """By chance, as endpoints shed."""
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
    """An equal part would be half."""
    part = context.retried[True] / context.retried.total()
    assert part >= percent / 100, context.retried


@behave.then(
    "all retries are at most {percent:d} percent of the calls and the burst"
)
def within_budget(context, percent):
    """And hardly less: what is allowed is used."""
    most = context.call_count * percent / 100 + context.retry_burst
    assert 0.95 * most <= context.retried.total() <= most, context.retried


@behave.then("{most:d} of {count:d} shed calls get their retry")
def most_retried(context, most, count):
    """The others came close to each other."""
    part = context.retried.total() / context.shed.total()
    assert part >= most / count, (context.retried, context.shed)


@behave.given(
    "a cost balancer over {near:d} near endpoints and {far:d} far ones"
)
def near_and_far(context, near, far):
    """All of the same speed."""
    rows = [_member(f"near-{number}") for number in range(near)]
    rows += [_member(f"far-{number}", "svet") for number in range(far)]
    context.traffic = _Traffic(rows)
    context.traffic.run(400)


@behave.when(
    "{count:d} calls wait at each near endpoint and none runs at the far ones"
)
def near_full(context, count):
    """By what their last answers told."""
    traffic = context.traffic
    for row in traffic.view.members_by_service["kvoty"]:
        report = balancing.AnswerReport(
            in_flight=8 + count if row.node.startswith("near") else 0,
            slots=8,
            route="r",
            taken_ms=100.0,
        )
        traffic.balancer.record_sent(row.node)
        traffic.balancer.record_answer(row.node, report, traffic.now_s)


def _chosen(context, tried):
    traffic = context.traffic
    row = traffic.balancer.choose(
        traffic.view, "kvoty", "v1", traffic.now_s, tried
    )
    return row.node


@behave.then("a new call goes to a near one")
def goes_near(context):
    """It waits a little."""
    assert _chosen(context, frozenset()).startswith("near")


@behave.then("a call that a near one has refused goes to a far one")
def goes_far(context):
    """The other near ones are as full."""
    assert _chosen(context, frozenset({"near-0"})).startswith("far")
