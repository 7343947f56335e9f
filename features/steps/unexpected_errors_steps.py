"""Steps for loops in which something raises an unexpected exception."""

import asyncio
import contextlib
import functools
import struct
import time
from unittest import mock

import behave
import fleet
import log_lines

from arbutusstall import _clock
from arbutusstall import _core
from arbutusstall import _effects
from arbutusstall import _settings
from arbutusstall import errors
from arbutusstall._log import source as sources
from arbutusstall._proxy import background
from arbutusstall._proxy import control
from arbutusstall._proxy import frames
from arbutusstall._proxy import http_client
from arbutusstall._proxy import roster_client
from arbutusstall._proxy import source_worker
from arbutusstall._shell import control as threaded_control
from arbutusstall._shell import log_worker
from arbutusstall._tables import agreed
from arbutusstall._wire import messages

_POLL_S = 0.01
_TICK_S = 0.02
_EVENT = _effects.Left(reason="test")
_EFFECT = _effects.Emit(event="test", fields={})
_LOG = _settings.LogSettings(
    url="http://127.0.0.1:1", read_gap_s=0.0, retry_base_s=0.01
)
_REPORT = _effects.ReportRollout(
    service="s", version="v", state=agreed.RolloutState.DONE
)


class _FailsOnce:
    """Raises at its first call and counts the later ones."""

    def __init__(self, result=None):
        self.later_calls = 0
        self._failed = False
        self._result = result

    def __call__(self, *args, **kwargs):
        if not self._failed:
            self._failed = True
            raise OverflowError("out of range")
        self.later_calls += 1
        return self._result


def _core_with(step, fails):
    core = mock.Mock()
    core.start.return_value = []
    core.tick = fails if step == "a tick" else mock.Mock(return_value=[])
    core.handle = mock.Mock(return_value=[_EFFECT, _EFFECT])
    if step == "an event":
        core.handle = fails
    return core


async def _run_control(kind, step, fails):
    loop = kind(_core_with(step, fails), _clock.SystemClock(), _TICK_S)
    loop.on(_effects.Emit, fails if step == "an effect" else mock.Mock())
    loop.start()
    loop.put(_EVENT)
    loop.put(_EVENT)
    await _poll(lambda: fails.later_calls)
    loop.stop()


async def _run_periodic(step, fails):
    periodic = background.Periodic(step, _TICK_S, fails)
    periodic.start()
    await _poll(lambda: fails.later_calls)
    periodic.stop()


async def _run_task(step, fails):
    tasks = background.Tasks()

    async def task():
        fails()

    task.__qualname__ = step
    for _ in range(2):
        tasks.spawn(task())
    await _poll(lambda: fails.later_calls)


async def _run_source_reader(step, fails):
    source = mock.Mock()
    source.read_all.return_value = sources.SourceRead(events=(), position=0)
    source.read_from.return_value = sources.SourceRead(events=(), position=0)
    if step == "a read":
        source.read_all = fails
        fails._result = sources.SourceRead(events=(), position=0)
    else:
        source.report = fails
    worker = source_worker.SourceWorker(source, _LOG, mock.Mock())
    worker.follow(_effects.FollowLog(offset=0))
    worker.report(_REPORT)
    await _poll(lambda: fails.later_calls)
    worker.stop()


async def _run_log_worker(step, fails):
    log = mock.Mock()
    empty = _effects.LogRead(entries=(), first_kept=0, next_offset=0)
    log.read.return_value = empty
    log.append.return_value = 0
    if step == "a log read":
        log.read = fails
        fails._result = empty
    else:
        log.append = fails
        fails._result = 0
    worker = log_worker.LogWorker(log, _LOG, mock.Mock())
    worker.follow(_effects.FollowLog(offset=0))
    record = fleet.release("r")
    worker.append(_effects.Append(record=record))
    await _poll(lambda: fails.later_calls)
    worker.stop()


async def _run_roster_client(step, fails):
    stored = mock.Mock()
    stored.load = fails
    fails._result = ()
    client = roster_client.RosterClient(stored, mock.Mock())
    assert await client.load() is None
    assert await client.load() == ()


async def _run_connection(step, fails):
    owner = mock.Mock()
    owner.on_message = fails
    connection = frames.FrameConnection(owner, _settings.ReadSettings())
    data = messages.encode(messages.CallGreeting(node="n"))
    frame = struct.pack(">I", len(data)) + data
    connection.data_received(frame + frame)


_RUNS = {
    "the control loop": functools.partial(_run_control, control.ControlLoop),
    "the control thread": functools.partial(
        _run_control, threaded_control.ControlLoop
    ),
    "a periodic callback": _run_periodic,
    "a background task": _run_task,
    "the source's reader": _run_source_reader,
    "the log's worker": _run_log_worker,
    "the roster's client": _run_roster_client,
    "a connection of nodes": _run_connection,
}
_LOGGED_STEPS = {
    "a tick": "tick",
    "an event": "Left",
    "an effect": "Emit",
    "a call": "a call",
    "a task": "a task",
    "a read": "source.read",
    "a report": "source.report",
    "a log read": "log.read",
    "an append": "log.append",
    "a load": "roster-not-read",
    "a message": "CallGreeting",
}


async def _poll(condition, limit_s=3.0):
    until_s = time.monotonic() + limit_s
    while not condition() and time.monotonic() < until_s:
        await asyncio.sleep(_POLL_S)


@behave.given("{part} in which {step} fails once")
def fail_once(context, part, step):
    """Run the part until the step has succeeded, or for 3 seconds."""
    context.lines = log_lines.collect(context)
    context.fails = _FailsOnce(result=[])
    asyncio.run(_RUNS[part](step, context.fails))


@behave.then("the next ones still happen within {seconds:d} seconds")
def next_happened(context, seconds):
    """Check that the step was called again."""
    assert context.fails.later_calls


@behave.then("one log line names {step} and the reason")
def line_logged(context, step):
    """Check the fields of the only line on an unexpected error."""
    found = [
        line
        for line in context.lines.lines
        if isinstance(line, dict) and line.get("event") == "unexpected-error"
    ]
    assert len(found) == 1, found
    assert found[0]["step"] == _LOGGED_STEPS[step], found
    assert found[0]["reason"] == "OverflowError: out of range", found


@behave.given("a node whose checkpoint system always fails")
def failing_system(context):
    """Replace one system and count the calls of the one behind it."""
    settings = fleet.settings(0, "lipno")
    context.core = _core.NodeCore(settings, mock.Mock(), 1)
    context.counted = mock.Mock(return_value=[])
    systems = dict.fromkeys(_core._SYSTEMS, context.counted)
    systems["checkpoint"] = mock.Mock(side_effect=OverflowError("too large"))
    patched = mock.patch.object(_core, "_SYSTEMS", systems)
    patched.start()
    context.add_cleanup(patched.stop)


@behave.when("it ticks {count:d} times")
def tick(context, count):
    """Tick with a guard that suppresses exceptions."""
    now = _clock.Instant(mono_s=1.0, wall_s=1.0)
    for _ in range(count):
        context.core.tick(now, lambda name: contextlib.suppress(Exception))


@behave.then("its other systems ran {count:d} times")
def systems_ran(context, count):
    """Check the calls of all systems but one."""
    expected = (len(_core._SYSTEMS) - 1) * count
    assert context.counted.call_count == expected


@behave.when("a connection pool connects to {address}")
def connect_pool(context, address):
    """Acquire a connection; keep what the callback gets."""

    async def acquire():
        results = []
        pool = http_client.Pool(address, 1, _settings.ReadSettings())
        pool.acquire(results.append)
        await _poll(lambda: results)
        return results[0]

    context.result = asyncio.run(acquire())


@behave.when("a node connects to {address}")
def connect_node(context, address):
    """Open a connection for messages; keep the error."""

    async def connect():
        try:
            await frames.connect(
                address, mock.Mock(), _settings.ReadSettings(), 1.0
            )
        except errors.PeerUnavailable as exc:
            return exc
        return None

    context.result = asyncio.run(connect())


@behave.then("it is told that the peer is unavailable")
def told_unavailable(context):
    """Check the type of the result."""
    assert isinstance(context.result, errors.PeerUnavailable), context.result
