"""HTTP exchanges with the local target."""

import socket
import time

from arbutusstall import _effects
from arbutusstall import errors
from arbutusstall._shell import headers
from arbutusstall._shell import http
from arbutusstall._systems import admission
from arbutusstall._wire import messages

CRASHED = "target crashed"

_CONNECT_TIMEOUT_S = 1.0
_PROBE_COUNT = 3
_PROBE_TIMEOUT_S = 0.2
_PROBE_INTERVAL_S = 0.01
_SHED_STATUS = 503
_MAX_RETRY_AFTER_DIGITS = 9


def exchange(
    connection: http.Connection,
    target: _effects.Announced,
    call: messages.CallRequest,
    left_ms: int,
) -> messages.CallAnswer:
    """Run the call at the target and return its answer or a refusal.

    Args:
        left_ms: Time left until the deadline, in milliseconds.
    """
    request = http.Request(
        method=call.method,
        url=f"http://{target.address}{call.path}",
        headers=(
            *call.headers,
            (headers.REQUEST_ID, call.request_id),
            (headers.DEADLINE_MS, str(left_ms)),
            (headers.DEPTH, str(call.depth + 1)),
        ),
        body=call.body,
        timeout_s=left_ms / 1000,
        connect_timeout_s=min(_CONNECT_TIMEOUT_S, left_ms / 1000),
        # The target may close an idle connection at any time. If that met
        # a request that is not idempotent, its outcome would be unknown.
        fresh=not call.idempotent,
    )
    try:
        response = connection.send(request)
    except errors.PeerUnavailable:
        return admission.refusal(call, admission.UNREACHABLE)
    except errors.OutcomeUnknown as exc:
        return messages.CallAnswer(
            call_id=call.call_id,
            request_id=call.request_id,
            unknown=exc.reason,
        )
    return _read_answer(call, response)


def refuses_connections(target: _effects.Announced) -> bool:
    """Return whether a target's address refuses connections.

    Connects several times, since a process that ends closes its sockets
    one after the other. A connection that fails otherwise or times out
    proves no crash.
    """
    host, _, port = target.address.rpartition(":")
    for _ in range(_PROBE_COUNT):
        try:
            socket.create_connection(
                (host, int(port)), _PROBE_TIMEOUT_S
            ).close()
        except ConnectionRefusedError:
            return True
        except OSError:
            return False
        time.sleep(_PROBE_INTERVAL_S)
    return False


def _read_answer(
    call: messages.CallRequest, response: http.Response
) -> messages.CallAnswer:
    echoed = headers.get(response.headers, headers.REQUEST_ID)
    if echoed and echoed != call.request_id:
        return messages.CallAnswer(
            call_id=call.call_id,
            request_id=call.request_id,
            unknown="the target answered another request",
        )
    if _is_shed(response):
        return admission.refusal(
            call, admission.SHED, _retry_after_ms(response)
        )
    return messages.CallAnswer(
        call_id=call.call_id,
        request_id=call.request_id,
        status=response.status,
        headers=headers.end_to_end(response.headers),
        body=response.body,
    )


def _is_shed(response: http.Response) -> bool:
    """Return whether the target itself refused the call.

    Only refusals of proxies carry a reason. A target that forwards one
    got it for a call of its own, so it has run this one.
    """
    return (
        response.status == _SHED_STATUS
        and headers.get(response.headers, headers.OUTCOME) == headers.NOT_RUN
        and not headers.get(response.headers, headers.REASON)
    )


def _retry_after_ms(response: http.Response) -> int:
    value = headers.get(response.headers, headers.RETRY_AFTER)
    is_valid = value.isdecimal() and len(value) <= _MAX_RETRY_AFTER_DIGITS
    return int(value) * 1000 if is_valid else 0
