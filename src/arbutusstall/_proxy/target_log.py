"""Log lines of an inbound proxy about calls to its target."""

import logging

from arbutusstall import _effects
from arbutusstall._shell import call_metrics
from arbutusstall._shell import events
from arbutusstall._systems import admission
from arbutusstall._wire import messages


class TargetLog:
    """Logs calls that did not run or whose outcome is unknown."""

    def __init__(self, log: events.EventLog) -> None:
        self._log = log
        self._concurrency = 0

    def ended(
        self,
        call: messages.CallRequest,
        answer: messages.CallAnswer,
        target: _effects.Announced,
        left_ms: int,
        taken_s: float,
    ) -> None:
        """Log the end of a call, unless the target answered it.

        Args:
            left_ms: Time left to the caller's deadline, in milliseconds.
            taken_s: Time since the call was started, in seconds.
        """
        reason = answer.unknown or answer.not_run
        if not reason:
            return
        self._log.emit(
            "call-unknown" if answer.unknown else "call-not-started",
            {
                "request": call.request_id,
                "call": call.call_id,
                "service": call.service,
                "version": call.version,
                "target": target.instance,
                "idempotent": int(call.idempotent),
                "left_ms": left_ms,
                "taken_ms": int(taken_s * 1000),
                "reason": reason,
            },
        )

    def unreachable(
        self,
        call: messages.CallRequest,
        target: _effects.Announced,
        reason: str,
    ) -> None:
        """Log that no connection to the target could be opened."""
        self._log.emit(
            "target-unreachable",
            {
                "request": call.request_id,
                "target": target.address,
                "reason": reason,
            },
            logging.WARNING,
        )

    def state_changed(
        self,
        target: _effects.Announced,
        before: messages.TargetState | None,
        after: messages.TargetState,
        sent: int,
    ) -> None:
        """Log what the target has begun or ceased to say about itself.

        Args:
            before: State in the answer before; None if there was none.
            sent: Number of requests that were sent to the target so far.
        """
        before = before or messages.TargetState(start=after.start)
        fields: dict[str, str | int | float] = {
            "target": target.instance,
            "sent": sent,
        }
        if before.limit_per_s != after.limit_per_s:
            self._log.emit(
                "target-limit",
                {
                    **fields,
                    "before": _rate(before.limit_per_s),
                    "limit": _rate(after.limit_per_s),
                },
            )
        if after.leaving and not before.leaving:
            self._log.emit("target-tells-leaving", fields)

    def cold_changed(self, applies: bool, rate_per_s: float | None) -> None:
        """Log that the limit of a cold target begins or ends to apply.

        Args:
            rate_per_s: Rate of the configuration; None if there is none yet.
        """
        name = "target-cold" if applies else "target-warm"
        self._log.emit(name, {"limit": _rate(rate_per_s)})

    def concurrency(
        self, target: _effects.Announced, slots: admission.Admission
    ) -> None:
        """Log a change of the concurrency limit, if there is one."""
        limit = slots.concurrency
        if limit is None or limit.settled == self._concurrency:
            return
        before = self._concurrency or target.slots
        self._concurrency = limit.settled
        if before == limit.settled:
            return
        call_metrics.CONCURRENCY_LIMIT.set(limit.settled)
        self._log.emit(
            "target-concurrency",
            {
                "target": target.instance,
                "before": before,
                "limit": limit.settled,
                "slots": target.slots,
                "run_ratio": limit.run_ratio,
            },
        )

    def crashed(
        self,
        call: messages.CallRequest,
        target: _effects.Announced,
        in_flight: int,
        suspects: int,
    ) -> None:
        """Log that the target crashed while it ran calls.

        Args:
            in_flight: Number of calls that it ran.
            suspects: Number of calls that are suspected of the crash.
        """
        self._log.emit(
            "target-crashed",
            {
                "request": call.request_id,
                "target": target.address,
                "instance": target.instance,
                "in_flight": in_flight,
                "suspects": suspects,
            },
            logging.WARNING,
        )


def _rate(limit_per_s: float | None) -> str:
    return "-" if limit_per_s is None else f"{limit_per_s:g}/s"
