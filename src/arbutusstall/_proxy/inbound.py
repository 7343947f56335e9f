"""The inbound proxy: admits calls to the local target."""

import asyncio
from collections import abc
import dataclasses
import time

import msgspec

from arbutusstall import _effects
from arbutusstall import _settings
from arbutusstall import errors
from arbutusstall._proxy import background
from arbutusstall._proxy import byte_budget
from arbutusstall._proxy import call_memory
from arbutusstall._proxy import dialects
from arbutusstall._proxy import http_client
from arbutusstall._proxy import http_messages
from arbutusstall._proxy import target_log
from arbutusstall._proxy import target_probe
from arbutusstall._proxy import target_states
from arbutusstall._shell import call_metrics
from arbutusstall._shell import events
from arbutusstall._shell import outcome_counter
from arbutusstall._systems import admission
from arbutusstall._systems import arrivals
from arbutusstall._systems import cold_limit
from arbutusstall._systems import quarantine
from arbutusstall._systems import revocation
from arbutusstall._wire import messages

AnswerCallback = abc.Callable[[messages.CallAnswer], None]
RevokedCallback = abc.Callable[[messages.CallRevoked], None]
LeavingCallback = abc.Callable[[str], None]

CANCELLED = "cancelled by the caller"
CRASHED = "target crashed"

# Part of the deadline reserved for returning the answer to the caller's
# node; the target has to finish before it begins.
_ANSWER_RETURN_MS = 10
# A target may work until its deadline, and its answer arrives shortly after.
_LATE_ANSWER_GRACE_MS = 60
_FLUSH_INTERVAL_S = 0.25
# Delays the answer to a call that crashed its target, so that the suspect
# marks reach the other nodes before the caller can retry.
_SUSPECT_SPREAD_S = 0.1


@dataclasses.dataclass(kw_only=True, slots=True)
class _RunningCall:
    """An admitted call, queued or started, that has not ended.

    Attributes:
        done: Called once with the answer.
        fingerprint: Digest by which crash suspects are recognized.
        arrived_ms: Arrival time on the clock of this incarnation.
        target: Target at the time of admission.
        started_s: Loop time of the start, zero while the call is queued.
        connection: Connection that carries the call at present.
        cancelled: Whether the sender has cancelled the call.
        held: Bytes of the budgets that its head and body take.
        revocations: Called with the outcome, one for each revocation
            that came while the call ran.
    """

    call: messages.CallRequest
    done: AnswerCallback
    fingerprint: str
    arrived_ms: int
    target: _effects.Announced
    started_s: float = 0.0
    timer: asyncio.TimerHandle | None = None
    connection: http_client.Connection | None = None
    cancelled: bool = False
    held: call_memory.CallMemory
    revocations: list[RevokedCallback] = dataclasses.field(
        default_factory=list
    )


class Inbound:
    """Admits calls, runs them at the target and counts their outcomes.

    Args:
        put: Queues events for the decision logic.
        bodies: Bounds the bodies that the process holds; if None, the
            proxy gets a budget of its own.

    Attributes:
        on_leaving: Called with the instance of a target that says in an
            answer that it is about to stop.
    """

    def __init__(
        self,
        settings: _settings.NodeSettings,
        dialect: dialects.Dialect,
        incarnation: int,
        put: abc.Callable[[_effects.Event], None],
        log: events.EventLog,
        bodies: byte_budget.ByteBudget | None = None,
    ) -> None:
        calls = settings.calls
        self.incarnation = incarnation
        self.on_leaving: LeavingCallback | None = None
        self._settings = settings
        self._dialect = dialect
        self._put = put
        self._log = target_log.TargetLog(log)
        # Apart from the bodies, so that slow uploads do not keep out calls
        # without a body.
        self.heads = byte_budget.ByteBudget(settings.reads.head_bytes)
        self._bodies = bodies or byte_budget.ByteBudget(
            settings.reads.held_bytes
        )
        self._loop = asyncio.get_running_loop()
        self._began_s = self._loop.time()
        self._counter = outcome_counter.OutcomeCounter(put)
        table = revocation.CallTable(
            incarnation,
            revocation.Limits(
                horizon_ms=calls.horizon_ms,
                max_entries=calls.remembered,
                max_answer_bytes=calls.remembered_bytes,
            ),
        )
        self.admission = admission.Admission(
            table,
            calls.slots,
            calls.queue,
            calls.queue_ms,
        )
        self.admission.limit.cold = cold_limit.ColdLimit(settings.cold)
        self.admission.limit.cold.set_rate(None, 0)
        self._is_cold_limited = False
        self._service = ""
        self._view = _effects.View()
        self._suspects = quarantine.Suspects()
        self._running_by_id: dict[str, _RunningCall] = {}
        self._request_ids_at_target: set[str] = set()
        self._target: _effects.Announced | None = None
        self._pool: http_client.Pool | None = None
        self._stopping = False
        self._crash_count = 0
        self._sent_count = 0
        self._target_state = target_states.LocalTargetState(
            self.admission.limit, self._log
        )
        self._tasks = background.Tasks()
        self._flusher = background.Periodic(
            "outcome counts", _FLUSH_INTERVAL_S, self._counter.flush
        )
        call_metrics.IN_FLIGHT.set_function(lambda: self.admission.in_flight)
        call_metrics.QUEUED.set_function(lambda: self.admission.queued)
        call_metrics.REMEMBERED.set_function(lambda: len(table))

    @property
    def in_flight(self) -> int:
        """Number of calls that were admitted and have not ended."""
        return len(self._running_by_id)

    def is_request_running(self, request_id: str) -> bool:
        """Return whether the target is running the request with this id."""
        return request_id in self._request_ids_at_target

    @property
    def target(self) -> _effects.Announced | None:
        """The target that receives calls; None if there is none."""
        return self._target

    def start(self) -> None:
        """Start to report outcome counts periodically."""
        self._flusher.start()

    def set_target(self, target: _effects.Announced) -> None:
        """Send calls to ``target`` from now on.

        Ignored once the node drains. The connections are kept if address
        and instance are unchanged.
        """
        if self._stopping:
            return
        old, self._target = self._target, target
        self.admission.slots = target.slots
        self._target_state.set_target(target, self.now_ms())
        self.admission.draining = self._target_state.leaving
        same = old is not None and (
            (old.address, old.instance) == (target.address, target.instance)
        )
        if not same:
            self._replace_pool(target.address)
        if not same or (old is not None and old.start != target.start):
            self.admission.forget_target()
        self._promote()

    def put_in_force(self, view: _effects.View) -> None:
        """Apply what the view sets for the local target.

        While its data centre is evacuated, calls that have not started are
        refused.
        """
        self._view = view
        if self._is_evacuated:
            self._refuse_all_queued(admission.EVACUATED)
        self._update_cold_limit()

    def learn_coldness(self, target: _effects.Announced) -> None:
        """Adopt how long a start of the target is cold."""
        self._service = target.service
        self.admission.limit.cold.learn(
            target.start, target.cold_s, self.now_ms()
        )
        self._update_cold_limit()

    def drain_target(self) -> None:
        """Refuse new and queued calls; running ones continue.

        The next announced target ends the drain.
        """
        self.admission.draining = True
        self._refuse_all_queued(admission.DRAINING)

    def drain(self) -> None:
        """Drain for the shutdown of the node; this cannot be undone."""
        self._stopping = True
        self.drain_target()

    def stop(self) -> None:
        """Report the last counts and close the idle connections."""
        self._flusher.stop()
        self._counter.flush()
        if self._pool is not None:
            self._pool.close()

    def add_suspects(self, effect: _effects.UpdateSuspects) -> None:
        """Add crash suspects that other nodes have reported.

        A suspect request runs alone or is refused.
        """
        self._suspects.merge(effect.rows)

    def now_ms(self) -> int:
        """Return milliseconds since the start of this incarnation."""
        return int((self._loop.time() - self._began_s) * 1000)

    def greet(self) -> messages.CallGreeted:
        """Return a greeting with the incarnation, its clock and its load."""
        return messages.CallGreeted(
            incarnation=self.incarnation,
            clock_ms=self.now_ms(),
            in_flight=self.admission.load,
            slots=self.admission.slots,
        )

    def submit(
        self,
        call: messages.CallRequest,
        done: AnswerCallback,
        *,
        is_local: bool = False,
    ) -> None:
        """Run or queue a call, or refuse it.

        ``done`` is called once with the answer.

        Args:
            is_local: Whether the server for callers holds the body and
                counts it.
        """
        now_ms = self.now_ms()
        target = self._target
        self._learn_from_caller(call)
        fingerprint = arrivals.fingerprint(call)
        attempt_id = arrivals.attempt_id(call)
        treatment = self._suspects.treatment(fingerprint, time.time())
        refusal = self._refusal_reason(call, treatment)
        held = call_memory.CallMemory(self.heads, self._bodies)
        refusal = refusal or held.reserve(call, with_body=not is_local)
        if refusal or target is None:
            decision = self.admission.refuse(attempt_id, refusal, now_ms)
        else:
            decision = self.admission.request_slot(
                attempt_id,
                now_ms,
                call.deadline_ms,
                rank=call.rank,
                route=call.route,
                aim_ms=call.aim_ms,
            )
        if target is None or decision.verdict is admission.Verdict.REFUSE:
            held.release()
            self._answer(call, done, arrivals.refusal_answer(call, decision))
            return
        running = _RunningCall(
            call=call,
            done=done,
            fingerprint=fingerprint,
            arrived_ms=now_ms,
            target=target,
            held=held,
        )
        self._running_by_id[call.call_id] = running
        for call_id in decision.evicted:
            self._refuse_queued(
                self._running_by_id[call_id], admission.OVERLOAD
            )
        if decision.verdict is admission.Verdict.START:
            self._execute(running)
        else:
            running.timer = self._loop.call_later(
                decision.wait_ms / 1000, self._on_queue_timeout, running
            )

    def refusal_reason(self, call: messages.CallRequest) -> str:
        """Return why a call would be refused now; empty if it would not."""
        self._learn_from_caller(call)
        normal = quarantine.Treatment.NORMAL
        reason = self._refusal_reason(call, normal)
        return reason or self.admission.would_refuse(
            call.rank, call.route, call.deadline_ms, call.aim_ms, self.now_ms()
        )

    @property
    def _is_evacuated(self) -> bool:
        return self._settings.data_centre in self._view.evacuated

    def _refusal_reason(
        self, call: messages.CallRequest, treatment: quarantine.Treatment
    ) -> str:
        if self._is_evacuated:
            return admission.EVACUATED
        return arrivals.refusal_reason(call, self._target, treatment)

    def refuse(
        self,
        call: messages.CallRequest,
        reason: str,
        done: AnswerCallback,
        busy_ms: int = 0,
    ) -> None:
        """Refuse a call, now and whenever its id arrives again.

        Args:
            busy_ms: Lower bound of the retry delay in the answer, for a
                bottleneck other than the target's slots.
        """
        now_ms = self.now_ms()
        retry_after_ms = self.admission.retry_after_ms(call.rank, now_ms)
        decision = self.admission.refuse(
            arrivals.attempt_id(call),
            reason,
            now_ms,
            max(retry_after_ms, busy_ms),
        )
        self._answer(call, done, arrivals.refusal_answer(call, decision))

    def revoke(
        self, revoke: messages.CallRevoke, done: RevokedCallback
    ) -> None:
        """Make sure that a call never starts, or wait until it has ended."""
        table = self.admission.table
        state = table.revoke(arrivals.attempt_id(revoke), self.now_ms())
        running = self._running_by_id.get(revoke.call_id)
        if state is messages.RevokeState.RUNNING and running is not None:
            running.revocations.append(done)
            return
        if state is messages.RevokeState.REVOKED and running is not None:
            self.admission.cancel_queued(revoke.call_id, self.now_ms())
            self._remove(running)
        entry = table.get(revoke.call_id)
        done(
            messages.CallRevoked(
                call_id=revoke.call_id,
                state=state,
                answer=entry.answer if entry is not None else None,
            )
        )

    def cancel(self, call_id: str) -> None:
        """Cancel a call.

        A call that is not idempotent runs to its end once it has started,
        since breaking it off could leave its effect half done.
        """
        running = self._running_by_id.get(call_id)
        if running is None:
            return
        if self.admission.cancel_queued(call_id, self.now_ms()):
            self._remove(running)
            return
        running.cancelled = True
        if running.call.idempotent and running.connection is not None:
            running.connection.close()

    def on_connection_lost(self, call_id: str) -> None:
        """Cancel an idempotent call whose sender's connection has ended.

        Any other call is kept: its sender asks for the outcome over a new
        connection.
        """
        running = self._running_by_id.get(call_id)
        if running is not None and running.call.idempotent:
            self.cancel(call_id)

    def _execute(self, running: _RunningCall) -> None:
        call = running.call
        if running.timer is not None:
            running.timer.cancel()
            running.timer = None
        running.started_s = self._loop.time()
        left_ms = self._left_ms(running)
        if left_ms <= 0 or self._pool is None:
            self._finish(running, admission.refusal(call, admission.LATE))
            return
        self._pool.acquire(lambda result: self._on_connection(running, result))

    def _on_connection(
        self,
        running: _RunningCall,
        result: http_client.AcquiredConnection | errors.PeerUnavailable,
    ) -> None:
        call = running.call
        if isinstance(result, errors.PeerUnavailable):
            self._target_unreachable(running, result)
            return
        left_ms = self._left_ms(running)
        is_cancelled = running.cancelled
        if left_ms <= 0 or is_cancelled:
            result.connection.release()
            reason = CANCELLED if is_cancelled else admission.LATE
            self._finish(running, admission.refusal(call, reason))
            return
        running.connection = result.connection
        self._request_ids_at_target.add(call.request_id)
        request = self._dialect.target_request(call, running.target, left_ms)
        running.timer = self._loop.call_later(
            (left_ms + _LATE_ANSWER_GRACE_MS) / 1000,
            self._on_target_timeout,
            running,
        )
        call_metrics.TARGET_REQUESTS.inc()
        self._sent_count += 1
        result.connection.send(
            http_messages.encode_request(request, ""),
            head_only=call.method == "HEAD",
            accepts=lambda response: self._dialect.answers_call(
                call, response
            ),
            done=lambda outcome: self._on_outcome(running, outcome),
        )

    def _on_outcome(
        self,
        running: _RunningCall,
        outcome: http_messages.Response | errors.ArbutusstallError,
    ) -> None:
        connection, running.connection = running.connection, None
        if running.timer is not None:
            running.timer.cancel()
            running.timer = None
        if connection is not None:
            connection.release()
        call = running.call
        if call.call_id not in self._running_by_id:
            return
        if isinstance(outcome, http_messages.Response):
            answer = self._dialect.read_answer(call, outcome)
            state = self._dialect.target_state(running.target, outcome)
            # Only a whole answer ends a restriction: a refusal or a faulty
            # answer may lack what the others say.
            if answer.status or state.restricts:
                self._learn_from_answer(state)
            answer = self._target_state.annotate(answer, call)
            load = self._dialect.target_load(outcome)
            if load.slowness is not None and (
                self._settings.calls.limit_concurrency
            ):
                # Such a target shares its machine with others, so that its
                # slots don't tell how much it takes.
                self.admission.begin_concurrency_limit()
            answer = msgspec.structs.replace(answer, slowness=load.slowness)
            self._finish(running, answer)
            misdirected = answer.not_run == admission.MISDIRECTED
            if misdirected and self._target is running.target:
                self._drop_target(admission.MISDIRECTED)
            return
        if running.cancelled:
            self._finish(running, arrivals.unknown_answer(call, CANCELLED))
            return
        self._tasks.spawn(self._diagnose_loss(running, outcome))

    def _learn_from_answer(self, state: messages.TargetState) -> None:
        was_leaving = self._target_state.leaving
        self._target_state.learn_from_answer(
            state, self._sent_count, self.now_ms()
        )
        self._apply_target_state(was_leaving)

    def _learn_from_caller(self, call: messages.CallRequest) -> None:
        was_leaving = self._target_state.leaving
        self._target_state.learn_from_caller(
            call.target_state, self._sent_count, self.now_ms()
        )
        self._apply_target_state(was_leaving)

    def _apply_target_state(self, was_leaving: bool) -> None:
        """Refuse the calls that the target's state no longer allows."""
        self._refuse_excess()
        if was_leaving or not self._target_state.leaving:
            return
        self.drain_target()
        if self.on_leaving is not None and self._target is not None:
            self.on_leaving(self._target.instance)

    def _update_cold_limit(self) -> None:
        now_ms = self.now_ms()
        snapshot = self._view.snapshot
        rate_per_s = None
        if snapshot.version:
            rate_per_s = snapshot.cold_rate_per_s(self._service)
        cold = self.admission.limit.cold
        cold.set_rate(rate_per_s, now_ms)
        applies = cold.applies(now_ms)
        call_metrics.TARGET_COLD.set(applies)
        if applies != self._is_cold_limited:
            self._is_cold_limited = applies
            self._log.cold_changed(applies, rate_per_s)
        self._refuse_excess()

    def _refuse_excess(self) -> None:
        for call_id in self.admission.remove_excess(self.now_ms()):
            self._refuse_queued(
                self._running_by_id[call_id], admission.OVER_LIMIT
            )

    async def _diagnose_loss(
        self, running: _RunningCall, loss: errors.ArbutusstallError
    ) -> None:
        """Find out whether a call was lost because the target crashed."""
        target = running.target
        reason = loss.reason
        if await target_probe.refuses_connections(target.address):
            reason = CRASHED
            if self._target is target:
                self._target_crashed(running)
            await asyncio.sleep(_SUSPECT_SPREAD_S)
        if running.call.call_id in self._running_by_id:
            self._finish(
                running, arrivals.unknown_answer(running.call, reason)
            )

    def _on_target_timeout(self, running: _RunningCall) -> None:
        running.timer = None
        if running.connection is not None:
            connection, running.connection = running.connection, None
            late = arrivals.unknown_answer(running.call, admission.LATE)
            self._finish(running, late)
            connection.close()

    def _finish(
        self, running: _RunningCall, answer: messages.CallAnswer
    ) -> None:
        call = running.call
        if self._running_by_id.pop(call.call_id, None) is None:
            return
        running.held.release()
        if running.timer is not None:
            running.timer.cancel()
            running.timer = None
        self._request_ids_at_target.discard(call.request_id)
        now_ms = self.now_ms()
        table = self.admission.table
        if call.idempotent:
            table.drop(call.call_id)
        elif answer.not_run:
            table.withdraw(call.call_id, now_ms)
        else:
            table.finish(call.call_id, answer, now_ms)
        if answer.status:
            self._suspects.record_success(running.fingerprint, time.time())
        taken_s = self._loop.time() - running.started_s
        if not answer.not_run and not running.cancelled:
            self._counter.count(call, answer, taken_s)
        self._log.ended(
            call, answer, running.target, self._left_ms(running), taken_s
        )
        promoted = self.admission.release_slot(
            call.call_id,
            now_ms,
            arrivals.has_run_time(answer) and not running.cancelled,
            answer.slowness,
        )
        self._log.concurrency(running.target, self.admission)
        taken_ms = max(1, int(taken_s * 1000))
        self._answer(call, running.done, answer, taken_ms)
        for done in running.revocations:
            self._report_end(call, done)
        self._start(promoted)

    def _report_end(
        self, call: messages.CallRequest, done: RevokedCallback
    ) -> None:
        table = self.admission.table
        entry = table.get(call.call_id)
        done(
            messages.CallRevoked(
                call_id=call.call_id,
                state=table.outcome(call.call_id),
                answer=entry.answer if entry is not None else None,
            )
        )

    def _on_queue_timeout(self, running: _RunningCall) -> None:
        running.timer = None
        if self.admission.cancel_queued(running.call.call_id, self.now_ms()):
            self._refuse_queued(running, admission.OVERLOAD)
            self._promote()

    def _refuse_queued(self, running: _RunningCall, reason: str) -> None:
        self._remove(running)
        retry_after_ms = self.admission.retry_after_ms(
            running.call.rank, self.now_ms()
        )
        answer = admission.refusal(running.call, reason, retry_after_ms)
        self._answer(running.call, running.done, answer)
        for done in running.revocations:
            self._report_end(running.call, done)

    def _refuse_all_queued(self, reason: str) -> None:
        for running in list(self._running_by_id.values()):
            call_id = running.call.call_id
            if self.admission.cancel_queued(call_id, self.now_ms()):
                self._refuse_queued(running, reason)

    def _remove(self, running: _RunningCall) -> None:
        if self._running_by_id.pop(running.call.call_id, None) is not None:
            running.held.release()
        if running.timer is not None:
            running.timer.cancel()
            running.timer = None

    def _promote(self) -> None:
        self._start(self.admission.promote(self.now_ms()))

    def _start(self, call_ids: abc.Iterable[str]) -> None:
        for call_id in call_ids:
            running = self._running_by_id.get(call_id)
            if running is not None:
                self._execute(running)

    def _answer(
        self,
        call: messages.CallRequest,
        done: AnswerCallback,
        answer: messages.CallAnswer,
        taken_ms: int = 0,
    ) -> None:
        if answer.not_run:
            call_metrics.REFUSALS.labels(call.service, answer.not_run).inc()
        answer = self._target_state.annotate(answer, call)
        done(
            arrivals.with_load(
                answer, self.admission, self.now_ms(), call.route, taken_ms
            )
        )

    def _left_ms(self, running: _RunningCall) -> int:
        waited_ms = self.now_ms() - running.arrived_ms
        return running.call.deadline_ms - waited_ms - _ANSWER_RETURN_MS

    def _target_unreachable(
        self, running: _RunningCall, problem: errors.PeerUnavailable
    ) -> None:
        self._log.unreachable(running.call, running.target, problem.reason)
        refusal = admission.refusal(running.call, admission.UNREACHABLE)
        self._finish(running, refusal)
        refused = isinstance(problem, errors.ConnectionRefused)
        if refused and self._target is running.target:
            self._drop_target("target refuses connections")

    def _target_crashed(self, running: _RunningCall) -> None:
        fingerprints = {
            self._running_by_id[call_id].fingerprint
            for call_id in self.admission.running_ids
            if call_id in self._running_by_id
        }
        fingerprints.add(running.fingerprint)
        self._crash_count += 1
        crash = f"{self._settings.node}/{self.incarnation}/{self._crash_count}"
        rows = self._suspects.record_crash(fingerprints, crash, time.time())
        self._log.crashed(
            running.call, running.target, self.admission.in_flight, len(rows)
        )
        self._put(_effects.TargetCrashed(suspects=rows))
        self._drop_target(CRASHED)

    def _drop_target(self, reason: str) -> None:
        """Refuse calls until a target announces itself again.

        Queued calls are refused too.
        """
        self._target = None
        self._put(_effects.Left(reason=reason))
        self._refuse_all_queued(admission.NO_TARGET)

    def _replace_pool(self, address: str) -> None:
        if self._pool is not None:
            self._pool.close()
        limit = self._settings.calls.connections
        self._pool = http_client.Pool(
            address, limit, self._settings.reads, self._bodies
        )
