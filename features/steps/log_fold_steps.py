"""Steps for the fold of the log."""

import json
from unittest import mock

import behave
import hypothesis
from hypothesis import strategies
import log_samples

from arbutusstall._log import fold
from arbutusstall._log import follower
from arbutusstall._log import publishing
from arbutusstall._log import releases
from arbutusstall._tables import agreed

_DAMAGED_RECORDS = {
    "a truncated record": b'{"kind":"release","bo',
    "bytes that are not UTF-8": b'{"kind":"release\xff","body":{}}',
    "a record of unknown kind": b'{"kind":"surprise","body":{}}',
    "a record of the wrong type": b'{"kind":"verdict","body":{"lease":"1"}}',
}


@behave.given("a log on which release base added kvoty and its route")
def base_log(context):
    """Start a log with one release."""
    context.log = log_samples.FoldedLog()
    context.log.release("base", log_samples.BASE)


@behave.given("a running move and a lease held by {holder}")
def running_move(context, holder):
    """Start a log with a running move to v2 and a lease."""
    base_log(context)
    context.log.release("first", log_samples.shares(v1=100.0))
    context.log.release("to-v2", log_samples.shares(v2=100.0))
    context.lease = context.log.claim(holder)


@behave.when("releases red and blue change the same route from the same state")
def change_same(context):
    """Publish two releases that change one item from the same state."""
    seen = context.log.state
    for name, timeout_ms in (("red", 100), ("blue", 200)):
        body = {
            "change": {"routes": [log_samples.route("/kvoty", timeout_ms)]}
        }
        context.record = context.log.release(name, body, seen)
    context.body = body


@behave.when("releases red and blue add different routes from the same state")
def add_different(context):
    """Publish two releases that add different items from one state."""
    seen = context.log.state
    for name in ("red", "blue"):
        body = {"add": {"routes": [log_samples.route(f"/{name}")]}}
        context.log.release(name, body, seen)


@behave.when("the record of blue is repeated")
def repeat(context):
    """Append the record of blue again."""
    context.log.put(context.record)


@behave.when("blue is published again from the current state")
def publish_again(context):
    """Publish the refused release from the current state."""
    context.log.release("blue", context.body)


@behave.when("the release {text} is appended")
def append_release(context, text):
    """Append a release given as JSON."""
    context.log.release("next", json.loads(text))


@behave.when("a release withdraws kvoty and its route")
def withdraw(context):
    """Withdraw the service and its route."""
    body = {"withdraw": {"services": ["kvoty"], "routes": ["/kvoty"]}}
    context.log.release("gone", body)


@behave.when("a release moves kvoty to v3")
def move_on(context):
    """Publish other shares while the first move is running."""
    context.log.release("to-v3", log_samples.shares(v3=100.0))


@behave.then("the move {move} is rolled back and names the release")
def move_ended(context, move):
    """Check that the move was rolled back and the next one exists."""
    rollout = context.log.state.snapshot.rollouts_by_id[move]
    assert rollout.state is agreed.RolloutState.ROLLED_BACK, rollout
    assert "to-v3" in rollout.reason, rollout
    assert "to-v3/kvoty" in context.log.state.snapshot.rollouts_by_id


@behave.when("there is {damage} on the log, and then release next adds /next")
def put_damaged(context, damage):
    """Append a record that cannot be applied, then a valid release."""
    if damage == "a record that fails the fold":
        note = log_samples.note("broken", log_samples.BASE)
        record = publishing.release_record(note, context.log.state)
        with mock.patch.object(fold.releases, "apply", side_effect=KeyError):
            context.log.put(record)
    else:
        context.log.put(_DAMAGED_RECORDS[damage])
    body = {"add": {"routes": [log_samples.route("/next")]}}
    context.log.release("next", body)


@behave.then("exactly one record was skipped")
def one_skipped(context):
    """Check that the damaged record changed nothing."""
    assert context.log.skipped == 1, context.log.skipped
    assert set(context.log.state.releases_by_name) == {"base", "next"}


@behave.then("release {name} is accepted")
def accepted(context, name):
    """Check that the release was accepted."""
    outcome = context.log.state.releases_by_name[name]
    assert outcome.state is agreed.ReleaseState.ACCEPTED, outcome


@behave.then('release {name} is refused with "{reason}"')
def refused(context, name, reason):
    """Check that the release was refused, and the reason."""
    outcome = context.log.state.releases_by_name[name]
    assert outcome.state is agreed.ReleaseState.REFUSED, outcome
    assert outcome.reason == reason, outcome.reason


@behave.when("{count:d} releases change the route, one after the other")
def many_releases(context, count):
    """Fold many releases, keeping only the newest state."""
    log = context.log
    for index in range(count):
        route = log_samples.route("/kvoty", index + 1)
        record = log.release(f"r{index}", {"change": {"routes": [route]}})
        del log.states[:-1]
        if index == 0:
            context.record = record


@behave.then("at most {count:d} outcomes are kept")
def outcomes_kept(context, count):
    """Check the number of outcomes and that the first is gone."""
    assert len(context.log.state.releases_by_name) <= count
    assert "r0" not in context.log.state.releases_by_name


@behave.then("repeating the record of the first of them changes nothing")
def repeat_first(context):
    """Repeat a record whose outcome is no longer kept."""
    before = context.log.state.snapshot
    context.log.put(context.record)
    assert context.log.state.snapshot == before


@behave.then('publishing the first of them again is refused with "{reason}"')
def publish_first(context, reason):
    """Publish a release under a name whose outcome was dropped."""
    log = context.log
    log.release("r0", {"change": {"routes": [log_samples.route("/kvoty")]}})
    refused(context, "r0", reason)


@behave.given("only {kept:d} outcomes and {names:d} forgotten names are kept")
def small_memory(context, kept, names):
    """Lower the limits of kept outcomes and names."""
    limits = {
        "RELEASES_KEPT": kept,
        "RELEASES_BATCH": names,
        "MAX_FORGOTTEN_BATCHES": 1,
    }
    for name, value in limits.items():
        patch = mock.patch.object(releases, name, value)
        patch.start()
        context.add_cleanup(patch.stop)


@behave.when(
    "a release adds /x, another withdraws it, and {count:d} more follow"
)
def forget_all(context, count):
    """Publish more releases than the state remembers names of."""
    log = context.log
    added = {"routes": [log_samples.route("/x")]}
    context.record = log.release("in", {"add": added})
    log.release("out", {"withdraw": {"routes": ["/x"]}})
    _change_often(log, count)
    state = log.state
    assert not releases.is_forgotten_name(state, "in")
    assert "in" not in state.releases_by_name
    assert "route//x" not in state.item_offsets_by_key


def _change_often(log, count):
    """Publish ``count`` changes of one route."""
    for index in range(count):
        route = log_samples.route("/kvoty", index + 1)
        log.release(f"r{index}", {"change": {"routes": [route]}})


@behave.then("repeating the first record does not add /x again")
def stays_out(context):
    """Repeat a record of which the state keeps no name at all."""
    context.log.put(context.record)
    assert "/x" not in context.log.state.snapshot.routes_by_prefix


@behave.then(
    "{count:d} generated logs fold to the same state with records repeated"
)
def repetitions(context, count):
    """Compare repeated records with unreadable ones in their place."""

    @_generated(count)
    def check(seed, length, extra):
        entries = log_samples.RandomWriters(seed, length).log.entries
        repeated = log_samples.FoldedLog()
        blank = log_samples.FoldedLog()
        for entry in entries:
            repeated.put(entry)
            blank.put(entry)
        for position in extra:
            repeated.put(entries[position % len(entries)])
            blank.put(log_samples.GARBAGE)
        assert repeated.state == blank.state

    check()


@behave.then(
    "{count:d} generated logs fold to the same state for any split into reads"
)
def splits(context, count):
    """Fold reads that overlap, are empty or end at any offset."""

    @_generated(count)
    def check(seed, length, extra):
        log = log_samples.RandomWriters(seed, length).log
        reader = follower.Follower()
        for position in extra:
            start = min(position % 3, reader.state.offset)
            reader.read(log.read(start, min(position, len(log.entries))))
        reader.read(log.read(reader.state.offset))
        assert reader.state == log.state

    check()


@behave.then(
    "{count:d} generated logs fold to the same state from any checkpoint"
)
def checkpoints(context, count):
    """Read a log that starts at its checkpoint."""
    checked = []

    @_generated(count)
    def check(seed, length, extra):
        log = log_samples.RandomWriters(seed, length).log
        for chunk in log.begin_checkpoint() if log.state.lease.holder else ():
            log.put(chunk)
        newest = log.state.checkpoint
        if newest is None:
            return
        checked.append(newest)
        log.release("tail", {"add": {"routes": [log_samples.route("/t")]}})
        reader = log_samples.follow(log, first_kept=newest.through)
        assert not reader.awaiting_checkpoint
        assert reader.state == log.state

    check()
    assert len(checked) > count // 4, len(checked)


def _generated(count):
    def wrap(check):
        given = hypothesis.given(
            seed=strategies.integers(0, 2**32),
            length=strategies.integers(0, 60),
            extra=strategies.lists(strategies.integers(0, 60), max_size=12),
        )
        return hypothesis.settings(
            derandomize=True,
            max_examples=count,
            deadline=None,
            database=None,
            suppress_health_check=list(hypothesis.HealthCheck),
        )(given(check))

    return wrap
