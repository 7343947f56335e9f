"""The outbound proxy: routes callers' requests to endpoints."""

import asyncio
from collections import abc
import dataclasses
import itertools
import random

import msgspec

from arbutusstall import _effects
from arbutusstall import _settings
from arbutusstall import errors
from arbutusstall._proxy import call_log
from arbutusstall._proxy import dialects
from arbutusstall._proxy import endpoint_choice
from arbutusstall._proxy import http_messages
from arbutusstall._proxy import http_server
from arbutusstall._proxy import inbound
from arbutusstall._proxy import peers as peer_links
from arbutusstall._proxy import running_request
from arbutusstall._proxy import target_states
from arbutusstall._shell import call_metrics
from arbutusstall._shell import events
from arbutusstall._systems import admission
from arbutusstall._systems import attempts
from arbutusstall._systems import caller_waits
from arbutusstall._systems import regions
from arbutusstall._systems import routing
from arbutusstall._tables import agreed
from arbutusstall._tables import members
from arbutusstall._tenants import directory
from arbutusstall._tenants import freshness
from arbutusstall._tenants import gate as gates
from arbutusstall._wire import messages

NO_ENDPOINT = "no endpoint"
NO_CONFIGURATION = "no configuration yet"
NO_ROUTE = "no route"
TOO_DEEP = "too deep"
UNREACHABLE = "no endpoint is reachable"
TIMED_OUT = "no answer in time"
STOPPING = "node stops"
OVER_QUOTA = "tenant over its quota"

# An answer that arrives shortly after the deadline is still passed on.
_LATE_ANSWER_GRACE_S = 0.12
# Attempts that were refused before they reached a target cost no endpoint
# any work. They have this limit of their own and use no retry budget.
_MAX_REFUSALS = 3
_NO_ENDPOINT_RETRY_MS = 300
# By then callers are sent to other nodes, where a retry succeeds.
_STOPPING_RETRY_MS = 100
# After this time without a connection to any endpoint, a request is
# refused rather than held while further endpoints are tried.
_MAX_CONNECT_MS = 200
# Lost calls that are not retried, since the caller no longer waits.
_NOT_RETRYABLE_REASONS = frozenset({admission.LATE, inbound.CANCELLED})
# Refusals that a target gave itself; they count as attempts.
_AT_TARGET_REASONS = frozenset({admission.SHED, admission.MISDIRECTED})


_NO_ENDPOINT_ATTEMPT = attempts.Attempt(
    state=attempts.AttemptState.NOT_RUN,
    reason=NO_ENDPOINT,
    retry_after_ms=_NO_ENDPOINT_RETRY_MS,
)
_UNREACHABLE_ATTEMPT = attempts.Attempt(
    state=attempts.AttemptState.NOT_RUN,
    reason=UNREACHABLE,
    retry_after_ms=_NO_ENDPOINT_RETRY_MS,
)
_STOPPING_ATTEMPT = attempts.Attempt(
    state=attempts.AttemptState.NOT_RUN,
    reason=STOPPING,
    retry_after_ms=_STOPPING_RETRY_MS,
)
_KINDS_BY_REFUSAL = {
    directory.Refusal.NO_KEY: dialects.FailureKind.UNAUTHORIZED,
    directory.Refusal.UNKNOWN_KEY: dialects.FailureKind.UNAUTHORIZED,
    directory.Refusal.UNKNOWN_PARENT: dialects.FailureKind.NOT_RUN,
    directory.Refusal.STALE: dialects.FailureKind.NOT_RUN,
}


class Outbound:
    """Answers callers through the targets of all nodes.

    Args:
        is_request_running: Returns whether the local target is running
            the request with a given id.
        prefix: Prefix of the ids of the calls.
        gate: Admits the requests of tenants; None if there are no quotas.
    """

    def __init__(
        self,
        settings: _settings.NodeSettings,
        dialect: dialects.Dialect,
        peers: peer_links.Peers,
        is_request_running: abc.Callable[[str], bool],
        log: events.EventLog,
        prefix: str,
        gate: gates.QuotaGate | None = None,
    ) -> None:
        self._settings = settings
        self._dialect = dialect
        self._peers = peers
        self._is_request_running = is_request_running
        self._log = call_log.CallLog(log)
        self._prefix = prefix
        self._gate = gate or gates.UnlimitedGate()
        # None if the configuration holds no tenants.
        self._directory: directory.Directory | None = None
        self._evidence = freshness.KeyEvidence(settings.tenants)
        self._loop = asyncio.get_running_loop()
        self._rng = random.Random()
        self._view = _effects.View()
        self._choice = endpoint_choice.EndpointChoice(
            settings.data_centre, peers, self._rng
        )
        self._target_states = target_states.RemoteTargetStates()
        self._caller_waits = caller_waits.CallerWaits()
        self._budgets_by_service: dict[str, attempts.RetryBudget] = {}
        self._numbers = itertools.count(1)
        self._running_by_number: dict[int, running_request.RunningRequest] = {}
        self._is_stopping = False

    @property
    def view(self) -> _effects.View:
        """The view by which calls are routed now."""
        return self._view

    @property
    def in_flight(self) -> int:
        """Number of requests that have no answer yet."""
        return len(self._running_by_number)

    def put_in_force(self, effect: _effects.PutInForce) -> None:
        """Route new calls by the effect's view."""
        view = effect.view
        tenants = view.snapshot.tenants_by_name
        if tenants is not self._view.snapshot.tenants_by_name:
            self._directory = (
                directory.Directory(tenants.values()) if tenants else None
            )
        self._view = view
        self._choice.update_endpoints(view)
        self._peers.keep_only(
            {
                row.node
                for rows in view.members_by_service.values()
                for row in rows
            }
        )

    def confirm_keys(self, effect: _effects.KeysConfirmed) -> None:
        """Serve requests with keys for longer."""
        self._evidence.confirm(effect, self._view.snapshot.source_version)

    def handle(self, exchange: http_server.Exchange) -> None:
        """Answer one request of a caller."""
        try:
            incoming = self._dialect.read_request(exchange.request)
        except errors.WireError as exc:
            self._reject(
                exchange, dialects.FailureKind.INVALID, "-", exc.reason
            )
            return
        view = self._view
        request_id = incoming.request_id
        route = routing.match(view, incoming.path, incoming.host)
        access = self._check_access(exchange.request, incoming, route)
        if access is not None and access.refusal is not None:
            call_metrics.ACCESS_REFUSALS.labels(access.refusal.value).inc()
            self._reject(
                exchange,
                _KINDS_BY_REFUSAL[access.refusal],
                request_id,
                access.refusal.value,
                retry_after_ms=_NO_ENDPOINT_RETRY_MS,
            )
            return
        if route is None:
            # The log's part may be known before the source's.
            known = bool(
                view.snapshot.source_version or view.snapshot.routes_by_prefix
            )
            self._reject(
                exchange,
                dialects.FailureKind.NO_ROUTE
                if known
                else dialects.FailureKind.NOT_RUN,
                request_id,
                NO_ROUTE if known else NO_CONFIGURATION,
                retry_after_ms=_NO_ENDPOINT_RETRY_MS,
            )
            return
        if incoming.depth >= self._settings.calls.max_depth:
            kind = dialects.FailureKind.INVALID
            self._reject(exchange, kind, request_id, TOO_DEEP)
            return
        tenant = None
        if access is not None:
            tenant = access.tenant
            incoming = self._hide_key(incoming, tenant)
        running = self._admit(exchange, incoming, route, tenant)
        if self._is_stopping and not running.nested:
            self._give_up(running, _STOPPING_ATTEMPT)
            return
        self._attempt(running)

    def refuse_new(self) -> None:
        """Refuse new requests from now on, since the node stops.

        Nested calls are excepted: the requests above them have begun.
        """
        self._is_stopping = True

    def close(self) -> None:
        """Answer the requests in flight and close the connections."""
        for running in list(self._running_by_number.values()):
            self._end_unanswered(running, STOPPING)
        self._peers.close()

    def _check_access(
        self,
        request: http_messages.Request,
        incoming: dialects.IncomingRequest,
        route: agreed.Route | None,
    ) -> directory.Access | None:
        """Find the tenant of a request; None if there are no tenants."""
        if self._directory is None:
            return None
        snapshot = self._view.snapshot
        return self._directory.check(
            self._dialect.api_key(request),
            is_exempt=route is not None
            and snapshot.access(route.prefix).auth_exempt,
            has_parent=bool(incoming.parent_id),
            is_parent_running=self._is_parent_running(incoming),
            is_fresh=self._evidence.is_fresh,
        )

    def _is_parent_running(self, incoming: dialects.IncomingRequest) -> bool:
        """Return whether the local target is running the request above."""
        return bool(incoming.parent_id) and self._is_request_running(
            incoming.parent_id
        )

    def _hide_key(
        self,
        incoming: dialects.IncomingRequest,
        tenant: agreed.Tenant | None,
    ) -> dialects.IncomingRequest:
        """Return the request without its key and with its tenant's name."""
        name = tenant.name if tenant is not None else ""
        headers = self._dialect.tenant_headers(incoming.headers, name)
        return dataclasses.replace(incoming, headers=headers)

    def _admit(
        self,
        exchange: http_server.Exchange,
        incoming: dialects.IncomingRequest,
        route: agreed.Route,
        tenant: agreed.Tenant | None,
    ) -> running_request.RunningRequest:
        now_s = self._loop.time()
        timeout_ms = route.timeout_ms
        if incoming.deadline_ms is not None:
            timeout_ms = min(timeout_ms, incoming.deadline_ms)
        service = routing.choose_service(route, self._rng)
        # Targets send their own calls without a key.
        nested = tenant is None and self._is_parent_running(incoming)
        waited_ms = 0
        if incoming.deadline_ms is not None and not nested:
            waited_ms = self._caller_waits.waited_ms(
                route.prefix, incoming.deadline_ms, now_s
            )
        self._retry_budget(service).deposit()
        running = running_request.RunningRequest(
            number=next(self._numbers),
            exchange=exchange,
            incoming=incoming,
            route=route,
            call=running_request.build_call(
                incoming, route, service, timeout_ms, nested, tenant
            ),
            nested=nested,
            tenant=tenant,
            waited_ms=waited_ms,
            started_s=now_s,
            end_s=now_s + timeout_ms / 1000,
        )
        running.timer = self._loop.call_at(
            running.end_s + _LATE_ANSWER_GRACE_S, self._on_timeout, running
        )
        exchange.on_cancelled = lambda: self._on_cancelled(running)
        self._running_by_number[running.number] = running
        return running

    def _attempt(self, running: running_request.RunningRequest) -> None:
        """Send the request to the next endpoint.

        Fails the request if no endpoint or no time is left.
        """
        service = running.call.service
        view = self._allowed_view(running)
        version = routing.choose_version(view, service, self._rng)
        running.member = running.peer = None
        if version is None or self._loop.time() >= running.end_s:
            self._give_up(running, running.last or _NO_ENDPOINT_ATTEMPT)
            return
        # An attempt that was refused before it reached a target leaves its
        # place in the quota to the next one.
        if running.tenant is not None and running.sends >= running.admitted:
            self._gate.request(
                running.tenant,
                lambda wait_ms: self._on_quota(running, wait_ms),
            )
            return
        self._choice.choose(
            view,
            service,
            version,
            running.tried_nodes,
            running.call.rank,
            lambda choice: self._on_choice(running, version, choice),
        )

    def _on_quota(
        self, running: running_request.RunningRequest, wait_ms: int
    ) -> None:
        if running.ended:
            return
        if wait_ms == 0:
            running.admitted += 1
            self._attempt(running)
            return
        attempt = attempts.Attempt(
            state=attempts.AttemptState.NOT_RUN,
            reason=OVER_QUOTA,
            retry_after_ms=wait_ms,
        )
        self._give_up(running, attempt, dialects.FailureKind.OVER_QUOTA)

    def _allowed_view(
        self, running: running_request.RunningRequest
    ) -> _effects.View:
        access = self._view.snapshot.access(running.route.prefix)
        tenant = running.tenant
        return regions.restrict(
            self._view,
            running.call.service,
            self._settings.regions,
            access.regions,
            tenant.regions if tenant is not None else (),
        )

    def _on_choice(
        self,
        running: running_request.RunningRequest,
        version: str,
        choice: endpoint_choice.Choice,
    ) -> None:
        if running.ended:
            return
        left_ms = int((running.end_s - self._loop.time()) * 1000)
        if choice.member is not None and left_ms > 0:
            self._send(running, version, choice.member, left_ms)
            return
        if choice.limited_ms:
            attempt = _over_limit_attempt(choice.limited_ms)
            attempt = attempts.with_earliest_retry(attempt, running.last)
            self._give_up(running, attempt)
            return
        if not choice.unreachable:
            self._give_up(running, running.last or _NO_ENDPOINT_ATTEMPT)
            return
        running.tried_nodes |= choice.unreachable
        running.refusals += 1
        running.last = running.last or _UNREACHABLE_ATTEMPT
        is_brief = self._elapsed_ms(running) < _MAX_CONNECT_MS
        if is_brief and running.refusals <= _MAX_REFUSALS:
            self._attempt(running)
            return
        self._give_up(running, running.last)

    def _send(
        self,
        running: running_request.RunningRequest,
        version: str,
        member: members.Member,
        left_ms: int,
    ) -> None:
        running.sends += 1
        running.member = member
        running.peer = self._peers.get(member)
        running.call = msgspec.structs.replace(
            running.call,
            call_id=f"{self._prefix}-{next(self._numbers):x}",
            version=version,
            deadline_ms=left_ms,
            aim_ms=self._aim_ms(running),
            target_state=self._target_states.get(member.node),
        )
        running.tried_nodes.add(member.node)
        self._choice.record_sent(member.node)
        call_id = running.call.call_id
        running.peer.call(
            running.call,
            lambda result: self._on_result(running, call_id, result),
        )

    def _on_result(
        self,
        running: running_request.RunningRequest,
        call_id: str,
        result: messages.CallAnswer | errors.ArbutusstallError,
    ) -> None:
        member = running.member
        if member is None or running.call.call_id != call_id:
            return
        if running.ended:
            return
        if isinstance(result, messages.CallAnswer):
            self._target_states.record(member.node, result.target_state)
            self._choice.record_answer(member.node, running.call, result)
            self._decide(running, _attempt_from_answer(running.call, result))
        elif isinstance(result, errors.PeerUnavailable):
            self._choice.record_failure(member.node, unreachable=True)
            attempt = attempts.Attempt(
                state=attempts.AttemptState.NOT_RUN, reason=result.reason
            )
            self._decide(running, attempt)
        else:
            self._choice.record_failure(member.node, unreachable=False)
            self._resolve_lost_call(running, result)

    def _resolve_lost_call(
        self,
        running: running_request.RunningRequest,
        problem: errors.ArbutusstallError,
    ) -> None:
        """Find out the outcome of a call whose connection has ended."""
        call = running.call
        peer = running.peer
        if peer is None or call.idempotent:
            attempt = attempts.from_revocation(None, problem.reason)
            self._decide(running, attempt)
            return
        peer.revoke(
            call,
            lambda revoked: self._on_revoked(
                running, call.call_id, revoked, problem.reason
            ),
        )

    def _on_revoked(
        self,
        running: running_request.RunningRequest,
        call_id: str,
        revoked: messages.CallRevoked | None,
        reason: str,
    ) -> None:
        if running.ended or running.call.call_id != call_id:
            return
        state = revoked.state.value if revoked else "no answer"
        call_metrics.REVOCATIONS.labels(state).inc()
        if revoked is not None and revoked.answer and running.member:
            self._target_states.record(
                running.member.node, revoked.answer.target_state
            )
        self._decide(running, attempts.from_revocation(revoked, reason))

    def _decide(
        self,
        running: running_request.RunningRequest,
        attempt: attempts.Attempt,
    ) -> None:
        """Answer the caller, or retry at another endpoint."""
        call = running.call
        if running.member is not None:
            self._peers.forget(running.member.node, call.call_id)
        step = attempts.next_step(
            attempt,
            idempotent=call.idempotent,
            earlier_lost=running.earlier_lost,
        )
        if step is attempts.Step.ANSWER and attempt.answer is not None:
            self._answer_caller(running, attempt.answer)
            return
        lost = attempt.state is attempts.AttemptState.LOST
        running.earlier_lost |= lost
        attempt = attempts.with_earliest_retry(attempt, running.last)
        running.last = attempt
        if step is attempts.Step.RETRY and self._may_retry(running, attempt):
            call_metrics.RETRIES.labels(call.service).inc()
            self._attempt(running)
            return
        self._give_up(running, attempt)

    def _may_retry(
        self,
        running: running_request.RunningRequest,
        attempt: attempts.Attempt,
    ) -> bool:
        if self._loop.time() >= running.end_s:
            return False
        reached = (
            attempt.state is attempts.AttemptState.LOST
            or attempt.reason in _AT_TARGET_REASONS
        )
        if not reached:
            running.refusals += 1
            running.sends -= 1
            return running.refusals <= _MAX_REFUSALS
        limit = running.route.max_attempts or self._settings.calls.attempts
        if running.sends >= limit:
            return False
        budget = self._retry_budget(running.call.service)
        return budget.withdraw(nested=running.nested)

    def _answer_caller(
        self,
        running: running_request.RunningRequest,
        answer: messages.CallAnswer,
    ) -> None:
        target_ms = running.route.target_latency_ms
        if target_ms and self._elapsed_ms(running) > target_ms:
            self._log.late(self._progress(running), answer)
        response = self._dialect.answer(running.call, answer)
        self._end_with(running, attempts.Step.ANSWER, response)

    def _give_up(
        self,
        running: running_request.RunningRequest,
        attempt: attempts.Attempt,
        not_run_kind: dialects.FailureKind = dialects.FailureKind.NOT_RUN,
    ) -> None:
        step = attempts.final_step(attempt, earlier_lost=running.earlier_lost)
        not_run = step is attempts.Step.REPORT_NOT_RUN
        kind = not_run_kind if not_run else dialects.FailureKind.UNKNOWN
        self._end_failed(running, step, kind, attempt)

    def _on_timeout(self, running: running_request.RunningRequest) -> None:
        running.timer = None
        if not running.ended:
            self._end_unanswered(running, TIMED_OUT)

    def _end_unanswered(
        self, running: running_request.RunningRequest, reason: str
    ) -> None:
        """Answer a request whose current attempt has not ended."""
        if running.peer is not None:
            running.peer.cancel(running.call)
        if running.member is None:
            self._give_up(running, running.last or _UNREACHABLE_ATTEMPT)
            return
        self._choice.record_released(running.member.node)
        self._end_failed(
            running,
            attempts.Step.REPORT_UNKNOWN,
            dialects.FailureKind.TIMEOUT,
            attempts.Attempt(state=attempts.AttemptState.LOST, reason=reason),
        )

    def _on_cancelled(self, running: running_request.RunningRequest) -> None:
        if running.ended:
            return
        if running.peer is not None:
            running.peer.cancel(running.call)
        if running.member is not None:
            self._choice.record_released(running.member.node)
        self._finish(running, "cancelled")

    def _end_failed(
        self,
        running: running_request.RunningRequest,
        step: attempts.Step,
        kind: dialects.FailureKind,
        attempt: attempts.Attempt,
    ) -> None:
        retry_after_ms = attempt.retry_after_ms
        if kind is not dialects.FailureKind.OVER_QUOTA:
            # Callers that endpoints refused together return spread out. The
            # quota's delay differs by request already.
            retry_after_ms = attempts.spread_retry_ms(
                retry_after_ms, self._rng
            )
        failure = dialects.Failure(
            kind=kind,
            request_id=running.call.request_id,
            reason=attempt.reason,
            retry_after_ms=retry_after_ms,
        )
        self._log.failed(
            self._progress(running), step, failure, self._view.snapshot
        )
        response = self._dialect.failure(failure)
        self._end_with(running, step, response)

    def _end_with(
        self,
        running: running_request.RunningRequest,
        step: attempts.Step,
        response: http_messages.Response,
    ) -> None:
        exchange = running.exchange
        self._finish(running, step.value)
        exchange.answer(response)

    def _finish(
        self, running: running_request.RunningRequest, outcome: str
    ) -> None:
        running.ended = True
        running.exchange.on_cancelled = None
        del self._running_by_number[running.number]
        if running.timer is not None:
            running.timer.cancel()
            running.timer = None
        call = running.call
        call_metrics.CALLS.labels(call.service, call.version, outcome).inc()
        call_metrics.LATENCY.labels(call.service).observe(
            self._loop.time() - running.started_s
        )

    def _reject(
        self,
        exchange: http_server.Exchange,
        kind: dialects.FailureKind,
        request_id: str,
        reason: str,
        retry_after_ms: int = 0,
    ) -> None:
        failure = dialects.Failure(
            kind=kind,
            request_id=request_id,
            reason=reason,
            retry_after_ms=retry_after_ms,
        )
        self._log.refused(
            failure, exchange.request.target, self._view.snapshot
        )
        exchange.answer(self._dialect.failure(failure))

    def _retry_budget(self, service: str) -> attempts.RetryBudget:
        budget = self._budgets_by_service.get(service)
        if budget is None:
            calls = self._settings.calls
            budget = attempts.RetryBudget(calls.retry_share, calls.retry_burst)
            self._budgets_by_service[service] = budget
        return budget

    def _progress(
        self, running: running_request.RunningRequest
    ) -> call_log.CallProgress:
        return call_log.CallProgress(
            call=running.call,
            peer=running.member.node if running.member else "",
            sends=running.sends,
            refusals=running.refusals,
            held_ms=self._elapsed_ms(running),
            waited_ms=running.waited_ms,
        )

    def _aim_ms(self, running: running_request.RunningRequest) -> int:
        """Return the time left to the latency objective; 0 if there is none.

        Nested calls have none: refusing one for the objective would waste
        the work of the request above it. The objective counts from the
        caller's first attempt, so the time that the caller has already
        waited is subtracted.
        """
        target_ms = running.route.target_latency_ms
        if running.nested or not target_ms:
            return 0
        spent_ms = running.waited_ms + self._elapsed_ms(running)
        return max(1, target_ms - spent_ms)

    def _elapsed_ms(self, running: running_request.RunningRequest) -> int:
        return int((self._loop.time() - running.started_s) * 1000)


def _attempt_from_answer(
    call: messages.CallRequest, answer: messages.CallAnswer
) -> attempts.Attempt:
    attempt = attempts.from_answer(answer)
    lost = attempt.state is attempts.AttemptState.LOST
    if (
        lost
        and call.idempotent
        and attempt.reason not in _NOT_RETRYABLE_REASONS
    ):
        return dataclasses.replace(attempt, retryable=True)
    return attempt


def _over_limit_attempt(limited_ms: int) -> attempts.Attempt:
    return attempts.Attempt(
        state=attempts.AttemptState.NOT_RUN,
        reason=admission.OVER_LIMIT,
        retry_after_ms=limited_ms,
    )
