"""Steps for moves of traffic between versions."""

import itertools

import behave
import mesh
import rollout_kinds
import rollout_model

from arbutusstall import settings as node_settings

_SEEDS = 2


@behave.given("a node beside version {version} of {service} in {centre}")
def start_version(context, version, service, centre):
    """Start a node and a target, and wait until all nodes list it."""
    context.mesh.start_node(
        mesh.NodeSpec(
            name=f"{service}-{version}",
            data_centre=centre,
            service=service,
            version=version,
        )
    )
    context.mesh.wait_ready()
    everyone = len(context.mesh.nodes_by_name)
    assert context.mesh.wait_until(
        lambda: all(
            context.mesh.status(name)["serving"] == everyone
            for name in context.mesh.nodes_by_name
        ),
        20.0,
    )


@behave.when("a version that {kind} is released with {count:d} seeds")
@behave.when("a version of kind {kind} is released with {count:d} seeds")
def release_seeds(context, kind, count):
    """Run the model once for each seed."""
    context.results = [_run(kind, seed=seed) for seed in range(count)]


@behave.when("a version of kind {kind} is released at {rate:d} calls a second")
def release_slowly(context, kind, rate):
    """Run the model with a low call rate."""
    context.results = [
        _run(kind, seed=seed, rate=float(rate), limit_s=90.0)
        for seed in range(_SEEDS)
    ]


@behave.when(
    "a version of kind {kind} is released and the log is out "
    "from {start:d} to {end:d} s"
)
def release_log_out(context, kind, start, end):
    """Run the model with a log outage."""
    context.outage = (start, end)
    faults = rollout_model.Faults(log_down_s=(start, end))
    context.results = [
        _run(kind, seed=seed, faults=faults) for seed in range(_SEEDS)
    ]


@behave.when(
    "a version of kind {kind} is released and the leader is paused "
    "from {start:d} to {end:d} s"
)
def release_paused(context, kind, start, end):
    """Run the model with a paused leader."""
    faults = rollout_model.Faults(leader_paused_s=(start, end))
    context.results = [
        _run(kind, seed=seed, faults=faults) for seed in range(_SEEDS)
    ]


@behave.when("a version with no endpoints is released")
def release_no_endpoints(context):
    """Run the model with targets of the old version only."""
    context.results = [_run("good", seed=1, new_endpoints=False, limit_s=20.0)]


@behave.when("a version with slots for half of the calls is released")
def release_few_slots(context):
    """Run the model with too few slots for the new version."""
    # 400 calls/s of about 5 ms each keep two slots busy. The new version
    # has one slot, and rollouts plan with 0.8 of the capacity.
    context.results = [
        _run(
            "good",
            seed=1,
            rate=400.0,
            endpoints=1,
            slots=1,
            limit_s=40.0,
        )
    ]


@behave.when("a version of kind {kind} is released over {seconds:d} seconds")
def release_quickly(context, kind, seconds):
    """Run the model with less time than the comparisons need."""
    context.results = [
        _run(kind, seed=seed, planned_s=float(seconds))
        for seed in range(_SEEDS)
    ]


@behave.then("its state and its verdict state that it is late")
def says_late(context):
    """Check the hold reasons and the reason of the verdict."""
    for result in context.results:
        assert any("late" in text for text in result.held_by), result.held_by
        assert "s late" in result.reason, result.reason


@behave.then("every move is rolled back and its reason states the counts")
def all_rolled_back_with_counts(context):
    """Check the verdicts, and that the reasons give calls per route."""
    for result in context.results:
        assert result.verdict == "rolled-back", result.verdict
        assert result.reason.startswith("v2 "), result.reason
        assert "calls on /kvoty" in result.reason, result.reason


@behave.then("every move is done")
def all_done(context):
    """Check that every verdict is done."""
    for result in context.results:
        assert result.verdict == "done", (result.verdict, result.reason)


@behave.then("every move is rolled back")
def all_rolled_back(context):
    """Check that every verdict is a rollback."""
    for result in context.results:
        assert result.verdict == "rolled-back", result.reason


@behave.then(
    "the version gets no traffic anywhere within {limit:d} s of the decision"
)
def zero_in_time(context, limit):
    """Check when the last node stopped routing to the version."""
    for result in context.results:
        assert result.at_zero_s, result
        assert result.at_zero_s - result.decided_s <= limit, result


@behave.then("its share was at most {percent:d} percent before the decision")
def small_share(context, percent):
    """Check the highest share before the first decision."""
    for result in context.results:
        assert result.max_percent_before <= percent + 0.01, (
            result.max_percent_before
        )


@behave.then("the goal was in force everywhere in time")
def goal_in_time(context):
    """Check when the last node had the goal in force."""
    for result in context.results:
        assert 0 < result.at_goal_s <= rollout_model.Setup.planned_s, result


@behave.then("no share rose while the log was out")
def no_rise(context):
    """Check the shares within the outage.

    The first 0.3 s are left out: answers of the log may still be in
    transit.
    """
    start_s, end_s = context.outage
    for result in context.results:
        within = [
            percent
            for elapsed_s, percent in result.shares
            if start_s + 0.3 < elapsed_s <= end_s
        ]
        assert within == sorted(within, reverse=True), within


@behave.then("the decision came before the end of the outage")
def decided_early(context):
    """Check that the first decision did not wait for the log."""
    for result in context.results:
        assert 0 < result.decided_s < context.outage[1], result


@behave.then("the decision came within {limit:d} s of the outage's start")
def decided_soon(context, limit):
    """Check that acting on a suspicion does not wait for the lease to end."""
    for result in context.results:
        assert result.decided_s <= context.outage[0] + limit, result.decided_s


@behave.then("no share grew by more than the largest growth factor")
def no_jump(context):
    """Compare each share with the one before it."""
    policy = node_settings.RolloutSettings()
    for result in context.results:
        shares = [percent for _, percent in result.shares if percent]
        for before, after in itertools.pairwise(shares):
            assert after <= before * policy.growth_max + 0.01, (before, after)


@behave.then("the move is held for lack of endpoints and moves no traffic")
def held_by_endpoints(context):
    """Check the hold reason, and that there is no verdict."""
    result = context.results[0]
    assert "endpoints" in result.held_by, result
    assert result.max_percent_before == 0.0, result
    assert not result.verdict, result


@behave.then("the move is held for lack of capacity below {percent:d} percent")
def held_by_capacity(context, percent):
    """Check the hold reason and the highest share."""
    result = context.results[0]
    assert "capacity" in result.held_by, result.held_by
    assert 0 < result.max_percent_before < percent, result.max_percent_before


def _run(kind, **setup):
    behaviour = {**rollout_kinds.BAD, **rollout_kinds.GOOD}[kind]
    return rollout_model.Model(
        rollout_model.Setup(behaviour=behaviour, **setup)
    ).run()
