"""Sends a caller's request to endpoints and retries failed attempts."""

from concurrent import futures
import dataclasses
import itertools
import threading
import time

import msgspec

from arbutusstall import _effects
from arbutusstall import _settings
from arbutusstall import errors
from arbutusstall._shell import call_metrics
from arbutusstall._shell import exchange
from arbutusstall._shell import peers
from arbutusstall._systems import admission
from arbutusstall._systems import attempts
from arbutusstall._systems import balancing
from arbutusstall._systems import endpoint_stats
from arbutusstall._systems import keys
from arbutusstall._systems import quarantine
from arbutusstall._tables import members
from arbutusstall._wire import messages

NO_ENDPOINT = "no endpoint"
CANCELLED = "cancelled by the caller"
KEY_UNSETTLED = "the key's owner cannot tell"
KEY_MISUSED = "the key belongs to another request"
EARLIER_REQUEST = "an earlier request with this key"

_MAX_REVOKE_WAIT_MS = 1_000
_REVOKE_RETRY_INTERVAL_S = 0.02
_CANCEL_WORKERS = 4
_SERVER_ERROR = 500
# Refusals that eject the endpoint at once, like an unreachable one.
_OUT_OF_SERVICE_REASONS = frozenset(
    {admission.DRAINING, admission.NO_TARGET, admission.UNREACHABLE}
)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Outcome:
    """What to report to the caller.

    Attributes:
        step: Whether there is an answer, the request was not run or its
            outcome is unknown.
        answer: The target's answer, if there is one.
        reason: Why there is no answer.
        retry_after_ms: Delay before a retry that the last endpoint asked
            for; 0 if none.
    """

    step: attempts.Step
    answer: messages.CallAnswer | None = None
    reason: str = ""
    retry_after_ms: int = 0


@dataclasses.dataclass(kw_only=True, slots=True)
class _RunningRequest:
    """A caller's request without an answer, and its attempts.

    Attributes:
        end_s: Monotonic time of the deadline.
        tried_nodes: Nodes that get no further attempt.
        attempt_count: Number of attempts.
        earlier_lost: Whether the outcome of an attempt is unknown.
        fingerprint: Identifies the request that uses the Idempotency-Key;
            empty without a key.
        granted_call_id: Id of the call that holds the Idempotency-Key
            for this request; empty if none does.
    """

    call: messages.CallRequest
    end_s: float
    cancellation: exchange.Cancellation
    tried_nodes: set[str] = dataclasses.field(default_factory=set)
    attempt_count: int = 0
    earlier_lost: bool = False
    fingerprint: str = ""
    granted_call_id: str = ""

    @property
    def left_s(self) -> float:
        return self.end_s - time.monotonic()


class Dispatcher:
    """Sends requests to endpoints, with retries; thread-safe.

    Args:
        prefix: Prefix of the ids of the calls.
    """

    def __init__(
        self,
        settings: _settings.NodeSettings,
        node_peers: peers.Peers,
        balancer: balancing.Balancer,
        prefix: str,
    ) -> None:
        self._calls = settings.calls
        self._peers = node_peers
        self._balancer = balancer
        self._retry_budget = attempts.RetryBudget(settings.calls.retry_share)
        self._prefix = prefix
        self._numbers = itertools.count(1)
        self._cancellations = futures.ThreadPoolExecutor(
            max_workers=_CANCEL_WORKERS
        )
        self._lock = threading.Lock()
        self._view = _effects.View()

    def update_view(self, view: _effects.View) -> None:
        """Choose endpoints for new attempts by ``view``."""
        with self._lock:
            self._balancer.update_endpoints(view, time.monotonic())
        self._view = view
        self._peers.keep_only(
            {
                row.node
                for rows in view.members_by_service.values()
                for row in rows
            }
        )

    def run(
        self,
        call: messages.CallRequest,
        cancellation: exchange.Cancellation,
    ) -> Outcome:
        """Run a request and return its outcome.

        Blocks until the outcome is known, the deadline has passed or the
        caller has cancelled the request.

        Args:
            call: The request; each attempt sets the call id, incarnation,
                send time and remaining deadline.
        """
        with self._lock:
            self._retry_budget.deposit()
        running = _RunningRequest(
            call=call,
            end_s=time.monotonic() + call.deadline_ms / 1000,
            cancellation=cancellation,
            fingerprint=_fingerprint(call),
        )
        attempt = attempts.Attempt(
            state=attempts.AttemptState.NOT_RUN, reason=NO_ENDPOINT
        )
        while True:
            member = self._choose(running)
            if member is None:
                break
            attempt = self._attempt(running, member)
            step = attempts.next_step(
                attempt,
                idempotent=call.idempotent,
                earlier_lost=running.earlier_lost,
            )
            if step is not attempts.Step.RETRY:
                return _outcome(step, attempt)
            running.earlier_lost |= attempt.state is attempts.AttemptState.LOST
            if not self._may_retry(running):
                break
            call_metrics.RETRIES.labels(call.service).inc()
        return _outcome(
            attempts.final_step(attempt, earlier_lost=running.earlier_lost),
            attempt,
        )

    def _choose(self, running: _RunningRequest) -> members.Member | None:
        call = running.call
        with self._lock:
            return self._balancer.choose(
                self._view,
                call.service,
                call.version,
                time.monotonic(),
                running.tried_nodes,
            )

    def _may_retry(self, running: _RunningRequest) -> bool:
        if running.cancellation.cancelled or running.left_s <= 0:
            return False
        if running.attempt_count >= self._calls.attempts:
            return False
        with self._lock:
            return self._retry_budget.withdraw()

    def _attempt(
        self, running: _RunningRequest, member: members.Member
    ) -> attempts.Attempt:
        running.attempt_count += 1
        peer = self._peers.get(member)
        with self._lock:
            self._balancer.record_sent(member.node)
        try:
            bound = peer.clock_bound()
        except errors.PeerUnavailable as exc:
            running.tried_nodes.add(member.node)
            self._report_failure(member, unreachable=True)
            return attempts.Attempt(
                state=attempts.AttemptState.NOT_RUN, reason=exc.reason
            )
        call = msgspec.structs.replace(
            running.call,
            call_id=f"{self._prefix}-{next(self._numbers):x}",
            incarnation=bound.incarnation,
            sent_ms=bound.at(time.monotonic()),
            deadline_ms=max(1, int(running.left_s * 1000)),
        )
        failed = self._claim_key(running, member, call)
        if failed is not None:
            with self._lock:
                self._balancer.record_released(member.node)
            return failed
        attempt = self._send(running, peer, member, call)
        # A confirmed revocation proves that the endpoint works and only a
        # connection failed. A refusal for a stale clock bound carries the
        # current clock, so the next attempt has a better bound.
        may_retry_same = attempt.revoked or (
            attempt.reason in admission.STALE_CLOCK_REFUSALS
        )
        if not may_retry_same:
            running.tried_nodes.add(member.node)
        return attempt

    def _claim_key(
        self,
        running: _RunningRequest,
        member: members.Member,
        call: messages.CallRequest,
    ) -> attempts.Attempt | None:
        """Claim the request's Idempotency-Key for this call.

        Returns:
            None if the call may be sent, otherwise the result of the
            attempt.
        """
        if not call.key or call.idempotent:
            return None
        grant = messages.KeyGrant(
            call_id=call.call_id,
            fingerprint=running.fingerprint,
            node=member.node,
            inbound=member.inbound,
            incarnation=call.incarnation,
            sent_ms=call.sent_ms,
        )
        claimed = self._request_claim(call, grant, running.granted_call_id)
        if claimed.state is messages.KeyState.GRANTED:
            running.granted_call_id = call.call_id
            return None
        if claimed.state is messages.KeyState.MISUSED:
            return attempts.Attempt(
                state=attempts.AttemptState.NOT_RUN,
                reason=KEY_MISUSED,
                retryable=False,
            )
        if claimed.grant is None:
            return attempts.Attempt(
                state=attempts.AttemptState.LOST,
                reason=KEY_UNSETTLED,
                retryable=False,
            )
        earlier = self._resolve_earlier_call(running, call, claimed.grant)
        if earlier.revoked:
            # The earlier call will never run; the next claim replaces it.
            running.granted_call_id = claimed.grant.call_id
        return earlier

    def _request_claim(
        self,
        call: messages.CallRequest,
        grant: messages.KeyGrant,
        replaces: str,
    ) -> messages.KeyClaimed:
        nodes = keys.owners(self._view, call.service)
        owner = keys.owner(call.service, call.key, nodes)
        rows = self._view.members_by_service.get(call.service, ())
        for row in rows:
            if row.node == owner:
                claim = messages.KeyClaim(
                    service=call.service,
                    key=call.key,
                    grant=grant,
                    replaces=replaces,
                )
                return self._peers.get(row).claim(claim)
        return messages.KeyClaimed(state=messages.KeyState.UNSETTLED)

    def _resolve_earlier_call(
        self,
        running: _RunningRequest,
        call: messages.CallRequest,
        grant: messages.KeyGrant,
    ) -> attempts.Attempt:
        earlier = msgspec.structs.replace(
            call,
            call_id=grant.call_id,
            incarnation=grant.incarnation,
            sent_ms=grant.sent_ms,
        )
        peer = self._peers.at_address(grant.node, grant.inbound)
        return self._revoke(running, peer, earlier, EARLIER_REQUEST)

    def _send(
        self,
        running: _RunningRequest,
        peer: peers.Peer,
        member: members.Member,
        call: messages.CallRequest,
    ) -> attempts.Attempt:
        def cancel() -> None:
            peer.abort(call.call_id)
            revoke = _revocation(call, wait_ms=0, cancel=True)
            self._cancellations.submit(peer.revoke, revoke)

        running.cancellation.set_callback(cancel)
        probe_s = running.left_s * self._calls.probe_share
        try:
            answer = peer.call(call, max(0.001, probe_s))
        except errors.PeerUnavailable as exc:
            self._report_failure(member, unreachable=True)
            return attempts.Attempt(
                state=attempts.AttemptState.NOT_RUN, reason=exc.reason
            )
        except errors.OutcomeUnknown as exc:
            self._report_failure(member, unreachable=False)
            return self._revoke(running, peer, call, exc.reason)
        finally:
            running.cancellation.set_callback(None)
        self._report_load(member, answer)
        return attempts.from_answer(answer)

    def _report_load(
        self, member: members.Member, answer: messages.CallAnswer
    ) -> None:
        if answer.not_run in _OUT_OF_SERVICE_REASONS:
            self._report_failure(member, unreachable=True)
        elif answer.unknown or answer.status >= _SERVER_ERROR:
            self._report_failure(member, unreachable=False)
        else:
            with self._lock:
                self._balancer.record_answer(
                    member.node,
                    endpoint_stats.AnswerReport(
                        in_flight=answer.in_flight, slots=answer.slots
                    ),
                    time.monotonic(),
                )

    def _revoke(
        self,
        running: _RunningRequest,
        peer: peers.Peer,
        call: messages.CallRequest,
        reason: str,
    ) -> attempts.Attempt:
        if running.cancellation.cancelled:
            return attempts.Attempt(
                state=attempts.AttemptState.LOST,
                reason=CANCELLED,
                retryable=False,
            )
        revoked = None
        while running.left_s > 0:
            left_ms = int(running.left_s * 1000)
            wait_ms = min(_MAX_REVOKE_WAIT_MS, left_ms)
            revoked = peer.revoke(_revocation(call, wait_ms=wait_ms))
            state = revoked.state.value if revoked else "no answer"
            call_metrics.REVOCATIONS.labels(state).inc()
            if (
                revoked is not None
                and revoked.state is not messages.RevokeState.RUNNING
            ):
                break
            if revoked is None and call.idempotent:
                break
            time.sleep(_REVOKE_RETRY_INTERVAL_S)
        return attempts.from_revocation(revoked, reason)

    def _report_failure(
        self, member: members.Member, *, unreachable: bool
    ) -> None:
        with self._lock:
            self._balancer.record_failure(
                member.node, time.monotonic(), unreachable
            )


def _fingerprint(call: messages.CallRequest) -> str:
    if not call.key:
        return ""
    return quarantine.fingerprint(call.method, call.path, call.body, call.key)


def _revocation(
    call: messages.CallRequest, *, wait_ms: int, cancel: bool = False
) -> messages.CallRevoke:
    return messages.CallRevoke(
        call_id=call.call_id,
        incarnation=call.incarnation,
        sent_ms=call.sent_ms,
        wait_ms=wait_ms,
        cancel=cancel,
    )


def _outcome(step: attempts.Step, attempt: attempts.Attempt) -> Outcome:
    return Outcome(
        step=step,
        answer=attempt.answer,
        reason=attempt.reason,
        retry_after_ms=attempt.retry_after_ms,
    )
