"""Retry policy: decides what follows an attempt to run a call."""

import dataclasses
import enum
import random

from arbutusstall._systems import admission
from arbutusstall._wire import messages

_DEFAULT_BURST = 10.0
# Share of the burst that is reserved for nested calls.
_NESTED_RESERVE_SHARE = 0.25


# Callers that were refused at the same time come back within this share
# of their delay around it.
_RETRY_SPREAD = 0.25


class AttemptState(enum.Enum):
    """Outcome of one attempt.

    Attributes:
        ANSWERED: The target's answer arrived completely.
        NOT_RUN: The call was certainly not executed.
        LOST: The call may have been executed; there is no answer.
    """

    ANSWERED = "answered"
    NOT_RUN = "not-run"
    LOST = "lost"


class Step(enum.Enum):
    """Next step of a call after an attempt.

    Attributes:
        RETRY: Try another endpoint.
        ANSWER: Return the target's answer to the caller.
        REPORT_NOT_RUN: Tell the caller that the call was not executed.
        REPORT_UNKNOWN: Tell the caller that the outcome is unknown.
    """

    RETRY = "retry"
    ANSWER = "answer"
    REPORT_NOT_RUN = "not-run"
    REPORT_UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Attempt:
    """Result of one attempt.

    Attributes:
        state: Outcome of the attempt.
        answer: The target's answer, if there is one.
        reason: Why there is no answer.
        retry_after_ms: Delay before a retry that the endpoint asked
            for; 0 if none.
        retryable: Whether an attempt at another endpoint may succeed.
        revoked: Whether the endpoint confirmed that the call will never
            run.
    """

    state: AttemptState
    answer: messages.CallAnswer | None = None
    reason: str = ""
    retry_after_ms: int = 0
    retryable: bool = True
    revoked: bool = False


class RetryBudget:
    """Token bucket that limits retries to a share of the requests.

    Not thread-safe.

    Args:
        share: Number of retries that each request adds to the budget.
        burst: Maximum number of retries in the budget.
    """

    def __init__(self, share: float, burst: float = _DEFAULT_BURST) -> None:
        self._share = share
        self._burst = burst
        self._tokens = burst

    def deposit(self) -> None:
        """Add the share of one request to the budget."""
        self._tokens = min(self._burst, self._tokens + self._share)

    def withdraw(self, *, nested: bool = False) -> bool:
        """Take one retry out of the budget; false if it is exhausted.

        A share of the burst is reserved for nested calls: if one fails,
        the work of the request that made it is lost, whereas a caller
        that gets "not run" can retry by itself.
        """
        reserved = 0.0 if nested else self._burst * _NESTED_RESERVE_SHARE
        if self._tokens < 1.0 + reserved:
            return False
        self._tokens -= 1.0
        return True


def from_answer(answer: messages.CallAnswer) -> Attempt:
    """Return the result of an attempt that got ``answer``."""
    if answer.not_run:
        return Attempt(
            state=AttemptState.NOT_RUN,
            reason=answer.not_run,
            retry_after_ms=answer.retry_after_ms,
            retryable=answer.not_run in admission.RETRYABLE_REFUSALS,
        )
    if answer.unknown:
        return Attempt(
            state=AttemptState.LOST, reason=answer.unknown, retryable=False
        )
    return Attempt(state=AttemptState.ANSWERED, answer=answer)


def from_revocation(
    revoked: messages.CallRevoked | None, reason: str
) -> Attempt:
    """Return the result of a lost attempt after its revocation.

    Args:
        revoked: Answer to the revocation, None if there was none.
        reason: Why the attempt was lost.
    """
    if revoked is None:
        return Attempt(state=AttemptState.LOST, reason=reason)
    if revoked.state is messages.RevokeState.REVOKED:
        return Attempt(
            state=AttemptState.NOT_RUN,
            reason=f"revoked: {reason}",
            revoked=True,
        )
    if revoked.answer is not None:
        return from_answer(revoked.answer)
    running = revoked.state is messages.RevokeState.RUNNING
    return Attempt(
        state=AttemptState.LOST,
        reason="still running" if running else reason,
        retryable=not running,
    )


def with_earliest_retry(attempt: Attempt, earlier: Attempt | None) -> Attempt:
    """Return ``attempt`` with the least retry delay of both.

    The endpoint that refused last need not be the one that has room first.
    """
    if earlier is None or not earlier.retry_after_ms:
        return attempt
    delay_ms = min(
        attempt.retry_after_ms or earlier.retry_after_ms,
        earlier.retry_after_ms,
    )
    return dataclasses.replace(attempt, retry_after_ms=delay_ms)


def spread_retry_ms(delay_ms: int, rng: random.Random) -> int:
    """Return a retry delay drawn around ``delay_ms``."""
    spread = rng.uniform(1.0 - _RETRY_SPREAD, 1.0 + _RETRY_SPREAD)
    return round(delay_ms * spread)


def next_step(
    attempt: Attempt, *, idempotent: bool, earlier_lost: bool
) -> Step:
    """Return the next step, regardless of retry budget and deadline.

    Args:
        attempt: Result of the last attempt.
        idempotent: Whether the call may be executed more than once.
        earlier_lost: Whether an earlier attempt may have been executed.
    """
    if attempt.state is AttemptState.ANSWERED:
        return Step.ANSWER
    lost = attempt.state is AttemptState.LOST
    if attempt.retryable and (idempotent or not lost):
        return Step.RETRY
    return final_step(attempt, earlier_lost=earlier_lost)


def final_step(attempt: Attempt, *, earlier_lost: bool) -> Step:
    """Return what to report to the caller if there is no retry.

    Args:
        attempt: Result of the last attempt, which has no answer.
        earlier_lost: Whether an earlier attempt may have been executed.
    """
    if earlier_lost or attempt.state is AttemptState.LOST:
        return Step.REPORT_UNKNOWN
    return Step.REPORT_NOT_RUN
