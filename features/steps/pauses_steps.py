"""Steps for machines that are suspended; the clock is replaced."""

import asyncio
import contextlib
import random
import socket
import threading
import time
from unittest import mock

import behave
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
from arbutusstall._wire import messages
from arbutusstall.platform import dialect

_AT_ONCE_S = 1.0
_WAIT_S = 10.0
_CALL = messages.CallRequest(
    call_id="",
    request_id="",
    incarnation=1,
    sent_ms=0,
    service="kvoty",
    version="v1",
    route="a.example/x/",
    method="POST",
    path="/x/1",
    headers=(),
    body=b"",
    deadline_ms=2_000,
    idempotent=False,
)


class _Machine:
    """Real time plus the time that it was suspended for."""

    def __init__(self) -> None:
        self._suspended_s = 0.0
        self._real = time.clock_gettime

    def suspend(self, seconds: float) -> None:
        """Let the time pass that only some clocks count."""
        self._suspended_s += seconds

    def read(self, clock: int) -> float:
        """Stand in for `time.clock_gettime`."""
        if clock == time.CLOCK_BOOTTIME:
            return self._real(clock) + self._suspended_s
        return self._real(clock)


def _machine(context):
    context.machine = _Machine()
    patch = mock.patch.object(time, "clock_gettime", context.machine.read)
    patch.start()
    context.add_cleanup(patch.stop)


def _run(work):
    with asyncio.Runner(loop_factory=event_loop.SteadyEventLoop) as runner:
        return runner.run(work)


@behave.given("an event loop on a machine that can be suspended")
def loop_machine(context):
    """The loop that nodes run on."""
    _machine(context)


@behave.when(
    "a timer of {timer:d} seconds is set and it is suspended for"
    " {seconds:d} seconds"
)
def timer_set(context, timer, seconds):
    """Measure by the clock that leaves the suspension out."""

    async def work():
        called = asyncio.Event()
        asyncio.get_running_loop().call_later(timer, called.set)
        await asyncio.sleep(0)
        context.machine.suspend(seconds)
        began_s = time.monotonic()
        await asyncio.wait_for(called.wait(), _WAIT_S)
        return time.monotonic() - began_s

    before = _clock.SystemClock().now()
    context.late_s = _run(work())
    context.moved_s = _clock.SystemClock().now().mono_s - before.mono_s


@behave.then("the timer is called at once")
def timer_called(context):
    """Not after its two seconds."""
    assert context.late_s < _AT_ONCE_S, context.late_s


@behave.then(
    "the clock of the node's decisions has moved by {seconds:d} seconds"
)
def decisions_moved(context, seconds):
    """And by what the step took."""
    assert seconds <= context.moved_s < seconds + _AT_ONCE_S


@behave.given("a leader on a machine that can be suspended")
def leader(context):
    """Its claim was just read back."""
    _machine(context)
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
def suspended(context, seconds):
    """Where a proxy waits, it goes on afterwards."""
    context.machine.suspend(seconds)
    if "answers" in context:
        context.finish()


@behave.then("it is not the leader when it wakes")
def no_leader(context):
    """By the clock that its shell reads, and it sends no renewal."""
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
def proxy(context):
    """Its target takes requests and never answers."""
    _machine(context)
    listener = socket.create_server(("127.0.0.1", 0))
    context.add_cleanup(listener.close)
    context.requests = []

    def serve():
        with contextlib.suppress(OSError):
            while True:
                sock, _ = listener.accept()
                threading.Thread(
                    target=take, args=(sock,), daemon=True
                ).start()

    def take(sock):
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
    made = inbound.Inbound(
        settings,
        dialect.PlatformDialect("vazeni"),
        1,
        lambda event: None,
        events.EventLog(settings),
    )
    made.set_target(context.target)
    return made


def _submit(made, name, **more):
    done = asyncio.get_running_loop().create_future()
    call = msgspec.structs.replace(
        _CALL, call_id=name, request_id=name, **more
    )
    made.submit(call, done.set_result)
    return done


@behave.given("its target runs one call and another one waits")
def one_waits(context):
    """Each has two seconds."""

    async def begin():
        made = _proxy_for(context)
        context.answers = [_submit(made, name) for name in ("a", "b")]
        await asyncio.sleep(0.3)
        assert made.admission.queued == 1

    async def end():
        waiting = asyncio.gather(*context.answers)
        began_s = time.monotonic()
        context.answers = await asyncio.wait_for(waiting, _WAIT_S)
        assert time.monotonic() - began_s < _AT_ONCE_S

    runner = asyncio.Runner(loop_factory=event_loop.SteadyEventLoop)
    context.add_cleanup(runner.close)
    runner.run(begin())
    context.finish = lambda: runner.run(end())


@behave.then("the waiting call is answered not run")
def waiting_refused(context):
    """It never reached the target."""
    assert context.answers[1].not_run, context.answers[1]


@behave.then("the running call is answered unknown")
def running_unknown(context):
    """It may have run."""
    assert context.answers[0].unknown, context.answers[0]


@behave.then("the target got one request")
def one_request(context):
    """That of the call that ran."""
    assert len(context.requests) == 1, context.requests


@behave.when(
    "a call with {left:d} ms left arrives that was sent {seconds:d}"
    " seconds ago"
)
def lay_in_socket(context, left, seconds):
    """The machine was suspended between the two."""

    async def work():
        made = _proxy_for(context)
        sent_ms = made.now_ms()
        context.machine.suspend(seconds)
        done = _submit(made, "a", sent_ms=sent_ms, deadline_ms=left)
        return await asyncio.wait_for(done, _WAIT_S)

    context.answer = _run(work())


@behave.then('it is answered not run for "{reason}"')
def refused_for(context, reason):
    """The refusal is true."""
    assert context.answer.not_run == reason, context.answer


@behave.then("the target got no request")
def no_request(context):
    """Not even later."""
    time.sleep(0.2)
    assert not context.requests, context.requests
