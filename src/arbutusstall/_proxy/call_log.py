"""Log lines for failed and slow calls."""

import dataclasses
import logging

from arbutusstall._proxy import dialects
from arbutusstall._shell import events
from arbutusstall._systems import attempts
from arbutusstall._tables import agreed
from arbutusstall._wire import messages


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CallProgress:
    """State of a caller's request, for log lines.

    Attributes:
        call: The call of the last attempt.
        peer: Node that the last attempt was sent to; empty if none was.
        sends: Attempts that a target may have seen.
        refusals: Attempts that were refused before they reached a target.
        held_ms: Time since the request arrived at this node.
        waited_ms: Estimated time for which the caller had waited before.
    """

    call: messages.CallRequest
    peer: str
    sends: int
    refusals: int
    held_ms: int
    waited_ms: int


class CallLog:
    """Logs requests that are refused, fail or are answered late."""

    def __init__(self, log: events.EventLog) -> None:
        self._log = log

    def refused(
        self,
        failure: dialects.Failure,
        target: str,
        snapshot: agreed.Snapshot,
    ) -> None:
        """Log that a request was refused before it was routed.

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
        """Log that a request got no answer from a target."""
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
        """Log that an answer arrived after the latency objective."""
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
