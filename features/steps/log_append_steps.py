"""Steps for appends to the log and reading it."""

import datetime
import random
import time

import behave
import fault_proxy
import log_samples
import memory_log
import mesh

from arbutusstall import protocols
from arbutusstall import settings as node_settings
from arbutusstall._log import pending
from arbutusstall._log import publishing
from arbutusstall._log import reader
from arbutusstall._log import records
from arbutusstall._shell import log_client
from arbutusstall._shell import log_worker
from arbutusstall._tables import agreed

_TIMEOUT_S = 20.0
_BACKOFF_BASE_S = 0.05
_BACKOFF_CAP_S = 2.0


class EventQueue:
    """Collects the events that a worker puts for the control loop."""

    def __init__(self):
        self.events = []

    def put(self, event):
        """Store an event."""
        self.events.append(event)

    def wait(self, kind):
        """Return the first event of a type; fail if none comes in time."""
        end_s = time.monotonic() + _TIMEOUT_S
        while time.monotonic() < end_s:
            for event in list(self.events):
                if isinstance(event, kind):
                    return event
            time.sleep(0.01)
        raise AssertionError(self.events)


def _release(name):
    note = log_samples.note(name, log_samples.BASE)
    return publishing.release_record(note, agreed.Agreed())


def _renewal(sequence):
    return records.LeaseRenewal(
        record_id=f"renew/{sequence}", lease=0, sequence=sequence
    )


def _start_worker(context, bound_s=60.0, read_gap_s=0.0):
    context.events = EventQueue()
    context.worker = log_worker.LogWorker(
        context.memory,
        node_settings.LogSettings(
            url="http://127.0.0.1:9",
            retry_base_s=0.01,
            retry_cap_s=0.05,
            append_bound_s=bound_s,
            poll_s=0.01,
            read_gap_s=read_gap_s,
        ),
        context.events,
    )
    context.add_cleanup(context.worker.stop)


@behave.given("a log in memory that answers the first appends with {faults}")
def faulty_log(context, faults):
    """Create a log whose first appends get these faults."""
    context.memory = memory_log.MemoryLog()
    context.memory.append_faults = faults.split(",")


@behave.given("a log in memory that answers every append as during an outage")
def out_log(context):
    """Create a log that fails every append."""
    context.memory = memory_log.MemoryLog()
    context.memory.append_faults = ["out"] * 100_000


@behave.given("a log in memory with {count:d} releases")
def filled_log(context, count):
    """Create a log with some releases."""
    context.memory = memory_log.MemoryLog()
    for index in range(count):
        context.memory.put(_release(f"r{index}"))


@behave.when("a log worker appends a release")
def append(context):
    """Append through a worker with short retry delays."""
    _start_worker(context)
    context.record = _release("first")
    context.worker.append(protocols.Append(record=context.record))


@behave.when(
    "a log worker with a bound of {bound:g} seconds appends a release"
)
def append_bounded(context, bound):
    """Append through a worker that gives up after ``bound`` seconds."""
    _start_worker(context, bound)
    context.record = _release("first")
    context.worker.append(protocols.Append(record=context.record))


@behave.then("the worker reports that the append was stored")
def stored(context):
    """Wait until the worker reports the record as appended."""
    event = context.events.wait(protocols.Appended)
    assert event.record == context.record


@behave.then("the worker reports that the append failed")
def given_up(context):
    """Wait for the failure, and check that the append was retried."""
    event = context.events.wait(protocols.LogFailed)
    assert event.record == context.record
    assert context.memory.appends > 1, context.memory.appends


@behave.then("the log received {count:d} append requests")
def request_count(context, count):
    """Check the number of append requests."""
    assert context.memory.appends == count, context.memory.appends


@behave.then("the fold knows the release once, accepted")
def known_once(context):
    """Check that the release was accepted at offset 0 and only once."""
    state = reader.read_agreed(context.memory)
    outcome = state.releases_by_name["first"]
    assert outcome.state is agreed.ReleaseState.ACCEPTED, outcome
    assert outcome.offset == 0, outcome
    assert state.snapshot.version == 1, state.snapshot.version


@behave.given("a queue of at most {limit:d} pending appends")
def queue(context, limit):
    """Create an empty queue."""
    context.queue = pending.PendingAppends(
        limit=limit,
        bound_s=60.0,
        base_s=_BACKOFF_BASE_S,
        cap_s=_BACKOFF_CAP_S,
        rng=random.Random(5),
    )


@behave.when(
    "a renewal, a release, a newer renewal and two more releases are queued"
)
def queue_many(context):
    """Fill the queue and add one release more."""
    queued = (_renewal(1), _release("a"), _renewal(2), _release("b"))
    for record in queued:
        assert context.queue.add(record, 0.0)
    context.accepted = context.queue.add(_release("c"), 0.0)


@behave.when("the same release is queued three times")
def queue_same(context):
    """Queue one record twice before and once while it is being sent."""
    record = _release("a")
    assert context.queue.add(record, 0.0)
    assert context.queue.add(record, 1.0)
    item = context.queue.take(2.0)
    assert context.queue.add(record, 3.0)
    assert context.queue.failed(item, 3.0)


@behave.when(
    "a release is queued again while it is being sent, and is then answered"
)
def queue_sent(context):
    """Queue a record again while its append is in flight."""
    record = _release("a")
    assert context.queue.add(record, 0.0)
    item = context.queue.take(0.0)
    assert context.queue.add(record, 1.0)
    context.queue.answered(item)


@behave.when("an append fails {count:d} times")
def fail_often(context, count):
    """Record the delay before each further attempt."""
    context.queue.add(_release("a"), 0.0)
    context.delays = []
    now_s = 0.0
    for _ in range(count):
        item = context.queue.take(now_s)
        assert context.queue.failed(item, now_s)
        context.delays.append(context.queue.wait_s(now_s))
        now_s += context.delays[-1]


@behave.then("the queue holds the newer renewal and {count:d} releases")
def holds(context, count):
    """Check that only the newer renewal and the releases are left."""
    found = _take_all(context.queue)
    renewals = [
        record.sequence
        for record in found
        if isinstance(record, records.LeaseRenewal)
    ]
    assert renewals == [2], found
    assert len(found) == 1 + count, found


@behave.then("the queue holds {count:d} release")
def holds_releases(context, count):
    """Check the number of queued releases."""
    assert len(_take_all(context.queue)) == count


@behave.then("the last release was rejected")
def rejected(context):
    """Check that the full queue did not take the release."""
    assert not context.accepted


@behave.then("each delay lies below its limit and not all are equal")
def delays(context):
    """Check that the delays are random below the growing limit."""
    for attempt, delay_s in enumerate(context.delays):
        assert (
            0.0 <= delay_s <= min(_BACKOFF_CAP_S, _BACKOFF_BASE_S * 2**attempt)
        )
    assert len(set(context.delays)) > len(context.delays) // 2
    assert max(context.delays) > 4 * _BACKOFF_BASE_S, context.delays


def _take_all(queue):
    found = []
    while item := queue.take(1_000.0):
        found.append(item.record)
    return found


@behave.when("a log worker starts to read during a log outage")
def read_out(context):
    """Start to follow the log and wait for the first failed read."""
    context.memory.out = True
    _start_worker(context)
    context.worker.follow(protocols.FollowLog(offset=0))
    context.events.wait(protocols.LogFailed)


@behave.when("the log answers again")
def log_back(context):
    """End the log outage."""
    context.memory.out = False


@behave.then("the worker delivers all entries in order")
def delivered(context):
    """Check the offsets of all delivered entries."""
    context.events.wait(protocols.LogRead)
    offsets = [
        entry.offset
        for event in list(context.events.events)
        if isinstance(event, protocols.LogRead)
        for entry in event.entries
    ]
    assert offsets == list(range(len(context.memory.entries))), offsets


@behave.when(
    "the log loses every answer while a move to {version} over "
    "{seconds:d} seconds is published"
)
def publish_lossy(context, version, seconds):
    """Publish while the log stores appends but never answers them."""
    by = datetime.datetime.now(datetime.UTC) + datetime.timedelta(
        seconds=seconds
    )
    item = {
        "service": "kvoty",
        "percent_by_version": {version: 100},
        "by": by.isoformat(),
    }
    context.mesh.set_log_faults(lose_answers=True)
    context.published = context.mesh.publish(
        {"name": "move", "shares": [item]}
    )


@behave.then("the program reports the release as accepted")
def publication_known(context):
    """Check the exit code and the printed result."""
    done = context.published
    assert done.returncode == 0, done.stdout + done.stderr
    assert "accepted" in done.stdout, done.stdout


@behave.then("the move ends with its verdict within {limit:d} seconds")
def move_ends(context, limit):
    """Wait for the verdict while answers are still lost."""
    arguments = ("status", "--log", f"http://{context.mesh.log}")

    def ended():
        lines = context.mesh.note(*arguments).stdout.splitlines()
        moves = [line for line in lines if line.startswith("move move/kvoty")]
        return bool(moves) and "running" not in moves[0]

    assert context.mesh.wait_until(ended, limit)


@behave.given("a log worker that starts at most one read in {gap:d} ms")
def paced_worker(context, gap):
    """Start a worker and let it read an empty log once."""
    context.memory = memory_log.MemoryLog()
    _start_worker(context, read_gap_s=gap / 1000)
    context.worker.follow(protocols.FollowLog(offset=0))
    context.events.wait(protocols.LogRead)


@behave.when("{count:d} releases are stored within {limit:d} ms")
def store_quickly(context, count, limit):
    """Store them at even intervals within half of the time."""
    context.memory.reads = 0
    for number in range(count):
        context.memory.put(_release(f"release-{number}"))
        time.sleep(limit / 1000 / count / 2)


@behave.then("the worker delivers all of them after at most {most:d} reads")
def read_rarely(context, most):
    """Count the reads up to the one that delivered the last entry."""

    def delivered():
        return sum(
            len(event.entries)
            for event in list(context.events.events)
            if isinstance(event, protocols.LogRead)
        )

    end_s = time.monotonic() + _TIMEOUT_S
    while delivered() < len(context.memory.entries):
        assert time.monotonic() < end_s, delivered()
        time.sleep(0.005)
    assert 0 < context.memory.reads <= most, context.memory.reads


@behave.given("a log worker that reads the log over a link")
def read_over_link(context):
    """Follow the log through a fault proxy and wait for a first read."""
    context.mesh = mesh.Mesh(context.directory)
    context.mesh.start_log()
    address = mesh.free_addresses(1)[0]
    context.link = fault_proxy.FaultProxy(address, context.mesh.log)
    context.add_cleanup(context.link.stop)
    context.direct = log_client.HttpLogClient(
        node_settings.LogSettings(url=f"http://{context.mesh.log}")
    )
    context.direct.append(records.encode(_release("before")))
    settings = node_settings.LogSettings(url=f"http://{address}")
    context.events = EventQueue()
    context.worker = log_worker.LogWorker(
        log_client.HttpLogClient(settings), settings, context.events
    )
    context.add_cleanup(context.worker.stop)
    context.worker.follow(protocols.FollowLog(offset=0))
    context.events.wait(protocols.LogRead)


@behave.when("the link's open connections go silent and a release is stored")
def silence(context):
    """Pass no more bytes on open connections, then append directly."""
    assert context.link.silence_open() > 0
    context.events.events.clear()
    context.offset = context.direct.append(records.encode(_release("after")))


@behave.then("the worker delivers the release over a new connection")
def delivered_again(context):
    """Wait until the worker delivers the release's entry."""
    end_s = time.monotonic() + _TIMEOUT_S
    found = []
    while not found and time.monotonic() < end_s:
        found = [
            entry
            for event in list(context.events.events)
            if isinstance(event, protocols.LogRead)
            for entry in event.entries
            if entry.offset == context.offset
        ]
        time.sleep(0.01)
    assert found, context.events.events


@behave.then("the default timeouts leave at most {limit:d} seconds for that")
def silent_bound(context, limit):
    """Check the default time after which a read without answer fails."""
    settings = node_settings.LogSettings(url="http://127.0.0.1:9")
    assert settings.poll_s + settings.request_timeout_s <= limit
