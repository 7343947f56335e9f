"""Steps for limits of targets in virtual time, without a network."""

import bisect

import behave
import limit_model

_SETTLE_MS = 3_000
_WINDOW_MS = 4_000
_ALLOWED_FACTOR = 1.5
_ALLOWED_MORE = 5
_CHANGES = (40.0, 8.0, None, 2.0, 60.0, 1.0)


@behave.given(
    "{callers:d} callers and {endpoints:d} endpoints of which {count:d} name"
    " {limit:g} requests a second"
)
def make_model(context, callers, endpoints, count, limit):
    """Create the model; the first endpoints name the limit."""
    context.model = limit_model.LimitModel(callers, endpoints)
    context.limit = limit
    context.limited = context.model.endpoints[:count]
    for endpoint in context.limited:
        endpoint.limit_per_s = limit


@behave.when(
    "{rate:d} requests a second are sent for {seconds:d} seconds in virtual"
    " time"
)
def send(context, rate, seconds):
    """Send requests of one rank."""
    context.model.run(seconds, rate)


@behave.when(
    "{rate:d} requests a second are sent for {seconds:d} seconds with"
    " restarts every {pause:d} ms"
)
def send_with_restarts(context, rate, seconds, pause):
    """Restart the limited endpoints' proxies, one after the other."""
    model = context.model
    step_s = pause / 1_000 / len(context.limited)
    while model.now_ms < seconds * 1_000:
        for endpoint in context.limited:
            model.run(step_s, rate)
            endpoint.restart(model.now_ms)


@behave.when(
    "the limits change {count:d} times, {pause:d} seconds apart, at {rate:d}"
    " requests a second"
)
def change_limits(context, count, pause, rate):
    """Give each endpoint its limits in turn, from a place of its own."""
    model = context.model
    context.limits_at = []
    for change in range(count):
        limits = [
            _CHANGES[(change + place) % len(_CHANGES)]
            for place in range(len(model.endpoints))
        ]
        for endpoint, limit in zip(model.endpoints, limits, strict=True):
            endpoint.limit_per_s = limit
        context.limits_at.append((model.now_ms, limits))
        model.run(pause, rate)


@behave.when(
    "requests of ranks -1 and 0 need a quarter of that each, and rank 2 more"
    " than the rest"
)
def send_ranks(context):
    """Send at twice the limits; half of the requests have rank 2."""
    total = 2 * context.limit * len(context.limited)
    context.model.run(20, total, (-1, 0, 2, 2, 2, 2, 2, 2))


def _most_in_window(endpoint, from_ms):
    times_ms = endpoint.started_ms
    return max(
        (
            bisect.bisect_left(times_ms, at_ms + _WINDOW_MS) - index
            for index, at_ms in enumerate(times_ms)
            if at_ms >= from_ms
        ),
        default=0,
    )


def _allowed(limit):
    window_s = _WINDOW_MS / 1_000
    return _ALLOWED_FACTOR * window_s * limit + _ALLOWED_MORE


@behave.then("no endpoint gets more than its limit allows")
def within_limits(context):
    """Check each window from 3 s after the limit was named."""
    for endpoint in context.limited:
        most = _most_in_window(endpoint, _SETTLE_MS)
        assert most <= _allowed(context.limit), most


@behave.then(
    "no endpoint gets more than the limits of the last 4 seconds allow"
)
def within_changing_limits(context):
    """Check the second after each change has been in force for 3 s.

    A window of 4 s that ends within that second lies in two limits; the
    higher one counts.
    """
    for number, (at_ms, limits) in enumerate(context.limits_at):
        if not number:
            continue
        before = context.limits_at[number - 1][1]
        for place, limit in enumerate(limits):
            if limit is None or before[place] is None:
                continue
            times_ms = context.model.endpoints[place].started_ms
            for end_ms in range(at_ms + _SETTLE_MS, at_ms + _WINDOW_MS, 50):
                begin = bisect.bisect_left(times_ms, end_ms - _WINDOW_MS)
                got = bisect.bisect_left(times_ms, end_ms) - begin
                most = _allowed(max(limit, before[place]))
                assert got <= most, (place, limit, before[place], got)


@behave.then("at least {share:d} percent of each limit is used")
def limit_used(context, share):
    """Compare what each endpoint got after 3 s with its limit."""
    seconds = (context.model.now_ms - _SETTLE_MS) / 1_000
    for endpoint in context.limited:
        got = sum(at_ms >= _SETTLE_MS for at_ms in endpoint.started_ms)
        assert got >= share / 100 * context.limit * seconds, got / seconds


@behave.then("at least {share:d} percent of the requests are served")
def served(context, share):
    """Compare what was accepted with what was sent."""
    model = context.model
    total = sum(model.sent.values())
    assert sum(model.answered.values()) >= share / 100 * total, model.answered


@behave.then(
    "at least {share:d} percent of those of ranks -1 and 0 are served"
)
def urgent_served(context, share):
    """Check the two more urgent ranks."""
    model = context.model
    for rank in (-1, 0):
        got = model.answered[rank] / model.sent[rank]
        assert got >= share / 100, (rank, got)


@behave.then(
    "at most one request in {count:d} is refused by an endpoint on its way"
)
def few_refusals(context, count):
    """Each refusal costs its request a round trip between nodes."""
    model = context.model
    total = sum(model.sent.values())
    assert model.refusals <= total / count, (model.refusals, total)
