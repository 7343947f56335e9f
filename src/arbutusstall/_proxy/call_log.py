"""Log lines of the calls that did not go well."""

import dataclasses
import logging

from arbutusstall._proxy import dialects
from arbutusstall._shell import events
from arbutusstall._systems import attempts
from arbutusstall._tables import agreed
from arbutusstall._wire import messages


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CallProgress:
    """How a caller's request has gone so far.

    Attributes:
        peer: Node that was asked last; empty if none was.
        sends: Attempts that a target may have seen.
        refusals: Attempts that were refused before a target.
        held_ms: Time since the request arrived here.
        waited_ms: Time for which the caller had waited before.
    """

    call: messages.CallRequest
    peer: str
    sends: int
    refusals: int
    held_ms: int
    waited_ms: int


class CallLog:
    """Writes one line for each request that ends badly."""

    def __init__(self, log: events.EventLog) -> None:
        self._log = log

    def refused(
        self,
        failure: dialects.Failure,
        target: str,
        snapshot: agreed.Snapshot,
    ) -> None:
        """Write that a request was refused before it was routed.

        Args:
            target: Request target, as the caller sent it.
        """
        self._log.emit(
            "call-refused",
            {
                "request": failure.request_id,
                "target": target,
                "config": _version(snapshot),
                "reason": failure.reason,
                "outcome": failure.kind.value,
            },
            logging.INFO,
        )

    def failed(
        self,
        progress: CallProgress,
        step: attempts.Step,
        failure: dialects.Failure,
        snapshot: agreed.Snapshot,
    ) -> None:
        """Write that a request got no answer of a target."""
        call = progress.call
        self._log.emit(
            f"call-{step.value}",
            {
                **_attempt(progress),
                "version": call.version,
                "config": _version(snapshot),
                "left_ms": call.deadline_ms,
                "waited_ms": progress.waited_ms,
                "reason": failure.reason,
                "outcome": failure.kind.value,
            },
        )

    def late(
        self, progress: CallProgress, answer: messages.CallAnswer
    ) -> None:
        """Write that an answer came after the latency objective."""
        self._log.emit(
            "call-late",
            {
                **_attempt(progress),
                "taken_ms": answer.taken_ms,
                "load": answer.in_flight,
                "slots": answer.slots,
                "status": answer.status,
            },
        )


def _attempt(progress: CallProgress) -> dict[str, str | int | float]:
    call = progress.call
    return {
        "request": call.request_id,
        "call": call.call_id,
        "route": call.route,
        "service": call.service,
        "peer": progress.peer or "-",
        "rank": call.rank,
        "sends": progress.sends,
        "refusals": progress.refusals,
        "held_ms": progress.held_ms,
    }


def _version(snapshot: agreed.Snapshot) -> int:
    return snapshot.source_version or snapshot.version
