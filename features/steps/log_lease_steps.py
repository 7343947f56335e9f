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
    """Tick a root on an empty log until it claims."""
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
    """Deliver the claim late."""
    context.clock.advance(seconds)
    context.log.put(context.record)
    context.core.handle(context.log.read(), context.clock.now())


@behave.then("it is the leader for {seconds:g} more second")
def leads_for(context, seconds):
    """Check the end of the term."""
    assert lease.is_leader(context.core.tables, context.clock.now())
    context.clock.advance(seconds - 0.01)
    assert lease.is_leader(context.core.tables, context.clock.now())
    context.clock.advance(0.02)
    assert not lease.is_leader(context.core.tables, context.clock.now())


@behave.when("the process restarts and reads the log")
def restart(context):
    """Begin anew under the same name."""
    context.core = _core(context.clock, incarnation=2)
    context.core.handle(context.log.read(), context.clock.now())


@behave.then("it is not the leader")
def leads_not(context):
    """Check that the lease of the earlier process does not count."""
    tables = context.core.tables
    assert tables.agreed.lease.holder == tables.member.node
    assert not lease.is_leader(tables, context.clock.now())


@behave.given("two claims that replace the same lease")
def two_claims(context):
    """Race two candidates."""
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
    """Check the holder."""
    assert context.log.state.lease.holder == "kvoty-0"


@behave.when("{holder} replaces the lease")
def replace(context, holder):
    """Let another node take over."""
    context.log.claim(holder)
    context.before = context.log.state


@behave.when(
    "kvoty-0 wakes and appends a share decision, a verdict, a renewal "
    "and a checkpoint"
)
def stale_records(context):
    """Append what a paused holder had in its queue."""
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


@behave.then("the agreed state differs in nothing but the position")
def unchanged(context):
    """Compare the states."""
    now = dataclasses.replace(context.log.state, offset=context.before.offset)
    assert now == context.before


@behave.when("kvoty-0 renews twice and the first renewal is repeated")
def renew_repeated(context):
    """Repeat an append whose answer was lost."""
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


@behave.then("the newest renewal is still the second")
def second_renewal(context):
    """Check the position of the newest renewal."""
    assert context.log.state.lease.renewed == context.offsets[1]


@behave.given("a root node that follows a lease held by {holder}")
def following(context, holder):
    """Read a lease that another node holds."""
    context.clock = protocols.ManualClock()
    context.core = _core(context.clock)
    context.log = log_samples.FoldedLog()
    context.log.claim(holder)
    context.core.handle(context.log.read(), context.clock.now())


@behave.when("the log is out for {seconds:d} seconds")
def outage(context, seconds):
    """Let reads fail while ticks go on."""
    context.claims = []
    failed = protocols.LogFailed(reason="out")
    for _ in range(seconds):
        context.core.handle(failed, context.clock.now())
        context.clock.advance(1.0)
        context.claims += _lease_run(context)


@behave.when("the node stands still for {seconds:d} seconds")
def stand_still(context, seconds):
    """Run nothing, then what a tick runs of links and lease."""
    tree.run(context.core.tables, context.clock.now())
    context.clock.advance(float(seconds))
    tree.run(context.core.tables, context.clock.now())
    claims = _lease_run(context)
    assert claims == [], claims


@behave.then("the node does not claim the lease while it is out")
def no_claims(context):
    """Check the effects during the outage."""
    assert context.claims == [], context.claims


@behave.then("it waits a whole term after the outage before it claims")
def waits_term(context):
    """Check when the first claim comes."""
    context.core.handle(context.log.read(), context.clock.now())
    waited_s = 0.0
    while not _lease_run(context):
        context.clock.advance(0.1)
        waited_s += 0.1
        assert waited_s < 10 * _EXPIRE_S
    assert waited_s >= _EXPIRE_S - 0.01, waited_s


@behave.when("the leader's node stops")
def leader_stops(context):
    """Stop it and put what it appends on the log."""
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
    """Tick a second root at the same time."""
    context.core = _core(context.clock, name="kvoty-1")
    context.core.handle(context.log.read(), context.clock.now())
    appended = _lease_run(context)
    assert [record.holder for record in appended] == ["kvoty-1"], appended


@behave.when(
    "it ticks for {seconds:d} seconds with a checkpoint due every "
    "{every:d} seconds"
)
def tick_checkpoints(context, seconds, every):
    """Carry out what the lease and the checkpoints ask for."""
    tables = context.core.tables
    tables.settings = dataclasses.replace(
        tables.settings,
        checkpoint=node_settings.CheckpointSettings(every_s=float(every)),
    )
    context.whole = set()
    for _ in range(seconds * 10):
        context.clock.advance(0.1)
        now = context.clock.now()
        effects = lease.run(tables, now) + checkpoint.run(tables, now)
        for effect in effects:
            context.log.put(effect.record)
        context.core.handle(context.log.read(tables.agreed.offset), now)
        newest = context.log.state.checkpoint
        if newest is not None:
            context.whole.add((newest.through, newest.lease))


@behave.then("the log holds {count:d} whole checkpoints of its lease")
def whole_checkpoints(context, count):
    """Check how many became whole."""
    assert len(context.whole) == count, context.whole
    leases = {lease_offset for _, lease_offset in context.whole}
    assert leases == {context.log.state.lease.offset}, context.whole
