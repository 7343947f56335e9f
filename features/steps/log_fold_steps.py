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

_DAMAGED = {
    "a truncated record": b'{"kind":"release","bo',
    "bytes that are not UTF-8": b'{"kind":"release\xff","body":{}}',
    "a record of unknown kind": b'{"kind":"surprise","body":{}}',
    "a record of the wrong type": b'{"kind":"verdict","body":{"lease":"1"}}',
}


@behave.given("a log on which release base added kvoty and its route")
def base_log(context):
    """Begin a log with one release."""
    context.log = log_samples.FoldedLog()
    context.log.release("base", log_samples.BASE)


@behave.given("a running move and a lease held by {holder}")
def running_move(context, holder):
    """Begin a log with a move to v2 and a leader."""
    base_log(context)
    context.log.release("first", log_samples.shares(v1=100.0))
    context.log.release("to-v2", log_samples.shares(v2=100.0))
    context.lease = context.log.claim(holder)


@behave.when("releases red and blue change the same route from the same state")
def change_same(context):
    """Race two operators on one item."""
    seen = context.log.state
    for name, timeout_ms in (("red", 100), ("blue", 200)):
        body = {
            "change": {"routes": [log_samples.route("/kvoty", timeout_ms)]}
        }
        context.record = context.log.release(name, body, seen)
    context.body = body


@behave.when("releases red and blue add different routes from the same state")
def add_different(context):
    """Race two operators on two items."""
    seen = context.log.state
    for name in ("red", "blue"):
        body = {"add": {"routes": [log_samples.route(f"/{name}")]}}
        context.log.release(name, body, seen)


@behave.when("the record of blue is repeated")
def repeat(context):
    """Append the newest record again."""
    context.log.put(context.record)


@behave.when("blue is published again from the state of now")
def publish_again(context):
    """Publish the refused release on top of the current state."""
    context.log.release("blue", context.body)


@behave.when("the release {text} is appended")
def append_release(context, text):
    """Append a release given as JSON."""
    context.log.release("next", json.loads(text))


@behave.when("a release withdraws kvoty and its route")
def withdraw(context):
    """Withdraw everything."""
    body = {"withdraw": {"services": ["kvoty"], "routes": ["/kvoty"]}}
    context.log.release("gone", body)


@behave.when("a release moves kvoty to v3")
def move_on(context):
    """Move the service elsewhere."""
    context.log.release("to-v3", log_samples.shares(v3=100.0))


@behave.then("the move {move} is rolled back and names the release")
def move_ended(context, move):
    """Check the verdict of a superseded move."""
    rollout = context.log.state.snapshot.rollouts_by_id[move]
    assert rollout.state is agreed.RolloutState.ROLLED_BACK, rollout
    assert "to-v3" in rollout.reason, rollout
    assert "to-v3/kvoty" in context.log.state.snapshot.rollouts_by_id


@behave.when("there is {damage} on the log, and then release next adds /next")
def put_damaged(context, damage):
    """Put a record on the log that cannot be applied."""
    if damage == "a record that fails the fold":
        note = log_samples.note("broken", log_samples.BASE)
        record = publishing.release_record(note, context.log.state)
        with mock.patch.object(fold.releases, "apply", side_effect=KeyError):
            context.log.put(record)
    else:
        context.log.put(_DAMAGED[damage])
    body = {"add": {"routes": [log_samples.route("/next")]}}
    context.log.release("next", body)


@behave.then("exactly one record was skipped")
def one_skipped(context):
    """Check that the damaged record left no trace."""
    assert context.log.skipped == 1, context.log.skipped
    assert set(context.log.state.releases_by_name) == {"base", "next"}


@behave.then("release {name} is accepted")
def accepted(context, name):
    """Check the outcome of a release."""
    outcome = context.log.state.releases_by_name[name]
    assert outcome.state is agreed.ReleaseState.ACCEPTED, outcome


@behave.then('release {name} is refused with "{reason}"')
def refused(context, name, reason):
    """Check the outcome of a release and why."""
    outcome = context.log.state.releases_by_name[name]
    assert outcome.state is agreed.ReleaseState.REFUSED, outcome
    assert outcome.reason == reason, outcome.reason


@behave.when("{count:d} releases change the route, one after the other")
def many_releases(context, count):
    """Fold many releases."""
    log = context.log
    for index in range(count):
        route = log_samples.route("/kvoty", index + 1)
        record = log.release(f"r{index}", {"change": {"routes": [route]}})
        del log.states[:-1]
        if index == 0:
            context.record = record


@behave.then("at most {count:d} outcomes are kept")
def outcomes_kept(context, count):
    """Check the bound of the outcomes."""
    assert len(context.log.state.releases_by_name) <= count
    assert "r0" not in context.log.state.releases_by_name


@behave.then("a repeated record of the first of them changes nothing")
def repeat_first(context):
    """Repeat an append whose outcome is forgotten."""
    before = context.log.state.snapshot
    context.log.put(context.record)
    assert context.log.state.snapshot == before


@behave.then('the first of them published again is turned away by "{reason}"')
def publish_first(context, reason):
    """Publish a forgotten name again."""
    log = context.log
    log.release("r0", {"change": {"routes": [log_samples.route("/kvoty")]}})
    refused(context, "r0", reason)


@behave.given("only {kept:d} outcomes and {names:d} forgotten names are kept")
def small_memory(context, kept, names):
    """Shrink the memory so that a test can overrun it."""
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
    "a release adds /x, another withdraws it, and {count:d} others follow"
)
def forget_all(context, count):
    """Overrun the memory."""
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
    """Change one route again and again."""
    for index in range(count):
        route = log_samples.route("/kvoty", index + 1)
        log.release(f"r{index}", {"change": {"routes": [route]}})


@behave.then("the first one's record, repeated, does not bring /x back")
def stays_out(context):
    """Repeat an append from before all memory."""
    context.log.put(context.record)
    assert "/x" not in context.log.state.snapshot.routes_by_prefix


@behave.then(
    "{count:d} generated logs fold to the same state with records repeated"
)
def repetitions(context, count):
    """A repeated record is as good as an unreadable one."""

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
    "{count:d} generated logs fold to the same state however they are read"
)
def splits(context, count):
    """Reads may overlap, be empty, or be cut anywhere."""

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
    """A checkpoint stands for the records before it."""
    tried = []

    @_generated(count)
    def check(seed, length, extra):
        log = log_samples.RandomWriters(seed, length).log
        for chunk in log.begin_checkpoint() if log.state.lease.holder else ():
            log.put(chunk)
        newest = log.state.checkpoint
        if newest is None:
            return
        tried.append(newest)
        log.release("tail", {"add": {"routes": [log_samples.route("/t")]}})
        reader = log_samples.follow(log, first_kept=newest.through)
        assert not reader.awaiting_checkpoint
        assert reader.state == log.state

    check()
    assert len(tried) > count // 4, len(tried)


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
