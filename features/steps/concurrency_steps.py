"""Steps for concurrency limits in virtual time, without a network."""

import behave
import concurrency_model

from arbutusstall._concurrency import limit
from arbutusstall._proxy import http_messages
from arbutusstall._systems import admission
from arbutusstall._systems import revocation
from arbutusstall.platform import dialect

_SPEEDS = (2.0, 1.0, 1.0, 1 / 1.5)
_SLOTS = concurrency_model.SLOTS
# A trial gives up a third of the room of a target for a second at most.
_MAX_LOST_SHARE = 0.01
_MAX_SLOWER = 1.05


def _slows_down(target, _):
    """Be slower by the square of the runs above half of the slots."""
    return max(1.0, len(target.running) / (_SLOTS / 2)) ** 2


_LOADS = {
    "slowing down at half of slots": _slows_down,
    "slowing down at a fifth of slots": lambda target, _: (
        max(1.0, len(target.running) / (_SLOTS / 5)) ** 2
    ),
    "slowing down for 15 seconds": lambda target, now_ms: (
        _slows_down(target, now_ms) if now_ms < 15_000 else 1.0
    ),
    "of three speeds": lambda target, _: _SPEEDS[int(target.name[1:])],
    "slow for 600 ms at a time": lambda target, now_ms: (
        4.0 if (now_ms + 700 * int(target.name[1:])) % 3_000 < 600 else 1.0
    ),
    "all slower after 6 seconds": lambda _, now_ms: (
        2.5 if now_ms >= 6_000 else 1.0
    ),
    "cold": lambda _, now_ms: 2.0 if now_ms < 3_000 else 1.0,
    "as fast as usual": lambda *_: 1.0,
    "replaced by a release that does": lambda *_: 1.0,
}


@behave.given("4 targets, {load}, that report {figure} figure")
def make_targets(context, load, figure, quiet=0):
    """Create the model with concurrency limits, and one without."""
    context.is_replaced = load.startswith("replaced")
    context.quiet_s = quiet
    context.limited, context.fixed = (
        concurrency_model.ConcurrencyModel(
            [_LOADS[load]] * 4, is_limited, figure == "a"
        )
        for is_limited in (True, False)
    )


@behave.given(
    "4 targets, {load}, that report no figure and were quiet for {quiet:d}"
    " seconds"
)
def make_quiet_targets(context, load, quiet):
    """Create targets whose usual run times become known at first."""
    make_targets(context, load, "no", quiet)


@behave.when(
    "{percent:d} percent of their capacity is asked for, for {seconds:d}"
    " seconds"
)
def ask(context, percent, seconds):
    """Send the same requests to both models."""
    for name in ("fixed", "limited"):
        model = getattr(context, name)
        model.run(context.quiet_s, 0.1)
        if context.is_replaced:
            model.run(5, percent / 100)
            for target in model.targets:
                target.replace(_slows_down)
        model.run(seconds, percent / 100)
        print(
            f"{name}: served {model.served_share:.3f}, mean"
            f" {model.mean_ms:.0f} ms, p50 {model.latency_ms(0.5)} ms, p99"
            f" {model.latency_ms(0.99)} ms"
        )


@behave.then(
    "at least {percent:d} percent more of the requests are served than at"
    " fixed slots"
)
def served_more(context, percent):
    """Compare the shares of requests."""
    gain = context.limited.served_share - context.fixed.served_share
    assert gain >= percent / 100, gain


@behave.then(
    "the mean latency is at most {factor:g} times that at fixed slots"
)
def served_faster(context, factor):
    """Compare the latencies of the requests that were served."""
    ratio = context.limited.mean_ms / context.fixed.mean_ms
    assert ratio <= factor, ratio


@behave.then("about as many requests are served, as fast as at fixed slots")
def served_alike(context):
    """Compare shares and mean latencies."""
    served_more(context, -100 * _MAX_LOST_SHARE)
    served_faster(context, _MAX_SLOWER)


@behave.then("each limit ends between {low:d} and {high:d}")
def limit_ends(context, low, high):
    """Check the limits outside of trials at the end."""
    ends = [target.limits[-1][0] for target in context.limited.targets]
    assert all(low <= end <= high for end in ends), ends


@behave.then("no limit is lowered outside of trials")
def never_settles_lower(context):
    """Check the limits outside of trials, and the depth of the trials."""
    for target in context.limited.targets:
        assert min(settled for settled, _ in target.limits) == _SLOTS
        assert min(limit for _, limit in target.limits) >= 0.6 * _SLOTS


@behave.then("no slot is ever taken away")
def always_all_slots(context):
    """Check the limits, trials included."""
    for target in context.limited.targets:
        assert set(target.limits) == {(_SLOTS, _SLOTS)}, target.name


@behave.then("each limit was at most {low:d} and ends at all slots")
def limit_recovers(context, low):
    """Check that each limit was found, and given up again."""
    for target in context.limited.targets:
        settled = [limit for limit, _ in target.limits]
        assert min(settled) <= low, (target.name, min(settled))
        assert settled[-1] == _SLOTS, (target.name, settled[-1])


@behave.then("the slowest gets {low:g} to {high:g} of an equal share")
def slowest_share(context, low, high):
    """Compare the runs of the targets."""
    started = [target.started for target in context.limited.targets]
    share = started[0] * len(started) / sum(started)
    assert low <= share <= high, started


@behave.when('a target answers with the load header "{header}"')
def load_header(context, header):
    """Decode the header alone."""
    response = http_messages.Response(
        status=200, headers=(("X-Server-Load", header),), body=b""
    )
    platform_dialect = dialect.PlatformDialect("kvoty")
    context.load = platform_dialect.target_load(response)


@behave.then("its work takes {slowness} times as long as usual")
def check_load(context, slowness):
    """Compare the decoded figure."""
    expected = None if slowness == "unknown" else float(slowness)
    assert context.load.slowness == expected, context.load


@behave.given("a limit of a target with {slots:d} slots")
def make_limit(context, slots):
    """Let it know the usual run time of a route."""
    context.limit = limit.ConcurrencyLimit(slots)
    context.now_ms = 1_000
    for _ in range(40):
        mark = context.limit.on_start(1, context.now_ms)
        context.now_ms += 50
        context.limit.on_end(mark, 0, context.now_ms, "r", 50, 1.0)


@behave.when(
    "{failed:d} runs at the limit fail and {slow:d} are slow, again and again"
)
def fail_runs(context, failed, slow):
    """Repeat that for 10 s."""
    context.currents = set()
    for _ in range(50):
        marks = [
            context.limit.on_start(16, context.now_ms)
            for _ in range(failed + slow)
        ]
        context.now_ms += 200
        for number, mark in enumerate(marks):
            run_ms = 200 if number >= failed else None
            context.limit.on_end(mark, 15, context.now_ms, "r", run_ms, 4.0)
        context.currents.add(context.limit.current)


@behave.then("no trial of another limit has begun")
def no_trial(context):
    """Check the limit after each round."""
    assert context.currents == {16}, context.currents


@behave.given(
    "a target whose answers take {answer_ms:d} ms and whose errors take"
    " {error_ms:d} ms"
)
def make_admission(context, answer_ms, error_ms):
    """Create its admission control."""
    context.run_ms = (answer_ms, error_ms)
    table = revocation.CallTable(
        1,
        revocation.Limits(
            horizon_ms=60_000, max_entries=1_000, max_answer_bytes=1_000
        ),
    )
    context.admission = admission.Admission(table, 4, 4, 1_000)


@behave.when("half of {count:d} runs fail")
def run_calls(context, count):
    """Run them one after the other."""
    now_ms = 1_000
    for number in range(count):
        call_id = f"c{number}"
        failed = number % 2
        context.admission.request_slot(
            revocation.AttemptId(
                call_id=call_id, incarnation=1, sent_ms=now_ms
            ),
            now_ms,
            5_000,
            route="r",
        )
        now_ms += context.run_ms[failed]
        context.admission.table.drop(call_id)
        context.admission.release_slot(call_id, now_ms, not failed)


@behave.then("the mean that callers get is between {low:d} and {high:d} ms")
def mean_of_answers(context, low, high):
    """Check what goes out with the answers."""
    mean_ms = context.admission.expected_run_ms("r")
    assert low <= mean_ms <= high, mean_ms
