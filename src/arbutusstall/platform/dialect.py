"""Headers and statuses that the platform's clients and targets use."""

from arbutusstall import _effects
from arbutusstall import errors
from arbutusstall._proxy import dialects
from arbutusstall._proxy import http_messages
from arbutusstall._systems import admission
from arbutusstall._wire import messages

_REQUEST_ID = "X-Request-Id"
_DEADLINE = "X-Deadline-Ms"
_TARGET_INSTANCE = "X-Target-Instance"
_CALLER_SERVICE = "X-Caller-Service"
_SIGNATURE = "x-response-signature"
_NOT_EXECUTED = "x-not-executed"
_CONTENT_ENCODING = "content-encoding"
_RETRY_AFTER = "Retry-After"
# Targets name their own calls PARENT.CHILD.
_CHILD_MARK = "."

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
# Set here for each request, whatever the client has sent.
_OWN_HEADERS = frozenset(
    {
        _DEADLINE.lower(),
        _TARGET_INSTANCE.lower(),
        _CALLER_SERVICE.lower(),
    }
)
_MISDIRECTED = 421
_SUCCESS = range(200, 300)

_STATUSES = {
    dialects.FailureKind.NO_ROUTE: 404,
    dialects.FailureKind.INVALID: 400,
    dialects.FailureKind.NOT_RUN: 503,
    dialects.FailureKind.UNKNOWN: 502,
    dialects.FailureKind.TIMEOUT: 504,
}
_LEAST_RETRY_AFTER_MS = 20


class PlatformDialect:
    """See `dialects.Dialect`.

    Args:
        service: Service of the target beside this node.
    """

    def __init__(self, service: str) -> None:
        self._service = service

    def read_request(
        self, request: http_messages.Request
    ) -> dialects.IncomingRequest:
        """Decode a client's request.

        Raises:
            WireError: The id or the deadline cannot be understood.
        """
        pairs = request.headers
        request_id = http_messages.get(pairs, _REQUEST_ID.lower())
        if not request_id:
            raise _invalid("no request id")
        return dialects.IncomingRequest(
            request_id=request_id,
            method=request.method,
            host=_host(http_messages.get(pairs, "host")),
            path=request.target.partition("?")[0],
            target=request.target,
            headers=(*_end_to_end(pairs), (_CALLER_SERVICE, self._service)),
            body=request.body,
            deadline_ms=_deadline(http_messages.get(pairs, _DEADLINE.lower())),
            parent_id=request_id.rpartition(_CHILD_MARK)[0],
        )

    def target_request(
        self,
        call: messages.CallRequest,
        target: _effects.Announced,
        left_ms: int,
    ) -> http_messages.Request:
        """Return the request to the target."""
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
        """Tell whether a target's response answers ``call``."""
        echoed = http_messages.get(response.headers, _REQUEST_ID.lower())
        return echoed == call.request_id

    def read_answer(
        self, call: messages.CallRequest, response: http_messages.Response
    ) -> messages.CallAnswer:
        """Decode a target's response."""
        pairs = response.headers
        if response.status == _MISDIRECTED:
            return admission.refusal(call, admission.MISDIRECTED)
        if http_messages.get(pairs, _NOT_EXECUTED):
            return admission.refusal(call, admission.SHED)
        unknown = ""
        if response.status in _SUCCESS:
            if not http_messages.get(pairs, _SIGNATURE):
                unknown = "the answer has no signature"
            elif http_messages.get(pairs, _CONTENT_ENCODING):
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
            headers=_end_to_end(pairs),
            body=response.body,
        )

    def answer(
        self, call: messages.CallRequest, answer: messages.CallAnswer
    ) -> http_messages.Response:
        """Return a target's answer as the client gets it."""
        return http_messages.Response(
            status=answer.status, headers=answer.headers, body=answer.body
        )

    def failure(self, failure: dialects.Failure) -> http_messages.Response:
        """Return the response that tells a client of a failure."""
        headers = [(_REQUEST_ID, failure.request_id)]
        if failure.kind is dialects.FailureKind.NOT_RUN:
            wait_ms = max(failure.retry_after_ms, _LEAST_RETRY_AFTER_MS)
            headers.append((_RETRY_AFTER, f"{wait_ms / 1000:.3f}"))
        return http_messages.Response(
            status=_STATUSES[failure.kind],
            headers=tuple(headers),
            body=f"{failure.reason}\n".encode(),
        )


def _end_to_end(pairs: http_messages.Headers) -> http_messages.Headers:
    named = http_messages.get(pairs, "connection").lower()
    dropped = {name.strip() for name in named.split(",")}
    return tuple(
        pair
        for pair in pairs
        if (lower := pair[0].lower()) not in _CONNECTION_HEADERS
        and lower not in _OWN_HEADERS
        and lower not in dropped
    )


def _host(text: str) -> str:
    name, colon, port = text.rpartition(":")
    if colon and port.isdecimal():
        return name.lower()
    return text.lower()


def _deadline(text: str) -> int | None:
    if not text:
        return None
    try:
        return max(0, int(float(text)))
    except ValueError:
        raise _invalid(f"deadline {text!r}") from None


def _invalid(reason: str) -> errors.WireError:
    return errors.WireError(step="request.read", peer="-", reason=reason)
