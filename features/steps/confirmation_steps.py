"""Steps for the confirmation of a target by heartbeats and health checks."""

import dataclasses

import behave
import ports
from standins import endpoint

from arbutusstall import _effects
from arbutusstall import errors
from arbutusstall._systems import announcements
from arbutusstall._systems import confirmation
from arbutusstall._tables import members
from arbutusstall.platform import health

_BEGAN_MS = 1_000_000
_TARGET = announcements.Announcement(
    instance="i-1",
    service="kvoty",
    version="v1",
    address="127.0.0.1:1",
    slots=8,
    sequence=0,
    born_ms=_BEGAN_MS - 60_000,
)
_BORN_MS_BY_START = {
    "": _TARGET.born_ms,
    "a newer start": _TARGET.born_ms + 1,
    "a start 20 s after the process's own": _BEGAN_MS + 20_000,
}


@behave.when("a process that is {order} of its node learns {evidence}")
def learn(context, order, evidence):
    """Record the evidence in its order."""
    known = confirmation.Confirmations(
        began_ms=_BEGAN_MS, first_process=order == "the first"
    )
    for item in evidence.split(", "):
        if item == "its health":
            start = members.target_start(_TARGET.instance, _TARGET.born_ms)
            known.confirm(start)
            continue
        number, _, start = item.removeprefix("heartbeat ").partition(" of ")
        heartbeat = dataclasses.replace(
            _TARGET, sequence=int(number), born_ms=_BORN_MS_BY_START[start]
        )
        context.is_confirmed = known.record(heartbeat)


@behave.then("it counts as {result}")
def check_result(context, result):
    """Compare the result of the last heartbeat."""
    assert context.is_confirmed == (result == "confirmed")


class _Paths:
    """Knows the health check's path, unless the store is lost."""

    def __init__(self, state):
        self._state = state

    def health_path(self, service):
        """Return the path."""
        if self._state == "beside a lost store":
            raise errors.LogUnavailable(step="s", peer="p", reason="r")
        return "" if self._state == "without a path" else "/health"


@behave.given("a health check of a target that is {state}")
def health_check(context, state):
    """Start the target, unless it is gone."""
    port = ports.take()
    if state != "gone":
        target = endpoint.Endpoint(
            port=port,
            control=f"127.0.0.1:{ports.take()}",
            service="kvoty",
            instance="i-2" if state == "another one" else "i-1",
        )
        context.add_cleanup(target.stop)
        target.state = state
        if state == "sending 20 MB":
            target.state = "ready"
            target.behaviour = endpoint.Behaviour(health_bytes=20_000_000)
    announced = _effects.Announced(
        service="kvoty",
        version="v1",
        address=f"127.0.0.1:{port}",
        slots=8,
        instance="i-1",
    )
    check = health.TargetHealthCheck(_Paths(state))
    context.health = check.check(announced)


@behave.then("the check tells {expected}")
def check_health(context, expected):
    """Compare the result."""
    assert context.health.health.value == expected, context.health
