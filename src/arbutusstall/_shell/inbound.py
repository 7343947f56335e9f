"""The inbound proxy: admits calls to the target beside the node."""

from concurrent import futures
import time

import grpc

from arbutusstall import _effects
from arbutusstall import _settings
from arbutusstall import errors
from arbutusstall._shell import control
from arbutusstall._shell import http
from arbutusstall._shell import outcome_counter
from arbutusstall._systems import admission
from arbutusstall._wire import messages


class Inbound:
    """Runs calls at the target and counts their outcomes."""

    def __init__(
        self,
        settings: _settings.NodeSettings,
        loop: control.ControlLoop,
    ) -> None:
        self._counter = outcome_counter.OutcomeCounter(loop.put)
        self.admission = admission.Admission(settings.calls.slots)
        self._target: _effects.Announced | None = None
        self._server = grpc.server(
            futures.ThreadPoolExecutor(max_workers=settings.calls.connections)
        )
        handler = grpc.unary_unary_rpc_method_handler(
            lambda request, context: self.call(request),
            request_deserializer=messages.decode,
            response_serializer=messages.encode,
        )
        self._server.add_generic_rpc_handlers(
            (
                grpc.method_handlers_generic_handler(
                    "arbutusstall.Inbound", {"Call": handler}
                ),
            )
        )
        self._server.add_insecure_port(settings.addresses.inbound)

    def start(self) -> None:
        """Begin to accept calls of other nodes."""
        self._server.start()
        self._counter.start()

    def stop(self, grace_s: float) -> None:
        """Refuse new calls and wait for those in flight."""
        self.admission.drain()
        self._server.stop(grace=grace_s).wait()
        self._counter.stop()

    def announced(self, target: _effects.Announced) -> None:
        """Use ``target`` for calls from now on."""
        self.admission.slots = target.slots
        self._target = target

    def call(self, request: messages.CallRequest) -> messages.CallAnswer:
        """Run a call at the target, or refuse it."""
        target = self._target
        if target is None or target.version != request.version:
            return self._refuse(request, "wrong version", 0)
        decision = self.admission.begin(request.request_id)
        if decision.refusal:
            return self._refuse(
                request, decision.refusal, decision.retry_after_ms
            )
        started_s = time.monotonic()
        try:
            answer = self._exchange(request, target)
        finally:
            self.admission.end(request.request_id)
        self._counter.count(request, answer, time.monotonic() - started_s)
        return answer

    def _exchange(
        self, request: messages.CallRequest, target: _effects.Announced
    ) -> messages.CallAnswer:
        try:
            response = http.send(
                http.Request(
                    method=request.method,
                    url=f"http://{target.address}{request.path}",
                    headers=request.headers,
                    body=request.body,
                    timeout_s=request.deadline_ms / 1000,
                )
            )
        except errors.PeerUnavailable as exc:
            return self._refuse(request, exc.reason, 0)
        except errors.OutcomeUnknown as exc:
            return messages.CallAnswer(
                request_id=request.request_id, unknown=exc.reason
            )
        return messages.CallAnswer(
            request_id=request.request_id,
            status=response.status,
            headers=response.headers,
            body=response.body,
            in_flight=self.admission.in_flight,
            slots=self.admission.slots,
        )

    def _refuse(
        self, request: messages.CallRequest, reason: str, retry_ms: int
    ) -> messages.CallAnswer:
        return messages.CallAnswer(
            request_id=request.request_id,
            not_run=reason,
            retry_after_ms=retry_ms,
        )
