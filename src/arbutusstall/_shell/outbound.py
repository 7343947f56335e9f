"""The outbound proxy: takes callers' requests and routes them."""

from collections import abc
import random
import threading
import uuid

import grpc
from werkzeug import wrappers

from arbutusstall import _effects
from arbutusstall import _settings
from arbutusstall import errors
from arbutusstall._shell import events
from arbutusstall._shell import inbound
from arbutusstall._systems import routing
from arbutusstall._tables import agreed
from arbutusstall._wire import messages

REQUEST_ID = "Arbutusstall-Request-Id"
DEADLINE_MS = "Arbutusstall-Deadline-Ms"
OUTCOME = "Arbutusstall-Outcome"
REASON = "Arbutusstall-Reason"
NOT_RUN = "not-run"
UNKNOWN = "unknown"

_CALL = "/arbutusstall.Inbound/Call"
_SAFE_METHODS = frozenset({"GET", "HEAD"})
_HOP_HEADERS = frozenset(
    {
        "connection",
        "content-length",
        "host",
        "keep-alive",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)


class Outbound:
    """A WSGI application that answers callers."""

    def __init__(
        self,
        settings: _settings.NodeSettings,
        local: inbound.Inbound,
        log: events.EventLog,
    ) -> None:
        self._settings = settings
        self._local = local
        self._log = log
        self._view = _effects.View()
        self._rng = random.SystemRandom()
        self._lock = threading.Lock()
        self._channels_by_address: dict[str, grpc.Channel] = {}

    @property
    def view(self) -> _effects.View:
        """What calls are routed by now."""
        return self._view

    def put_in_force(self, effect: _effects.PutInForce) -> None:
        """Route by the effect's view from now on."""
        self._view = effect.view

    def __call__(
        self,
        environ: dict[str, object],
        start_response: abc.Callable[..., object],
    ) -> abc.Iterable[bytes]:
        """Answer one request (WSGI)."""
        request = wrappers.Request(environ)
        response = self._answer(request)
        return response(environ, start_response)  # type: ignore[arg-type]

    def _answer(self, request: wrappers.Request) -> wrappers.Response:
        view = self._view
        request_id = request.headers.get(REQUEST_ID) or uuid.uuid4().hex
        route = routing.match(view, request.path)
        if route is None:
            return self._refused(request_id, "no route", 404)
        version = routing.choose_version(view, route.service, self._rng)
        if version is None:
            return self._refused(request_id, "no endpoint", 503)
        member = routing.choose_endpoint(
            view,
            route.service,
            version,
            self._settings.data_centre,
            self._rng,
        )
        if member is None:
            return self._refused(request_id, "no endpoint", 503)
        call = self._call(request, request_id, route, version)
        try:
            if member.node == self._settings.node:
                answer = self._local.call(call)
            else:
                answer = self._remote(member.inbound, call)
        except errors.OutcomeUnknown as exc:
            return self._unknown(request_id, exc.reason)
        return self._render(answer, version)

    def _call(
        self,
        request: wrappers.Request,
        request_id: str,
        route: agreed.Route,
        version: str,
    ) -> messages.CallRequest:
        deadline = request.headers.get(DEADLINE_MS, type=int)
        query = request.query_string.decode("latin-1")
        return messages.CallRequest(
            request_id=request_id,
            service=route.service,
            version=version,
            route=route.prefix,
            method=request.method,
            path=request.path + (f"?{query}" if query else ""),
            headers=tuple(
                (name, value)
                for name, value in request.headers.items()
                if name.lower() not in _HOP_HEADERS
            ),
            body=request.get_data(),
            deadline_ms=deadline or route.timeout_ms,
            idempotent=route.idempotent or request.method in _SAFE_METHODS,
        )

    def _remote(
        self, address: str, call: messages.CallRequest
    ) -> messages.CallAnswer:
        send = self._channel(address).unary_unary(
            _CALL,
            request_serializer=messages.encode,
            response_deserializer=messages.decode,
        )
        try:
            answer: messages.CallAnswer = send(
                call, timeout=call.deadline_ms / 1000
            )
        except grpc.RpcError as exc:
            raise errors.OutcomeUnknown(
                step="call.remote", peer=address, reason=str(exc.code())
            ) from exc
        if answer.request_id != call.request_id:
            raise errors.OutcomeUnknown(
                step="call.remote", peer=address, reason="crossed answer"
            )
        return answer

    def _channel(self, address: str) -> grpc.Channel:
        with self._lock:
            channel = self._channels_by_address.get(address)
            if channel is None:
                channel = grpc.insecure_channel(address)
                self._channels_by_address[address] = channel
            return channel

    def _render(
        self, answer: messages.CallAnswer, version: str
    ) -> wrappers.Response:
        if answer.not_run:
            return self._refused(answer.request_id, answer.not_run, 503)
        if answer.unknown:
            return self._unknown(answer.request_id, answer.unknown)
        response = wrappers.Response(answer.body, status=answer.status)
        response.headers.clear()
        for name, value in answer.headers:
            if name.lower() not in _HOP_HEADERS:
                response.headers.add(name, value)
        response.headers["Content-Length"] = str(len(answer.body))
        response.headers[REQUEST_ID] = answer.request_id
        response.headers["Arbutusstall-Version"] = version
        return response

    def _refused(
        self, request_id: str, reason: str, status: int
    ) -> wrappers.Response:
        return self._failed(request_id, reason, status, NOT_RUN)

    def _unknown(self, request_id: str, reason: str) -> wrappers.Response:
        return self._failed(request_id, reason, 504, UNKNOWN)

    def _failed(
        self, request_id: str, reason: str, status: int, outcome: str
    ) -> wrappers.Response:
        self._log.emit(
            f"call-{outcome}", {"request": request_id, "reason": reason}
        )
        response = wrappers.Response(f"{outcome}: {reason}\n", status)
        response.headers[OUTCOME] = outcome
        response.headers[REASON] = reason
        response.headers[REQUEST_ID] = request_id
        return response
