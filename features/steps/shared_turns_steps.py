"""Steps for the shares of the loop's time and of unsent answers."""

import collections
import dataclasses
import gc
import weakref

import behave

from arbutusstall._bounds import fair_queue
from arbutusstall._bounds import unsent_data
from arbutusstall._proxy import byte_budget
from arbutusstall._proxy import request_limits

_STEP_S = 0.001


class _Loop:
    """A clock that steps advance, and the turns that are scheduled."""

    def __init__(self):
        self.now_s = 0.0
        self.turns = collections.deque()
        self.runs = []
        self.queue = fair_queue.FairQueue(lambda: self.now_s, self.call_soon)

    def call_soon(self, callback):
        """Keep a turn of the loop for later."""
        self.turns.append(callback)

    def take_turns(self, count):
        """Run scheduled turns, at most ``count``."""
        for _ in range(count):
            if not self.turns:
                return
            self.turns.popleft()()


class _Worker:
    """A connection with steps of one millisecond."""

    def __init__(self, loop, steps):
        self.ran = 0
        self.is_closed = False
        self.fails = False
        self._loop = loop
        self._steps = steps
        self.flow = fair_queue.Flow(loop.queue, self._step, self._close)

    def _step(self):
        if self.fails:
            raise ValueError("malformed")
        self._loop.now_s += _STEP_S
        self._loop.runs.append(self)
        self.ran += 1
        return self.ran < self._steps

    def _close(self):
        self.is_closed = True


@behave.given(
    "{count:d} connections with {steps:d} steps of 1 ms each,"
    " and {turns:d} turns taken"
)
def busy_connections(context, count, steps, turns):
    """Queue the steps and take the turns."""
    context.loop = _Loop()
    context.workers = [_Worker(context.loop, steps) for _ in range(count)]
    for worker in context.workers:
        worker.flow.wake_soon()
    context.loop.take_turns(turns)


@behave.when("another connection has one step of 1 ms")
def wake_other(context):
    """Wake it once."""
    context.before = len(context.loop.runs)
    context.other = _Worker(context.loop, 1)
    context.other.flow.wake()


@behave.then("that step runs after at most {count:d} further steps")
def runs_soon(context, count):
    """Take turns until it has run."""
    while not context.other.ran:
        context.loop.take_turns(1)
    index = context.loop.runs.index(context.other)
    assert index - context.before <= count, index - context.before


@behave.then("none has run over {count:d} step more than another")
def equal_shares(context, count):
    """Compare the numbers of steps."""
    ran = [worker.ran for worker in context.workers]
    assert min(ran) > 0, ran
    assert max(ran) - min(ran) <= count, ran


@behave.when("one turn is taken")
def take_one_turn(context):
    """Run what is scheduled once."""
    context.loop.take_turns(1)


@behave.then("at most {count:d} steps have run in it")
def short_turn(context, count):
    """Count the steps of the turn."""
    assert 0 < len(context.loop.runs) <= count, len(context.loop.runs)


@behave.when("a connection fails in its step and all turns are taken")
def fail_one(context):
    """Let a third connection raise an exception."""
    context.other = _Worker(context.loop, 1)
    context.other.fails = True
    context.other.flow.wake()
    context.loop.take_turns(1_000)


@behave.then(
    "only that connection was closed, and the others have run {count:d} steps"
)
def others_ran(context, count):
    """Check the ends and the steps."""
    assert context.other.is_closed
    assert not any(worker.is_closed for worker in context.workers)
    assert sum(worker.ran for worker in context.workers) == count


@behave.when("{count:d} of them are closed")
def close_connections(context, count):
    """Close the first ones while their steps are queued."""
    context.closed, context.workers = (
        context.workers[:count],
        context.workers[count:],
    )
    for worker in context.closed:
        worker.flow.close()
        worker.ran = 0


@behave.then("at most {count:d} are in the queue, and the others go on")
def queue_is_short(context, count):
    """Take further turns."""
    assert len(context.loop.queue) <= count, len(context.loop.queue)
    before = [worker.ran for worker in context.workers]
    context.loop.take_turns(20)
    after = [worker.ran for worker in context.workers]
    assert all(a > b for a, b in zip(after, before, strict=True)), after
    assert not any(worker.ran for worker in context.closed)


@behave.then("nothing refers to those that were closed")
def closed_are_freed(context):
    """Check it without a run of the garbage collector."""
    worker = weakref.ref(context.closed[0])
    context.loop.runs.clear()
    gc.disable()
    try:
        context.closed = None
        assert worker() is None
    finally:
        gc.enable()


@dataclasses.dataclass(eq=False)
class _Client:
    """A client that takes no data."""

    unsent_bytes: int
    is_aborted: bool = False

    def abort(self):
        """Note the end."""
        self.is_aborted = True


@behave.given("a bound of {limit:d} bytes for unsent answers")
def unsent_bound(context, limit):
    """Create it."""
    context.unsent = unsent_data.UnsentData(limit)
    context.clients = []


@behave.when(
    "{count:d} clients have taken nothing of an answer of {size:d} bytes each"
)
def answers_not_taken(context, count, size):
    """Write the answers."""
    for _ in range(count):
        client = _Client(size)
        context.clients.append(client)
        context.unsent.update(client)


@behave.when("one client has taken nothing of an answer of {size:d} bytes")
def one_answer_not_taken(context, size):
    """Write a small answer."""
    answers_not_taken(context, 1, size)


@behave.then("at most {limit:d} bytes are unsent and that client is connected")
def unsent_bounded(context, limit):
    """Add up what the connected clients have not taken."""
    held = sum(
        client.unsent_bytes
        for client in context.clients
        if not client.is_aborted
    )
    assert 0 < held <= limit, held
    assert not context.clients[-1].is_aborted


@dataclasses.dataclass(eq=False)
class _Upload:
    """A connection with a part of a body."""

    began_s: float
    body_held: int
    busy: bool = False
    is_shed: bool = False

    def shed(self):
        """Note the refusal."""
        self.is_shed = True


@behave.given("a register with a bound of {limit:d} bytes of bodies")
def body_register(context, limit):
    """Create it."""
    context.register = request_limits.Connections(
        request_limits.ServerBounds(
            heads=byte_budget.ByteBudget(1_000_000),
            bodies=byte_budget.ByteBudget(limit),
            connections=100,
        )
    )


@behave.when(
    "{count:d} connections hold {size:d} bytes of a body each,"
    " one of them complete"
)
def hold_bodies(context, count, size):
    """Register them; the first one, which is the oldest, is complete."""
    context.uploads = [
        _Upload(began_s=float(n), body_held=size) for n in range(count)
    ]
    for upload in context.uploads:
        context.register.add(upload)
    context.register.begin_request(context.uploads[0])


@behave.when("room for bodies is made")
def make_body_room(context):
    """Let connections give way."""
    context.register.make_body_room()


@behave.then(
    "the oldest incomplete body was refused and the complete one was not"
)
def oldest_refused(context):
    """Check which were refused: an eighth of the bound is one body."""
    shed = [upload.is_shed for upload in context.uploads]
    assert shed == [False, True, *[False] * 6], shed
