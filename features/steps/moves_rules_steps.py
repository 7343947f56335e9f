"""Steps for properties of rollouts, checked with generated input."""

import dataclasses
import random

import behave
import hypothesis
from hypothesis import strategies
import log_samples
import rollout_kinds
import rollout_model

from arbutusstall import protocols
from arbutusstall import settings as node_settings
from arbutusstall._log import records
from arbutusstall._log import rollouts
from arbutusstall._systems import comparison
from arbutusstall._systems import outcomes as outcomes_system
from arbutusstall._systems import plan
from arbutusstall._tables import agreed
from arbutusstall._tables import comparisons
from arbutusstall._tables import outcomes
from arbutusstall._wire import messages

_POLICY = node_settings.RolloutSettings()
_LIMIT = comparison.Tolerance(ratio=1.5, floor=0.01, threshold=12.0)
_COUNT = strategies.integers(min_value=0, max_value=200)


def _check(count, *given):
    def wrap(check):
        limits = hypothesis.settings(
            max_examples=count, derandomize=True, deadline=None, database=None
        )
        limits(hypothesis.given(*given)(check))()

    return wrap


@behave.then("bad calls in a single look never reject or suspect the version")
def single_look(context):
    """Check that one look cannot reach a threshold, whatever its counts."""

    @_check(100, _COUNT, _COUNT)
    def check(bad, old):
        look = comparisons.Look(
            new_calls=bad, new_bad=bad, old_calls=old, old_bad=0
        )
        detector = comparison.replay([look], _LIMIT)
        assert not comparison.is_bad(detector, _LIMIT)
        assert not comparison.is_suspect(detector, _LIMIT)


@behave.then(
    "{count:d} share plans reach the goal in time without exceeding the "
    "growth limit"
)
def plans(context, count):
    """Follow plans in which each step is taken as soon as it is due."""

    @_check(
        count,
        strategies.floats(min_value=1.0, max_value=100.0),
        strategies.floats(min_value=8.0, max_value=86_400.0),
        strategies.booleans(),
    )
    def check(rise, length_s, ends_at_zero):
        window = plan.Window(started_s=0.0, by_s=length_s)
        first = plan.first_progress(rise, _POLICY)
        control = plan.control_progress(ends_at_zero, _POLICY)
        progress, now_s, steps = 0.0, 0.0, 0
        while progress < 1.0:
            stage = plan.next_stage(
                progress, first, control, window, now_s, _POLICY
            )
            assert stage.progress > progress
            assert stage.progress <= 1.0
            if progress > 0.0:
                allowed = max(progress * _POLICY.growth_max, first)
                assert stage.progress <= allowed + 1e-9
            else:
                assert stage.progress * rise <= _POLICY.first_percent + 1e-9
            now_s += stage.after_s
            progress, steps = stage.progress, steps + 1
        assert now_s <= length_s, now_s
        assert steps <= 15, steps


@behave.then(
    "{count:d} invalid rollback messages leave a node's state unchanged"
)
def invalid_messages(context, count):
    """Send messages that reject nothing, fit no rollout or are impossible."""
    context.model = _model_at_first_share()
    core = context.model.root()
    rollout = context.model.rollout()

    @_check(
        count,
        strategies.lists(
            strategies.tuples(_COUNT, _COUNT, _COUNT), max_size=50
        ),
        strategies.sampled_from(["", "rollout", "version", "route", "many"]),
    )
    def check(counts, wrong):
        row = comparisons.LocalRollback(
            rollout_id=rollout.rollout_id,
            version="v2",
            route="/kvoty",
            metric=comparisons.Metric.ERRORS,
            looks=tuple(_same_rate(*item) for item in counts),
        )
        row = _spoilt(row, wrong)
        before = core.tables.snapshot
        effects = core.handle(_notice(row), context.model.driver.clock.now())
        assert effects == []
        assert not core.tables.rollbacks_by_version
        assert core.tables.snapshot is before


@behave.then("a valid one rolls the version back at all nodes")
def valid_message(context):
    """Send a message whose looks reject the version."""
    model = context.model
    core = model.root()
    row = _rejecting(model.rollout().rollout_id)
    names = list(model.driver.cores_by_name)
    assert max(model.share(name) for name in names) > 0.0
    model.driver.put(core.tables.member.node, _notice(row))
    assert core.tables.rollbacks_by_version
    model.driver.run(0.5)
    assert not any(model.share(name) for name in names)


@behave.then(
    "{count:d} random decision histories satisfy the rules of the fold"
)
def histories(context, count):
    """Fold valid and invalid decisions in random order, some repeated."""

    @_check(count, strategies.integers(min_value=0, max_value=2**32))
    def check(seed):
        rng = random.Random(seed)
        log = _moving_log()
        leases = [log.state.lease.offset]
        for _ in range(30):
            before = _move(log)
            record = _random_decision(rng, log, rng.choice(leases))
            log.put(record)
            if rng.random() < 0.3:
                log.put(record)
            _check_step(before, _move(log), record, log)
            if rng.random() < 0.05:
                leases.append(log.claim(f"n{rng.random()}"))


@behave.then(
    "{count:d} random deliveries of the same reports give the same counts"
)
def deliveries(context, count):
    """Deliver cumulative rows in any order, some repeated, some lost."""
    model = _model_at_first_share()
    offset = model.rollout().offset

    @_check(count, strategies.integers(min_value=0, max_value=2**32))
    def check(seed):
        rng = random.Random(seed)
        core = model.root()
        core.tables.outcomes_by_key.clear()
        core.tables.watches_by_rollout.clear()
        now = model.driver.clock.now()
        rows = [
            _row(f"n{index}", calls, offset)
            for index in range(3)
            for calls in (5, 9, 20)
        ]
        last = [row for row in rows if row.counts.calls == 20]
        order = [row for row in rows * 2 if rng.random() < 0.7] + last
        rng.shuffle(order)
        for row in order:
            outcomes_system.on_report(
                core.tables, "peer", messages.OutcomeReport(rows=(row,)), now
            )
        watch = core.tables.watches_by_rollout["move/kvoty"]
        pending = watch.pending_by_cell["v2", "/kvoty"]
        assert pending.calls == 60, pending
        assert pending.failures == 30, pending
        assert len(core.tables.outcomes_by_key) == 3


@behave.when("a later release names other shares of the same service")
def supersede(context):
    """Publish other shares while the first rollout is running."""
    context.log = _moving_log()
    lease = context.log.state.lease.offset
    context.log.put(_decision(lease, 1, {"v1": 95.0, "v2": 5.0}))
    context.log.release("next", log_samples.shares(v3=100))


@behave.then("the first move is rolled back as superseded")
def superseded(context):
    """Check the verdict and its reason."""
    move = _move(context.log)
    assert move.state is agreed.RolloutState.ROLLED_BACK, move
    assert "superseded by release next" in move.reason, move
    assert not context.log.state.snapshot.blocked


@behave.then("the second starts from the shares before the first")
def starts_from_earlier_shares(context):
    """Check the start shares and state of the second rollout."""
    moves = context.log.state.snapshot.rollouts_by_id
    assert moves["next/kvoty"].start == {"v1": 100}, moves
    assert moves["next/kvoty"].state is agreed.RolloutState.RUNNING


@behave.when("a version was rolled back and a later release names it again")
def named_again(context):
    """Roll the version back, record what is blocked, and release it again."""
    context.log = _moving_log()
    context.log.put(_verdict(context.log, done=False))
    context.blocked = context.log.state.snapshot.blocked
    context.log.release("again", log_samples.shares(v2=100))


@behave.then("it is blocked before that release and not after it")
def blocked_until(context):
    """Check the blocked versions before and after the release."""
    assert context.blocked == {"kvoty/v2"}, context.blocked
    assert not context.log.state.snapshot.blocked


@behave.then("{count:d} such moves leave a snapshot of bounded size")
def bounded(context, count):
    """End many rollouts and count what the snapshot keeps of them."""
    log = context.log
    log.put(_verdict(log, done=False, rollout_id="again/kvoty"))
    for index in range(count):
        log.release(f"r{index}", log_samples.shares(**{f"w{index}": 100}))
        log.put(_verdict(log, done=False, rollout_id=f"r{index}/kvoty"))
    snapshot = log.state.snapshot
    assert len(snapshot.rollouts_by_id) <= rollouts.MAX_ENDED_PER_SERVICE
    assert len(snapshot.blocked) <= rollouts.MAX_ENDED_PER_SERVICE
    assert len(log.state.ended_rollouts_by_id) >= count


def _same_rate(calls, old_calls, bad):
    share = bad / 200.0
    return comparisons.Look(
        new_calls=calls,
        new_bad=int(calls * share),
        old_calls=max(old_calls, calls),
        old_bad=int(max(old_calls, calls) * share) + 1 if share else 0,
    )


def _rejecting(rollout_id):
    look = comparisons.Look(new_calls=10, new_bad=8, old_calls=100, old_bad=0)
    return comparisons.LocalRollback(
        rollout_id=rollout_id,
        version="v2",
        route="/kvoty",
        metric=comparisons.Metric.ERRORS,
        looks=(look,) * 5,
    )


def _spoilt(row, wrong):
    if not wrong:
        return row
    bad = _rejecting(row.rollout_id)
    look = comparisons.Look(new_calls=1, new_bad=8, old_calls=100, old_bad=0)
    return {
        "rollout": dataclasses.replace(bad, rollout_id="first/kvoty"),
        "version": dataclasses.replace(bad, version="v1"),
        "route": dataclasses.replace(bad, route="/prodej"),
        "many": dataclasses.replace(bad, looks=(look,) * 5),
    }[wrong]


def _notice(row):
    return protocols.Received(
        peer="kvoty-v1-2", message=messages.RollbackNotice(rows=(row,))
    )


def _model_at_first_share():
    model = rollout_model.Model(
        rollout_model.Setup(
            seed=3, behaviour=rollout_kinds.GOOD["good"], limit_s=1.0
        )
    )
    model.run()
    assert model.rollout().progress > 0.0
    return model


def _moving_log():
    log = log_samples.FoldedLog()
    log.release("base", log_samples.BASE)
    log.release("first", log_samples.shares(v1=100))
    log.claim("n1")
    log.release("move", log_samples.shares(v2=100))
    assert _move(log).state is agreed.RolloutState.RUNNING
    return log


def _move(log):
    state = log.state
    rows = {**state.ended_rollouts_by_id, **state.snapshot.rollouts_by_id}
    return rows["move/kvoty"]


def _decision(lease, step, percents):
    return records.ShareDecision(
        record_id=f"move/{lease}/{step}",
        lease=lease,
        rollout_id="move/kvoty",
        step=step,
        percent_by_version=percents,
    )


def _verdict(log, done, rollout_id="move/kvoty"):
    return records.Verdict(
        record_id=f"verdict/{rollout_id}",
        lease=log.state.lease.offset,
        rollout_id=rollout_id,
        done=done,
        reason="for the test",
    )


def _random_decision(rng, log, lease):
    percent = rng.choice([rng.uniform(-10, 120), float("nan"), 50.0])
    step = _move(log).step + rng.choice([0, 1, 1, 1, 2])
    if rng.random() < 0.05:
        verdict = _verdict(log, done=rng.random() < 0.5)
        return dataclasses.replace(verdict, lease=lease)
    return _decision(lease, step, {"v1": 100.0 - percent, "v2": percent})


def _check_step(before, after, record, log):
    if before.state is not agreed.RolloutState.RUNNING:
        assert after == before
        return
    if after == before:
        return
    assert record.lease == log.state.lease.offset
    if isinstance(record, records.Verdict):
        return
    assert after.step == before.step + 1 == record.step
    percents = log.state.snapshot.shares_by_service["kvoty"]
    assert abs(sum(percents.percent_by_version.values()) - 100.0) < 1e-6
    assert 0.0 <= percents.percent_by_version["v2"] <= 100.0
    assert abs(after.progress * 100.0 - record.percent_by_version["v2"]) < 1e-3


def _row(reporter, calls, offset):
    durations = list(outcomes.NO_DURATIONS)
    durations[3] = calls
    return messages.OutcomeRow(
        key=outcomes.OutcomeKey(
            reporter=reporter,
            incarnation=1,
            service="kvoty",
            version="v2",
            route="/kvoty",
            rollout=offset,
        ),
        counts=outcomes.OutcomeCounts(
            calls=calls, failures=calls // 2, durations=tuple(durations)
        ),
    )
