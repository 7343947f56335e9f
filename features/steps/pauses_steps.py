"""Steps for machines that are suspended, with a replaced clock."""

import asyncio
import contextlib
import random
import socket
import threading
import time
from unittest import mock

import behave
import calls
import fleet
import msgspec

from arbutusstall import _clock
from arbutusstall import _core
from arbutusstall import _effects
from arbutusstall import settings as node_settings
from arbutusstall._log import records
from arbutusstall._proxy import event_loop
from arbutusstall._proxy import inbound
from arbutusstall._shell import events
from arbutusstall._systems import lease
from arbutusstall._tables import agreed
from arbutusstall.platform import dialect

_MAX_DELAY_S = 1.0
_TIMEOUT_S = 10.0
_CALL = calls.BOOKING


class _SuspendableClock:
    """Real time plus the time that the machine was suspended for."""

    def __init__(self) -> None:
        self._suspended_s = 0.0
        self._read_real = time.clock_gettime

    def suspend(self, seconds: float) -> None:
        """Advance the clocks that run on while a machine is suspended."""
        self._suspended_s += seconds

    def read(self, clock: int) -> float:
        """Replace `time.clock_gettime`."""
        if clock == time.CLOCK_BOOTTIME:
            return self._read_real(clock) + self._suspended_s
        return self._read_real(clock)


def _patch_clock(context):
    context.clock = _SuspendableClock()
    patch = mock.patch.object(time, "clock_gettime", context.clock.read)
    patch.start()
    context.add_cleanup(patch.stop)


def _run(work):
    with asyncio.Runner(loop_factory=event_loop.SteadyEventLoop) as runner:
        return runner.run(work)


@behave.given("an event loop on a machine that can be suspended")
def suspendable_loop(context):
    """Replace the clock of the event loop that nodes use."""
    _patch_clock(context)


@behave.when(
    "a timer of {timer:d} seconds is set and the machine is suspended for"
    " {seconds:d} seconds"
)
def timer_set(context, timer, seconds):
    """Measure the delay by a clock that stops while suspended."""

    async def work():
        called = asyncio.Event()
        asyncio.get_running_loop().call_later(timer, called.set)
        await asyncio.sleep(0)
        context.clock.suspend(seconds)
        started_s = time.monotonic()
        await asyncio.wait_for(called.wait(), _TIMEOUT_S)
        return time.monotonic() - started_s

    before = _clock.SystemClock().now()
    context.delay_s = _run(work())
    context.clock_advance_s = _clock.SystemClock().now().mono_s - before.mono_s


@behave.then("the timer is called at once")
def timer_called(context):
    """Check that the suspension counts towards the timer."""
    assert context.delay_s < _MAX_DELAY_S, context.delay_s


@behave.then(
    "the clock of the node's decisions has advanced by {seconds:d} seconds"
)
def clock_advanced(context, seconds):
    """Allow for the run time of the step itself."""
    assert seconds <= context.clock_advance_s < seconds + _MAX_DELAY_S


@behave.given("a leader on a machine that can be suspended")
def make_leader(context):
    """Create a node that has just read its own lease claim."""
    _patch_clock(context)
    settings = fleet.settings(
        0, "lipno", lease=node_settings.LeaseSettings(expire_s=4.0)
    )
    core = _core.NodeCore(settings, random.Random(1), 1)
    now = _clock.SystemClock().now()
    core.tables.is_root = True
    core.tables.agreed = agreed.Agreed(
        lease=agreed.Lease(holder=core.tables.member.node, offset=1)
    )
    core.tables.lease_held_from_s = now.mono_s
    core.tables.lease_seen_s = now.mono_s
    assert lease.is_leader(core.tables, now)
    context.core = core


@behave.when("it is suspended for {seconds:d} seconds")
def suspend_machine(context, seconds):
    """Suspend the machine; if calls are pending, await their answers."""
    context.clock.suspend(seconds)
    if "answers" in context:
        context.finish()


@behave.then("it is not the leader when it wakes")
def not_leader(context):
    """Check the node's decision and that it appends no renewal."""
    now = _clock.SystemClock().now()
    assert not lease.is_leader(context.core.tables, now)
    renewals = [
        effect
        for effect in context.core.tick(now)
        if isinstance(effect, _effects.Append)
        and isinstance(effect.record, records.LeaseRenewal)
    ]
    assert not renewals, renewals


@behave.given("an inbound proxy on a machine that can be suspended")
def silent_target(context):
    """Start a target that accepts requests and never answers."""
    _patch_clock(context)
    listener = socket.create_server(("127.0.0.1", 0))
    context.add_cleanup(listener.close)
    context.requests = []

    def serve():
        with contextlib.suppress(OSError):
            while True:
                sock, _ = listener.accept()
                threading.Thread(
                    target=receive_all, args=(sock,), daemon=True
                ).start()

    def receive_all(sock):
        with contextlib.suppress(OSError), sock:
            while data := sock.recv(65_536):
                context.requests.append(data)

    threading.Thread(target=serve, daemon=True).start()
    context.target = _effects.Announced(
        service="kvoty",
        version="v1",
        address=f"127.0.0.1:{listener.getsockname()[1]}",
        slots=1,
        instance="i-1",
    )


def _proxy_for(context):
    calls = node_settings.CallSettings(queue_ms=1_500)
    settings = fleet.settings(0, "lipno", calls=calls)
    inbound_proxy = inbound.Inbound(
        settings,
        dialect.PlatformDialect("vazeni"),
        1,
        lambda event: None,
        events.EventLog(settings),
    )
    inbound_proxy.set_target(context.target)
    return inbound_proxy


def _submit(inbound_proxy, name, **more):
    done = asyncio.get_running_loop().create_future()
    call = msgspec.structs.replace(
        _CALL, call_id=name, request_id=name, **more
    )
    inbound_proxy.submit(call, done.set_result)
    return done


@behave.given("its target runs one call and another one waits")
def submit_two_calls(context):
    """Submit two calls with a deadline of two seconds each."""

    async def start_calls():
        inbound_proxy = _proxy_for(context)
        context.answers = [_submit(inbound_proxy, name) for name in ("a", "b")]
        await asyncio.sleep(0.3)
        assert inbound_proxy.admission.queued == 1

    async def await_answers():
        waiting = asyncio.gather(*context.answers)
        started_s = time.monotonic()
        context.answers = await asyncio.wait_for(waiting, _TIMEOUT_S)
        assert time.monotonic() - started_s < _MAX_DELAY_S

    runner = asyncio.Runner(loop_factory=event_loop.SteadyEventLoop)
    context.add_cleanup(runner.close)
    runner.run(start_calls())
    context.finish = lambda: runner.run(await_answers())


@behave.then("the waiting call is answered not run")
def waiting_refused(context):
    """Check the outcome of the call that never reached the target."""
    assert context.answers[1].not_run, context.answers[1]


@behave.then("the running call is answered unknown")
def running_unknown(context):
    """Check the outcome of the call that the target may have run."""
    assert context.answers[0].unknown, context.answers[0]


@behave.then("the target got one request")
def one_request(context):
    """Check that only the running call reached the target."""
    assert len(context.requests) == 1, context.requests


@behave.when(
    "a call that was sent {seconds:d} seconds ago arrives with {left:d} ms"
    " left"
)
def deliver_late(context, left, seconds):
    """Suspend the machine between the send and the delivery."""

    async def work():
        inbound_proxy = _proxy_for(context)
        sent_ms = inbound_proxy.now_ms()
        context.clock.suspend(seconds)
        done = _submit(inbound_proxy, "a", sent_ms=sent_ms, deadline_ms=left)
        return await asyncio.wait_for(done, _TIMEOUT_S)

    context.answer = _run(work())


@behave.then('it is answered not run with the reason "{reason}"')
def refused_for(context, reason):
    """Check the reason of the refusal."""
    assert context.answer.not_run == reason, context.answer


@behave.then("the target got no request")
def no_request(context):
    """Check that none arrives within 200 ms."""
    time.sleep(0.2)
    assert not context.requests, context.requests
