"""Derives admission inputs and answers from incoming call messages."""

import msgspec

from arbutusstall import _effects
from arbutusstall._systems import admission
from arbutusstall._systems import quarantine
from arbutusstall._systems import revocation
from arbutusstall._wire import messages

_SERVER_ERROR = 500


def attempt_id(
    message: messages.CallRequest | messages.CallRevoke,
) -> revocation.AttemptId:
    """Return the identity of the attempt that a message refers to."""
    return revocation.AttemptId(
        call_id=message.call_id,
        incarnation=message.incarnation,
        sent_ms=message.sent_ms,
    )


def fingerprint(call: messages.CallRequest) -> str:
    """Return the digest that a call shares with its repetitions."""
    return quarantine.fingerprint(call.method, call.path, call.body, call.key)


def refusal_reason(
    call: messages.CallRequest,
    target: _effects.Announced | None,
    treatment: quarantine.Treatment,
) -> str:
    """Return why a call may not run at the target, empty if it may.

    Args:
        call: The call.
        target: The local target; None if there is none.
        treatment: Result of the quarantine for this call.
    """
    if target is None:
        return admission.NO_TARGET
    if target.service != call.service or target.version != call.version:
        return admission.WRONG_VERSION
    if treatment is quarantine.Treatment.REFUSE:
        return quarantine.POISON
    return ""


def refusal_answer(
    call: messages.CallRequest, decision: admission.Decision
) -> messages.CallAnswer:
    """Return the answer to a call that admission has refused."""
    if decision.refusal != revocation.DUPLICATE:
        return admission.refusal(
            call, decision.refusal, decision.retry_after_ms
        )
    # The same id was admitted before, so the call may have been executed.
    return unknown_answer(call, decision.refusal)


def unknown_answer(
    call: messages.CallRequest, reason: str
) -> messages.CallAnswer:
    """Return the answer to a call that may have been executed."""
    return messages.CallAnswer(
        call_id=call.call_id, request_id=call.request_id, unknown=reason
    )


def has_run_time(answer: messages.CallAnswer) -> bool:
    """Return whether the duration of a call tells how fast a target is.

    Errors are often fast. A call without an answer took at least as long
    as the target was given.
    """
    if answer.status:
        return answer.status < _SERVER_ERROR
    return answer.unknown == admission.LATE


def with_load(
    answer: messages.CallAnswer,
    slots: admission.Admission,
    clock_ms: int,
    route: str = "",
    taken_ms: int = 0,
) -> messages.CallAnswer:
    """Return ``answer`` with the current load of its endpoint.

    Args:
        answer: Answer without load.
        slots: Admission control of the endpoint.
        clock_ms: Inbound proxy's clock in milliseconds.
        route: Route of the call.
        taken_ms: Time that the target took; 0 if the call did not reach
            it.
    """
    return msgspec.structs.replace(
        answer,
        in_flight=slots.load,
        slots=slots.slots,
        incarnation=slots.table.incarnation,
        clock_ms=clock_ms,
        taken_ms=taken_ms,
        route_ms=slots.expected_run_ms(route) if taken_ms else 0,
    )
