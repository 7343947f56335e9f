"""Steps for targets that are cold."""

import dataclasses
import random
import time

import behave
import calls
import limit_model
import msgspec
import platform_mesh
import ports
from standins import endpoint
import untrusted_readers

from arbutusstall import _effects
from arbutusstall import _settings
from arbutusstall._systems import admission
from arbutusstall._systems import arrivals
from arbutusstall._systems import cold_limit
from arbutusstall._systems import revocation
from arbutusstall.platform import health
from arbutusstall.platform import settings as platform_settings

_SEED = 4
_COLD_S = 30.0


def _admission(settings, rate_per_s):
    table = revocation.CallTable(
        1,
        revocation.Limits(
            horizon_ms=1_000, max_entries=9_000, max_answer_bytes=0
        ),
    )
    found = admission.Admission(table, slots=64, queue=0, queue_ms=100)
    found.limit.cold = cold_limit.ColdLimit(settings)
    found.limit.cold.set_rate(rate_per_s, 0)
    return found


def _submit(context, number, rank=1):
    call = calls.booking(
        call_id=f"c{number}", sent_ms=context.now_ms, rank=rank
    )
    decision = context.admission.request_slot(
        arrivals.attempt_id(call), context.now_ms, 1_000, rank=rank
    )
    if decision.verdict is admission.Verdict.START:
        context.admission.release_slot(call.call_id, context.now_ms)
    return decision


@behave.given("a cold target that takes {rate:g} requests a second")
def cold_target(context, rate):
    """Use the admission beside it, with the default bounds."""
    context.now_ms = 0
    context.admission = _admission(_settings.ColdSettings(), rate)
    context.admission.limit.cold.learn("i/1", _COLD_S, 0)


@behave.when(
    "{load:d} requests a second arrive for {seconds:d} s, in bursts of"
    " {burst:d}"
)
def arrive(context, load, seconds, burst):
    """Let bursts of new and nested calls arrive at random times."""
    rng = random.Random(_SEED)
    context.started_ms = []
    number = 0
    while context.now_ms < seconds * 1_000:
        context.now_ms += int(rng.expovariate(load / burst) * 1_000)
        for _ in range(burst):
            number += 1
            rank = rng.choice((-1, 0, 1, 2))
            decision = _submit(context, number, rank)
            if decision.verdict is admission.Verdict.START:
                context.started_ms.append(context.now_ms)


def _most_in_a_second(starts_s):
    return max(
        sum(begin_s <= other_s < begin_s + 1.0 for other_s in starts_s)
        for begin_s in starts_s
    )


@behave.then("no second has more than {most:d} requests to it")
def within_cold_bound(context, most):
    """Check each window that begins with a request."""
    found = _most_in_a_second([at_ms / 1_000 for at_ms in context.started_ms])
    assert found <= most, found


@behave.then("it gets at least {least:d} requests in all")
def uses_cold_rate(context, least):
    """Check that the limit leaves the target its rate."""
    assert len(context.started_ms) >= least, len(context.started_ms)


_CONFIGURATIONS = {
    "a rate of 7": (_settings.ColdSettings(), 7.0),
    "no rate": (_settings.ColdSettings(named=True), 0.0),
    "the bounds only": (_settings.ColdSettings(named=True), None),
    "nothing": (_settings.ColdSettings(), None),
}


@behave.given("a node with {configuration} whose target says {said}")
def node_beside_target(context, configuration, said):
    """Tell the limit what the target says, one after the other."""
    limit = cold_limit.ColdLimit(_CONFIGURATIONS[configuration][0])
    limit.set_rate(_CONFIGURATIONS[configuration][1], 0)
    now_ms = 0
    limit.learn("i/1", None, now_ms)
    for item in said.split(", "):
        if item == "wait":
            now_ms += 200
        elif item == "restart":
            limit.learn("i/2", None, now_ms)
        elif item != "nothing":
            seconds = item.removeprefix("cold for ").removesuffix(" s")
            limit.learn("i/1", float(seconds), now_ms)
    context.admitted = 0
    while context.admitted < 1_000 and limit.has_room(1, 0, now_ms):
        limit.record_sent(now_ms)
        context.admitted += 1


@behave.then("requests to it are {result}")
def check_limited(context, result):
    """Nothing fits at once into a bucket that starts nearly empty."""
    expected = 0 if result == "limited" else 1_000
    assert context.admitted == expected, context.admitted


@behave.when("it gets new requests until one is refused")
def fill_bucket(context):
    """Let the bucket fill before."""
    context.now_ms = int(_COLD_S * 1_000) - 5
    for number in range(100):
        context.refusal = _submit(context, number)
        if context.refusal.verdict is admission.Verdict.REFUSE:
            break
    assert number > 2, number


@behave.then("a nested call is still admitted")
def nested_admitted(context):
    """Let one arrive at the same time."""
    assert context.refusal.refusal == admission.OVER_LIMIT
    decision = _submit(context, 1_000, rank=-1)
    assert decision.verdict is admission.Verdict.START, decision


@behave.then("the refusal ends no later than the coldness")
def short_refusal(context):
    """The target is cold for 5 more ms."""
    assert 0 < context.refusal.retry_after_ms <= 5, context.refusal


@behave.given("settings with the bounds coldOvershoot=1.25 and coldSlack=3")
def cold_settings(context):
    """Decode a settings file with and without the bounds."""
    text = platform_mesh.settings_text(
        node="n0", service="kvoty", store="127.0.0.1:7000", first_port=20_000
    )
    more = '"coldOvershoot=1.25","coldSlack=3",'
    context.cold_settings = [
        platform_settings.decode(item.encode(), "boot.toml").node.cold
        for item in (text, text.replace("bounds = [", f"bounds = [{more}"))
    ]


@behave.then("the bounds have reached the node's settings")
def bounds_decoded(context):
    """Compare both with the defaults and the values named."""
    assert context.cold_settings == [
        _settings.ColdSettings(overshoot=1.5, slack=8.0, named=False),
        _settings.ColdSettings(overshoot=1.25, slack=3.0, named=True),
    ], context.cold_settings


@behave.given("a configuration with the cold rates 7.5, 0, none and -1")
def cold_configurations(context):
    """Read a configuration with each of them."""
    context.rates = {}
    for rate in (7.5, 0, None, -1):
        content = platform_mesh.configuration(
            3, {"r": platform_mesh.route("kvoty")}
        )
        if rate is not None:
            content["services"]["kvoty"]["coldPerS"] = rate
        context.rates[rate] = untrusted_readers.read_operator(
            "config", msgspec.json.encode(content)
        )


@behave.then("only the rate 7.5 is set, and only -1 makes it invalid")
def cold_rates_decoded(context):
    """Compare the rates of the configurations that were accepted."""
    found = {
        rate: [dict(event.cold_rates_by_service) for event in read]
        for rate, read in context.rates.items()
    }
    assert found == {7.5: [{"kvoty": 7.5}], 0: [{}], None: [{}], -1: []}, found


@behave.given("a health check of a target whose remaining coldness is {text}")
def health_check_of_cold_target(context, text):
    """Answer the check with the text in the header."""
    port = ports.take()
    target = endpoint.Endpoint(
        port=port,
        control=f"127.0.0.1:{ports.take()}",
        service="kvoty",
        instance="i-1",
    )
    context.add_cleanup(target.stop)
    target.behaviour = endpoint.Behaviour(
        health_cold="" if text == "none" else text
    )
    announced = _effects.Announced(
        service="kvoty",
        version="v1",
        address=f"127.0.0.1:{port}",
        slots=8,
        instance="i-1",
    )
    context.health = health.TargetHealthCheck(_Paths()).check(announced)


class _Paths:
    """Knows the health check's path."""

    def health_path(self, service):
        """Return the path."""
        return "/health"


@behave.then("its coldness counts as {cold}")
def check_coldness(context, cold):
    """Compare the coldness with that of the answer."""
    expected = None
    if cold != "unknown":
        expected = float(cold.removesuffix(" s"))
    assert context.health.cold_s == expected, context.health


@behave.given("the operator publishes a cold rate of {rate:d} for {service}")
def publish_cold_rate(context, rate, service):
    """Publish a route, and wait until every node uses all targets."""
    mesh = context.platform
    content = platform_mesh.configuration(
        3, {"r": platform_mesh.route(service)}
    )
    content["services"][service]["coldPerS"] = rate
    mesh.store.put("config", content)
    for name in mesh.nodes_by_name:
        received = set()

        def all_targets_answer(name=name, received=received):
            received.add(mesh.send(name).body)
            return received >= {
                f"i-{node}\n".encode() for node in mesh.nodes_by_name
            }

        platform_mesh.wait_until(all_targets_answer, 20.0)


@behave.when("the first target becomes cold")
def become_cold(context):
    """Tell so in its heartbeats, and wait until its node knows."""
    target = context.platform.endpoints_by_node["n0"]
    target.behaviour = dataclasses.replace(target.behaviour, cold_s=_COLD_S)
    assert target.send_heartbeat()
    context.named_s = time.monotonic()


@behave.then("the cold target gets at most {most:d} requests in any second")
def within_cold_bound_in_all(context, most):
    """Check the requests after the target told its node."""
    target = context.platform.endpoints_by_node["n0"]
    starts_s = [
        item.at_s for item in target.arrivals if item.at_s > context.named_s
    ]
    assert starts_s, "it was never asked"
    found = _most_in_a_second(starts_s)
    if found > most:
        context.platform.print_logs()
    assert found <= most, found


@behave.given(
    "{callers:d} callers and {endpoints:d} endpoints of which {count:d} are"
    " cold"
)
def model_with_cold_endpoints(context, callers, endpoints, count):
    """Create the model; the first endpoints are cold at 7 a second."""
    context.model = limit_model.LimitModel(callers, endpoints)
    context.cold = context.model.endpoints[:count]
    for item in context.cold:
        limit = cold_limit.ColdLimit(_settings.ColdSettings())
        limit.learn(item.target.start, _COLD_S, 0)
        limit.set_rate(7.0, 0)
        item.admission.limit.cold = limit


@behave.then(
    "each cold endpoint gets at most {most:d} and on average {least:d} in a"
    " second"
)
def cold_endpoints_used(context, most, least):
    """Check the bound, and that the endpoints are not left unused."""
    seconds = context.model.now_ms / 1_000
    for item in context.cold:
        starts_s = [at_ms / 1_000 for at_ms in item.started_ms]
        assert _most_in_a_second(starts_s) <= most, starts_s
        assert len(starts_s) >= least * seconds, len(starts_s)


@behave.then("at least {share:d} of 100 requests are accepted")
def share_accepted(context, share):
    """Count the requests of all callers."""
    answered = context.model.answered.total()
    sent = context.model.sent.total()
    assert answered >= share / 100 * sent, (answered, sent)
