"""Steps for the leader's lease."""

import dataclasses
import random

import behave
import log_samples

from arbutusstall import protocols
from arbutusstall import settings as node_settings
from arbutusstall._log import records
from arbutusstall._systems import checkpoint
from arbutusstall._systems import lease
from arbutusstall._systems import tree

_RENEW_S = 1.0
_EXPIRE_S = 4.0


def _core(clock, name="kvoty-0", incarnation=1):
    settings = log_samples.settings(
        name, lease={"renew_s": _RENEW_S, "expire_s": _EXPIRE_S}
    )
    core = protocols.NodeCore(settings, random.Random(1), incarnation)
    core.tables.is_root = True
    core.start(clock.now())
    return core


def _lease_appends(effects):
    return [
        effect.record
        for effect in effects
        if isinstance(effect, protocols.Append)
        and isinstance(
            effect.record, records.LeaseClaim | records.LeaseRenewal
        )
    ]


def _lease_run(context):
    now = context.clock.now()
    return _lease_appends(lease.run(context.core.tables, now))


@behave.given("a root node that claims the lease")
def claiming(context):
    """Let a root read an empty log and take its first lease claim."""
    context.clock = protocols.ManualClock()
    context.core = _core(context.clock)
    context.log = log_samples.FoldedLog()
    now = context.clock.now()
    context.core.handle(context.log.read(), now)
    found = _lease_run(context)
    assert len(found) == 1, found
    context.record = found[0]


@behave.when("its claim is read back {seconds:g} seconds after it was sent")
def read_back(context, seconds):
    """Append the claim and deliver it after a delay."""
    context.clock.advance(seconds)
    context.log.put(context.record)
    context.core.handle(context.log.read(), context.clock.now())


@behave.then("it is the leader for {seconds:g} more second")
def is_leader_for(context, seconds):
    """Check just before and just after the end of the term."""
    assert lease.is_leader(context.core.tables, context.clock.now())
    context.clock.advance(seconds - 0.01)
    assert lease.is_leader(context.core.tables, context.clock.now())
    context.clock.advance(0.02)
    assert not lease.is_leader(context.core.tables, context.clock.now())


@behave.when("the process restarts and reads the log")
def restart(context):
    """Start a new process under the same name and read the log."""
    context.core = _core(context.clock, incarnation=2)
    context.core.handle(context.log.read(), context.clock.now())


@behave.then("it is not the leader")
def is_not_leader(context):
    """Check that the earlier process's lease gives no leadership."""
    tables = context.core.tables
    assert tables.agreed.lease.holder == tables.member.node
    assert not lease.is_leader(tables, context.clock.now())


@behave.given("two claims that replace the same lease")
def two_claims(context):
    """Append claims of two nodes that replace the same lease."""
    context.log = log_samples.FoldedLog()
    replaced = context.log.claim("kvoty-9")
    for holder in ("kvoty-0", "kvoty-1"):
        context.log.put(
            records.LeaseClaim(
                record_id=holder, holder=holder, replaces=replaced
            )
        )


@behave.then("the first one holds the lease")
def first_holds(context):
    """Check which of the two claimants holds the lease."""
    assert context.log.state.lease.holder == "kvoty-0"


@behave.when("{holder} replaces the lease")
def replace(context, holder):
    """Append a claim of another node."""
    context.log.claim(holder)
    context.before = context.log.state


@behave.when(
    "kvoty-0 resumes and appends a share decision, a verdict, a renewal "
    "and a checkpoint"
)
def stale_records(context):
    """Append records that the paused holder had queued."""
    move = "to-v2/kvoty"
    stale = (
        records.ShareDecision(
            record_id="stale/1",
            lease=context.lease,
            rollout_id=move,
            step=1,
            percent_by_version={"v1": 50.0, "v2": 50.0},
        ),
        records.Verdict(
            record_id="stale/2",
            lease=context.lease,
            rollout_id=move,
            done=True,
            reason="goal reached",
        ),
        records.LeaseRenewal(
            record_id="stale/3", lease=context.lease, sequence=99
        ),
        records.CheckpointBegin(
            record_id="stale/4", lease=context.lease, made_s=1.0
        ),
    )
    for record in stale:
        context.log.put(record)
    assert context.log.skipped == 0


@behave.then("the agreed state differs in its offset only")
def unchanged(context):
    """Compare the states without their offsets."""
    now = dataclasses.replace(context.log.state, offset=context.before.offset)
    assert now == context.before


@behave.when("kvoty-0 renews twice and the first renewal is repeated")
def renew_repeated(context):
    """Append two renewals and the first again, as after a lost answer."""
    renewals = [
        records.LeaseRenewal(
            record_id=f"renew/{sequence}",
            lease=context.lease,
            sequence=sequence,
        )
        for sequence in (1, 2)
    ]
    context.offsets = [context.log.put(record) for record in renewals]
    context.log.put(renewals[0])


@behave.then("the lease's newest renewal is still the second")
def second_renewal(context):
    """Check the offset of the newest renewal."""
    assert context.log.state.lease.renewed == context.offsets[1]


@behave.given("a root node that follows a lease held by {holder}")
def following(context, holder):
    """Let a root read a log with another node's lease."""
    context.clock = protocols.ManualClock()
    context.core = _core(context.clock)
    context.log = log_samples.FoldedLog()
    context.log.claim(holder)
    context.core.handle(context.log.read(), context.clock.now())


@behave.when("the log is out for {seconds:d} seconds")
def outage(context, seconds):
    """Fail each read while the ticks continue."""
    context.claims = []
    failed = protocols.LogFailed(reason="out")
    for _ in range(seconds):
        context.core.handle(failed, context.clock.now())
        context.clock.advance(1.0)
        context.claims += _lease_run(context)


@behave.when("the node's process is paused for {seconds:d} seconds")
def pause(context, seconds):
    """Run no tick for a while, then the tree and lease systems once."""
    tree.run(context.core.tables, context.clock.now())
    context.clock.advance(float(seconds))
    tree.run(context.core.tables, context.clock.now())
    claims = _lease_run(context)
    assert claims == [], claims


@behave.then("the node does not claim the lease during the outage")
def no_claims(context):
    """Check the claims appended during the outage."""
    assert context.claims == [], context.claims


@behave.then("it waits a whole term from its next read before it claims")
def waits_term(context):
    """Check the time from the next read to the first claim."""
    context.core.handle(context.log.read(), context.clock.now())
    waited_s = 0.0
    while not _lease_run(context):
        context.clock.advance(0.1)
        waited_s += 0.1
        assert waited_s < 10 * _EXPIRE_S
    assert waited_s >= _EXPIRE_S - 0.01, waited_s


@behave.when("the leader's node stops")
def leader_stops(context):
    """Stop the node and append the record that ends its lease."""
    now = context.clock.now()
    context.core.handle(
        protocols.Left(reason="node stops", stopping=True), now
    )
    appended = _lease_run(context)
    assert len(appended) == 1, appended
    context.log.put(appended[0])
    context.core.handle(context.log.read(), now)
    assert not _lease_run(context)
    assert not lease.is_leader(context.core.tables, now)


@behave.then("another root claims the lease without waiting")
def other_claims(context):
    """Let another root read the log and check that it claims at once."""
    context.core = _core(context.clock, name="kvoty-1")
    context.core.handle(context.log.read(), context.clock.now())
    appended = _lease_run(context)
    assert [record.holder for record in appended] == ["kvoty-1"], appended


@behave.when(
    "it ticks for {seconds:d} seconds with a checkpoint due every "
    "{every:d} seconds"
)
def tick_checkpoints(context, seconds, every):
    """Run the lease and checkpoint systems and append their records."""
    tables = context.core.tables
    tables.settings = dataclasses.replace(
        tables.settings,
        checkpoint=node_settings.CheckpointSettings(every_s=float(every)),
    )
    context.complete = set()
    for _ in range(seconds * 10):
        context.clock.advance(0.1)
        now = context.clock.now()
        effects = lease.run(tables, now) + checkpoint.run(tables, now)
        for effect in effects:
            context.log.put(effect.record)
        context.core.handle(context.log.read(tables.agreed.offset), now)
        newest = context.log.state.checkpoint
        if newest is not None:
            context.complete.add((newest.through, newest.lease))


@behave.then("the log holds {count:d} complete checkpoints of its lease")
def complete_checkpoints(context, count):
    """Check the number of complete checkpoints and their lease."""
    assert len(context.complete) == count, context.complete
    leases = {lease_offset for _, lease_offset in context.complete}
    assert leases == {context.log.state.lease.offset}, context.complete
