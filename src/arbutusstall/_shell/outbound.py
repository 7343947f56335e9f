"""The outbound proxy: routes callers' requests to endpoints."""

from collections import abc
import dataclasses
import logging
import math
import random
import time
from typing import Any
import uuid

from werkzeug import http as werkzeug_http
from werkzeug import wrappers

from arbutusstall import _effects
from arbutusstall import _settings
from arbutusstall._shell import call_metrics
from arbutusstall._shell import dispatch
from arbutusstall._shell import events
from arbutusstall._shell import exchange
from arbutusstall._shell import headers
from arbutusstall._shell import inbound
from arbutusstall._shell import peers
from arbutusstall._systems import attempts
from arbutusstall._systems import balancing
from arbutusstall._systems import routing
from arbutusstall._tables import agreed
from arbutusstall._wire import messages

REQUEST_ID = headers.REQUEST_ID
DEADLINE_MS = headers.DEADLINE_MS
OUTCOME = headers.OUTCOME
REASON = headers.REASON
NOT_RUN = headers.NOT_RUN
UNKNOWN = headers.UNKNOWN

_SAFE_METHODS = frozenset({"GET", "HEAD"})
_OK = 200
_NOT_FOUND = 404
_LOOP_DETECTED = 508
_UNAVAILABLE = 503
_GATEWAY_TIMEOUT = 504
_BAD_REQUEST = 400


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _PlainResponse:
    """A target's answer that needs no processing by werkzeug."""

    status: str
    headers: list[tuple[str, str]]
    body: bytes


class Outbound:
    """Forwards callers' requests to targets of this and other nodes.

    A WSGI application; thread-safe.
    """

    def __init__(
        self,
        settings: _settings.NodeSettings,
        local: inbound.Inbound,
        log: events.EventLog,
    ) -> None:
        self._settings = settings
        self._log = log
        self._view = _effects.View()
        self._rng = random.Random()
        self._peers = peers.Peers(settings, local)
        self._dispatcher = dispatch.Dispatcher(
            settings,
            self._peers,
            balancing.Balancer(settings.data_centre, self._rng),
            f"{settings.node}-{local.incarnation:x}",
        )
        self._local = local

    @property
    def view(self) -> _effects.View:
        """The view by which calls are routed now."""
        return self._view

    def put_in_force(self, effect: _effects.PutInForce) -> None:
        """Route new calls by the effect's view."""
        self._local.update_key_owners(effect.view)
        self._dispatcher.update_view(effect.view)
        self._view = effect.view

    def close(self) -> None:
        """Close the connections to other nodes."""
        self._peers.close()

    def __call__(
        self,
        environ: dict[str, Any],
        start_response: abc.Callable[..., object],
    ) -> abc.Iterable[bytes]:
        """Answer one request of a caller (WSGI)."""
        request = wrappers.Request(environ)
        response = self._answer(request)
        if isinstance(response, _PlainResponse):
            start_response(response.status, response.headers)
            return [response.body]
        return response(environ, start_response)  # type: ignore[arg-type]

    def _answer(
        self, request: wrappers.Request
    ) -> wrappers.Response | _PlainResponse:
        started_s = time.monotonic()
        view = self._view
        request_id = request.headers.get(REQUEST_ID) or uuid.uuid4().hex
        route = routing.match(view, request.path)
        if route is None:
            return self._refused(request_id, "no route", _NOT_FOUND)
        depth = request.headers.get(headers.DEPTH, 0, type=int)
        if depth >= self._settings.calls.max_depth:
            return self._refused(request_id, "too deep", _LOOP_DETECTED)
        deadline_ms = self._deadline_ms(request, route)
        if deadline_ms <= 0:
            return self._refused(
                request_id, "bad or passed deadline", _BAD_REQUEST
            )
        version = routing.choose_version(view, route.service, self._rng)
        if version is None:
            return self._refused(
                request_id, dispatch.NO_ENDPOINT, _UNAVAILABLE
            )
        call = _build_call(
            request, request_id, route, version, deadline_ms, depth
        )
        cancellation = request.environ.get(
            exchange.CANCELLATION, exchange.Cancellation()
        )
        outcome = self._dispatcher.run(call, cancellation)
        call_metrics.CALLS.labels(
            route.service, version, outcome.step.value
        ).inc()
        call_metrics.LATENCY.labels(route.service).observe(
            time.monotonic() - started_s
        )
        return self._render(call, outcome)

    def _deadline_ms(
        self, request: wrappers.Request, route: agreed.Route
    ) -> int:
        text = request.headers.get(DEADLINE_MS)
        if text is None:
            return route.timeout_ms
        try:
            return min(int(text), self._settings.calls.max_deadline_ms)
        except ValueError:
            return 0

    def _render(
        self, call: messages.CallRequest, outcome: dispatch.Outcome
    ) -> wrappers.Response | _PlainResponse:
        answer = outcome.answer
        if outcome.step is attempts.Step.REPORT_UNKNOWN or answer is None:
            if outcome.step is attempts.Step.REPORT_NOT_RUN:
                return self._refused(
                    call.request_id,
                    outcome.reason,
                    _UNAVAILABLE,
                    call=call,
                    retry_after_ms=outcome.retry_after_ms,
                )
            return self._failed(
                call.request_id,
                outcome.reason,
                _GATEWAY_TIMEOUT,
                UNKNOWN,
                call=call,
            )
        if _is_plain(call, answer):
            return _plain_response(call, answer)
        response = wrappers.Response(answer.body, status=answer.status)
        response.headers.clear()
        response.headers.extend(answer.headers)
        response.headers["Content-Length"] = str(len(answer.body))
        response.headers[REQUEST_ID] = call.request_id
        response.headers[headers.VERSION] = call.version
        return response

    def _refused(
        self,
        request_id: str,
        reason: str,
        status: int,
        call: messages.CallRequest | None = None,
        retry_after_ms: int = 0,
    ) -> wrappers.Response:
        response = self._failed(request_id, reason, status, NOT_RUN, call)
        if status == _UNAVAILABLE:
            seconds = max(1, math.ceil(retry_after_ms / 1000))
            response.headers[headers.RETRY_AFTER] = str(seconds)
        return response

    def _failed(
        self,
        request_id: str,
        reason: str,
        status: int,
        outcome: str,
        call: messages.CallRequest | None = None,
    ) -> wrappers.Response:
        fields: dict[str, str | int | float] = {
            "request": request_id,
            "reason": reason,
            "outcome": outcome,
        }
        if call is not None:
            fields["service"] = call.service
            fields["version"] = call.version
        self._log.emit(f"call-{outcome}", fields, logging.INFO)
        response = wrappers.Response(f"{outcome}: {reason}\n", status)
        response.headers[OUTCOME] = outcome
        response.headers[REASON] = reason
        response.headers[REQUEST_ID] = request_id
        return response


def _is_plain(call: messages.CallRequest, answer: messages.CallAnswer) -> bool:
    """Return whether the answer can be written without werkzeug.

    werkzeug adapts the headers to statuses other than 200, and rejects
    line breaks in header values, which would corrupt the response head.
    """
    values = (call.request_id, *(value for _, value in answer.headers))
    return answer.status == _OK and not any(
        "\n" in value or "\r" in value for value in values
    )


def _plain_response(
    call: messages.CallRequest, answer: messages.CallAnswer
) -> _PlainResponse:
    return _PlainResponse(
        status=f"{_OK} {werkzeug_http.HTTP_STATUS_CODES[_OK]}",
        headers=[
            *answer.headers,
            ("Content-Length", str(len(answer.body))),
            (REQUEST_ID, call.request_id),
            (headers.VERSION, call.version),
        ],
        body=answer.body,
    )


def _build_call(
    request: wrappers.Request,
    request_id: str,
    route: agreed.Route,
    version: str,
    deadline_ms: int,
    depth: int,
) -> messages.CallRequest:
    safe = request.method in _SAFE_METHODS
    return messages.CallRequest(
        call_id="",
        request_id=request_id,
        incarnation=0,
        sent_ms=0,
        service=route.service,
        version=version,
        route=route.prefix,
        method=request.method,
        path=request.environ["REQUEST_URI"],
        headers=headers.end_to_end(request.headers.items()),
        body=request.get_data(),
        deadline_ms=deadline_ms,
        idempotent=route.idempotent or safe,
        key=request.headers.get(headers.IDEMPOTENCY_KEY, ""),
        depth=depth,
    )
