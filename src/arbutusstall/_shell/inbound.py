"""The inbound proxy: admits calls to the target beside the node."""

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
_STOP_MARGIN_MS = 1_000
_SPARE_WORKERS = 32
_MARKS_SPREAD_S = 0.5


@dataclasses.dataclass(kw_only=True, slots=True)
class _Running:
    call: messages.CallRequest
    fingerprint: str
    started: threading.Event
    ended: threading.Event
    connection: http.Connection | None = None
    cancelled: bool = False


class Inbound:
    """Runs calls at the target and counts their outcomes."""

    def __init__(
        self,
        settings: _settings.NodeSettings,
        loop: control.ControlLoop,
        incarnation: int,
        log: events.EventLog,
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
        self._running_by_id: dict[str, _Running] = {}
        self._target: _effects.Announced | None = None
        self._stopping = False
        self._crashes = 0
        self._crash_noted = False
        self._pool = http.Pool(limit=calls.connections)
        self._server = web.WebServer(
            settings.addresses.inbound,
            self,
            workers=calls.connections + _SPARE_WORKERS,
        )
        call_metrics.IN_FLIGHT.set_function(lambda: self.admission.in_flight)
        call_metrics.QUEUED.set_function(lambda: self.admission.queued)
        call_metrics.REMEMBERED.set_function(lambda: len(table))

    @property
    def in_flight(self) -> int:
        """Requests that were admitted and have not ended."""
        return len(self._running_by_id)

    def start(self) -> None:
        """Begin to accept calls of other nodes."""
        self._counter.start()
        self._server.start()

    def drain(self) -> None:
        """Refuse new calls; those in flight go on."""
        with self._lock:
            self.admission.draining = True

    def stop(self) -> None:
        """Refuse new calls for good and wait for those in flight.

        Until then revocations are answered. Each call ends by its own
        deadline.
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
        """Use ``target`` for calls from now on."""
        with self._lock:
            self.admission.slots = target.slots
            self.admission.draining = self._stopping
            # A target that crashed announces itself when it is back.
            self._crash_noted = False
        self._target = target

    def add_suspects(self, effect: _effects.UpdateSuspects) -> None:
        """Run suspects that other nodes found with care."""
        with self._lock:
            self._suspects.merge(effect.rows)

    def now_ms(self) -> int:
        """Return the clock of this incarnation."""
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
        """Run a call at the target, or refuse it."""
        answer = self._run(call)
        if answer.not_run:
            self._refused(call, answer.not_run)
        return arrivals.with_load(answer, self.admission, self.now_ms())

    def revoke(self, revoke: messages.CallRevoke) -> messages.CallRevoked:
        """Make sure a call never starts, or tell what became of it."""
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
        """Tell the incarnation and its clock."""
        return messages.CallGreeted(
            incarnation=self.incarnation,
            clock_ms=self.now_ms(),
            in_flight=self.admission.in_flight,
            slots=self.admission.slots,
        )

    def claim(self, claim: messages.KeyClaim) -> messages.KeyClaimed:
        """Grant an Idempotency-Key that this node owns."""
        with self._lock:
            return self._keys.claim(claim, self.now_ms())

    def update_key_owners(self, view: _effects.View) -> None:
        """Note which nodes own keys."""
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
        running = _Running(
            call=call,
            fingerprint=arrivals.fingerprint(call),
            started=threading.Event(),
            ended=threading.Event(),
        )
        decision = self._begin(running, target, arrived_ms)
        if target is None or decision.verdict is admission.Verdict.REFUSE:
            return arrivals.refusal_answer(call, decision)
        if not self._wait(running, decision):
            return admission.refusal(
                call, admission.OVERLOAD, decision.retry_after_ms
            )
        return self._execute(running, target, arrived_ms)

    def _begin(
        self,
        running: _Running,
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

    def _wait(self, running: _Running, decision: admission.Decision) -> bool:
        if decision.verdict is admission.Verdict.START:
            return True
        running.started.wait(decision.wait_ms / 1000)
        with self._lock:
            if not self.admission.cancel_queued(
                running.call.call_id, self.now_ms()
            ):
                return True
            del self._running_by_id[running.call.call_id]
            self._promote(self.admission.promote(self.now_ms()))
        return False

    def _execute(
        self,
        running: _Running,
        target: _effects.Announced,
        arrived_ms: int,
    ) -> messages.CallAnswer:
        call = running.call
        started_s = time.monotonic()
        left_ms = call.deadline_ms - (self.now_ms() - arrived_ms)
        self._event("call-started", call, level=logging.DEBUG)
        answer = admission.refusal(call, admission.LATE)
        try:
            if left_ms > 0:
                answer = self._exchange(running, target, left_ms)
        finally:
            self._finish(running, answer)
        if not answer.not_run and not running.cancelled:
            self._counter.count(call, answer, time.monotonic() - started_s)
        self._event(
            "call-unknown" if answer.unknown else "call-ended",
            call,
            level=logging.INFO if answer.unknown else logging.DEBUG,
            reason=answer.unknown or answer.not_run,
        )
        return answer

    def _exchange(
        self,
        running: _Running,
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
        if answer.unknown and targets.is_gone(target):
            self._target_crashed(running)
            # The caller may send it again as soon as it has the answer;
            # by then the marks must be known to the other nodes.
            time.sleep(_MARKS_SPREAD_S)
            return msgspec.structs.replace(answer, unknown=targets.CRASHED)
        return answer

    def _finish(self, running: _Running, answer: messages.CallAnswer) -> None:
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
            self._promote(self.admission.release_slot(call_id, now_ms))
        running.ended.set()

    def _promote(self, call_ids: abc.Iterable[str]) -> None:
        for call_id in call_ids:
            self._running_by_id[call_id].started.set()

    def _revoke(
        self, revoke: messages.CallRevoke
    ) -> tuple[messages.RevokeState, _Running | None]:
        attempt_id = arrivals.attempt_id(revoke)
        with self._lock:
            state = self.admission.table.revoke(attempt_id, self.now_ms())
            running = self._running_by_id.get(revoke.call_id)
        if state is messages.RevokeState.REVOKED and running is not None:
            running.started.set()
        return state, running

    def _cancel(self, running: _Running) -> None:
        running.cancelled = True
        connection = running.connection
        if connection is not None:
            connection.abort()

    def _target_crashed(self, running: _Running) -> None:
        with self._lock:
            if self._crash_noted:
                return
            self._crash_noted = True
            names = {
                other.fingerprint
                for call_id, other in self._running_by_id.items()
                if call_id in self.admission.running_ids
            }
            self._crashes += 1
            crash = f"{self._settings.node}/{self.incarnation}/{self._crashes}"
            rows = self._suspects.record_crash(names, crash, time.time())
        self._log.emit(
            "target-crashed",
            {"request": running.call.request_id, "suspects": len(rows)},
        )
        self._loop.put(_effects.TargetCrashed(suspects=rows))

    def _refused(self, call: messages.CallRequest, reason: str) -> None:
        call_metrics.REFUSALS.labels(call.service, reason).inc()
        self._event("call-refused", call, reason=reason)

    def _event(
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
