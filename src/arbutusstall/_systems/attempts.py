"""Decides what follows an attempt to run a call."""

import dataclasses
import enum

from arbutusstall._systems import admission
from arbutusstall._wire import messages

_BURST_TOKENS = 10.0
# Part of the burst that only nested calls may use.
_KEPT_PART = 0.25


class AttemptState(enum.Enum):
    """What is known of one attempt.

    Attributes:
        ANSWERED: The target's whole answer arrived.
        NOT_RUN: It was certainly not executed.
        LOST: It may have been executed.
    """

    ANSWERED = "answered"
    NOT_RUN = "not-run"
    LOST = "lost"


class Step(enum.Enum):
    """What to do next."""

    RETRY = "retry"
    ANSWER = "answer"
    REPORT_NOT_RUN = "not-run"
    REPORT_UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Attempt:
    """How one attempt ended.

    Attributes:
        reason: Why there is no answer.
        retryable: Whether another endpoint may do better.
        revoked: Whether the endpoint answered that it will never run.
    """

    state: AttemptState
    answer: messages.CallAnswer | None = None
    reason: str = ""
    retry_after_ms: int = 0
    retryable: bool = True
    revoked: bool = False


class RetryBudget:
    """Allows retries as a share of the requests; not thread-safe.

    Args:
        share: Retries for each request.
        burst: Retries that can be saved up at most.
    """

    def __init__(self, share: float, burst: float = _BURST_TOKENS) -> None:
        self._share = share
        self._burst = burst
        self._tokens = burst

    def deposit(self) -> None:
        """Note a request."""
        self._tokens = min(self._burst, self._tokens + self._share)

    def withdraw(self, *, nested: bool = False) -> bool:
        """Take one retry out of the budget, if there is one.

        A part of the burst is kept for nested calls: without a retry the
        work of the request above is lost, while a caller that is told
        "not run" comes again by itself.
        """
        kept = 0.0 if nested else self._burst * _KEPT_PART
        if self._tokens < 1.0 + kept:
            return False
        self._tokens -= 1.0
        return True


def from_answer(answer: messages.CallAnswer) -> Attempt:
    """Return how an attempt ended that got ``answer``."""
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
    """Return how a lost attempt ended, by the answer to its revocation.

    Args:
        revoked: The answer, None if there was none.
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


def next_step(
    attempt: Attempt, *, idempotent: bool, earlier_lost: bool
) -> Step:
    """Return what follows when no budget or deadline stands against it.

    Args:
        earlier_lost: Whether an earlier attempt may have been executed.
    """
    if attempt.state is AttemptState.ANSWERED:
        return Step.ANSWER
    lost = attempt.state is AttemptState.LOST
    if attempt.retryable and (idempotent or not lost):
        return Step.RETRY
    return final_step(attempt, earlier_lost=earlier_lost)


def final_step(attempt: Attempt, *, earlier_lost: bool) -> Step:
    """Return what the caller is told when there is no further attempt."""
    if earlier_lost or attempt.state is AttemptState.LOST:
        return Step.REPORT_UNKNOWN
    return Step.REPORT_NOT_RUN
