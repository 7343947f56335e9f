"""The inbound proxy: admits calls to the local target."""

from collections import abc
import dataclasses
import logging
import threading
import time

import msgspec
from werkzeug import wrappers

from arbutusstall import _effects
from arbutusstall import _settings
from arbutusstall import errors
from arbutusstall._shell import answer_limits
from arbutusstall._shell import call_metrics
from arbutusstall._shell import control
from arbutusstall._shell import events
from arbutusstall._shell import http
from arbutusstall._shell import outcome_counter
from arbutusstall._shell import target as targets
from arbutusstall._shell import web
from arbutusstall._systems import admission
from arbutusstall._systems import arrivals
from arbutusstall._systems import keys
from arbutusstall._systems import quarantine
from arbutusstall._systems import revocation
from arbutusstall._wire import messages

_CANCELLED = "cancelled by the caller"
# Added to the longest deadline when the node stops; afterwards also the
# time limit for the requests that the server still handles.
_STOP_MARGIN_MS = 1_000
# Threads in addition to ``calls.connections``: the server also answers
# greetings, revocations and key claims.
_SPARE_WORKERS = 32
# Delays the answer to a call that crashed its target, so that the suspect
# marks reach the other nodes before the caller can retry.
_SUSPECT_SPREAD_S = 0.5


@dataclasses.dataclass(kw_only=True, slots=True)
class _RunningCall:
    """A call that was admitted, queued or started, and has not ended.

    Attributes:
        fingerprint: Digest that the call shares with its repetitions.
        started: Set when a queued call gets a slot or is revoked.
        ended: Set when the call has an answer.
        connection: Connection that carries the call at present.
        cancelled: Whether the sender has cancelled the call.
    """

    call: messages.CallRequest
    fingerprint: str
    started: threading.Event
    ended: threading.Event
    connection: http.Connection | None = None
    cancelled: bool = False


def worker_count(calls: _settings.CallSettings) -> int:
    """Return how many messages of other nodes are processed at once."""
    return calls.connections + _SPARE_WORKERS


class Inbound:
    """Admits calls, runs them at the target and counts their outcomes.

    A WSGI application that answers the messages of other nodes;
    thread-safe.
    """

    def __init__(
        self,
        settings: _settings.NodeSettings,
        loop: control.ControlLoop,
        incarnation: int,
        log: events.EventLog,
        serving: web.Serving | None = None,
    ) -> None:
        calls = settings.calls
        self._settings = settings
        self._loop = loop
        self._log = log
        self._counter = outcome_counter.OutcomeCounter(loop.put)
        self._began_s = time.monotonic()
        self.incarnation = incarnation
        table = revocation.CallTable(
            incarnation,
            revocation.Limits(
                horizon_ms=calls.horizon_ms,
                max_entries=calls.remembered,
                max_answer_bytes=calls.remembered_bytes,
            ),
        )
        self.admission = admission.Admission(
            table, calls.slots, calls.queue, calls.queue_ms
        )
        self._keys = keys.KeyTable(settings.node, calls.key_horizon_ms)
        self._suspects = quarantine.Suspects()
        self._lock = threading.Lock()
        self._running_by_id: dict[str, _RunningCall] = {}
        self._target: _effects.Announced | None = None
        self._stopping = False
        self._crash_count = 0
        self._crash_recorded = False
        self._pool = http.Pool(
            limit=calls.connections,
            answers=answer_limits.for_targets(settings.reads),
        )
        self._server = web.WebServer(
            settings.addresses.inbound,
            self,
            serving or web.Serving(workers=worker_count(calls)),
        )
        call_metrics.IN_FLIGHT.set_function(lambda: self.admission.in_flight)
        call_metrics.QUEUED.set_function(lambda: self.admission.queued)
        call_metrics.REMEMBERED.set_function(lambda: len(table))

    @property
    def in_flight(self) -> int:
        """Number of calls that were admitted and have not ended."""
        return len(self._running_by_id)

    def start(self) -> None:
        """Start to accept calls of other nodes and to report outcomes."""
        self._counter.start()
        self._server.start()

    def drain(self) -> None:
        """Refuse new calls; queued and running ones continue.

        The next announced target ends the drain unless the node stops.
        """
        with self._lock:
            self.admission.draining = True

    def stop(self) -> None:
        """Drain for the shutdown of the node, then close everything.

        Waits for the calls in flight, each of which ends by its own
        deadline. Revocations are answered meanwhile.
        """
        self._stopping = True
        self.drain()
        limit_ms = self._settings.calls.max_deadline_ms + _STOP_MARGIN_MS
        end_ms = self.now_ms() + limit_ms
        while self._running_by_id and self.now_ms() < end_ms:
            time.sleep(0.01)
        self._server.stop(grace_s=_STOP_MARGIN_MS / 1000)
        self._pool.close()
        self._counter.stop()

    def set_target(self, target: _effects.Announced) -> None:
        """Send calls to ``target`` from now on."""
        with self._lock:
            self.admission.slots = target.slots
            self.admission.draining = self._stopping
            # A crashed target announces itself again after its restart.
            self._crash_recorded = False
        self._target = target

    def add_suspects(self, effect: _effects.UpdateSuspects) -> None:
        """Add crash suspects that other nodes have reported.

        A suspect request runs alone or is refused.
        """
        with self._lock:
            self._suspects.merge(effect.rows)

    def now_ms(self) -> int:
        """Return milliseconds since the start of this incarnation."""
        return int((time.monotonic() - self._began_s) * 1000)

    def __call__(
        self,
        environ: dict[str, object],
        start_response: abc.Callable[..., object],
    ) -> abc.Iterable[bytes]:
        """Answer one message of another node (WSGI)."""
        body = environ["wsgi.input"].read()  # type: ignore[attr-defined]
        try:
            answer = self._dispatch(messages.decode(body))
        except errors.WireError as exc:
            response = wrappers.Response(f"{exc.reason}\n", 400)
            return response(environ, start_response)  # type: ignore[arg-type]
        start_response("200 OK", [])
        return [messages.encode(answer)]

    def call(self, call: messages.CallRequest) -> messages.CallAnswer:
        """Run a call at the target, or refuse it; return the answer.

        Blocks until the call has ended.
        """
        answer = self._run(call)
        if answer.not_run:
            self._record_refusal(call, answer.not_run)
        return arrivals.with_load(answer, self.admission, self.now_ms())

    def revoke(self, revoke: messages.CallRevoke) -> messages.CallRevoked:
        """Make sure that a call never starts, or return its state.

        Cancels a running call if the message asks for that, otherwise
        waits up to ``wait_ms`` for its end.
        """
        state, running = self._revoke(revoke)
        if state is messages.RevokeState.RUNNING and running is not None:
            if revoke.cancel:
                self._cancel(running)
            elif running.ended.wait(revoke.wait_ms / 1000):
                state, _ = self._revoke(revoke)
        if state is messages.RevokeState.REVOKED:
            self._log.emit("call-revoked", {"call": revoke.call_id})
        with self._lock:
            entry = self.admission.table.get(revoke.call_id)
        return messages.CallRevoked(
            call_id=revoke.call_id,
            state=state,
            answer=entry.answer if entry is not None else None,
        )

    def greet(self) -> messages.CallGreeted:
        """Return a greeting with the incarnation, its clock and its load."""
        return messages.CallGreeted(
            incarnation=self.incarnation,
            clock_ms=self.now_ms(),
            in_flight=self.admission.in_flight,
            slots=self.admission.slots,
        )

    def claim(self, claim: messages.KeyClaim) -> messages.KeyClaimed:
        """Grant an Idempotency-Key that this node owns.

        The state in the answer says whether the key is granted, taken,
        misused or unsettled.
        """
        with self._lock:
            return self._keys.claim(claim, self.now_ms())

    def update_key_owners(self, view: _effects.View) -> None:
        """Record which nodes own Idempotency-Keys by ``view``."""
        with self._lock:
            self._keys.update_owners(view, self.now_ms())

    def _dispatch(self, message: messages.Message) -> messages.Message:
        if isinstance(message, messages.CallRequest):
            return self.call(message)
        if isinstance(message, messages.CallRevoke):
            return self.revoke(message)
        if isinstance(message, messages.CallGreeting):
            return self.greet()
        if isinstance(message, messages.KeyClaim):
            return self.claim(message)
        raise errors.WireError(
            step="inbound.dispatch", peer="-", reason="unexpected message"
        )

    def _run(self, call: messages.CallRequest) -> messages.CallAnswer:
        arrived_ms = self.now_ms()
        target = self._target
        running = _RunningCall(
            call=call,
            fingerprint=arrivals.fingerprint(call),
            started=threading.Event(),
            ended=threading.Event(),
        )
        decision = self._admit(running, target, arrived_ms)
        if target is None or decision.verdict is admission.Verdict.REFUSE:
            return arrivals.refusal_answer(call, decision)
        if not self._wait_for_slot(running, decision):
            return admission.refusal(
                call, admission.OVERLOAD, decision.retry_after_ms
            )
        return self._execute(running, target, arrived_ms)

    def _admit(
        self,
        running: _RunningCall,
        target: _effects.Announced | None,
        now_ms: int,
    ) -> admission.Decision:
        call = running.call
        attempt_id = arrivals.attempt_id(call)
        with self._lock:
            treatment = self._suspects.treatment(
                running.fingerprint, time.time()
            )
            refusal = arrivals.refusal_reason(call, target, treatment)
            if refusal:
                return self.admission.refuse(attempt_id, refusal, now_ms)
            decision = self.admission.request_slot(
                attempt_id,
                now_ms,
                call.deadline_ms,
                exclusive=treatment is quarantine.Treatment.EXCLUSIVE,
            )
            if decision.verdict is not admission.Verdict.REFUSE:
                self._running_by_id[call.call_id] = running
        return decision

    def _wait_for_slot(
        self, running: _RunningCall, decision: admission.Decision
    ) -> bool:
        """Wait for a slot; return whether the call was started in time."""
        if decision.verdict is admission.Verdict.START:
            return True
        running.started.wait(decision.wait_ms / 1000)
        with self._lock:
            if not self.admission.cancel_queued(
                running.call.call_id, self.now_ms()
            ):
                return True
            del self._running_by_id[running.call.call_id]
            self._start(self.admission.promote(self.now_ms()))
        return False

    def _execute(
        self,
        running: _RunningCall,
        target: _effects.Announced,
        arrived_ms: int,
    ) -> messages.CallAnswer:
        call = running.call
        started_s = time.monotonic()
        left_ms = call.deadline_ms - (self.now_ms() - arrived_ms)
        self._log_event("call-started", call, level=logging.DEBUG)
        answer = admission.refusal(call, admission.LATE)
        try:
            if left_ms > 0:
                answer = self._exchange(running, target, left_ms)
        finally:
            self._finish(running, answer)
        if not answer.not_run and not running.cancelled:
            self._counter.count(call, answer, time.monotonic() - started_s)
        self._log_event(
            "call-unknown" if answer.unknown else "call-ended",
            call,
            level=logging.INFO if answer.unknown else logging.DEBUG,
            reason=answer.unknown or answer.not_run,
        )
        return answer

    def _exchange(
        self,
        running: _RunningCall,
        target: _effects.Announced,
        left_ms: int,
    ) -> messages.CallAnswer:
        call = running.call
        try:
            with self._pool.connection(target.address) as connection:
                running.connection = connection
                if running.cancelled:
                    return admission.refusal(call, _CANCELLED)
                answer = targets.exchange(connection, target, call, left_ms)
                running.connection = None
        except errors.PeerUnavailable:
            return admission.refusal(call, admission.OVERLOAD)
        if running.cancelled and answer.unknown:
            return msgspec.structs.replace(answer, unknown=_CANCELLED)
        if answer.unknown and targets.refuses_connections(target):
            self._target_crashed(running)
            time.sleep(_SUSPECT_SPREAD_S)
            return msgspec.structs.replace(answer, unknown=targets.CRASHED)
        return answer

    def _finish(
        self, running: _RunningCall, answer: messages.CallAnswer
    ) -> None:
        call_id = running.call.call_id
        now_ms = self.now_ms()
        with self._lock:
            if answer.not_run:
                self.admission.table.withdraw(call_id, now_ms)
            else:
                self.admission.table.finish(call_id, answer, now_ms)
            if answer.status:
                self._suspects.record_success(running.fingerprint, time.time())
            del self._running_by_id[call_id]
            self._start(self.admission.release_slot(call_id, now_ms))
        running.ended.set()

    def _start(self, call_ids: abc.Iterable[str]) -> None:
        for call_id in call_ids:
            self._running_by_id[call_id].started.set()

    def _revoke(
        self, revoke: messages.CallRevoke
    ) -> tuple[messages.RevokeState, _RunningCall | None]:
        attempt_id = arrivals.attempt_id(revoke)
        with self._lock:
            state = self.admission.table.revoke(attempt_id, self.now_ms())
            running = self._running_by_id.get(revoke.call_id)
        if state is messages.RevokeState.REVOKED and running is not None:
            running.started.set()
        return state, running

    def _cancel(self, running: _RunningCall) -> None:
        running.cancelled = True
        connection = running.connection
        if connection is not None:
            connection.abort()

    def _target_crashed(self, running: _RunningCall) -> None:
        with self._lock:
            if self._crash_recorded:
                return
            self._crash_recorded = True
            fingerprints = {
                other.fingerprint
                for call_id, other in self._running_by_id.items()
                if call_id in self.admission.running_ids
            }
            self._crash_count += 1
            crash = (
                f"{self._settings.node}/{self.incarnation}/{self._crash_count}"
            )
            rows = self._suspects.record_crash(
                fingerprints, crash, time.time()
            )
        self._log.emit(
            "target-crashed",
            {"request": running.call.request_id, "suspects": len(rows)},
        )
        self._loop.put(_effects.TargetCrashed(suspects=rows))

    def _record_refusal(self, call: messages.CallRequest, reason: str) -> None:
        call_metrics.REFUSALS.labels(call.service, reason).inc()
        self._log_event("call-refused", call, reason=reason)

    def _log_event(
        self,
        event: str,
        call: messages.CallRequest,
        level: int = logging.INFO,
        reason: str = "",
    ) -> None:
        if not events.LOG.isEnabledFor(level):
            return
        fields: dict[str, str | int | float] = {
            "request": call.request_id,
            "call": call.call_id,
            "service": call.service,
            "version": call.version,
        }
        if call.key:
            fields["key"] = call.key
        if reason:
            fields["reason"] = reason
        self._log.emit(event, fields, level)
