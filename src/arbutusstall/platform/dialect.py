"""Headers and statuses used by the platform's clients and targets."""

import logging
import math

from arbutusstall import _effects
from arbutusstall import errors
from arbutusstall._proxy import dialects
from arbutusstall._proxy import http_messages
from arbutusstall._systems import admission
from arbutusstall._wire import messages

LOG = logging.getLogger(__name__)

_REQUEST_ID = "X-Request-Id"
_DEADLINE = "X-Deadline-Ms"
_TARGET_INSTANCE = "X-Target-Instance"
_CALLER_SERVICE = "X-Caller-Service"
_TENANT = "X-Tenant-Id"
_AUTHORIZATION = "authorization"
_KEY_SCHEME = "bearer"
_AUTHENTICATE = ("WWW-Authenticate", "Bearer")
_SIGNATURE = "x-response-signature"
_NOT_EXECUTED = "x-not-executed"
_CONTENT_ENCODING = "content-encoding"
_LIMIT = "server-limit"
_LEAVING = "server-leaving"
_LOAD = "x-server-load"
# Number of figures in the load that come before the time that work takes,
# in percent of the usual one.
_FIGURES_BEFORE_SLOWNESS = 3
_MAX_SLOWNESS_PERCENT = 1e5
_RETRY_AFTER = "Retry-After"
# A target sends its own calls with the request id PARENT.CHILD, where PARENT
# is the id of the request that it is running.
_CHILD_SEPARATOR = "."

_CONNECTION_HEADERS = frozenset(
    {
        "connection",
        "content-length",
        "expect",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
# Set by the node for each request; values sent by the client are dropped.
_OWN_HEADERS = frozenset(
    {
        _DEADLINE.lower(),
        _TARGET_INSTANCE.lower(),
        _CALLER_SERVICE.lower(),
    }
)
# Not forwarded if the configuration holds tenants.
_TENANT_HEADERS = frozenset({_AUTHORIZATION, _TENANT.lower()})
_MISDIRECTED_REQUEST = 421
_SUCCESS = range(200, 300)

_STATUSES = {
    dialects.FailureKind.NO_ROUTE: 404,
    dialects.FailureKind.INVALID: 400,
    dialects.FailureKind.NOT_RUN: 503,
    dialects.FailureKind.UNKNOWN: 502,
    dialects.FailureKind.TIMEOUT: 504,
    dialects.FailureKind.UNAUTHORIZED: 401,
    dialects.FailureKind.OVER_QUOTA: 429,
}
_RETRYABLE_KINDS = frozenset(
    {dialects.FailureKind.NOT_RUN, dialects.FailureKind.OVER_QUOTA}
)
_MIN_RETRY_AFTER_MS = 20
# Larger numbers mean no bound, and arithmetic on them could overflow.
_MAX_DEADLINE_MS = 1e9
_MAX_LIMIT_PER_S = 1e9


_NO_LOAD = dialects.TargetLoad()


class PlatformDialect:
    """Implements `dialects.Dialect` for the platform.

    Args:
        service: Service of the local target.
    """

    def __init__(self, service: str) -> None:
        self._service = service

    def read_request(
        self, request: http_messages.Request
    ) -> dialects.IncomingRequest:
        """Decode a client's request.

        Raises:
            WireError: The request has no id, or its deadline is not a
                number.
        """
        request_headers = request.headers
        request_id = http_messages.get_header(
            request_headers, _REQUEST_ID.lower()
        )
        if not request_id:
            raise _invalid("no request id")
        return dialects.IncomingRequest(
            request_id=request_id,
            method=request.method,
            host=_host_name(http_messages.get_header(request_headers, "host")),
            path=request.target.partition("?")[0],
            target=request.target,
            headers=(
                *_end_to_end_headers(request_headers),
                (_CALLER_SERVICE, self._service),
            ),
            body=request.body,
            deadline_ms=_parse_deadline_ms(
                http_messages.get_header(request_headers, _DEADLINE.lower())
            ),
            parent_id=request_id.rpartition(_CHILD_SEPARATOR)[0],
        )

    def api_key(self, request: http_messages.Request) -> str:
        """Return the key of ``Authorization: Bearer KEY``.

        It is empty if there is none, or if the request has several such
        headers: another reader might take the other key.
        """
        values = [
            value
            for name, value in request.headers
            if name.lower() == _AUTHORIZATION
        ]
        if len(values) != 1:
            return ""
        scheme, _, key = values[0].strip().partition(" ")
        return key.strip() if scheme.lower() == _KEY_SCHEME else ""

    def tenant_headers(
        self, headers: http_messages.Headers, tenant: str
    ) -> http_messages.Headers:
        """Return the headers without the key, and with the tenant's name."""
        kept = tuple(
            pair for pair in headers if pair[0].lower() not in _TENANT_HEADERS
        )
        return (*kept, (_TENANT, tenant)) if tenant else kept

    def target_request(
        self,
        call: messages.CallRequest,
        target: _effects.Announced,
        left_ms: int,
    ) -> http_messages.Request:
        """Return the request to the target.

        Args:
            left_ms: Time within which the target has to answer.
        """
        return http_messages.Request(
            method=call.method,
            target=call.path,
            headers=(
                *call.headers,
                (_DEADLINE, str(left_ms)),
                (_TARGET_INSTANCE, target.instance),
            ),
            body=call.body,
        )

    def answers_call(
        self, call: messages.CallRequest, response: http_messages.Response
    ) -> bool:
        """Return whether a target's response echoes the id of ``call``."""
        echoed = http_messages.get_header(
            response.headers, _REQUEST_ID.lower()
        )
        return echoed == call.request_id

    def read_answer(
        self, call: messages.CallRequest, response: http_messages.Response
    ) -> messages.CallAnswer:
        """Decode a target's response.

        A successful response counts as an answer only if it is signed
        and its content is not encoded; otherwise the outcome of the call
        is unknown.
        """
        response_headers = response.headers
        if response.status == _MISDIRECTED_REQUEST:
            return admission.refusal(call, admission.MISDIRECTED)
        if http_messages.get_header(response_headers, _NOT_EXECUTED):
            return admission.refusal(call, admission.SHED)
        unknown = ""
        if response.status in _SUCCESS:
            if not http_messages.get_header(response_headers, _SIGNATURE):
                unknown = "the answer has no signature"
            elif http_messages.get_header(response_headers, _CONTENT_ENCODING):
                unknown = "the answer is encoded"
        if unknown:
            return messages.CallAnswer(
                call_id=call.call_id,
                request_id=call.request_id,
                unknown=unknown,
            )
        return messages.CallAnswer(
            call_id=call.call_id,
            request_id=call.request_id,
            status=response.status,
            headers=_end_to_end_headers(response_headers),
            body=response.body,
        )

    def target_state(
        self, target: _effects.Announced, response: http_messages.Response
    ) -> messages.TargetState:
        """Decode what a target says about itself in a response."""
        headers = response.headers
        limit = http_messages.get_header(headers, _LIMIT)
        leaving = http_messages.get_header(headers, _LEAVING)
        return messages.TargetState(
            start=target.start,
            limit_per_s=_parse_limit(limit, target) if limit else None,
            leaving=leaving.strip() == "1",
        )

    def target_load(
        self, response: http_messages.Response
    ) -> dialects.TargetLoad:
        """Decode the load that a target reports in a response.

        A load without the figure, or with one that is no positive number,
        tells nothing.
        """
        load = http_messages.get_header(response.headers, _LOAD)
        figures = load.split(",", _FIGURES_BEFORE_SLOWNESS + 1)
        if len(figures) <= _FIGURES_BEFORE_SLOWNESS:
            return _NO_LOAD
        try:
            percent = float(figures[_FIGURES_BEFORE_SLOWNESS])
        except ValueError:
            return _NO_LOAD
        if not 0.0 < percent <= _MAX_SLOWNESS_PERCENT:
            return _NO_LOAD
        return dialects.TargetLoad(slowness=percent / 100)

    def answer(
        self, call: messages.CallRequest, answer: messages.CallAnswer
    ) -> http_messages.Response:
        """Encode a target's answer for the client."""
        return http_messages.Response(
            status=answer.status, headers=answer.headers, body=answer.body
        )

    def failure(self, failure: dialects.Failure) -> http_messages.Response:
        """Return the response that reports a failure to the client."""
        headers = [(_REQUEST_ID, failure.request_id)]
        if failure.kind in _RETRYABLE_KINDS:
            wait_ms = max(failure.retry_after_ms, _MIN_RETRY_AFTER_MS)
            headers.append((_RETRY_AFTER, f"{wait_ms / 1000:.3f}"))
        elif failure.kind is dialects.FailureKind.UNAUTHORIZED:
            headers.append(_AUTHENTICATE)
        return http_messages.Response(
            status=_STATUSES[failure.kind],
            headers=tuple(headers),
            body=f"{failure.reason}\n".encode(),
        )


def _end_to_end_headers(
    headers: http_messages.Headers,
) -> http_messages.Headers:
    named = http_messages.get_header(headers, "connection").lower()
    dropped = {name.strip() for name in named.split(",")}
    return tuple(
        pair
        for pair in headers
        if (lower := pair[0].lower()) not in _CONNECTION_HEADERS
        and lower not in _OWN_HEADERS
        and lower not in dropped
    )


def _host_name(text: str) -> str:
    name, colon, port = text.rpartition(":")
    if colon and port.isdecimal():
        return name.lower()
    return text.lower()


def _parse_deadline_ms(text: str) -> int | None:
    if not text:
        return None
    try:
        deadline_ms = float(text)
    except ValueError:
        deadline_ms = math.nan
    if math.isnan(deadline_ms):
        raise _invalid(f"deadline {text!r}")
    return int(min(max(0.0, deadline_ms), _MAX_DEADLINE_MS))


def _parse_limit(text: str, target: _effects.Announced) -> float | None:
    """Return a rate per second; None if ``text`` is not one."""
    try:
        limit_per_s = float(text)
    except ValueError:
        limit_per_s = math.nan
    if math.isfinite(limit_per_s) and limit_per_s >= 0.0:
        return min(limit_per_s, _MAX_LIMIT_PER_S)
    LOG.warning(
        {
            "event": "target-limit-ignored",
            "target": target.instance,
            "reason": f"not a rate: {text!r}",
        }
    )
    return None


def _invalid(reason: str) -> errors.WireError:
    return errors.WireError(step="request.read", peer="-", reason=reason)
