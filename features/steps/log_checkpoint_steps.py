"""Steps for checkpoints on the log."""

import dataclasses
import random

import behave
import log_samples
import mesh

from arbutusstall import protocols
from arbutusstall import settings as node_settings
from arbutusstall._log import follower
from arbutusstall._log import reader
from arbutusstall._log import records
from arbutusstall._shell import log_client
from arbutusstall._tables import agreed


@behave.given(
    "a leader that has written {count:d} checkpoints to a log of "
    "{releases:d} releases"
)
def checkpointed(context, count, releases):
    """Write releases, a checkpoint after each part, and a release last."""
    log = context.log = log_samples.FoldedLog()
    log.release("base", log_samples.BASE)
    log.release("first", log_samples.shares(v1=100.0))
    log.claim("kvoty-0")
    for part in range(count):
        for index in range(releases // count):
            name = f"{part}-{index}"
            added = {"routes": [log_samples.route(f"/{name}")]}
            log.release(name, {"add": added})
        context.chunks = log.begin_checkpoint()
        context.through = log.state.offset
        log.release(f"mid-{part}", log_samples.shares(**{f"v{part}": 100.0}))
        context.chunk_offsets = [log.put(chunk) for chunk in context.chunks]
        assert len(context.chunks) > 2
        assert log.state.checkpoint.through == context.through
    context.tail = log.release(
        "tail", {"add": {"routes": [log_samples.route("/tail")]}}
    )


@behave.given("a reader that stopped after {count:d} records")
def stopped_reader(context, count):
    """Read the first records of the log."""
    context.reader = follower.Follower()
    context.reader.read(context.log.read(0, count))


@behave.when("all records before the last checkpoint expire")
def expire(context):
    """Keep only the records from the last checkpoint's begin on."""
    context.first_kept = context.through


@behave.then("a fresh reader has the leader's state")
def fresh_reader(context):
    """Compare the state folded from the kept records."""
    reader = log_samples.follow(context.log, context.first_kept)
    assert not reader.awaiting_checkpoint
    assert reader.state == context.log.state


def _core():
    core = protocols.NodeCore(
        log_samples.settings("kvoty-7"), random.Random(1), 1
    )
    core.start(protocols.ManualClock().now())
    return core


@behave.then(
    "a fresh node that has read all but the last chunk has no "
    "configuration and is not caught up"
)
def not_complete(context):
    """Deliver the kept records before the last chunk one by one."""
    context.core = _core()
    context.now = protocols.ManualClock().now()
    for offset in range(context.first_kept, context.chunk_offsets[-1]):
        answer = context.log.read(offset, offset + 1, context.first_kept)
        effects = context.core.handle(answer, context.now)
        assert not any(
            isinstance(effect, protocols.PutInForce) for effect in effects
        )
        assert not context.core.tables.caught_up
        assert context.core.tables.agreed == agreed.Agreed()


@behave.then("after the last chunk it has the leader's configuration")
def complete(context):
    """Deliver the rest of the log."""
    rest = context.log.read(context.chunk_offsets[-1])
    effects = context.core.handle(rest, context.now)
    views = [
        effect.view
        for effect in effects
        if isinstance(effect, protocols.PutInForce)
    ]
    assert views[-1].snapshot == context.log.state.snapshot
    assert context.core.tables.caught_up


@behave.when("the checkpoint {fault}")
def break_checkpoint(context, fault):
    """Replace records of the checkpoint on the log."""
    entries = context.log.entries
    offsets = context.chunk_offsets
    first = context.chunks[0]
    if fault == "lacks a chunk":
        entries[offsets[1]] = log_samples.GARBAGE
    elif fault == "has a chunk with a flipped bit":
        flipped = bytes([first.data[0] ^ 1]) + first.data[1:]
        broken = dataclasses.replace(first, data=flipped)
        entries[offsets[0]] = records.encode(broken)
    elif fault == "has a wrong digest":
        _rewrite(context, digest="0" * 32)
    elif fault == "says it holds 2000 chunks":
        _rewrite(context, count=2_000)
    else:
        assert fault == "is of a replaced lease", fault
        # A new leader's claim on the log before the chunks.
        entries[context.through] = records.encode(
            records.LeaseClaim(
                record_id="new", holder="kvoty-1", replaces=first.lease
            )
        )


@behave.when(
    "a damaged copy of the first chunk is on the log before the last chunk"
)
def damaged_copy(context):
    """Insert a copy with a flipped bit before the last chunk."""
    log = context.log
    first = context.chunks[0]
    flipped = bytes([first.data[0] ^ 1]) + first.data[1:]
    broken = records.encode(dataclasses.replace(first, data=flipped))
    entries = list(log.entries)
    last_offset = context.chunk_offsets[-1]
    entries[last_offset : last_offset + 1] = [broken, entries[last_offset]]
    context.log = log_samples.FoldedLog()
    for entry in entries:
        context.log.put(entry)
    assert context.log.state.checkpoint is not None


def _rewrite(context, **changes):
    for offset, chunk in zip(
        context.chunk_offsets, context.chunks, strict=True
    ):
        context.log.entries[offset] = records.encode(
            dataclasses.replace(chunk, **changes)
        )


@behave.then("a fresh reader waits with the empty state")
def still_waiting(context):
    """Check that no part of the checkpoint was applied."""
    reader = log_samples.follow(context.log, context.first_kept)
    assert reader.awaiting_checkpoint
    assert reader.state == agreed.Agreed()


@behave.then(
    "the reader keeps its state until the last chunk and its offset "
    "never falls"
)
def keeps_state(context):
    """Deliver the kept records one by one, checking state and offset."""
    before = context.reader.state
    for offset in range(context.first_kept, len(context.log.entries)):
        position = context.reader.state.offset
        context.reader.read(
            context.log.read(offset, offset + 1, context.first_kept)
        )
        assert context.reader.state.offset >= position
        if offset < context.chunk_offsets[-1]:
            assert context.reader.state == before


@behave.then("it has the leader's state in the end")
def caught_up(context):
    """Compare the reader's state with the leader's."""
    assert context.reader.state == context.log.state


@behave.when("a node whose state differs reads the chunks")
def differing_node(context):
    """Deliver the log with one record unreadable for this node."""
    context.core = _core()
    context.emitted = []
    now = protocols.ManualClock().now()
    entries = list(context.log.entries)
    context.log.entries[3] = log_samples.GARBAGE
    effects = context.core.handle(context.log.read(), now)
    context.log.entries = entries
    context.emitted = [
        effect.event
        for effect in effects
        if isinstance(effect, protocols.Emit)
    ]


@behave.then("it reports a checkpoint mismatch and keeps its state")
def mismatch(context):
    """Check one event per chunk, and that the node's state is unchanged."""
    assert context.emitted.count("checkpoint-mismatch") == len(
        context.chunks
    ), context.emitted
    state = context.core.tables.agreed
    assert state.checkpoint is None
    assert "/0-0" not in state.snapshot.routes_by_prefix
    assert "/tail" in state.snapshot.routes_by_prefix


@behave.given(
    "a leader that is replaced after the first chunk of a checkpoint"
)
def replaced_leader(context):
    """Interleave chunks of a replaced leader with those of the next."""
    log = context.log = log_samples.FoldedLog()
    log.release("base", log_samples.BASE)
    log.claim("kvoty-0")
    abandoned = log.begin_checkpoint()
    log.put(abandoned[0])
    log.claim("kvoty-1")
    context.first_kept = len(log.entries)
    chunks = log.begin_checkpoint()
    for old, new in zip(abandoned[1:], chunks, strict=False):
        log.put(old)
        log.put(new)
    for chunk in chunks[len(abandoned) - 1 :]:
        log.put(chunk)


@behave.then(
    "the next leader's checkpoint is complete and a fresh reader has its state"
)
def next_checkpoint(context):
    """Check the state of a reader that starts at the checkpoint."""
    newest = context.log.state.checkpoint
    assert newest is not None
    assert newest.through == context.first_kept + 1
    fresh_reader(context)


@behave.given("a mesh of {count:d} nodes that write a checkpoint every second")
def checkpointing_mesh(context, count):
    """Start processes with a checkpoint interval of one second."""
    checkpoint = {"every_s": 1.0, "chunk_s": 0.1}
    context.mesh = mesh.Mesh(
        context.directory,
        {"relay": {"roots": 1}, "checkpoint": checkpoint},
    )
    context.mesh.start_log()
    for index in range(count):
        context.mesh.start_node(_spec(f"kvoty-{index}"))
    context.mesh.wait_ready()


def _spec(name):
    return mesh.NodeSpec(
        name=name, data_centre="lipno", service="kvoty", version="v1"
    )


@behave.when("a checkpoint contains it and the records before have expired")
def expire_before(context):
    """Wait for a checkpoint after the release and expire records to it."""
    log = log_client.HttpLogClient(
        node_settings.LogSettings(url=f"http://{context.mesh.log}")
    )

    def through():
        state = reader.read_agreed(log)
        wanted = state.releases_by_name["first"].offset
        newest = state.checkpoint
        return newest.through if newest and newest.through > wanted else 0

    assert context.mesh.wait_until(lambda: through() > 0, 30.0)
    context.mesh.set_log_faults(expired_to=through())
    counts = context.mesh.log_counts()
    assert int(counts["first_kept"]) > 0, counts


@behave.when("all nodes are killed and a node {name} is started")
def start_fresh(context, name):
    """Leave only the checkpoint as source of the release."""
    for known in list(context.mesh.nodes_by_name):
        context.mesh.kill(known)
        context.mesh.kill(f"{known}-target")
        del context.mesh.nodes_by_name[known]
    context.mesh.start_node(_spec(name))
    context.mesh.wait_ready()


@behave.given(
    "a log without a checkpoint whose oldest {expired:d} of 3 records have "
    "expired"
)
def log_without_checkpoint(context, expired):
    """Write records of a leader whose processes have all ended."""
    log = context.log = log_samples.FoldedLog()
    log.release("base", log_samples.BASE)
    log.claim("kvoty-0")
    log.release("first", log_samples.shares(v1=100.0))
    context.first_kept = expired


def _at(now_s):
    return protocols.Instant(mono_s=now_s, wall_s=1.0e9 + now_s)


def _run_cores(context, end_s):
    """Advance all cores; appended records are read in the next step."""
    for _ in range(int((end_s - context.now_s) * 10)):
        context.now_s += 0.1
        now = _at(context.now_s)
        for core in context.cores:
            read_to = core.tables.follower.next_offset
            answer = context.log.read(read_to, first_kept=context.first_kept)
            effects = core.handle(answer, now) + core.tick(now)
            for effect in effects:
                if isinstance(effect, protocols.Append):
                    context.log.put(effect.record)


@behave.when(
    "{count:d} fresh nodes read it for {seconds:d} seconds and append what "
    "they decide"
)
def fresh_nodes(context, count, seconds):
    """Run the decisions of nodes on one log without threads."""
    context.now_s = 100.0
    context.cores = []
    for index in range(count):
        settings = log_samples.settings(f"kvoty-{index + 1}")
        core = protocols.NodeCore(settings, random.Random(index), 1)
        core.start(_at(context.now_s))
        context.cores.append(core)
    _run_cores(context, context.now_s + seconds)


@behave.then(
    "all are caught up with the same state and one of them leads within "
    "{seconds:d} seconds"
)
def begun_anew(context, seconds):
    """Guards against nodes that all wait for a checkpoint of a leader."""
    _run_cores(context, 100.0 + seconds)
    states = [core.tables.agreed for core in context.cores]
    assert all(core.tables.caught_up for core in context.cores)
    assert all(state == states[0] for state in states)
    assert states[0].lease.holder.startswith("kvoty-"), states[0].lease
    assert states[0].checkpoint is not None


@behave.when(
    "a fresh node reads a lease renewal each {every_s:d} seconds for "
    "{seconds:d} seconds"
)
def renewals(context, every_s, seconds):
    """Append renewals of a leader whose checkpoint is late."""
    context.now_s = 100.0
    core = protocols.NodeCore(
        log_samples.settings("kvoty-1"), random.Random(1), 1
    )
    core.start(_at(context.now_s))
    context.cores = [core]
    for sequence in range(seconds // every_s):
        context.log.put(
            records.LeaseRenewal(
                record_id=f"renew/{sequence}",
                lease=context.log.state.lease.offset,
                sequence=sequence + 1,
            )
        )
        _run_cores(context, context.now_s + every_s)


@behave.then("it has not reset the log")
def not_reset(context):
    """Guards against a reset that discards the state of a live leader."""
    kinds = [type(records.decode(data)) for data in context.log.entries]
    assert records.LogReset not in kinds
    assert context.cores[0].tables.follower.awaiting_checkpoint


@behave.when("a reset is appended after one that was overtaken")
def append_resets(context):
    """Append two resets; a release precedes the place of the first."""
    log = context.log
    overtaken = records.LogReset(record_id="old", read_to=len(log.entries))
    log.release("late", log_samples.shares(v7=100.0))
    context.before_reset = log.state
    log.put(overtaken)
    assert log.state.snapshot == context.before_reset.snapshot
    valid = records.LogReset(record_id="new", read_to=len(log.entries))
    context.reset_offset = log.put(valid)
    log.claim("kvoty-5")


@behave.then("only the one at its own place counts, for a reader of any start")
def reset_agreed(context):
    """Compare readers that start before, within and at the end."""
    assert context.log.state.lease.holder == "kvoty-5"
    assert not context.log.state.snapshot.routes_by_prefix
    for first_kept in range(context.reset_offset + 1):
        reader = log_samples.follow(context.log, first_kept)
        assert not reader.awaiting_checkpoint, first_kept
        assert reader.state == context.log.state, first_kept


@behave.then("a node that held the state reads the log and the source again")
def source_again(context):
    """Guards against orders that are lost with the state."""
    core = _core()
    now = protocols.ManualClock().now()
    core.handle(context.log.read(end=context.reset_offset), now)
    held = core.tables.snapshot
    assert held == context.before_reset.snapshot
    effects = core.handle(context.log.read(context.reset_offset), now)
    offset = len(context.log.entries)
    assert protocols.FollowLog(offset=offset) in effects
    assert core.tables.snapshot == held
