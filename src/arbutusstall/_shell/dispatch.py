"""Sends a caller's request to endpoints until its outcome is known."""

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
from arbutusstall._systems import keys
from arbutusstall._systems import quarantine
from arbutusstall._tables import members
from arbutusstall._wire import messages

NO_ENDPOINT = "no endpoint"
CANCELLED = "cancelled by the caller"
UNSETTLED = "the key's owner cannot tell"
MISUSED = "the key belongs to another request"
EARLIER = "an earlier request with this key"

_REVOKE_WAIT_MS = 1_000
_REVOKE_PAUSE_S = 0.02
_CANCEL_WORKERS = 4
_SERVER_ERROR = 500
_OUT_OF_SERVICE = frozenset(
    {admission.DRAINING, admission.NO_TARGET, admission.UNREACHABLE}
)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Outcome:
    """What the caller is told.

    Attributes:
        step: Answer, not run or unknown.
        reason: Why there is no answer.
    """

    step: attempts.Step
    answer: messages.CallAnswer | None = None
    reason: str = ""
    retry_after_ms: int = 0


@dataclasses.dataclass(kw_only=True, slots=True)
class _Progress:
    call: messages.CallRequest
    end_s: float
    cancellation: exchange.Cancellation
    tried: set[str] = dataclasses.field(default_factory=set)
    count: int = 0
    earlier_lost: bool = False
    fingerprint: str = ""
    granted: str = ""

    @property
    def left_s(self) -> float:
        return self.end_s - time.monotonic()


class Dispatcher:
    """Runs the attempts of requests."""

    def __init__(
        self,
        settings: _settings.NodeSettings,
        peers_by_node: peers.Peers,
        balancer: balancing.Balancer,
        prefix: str,
    ) -> None:
        self._calls = settings.calls
        self._peers = peers_by_node
        self._balancer = balancer
        self._budget = attempts.RetryBudget(settings.calls.retry_share)
        self._prefix = prefix
        self._numbers = itertools.count(1)
        self._cancellations = futures.ThreadPoolExecutor(
            max_workers=_CANCEL_WORKERS
        )
        self._lock = threading.Lock()
        self._view = _effects.View()

    def update_view(self, view: _effects.View) -> None:
        """Choose endpoints by ``view`` from now on."""
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
        """Return the outcome of a request.

        Args:
            call: The request; ids and stamps are filled in here.
        """
        with self._lock:
            self._budget.deposit()
        progress = _Progress(
            call=call,
            end_s=time.monotonic() + call.deadline_ms / 1000,
            cancellation=cancellation,
            fingerprint=_fingerprint(call),
        )
        attempt = attempts.Attempt(
            state=attempts.AttemptState.NOT_RUN, reason=NO_ENDPOINT
        )
        while True:
            member = self._choose(progress)
            if member is None:
                break
            attempt = self._attempt(progress, member)
            step = attempts.next_step(
                attempt,
                idempotent=call.idempotent,
                earlier_lost=progress.earlier_lost,
            )
            if step is not attempts.Step.RETRY:
                return _outcome(step, attempt)
            progress.earlier_lost |= (
                attempt.state is attempts.AttemptState.LOST
            )
            if not self._may_go_on(progress):
                break
            call_metrics.RETRIES.labels(call.service).inc()
        return _outcome(
            attempts.final_step(attempt, earlier_lost=progress.earlier_lost),
            attempt,
        )

    def _choose(self, progress: _Progress) -> members.Member | None:
        call = progress.call
        with self._lock:
            return self._balancer.choose(
                self._view,
                call.service,
                call.version,
                time.monotonic(),
                progress.tried,
            )

    def _may_go_on(self, progress: _Progress) -> bool:
        if progress.cancellation.cancelled or progress.left_s <= 0:
            return False
        if progress.count >= self._calls.attempts:
            return False
        with self._lock:
            return self._budget.withdraw()

    def _attempt(
        self, progress: _Progress, member: members.Member
    ) -> attempts.Attempt:
        progress.count += 1
        peer = self._peers.get(member)
        with self._lock:
            self._balancer.record_sent(member.node)
        try:
            bound = peer.bound()
        except errors.PeerUnavailable as exc:
            progress.tried.add(member.node)
            self._failed(member, unreachable=True)
            return attempts.Attempt(
                state=attempts.AttemptState.NOT_RUN, reason=exc.reason
            )
        call = msgspec.structs.replace(
            progress.call,
            call_id=f"{self._prefix}-{next(self._numbers):x}",
            incarnation=bound.incarnation,
            sent_ms=bound.at(time.monotonic()),
            deadline_ms=max(1, int(progress.left_s * 1000)),
        )
        denied = self._claim(progress, member, call)
        if denied is not None:
            with self._lock:
                self._balancer.record_released(member.node)
            return denied
        attempt = self._send(progress, peer, member, call)
        # After a revocation the endpoint is well; only a link was not.
        same_may_do = attempt.revoked or (
            attempt.reason in admission.STALE_CLOCK_REFUSALS
        )
        if not same_may_do:
            progress.tried.add(member.node)
        return attempt

    def _claim(
        self,
        progress: _Progress,
        member: members.Member,
        call: messages.CallRequest,
    ) -> attempts.Attempt | None:
        """Claim the request's key; None if the call may be sent."""
        if not call.key or call.idempotent:
            return None
        grant = messages.KeyGrant(
            call_id=call.call_id,
            fingerprint=progress.fingerprint,
            node=member.node,
            inbound=member.inbound,
            incarnation=call.incarnation,
            sent_ms=call.sent_ms,
        )
        claimed = self._claim_for(call, grant, progress.granted)
        if claimed.state is messages.KeyState.GRANTED:
            progress.granted = call.call_id
            return None
        if claimed.state is messages.KeyState.MISUSED:
            return attempts.Attempt(
                state=attempts.AttemptState.NOT_RUN,
                reason=MISUSED,
                retryable=False,
            )
        if claimed.grant is None:
            return attempts.Attempt(
                state=attempts.AttemptState.LOST,
                reason=UNSETTLED,
                retryable=False,
            )
        earlier = self._ask_for(progress, call, claimed.grant)
        if earlier.revoked:
            # The earlier call will never run; its key is free.
            progress.granted = claimed.grant.call_id
        return earlier

    def _claim_for(
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

    def _ask_for(
        self,
        progress: _Progress,
        call: messages.CallRequest,
        grant: messages.KeyGrant,
    ) -> attempts.Attempt:
        earlier = msgspec.structs.replace(
            call,
            call_id=grant.call_id,
            incarnation=grant.incarnation,
            sent_ms=grant.sent_ms,
        )
        peer = self._peers.at(grant.node, grant.inbound)
        return self._revoke(progress, peer, earlier, EARLIER)

    def _send(
        self,
        progress: _Progress,
        peer: peers.Peer,
        member: members.Member,
        call: messages.CallRequest,
    ) -> attempts.Attempt:
        def cancel() -> None:
            peer.abort(call.call_id)
            revoke = _revocation(call, wait_ms=0, cancel=True)
            self._cancellations.submit(peer.revoke, revoke)

        progress.cancellation.set_callback(cancel)
        probe_s = progress.left_s * self._calls.probe_share
        try:
            answer = peer.call(call, max(0.001, probe_s))
        except errors.PeerUnavailable as exc:
            self._failed(member, unreachable=True)
            return attempts.Attempt(
                state=attempts.AttemptState.NOT_RUN, reason=exc.reason
            )
        except errors.OutcomeUnknown as exc:
            self._failed(member, unreachable=False)
            return self._revoke(progress, peer, call, exc.reason)
        finally:
            progress.cancellation.set_callback(None)
        self._learn(member, answer)
        return attempts.from_answer(answer)

    def _learn(
        self, member: members.Member, answer: messages.CallAnswer
    ) -> None:
        if answer.not_run in _OUT_OF_SERVICE:
            self._failed(member, unreachable=True)
        elif answer.unknown or answer.status >= _SERVER_ERROR:
            self._failed(member, unreachable=False)
        else:
            with self._lock:
                self._balancer.record_answer(
                    member.node,
                    balancing.AnswerReport(
                        in_flight=answer.in_flight, slots=answer.slots
                    ),
                    time.monotonic(),
                )

    def _revoke(
        self,
        progress: _Progress,
        peer: peers.Peer,
        call: messages.CallRequest,
        reason: str,
    ) -> attempts.Attempt:
        if progress.cancellation.cancelled:
            return attempts.Attempt(
                state=attempts.AttemptState.LOST,
                reason=CANCELLED,
                retryable=False,
            )
        revoked = None
        while progress.left_s > 0:
            left_ms = int(progress.left_s * 1000)
            wait_ms = min(_REVOKE_WAIT_MS, left_ms)
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
            time.sleep(_REVOKE_PAUSE_S)
        return attempts.from_revocation(revoked, reason)

    def _failed(self, member: members.Member, *, unreachable: bool) -> None:
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
