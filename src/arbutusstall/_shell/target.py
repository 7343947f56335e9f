"""Exchanges with the target beside the node."""

import socket
import time

from arbutusstall import _effects
from arbutusstall import errors
from arbutusstall._shell import headers
from arbutusstall._shell import http
from arbutusstall._systems import admission
from arbutusstall._wire import messages

CRASHED = "target crashed"

_CONNECT_S = 1.0
_PROBES = 3
_PROBE_S = 0.2
_PROBE_PAUSE_S = 0.01
_SHED_STATUS = 503


def exchange(
    connection: http.Connection,
    target: _effects.Announced,
    call: messages.CallRequest,
    left_ms: int,
) -> messages.CallAnswer:
    """Run the call at the target and return its answer or a refusal."""
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
        connect_timeout_s=min(_CONNECT_S, left_ms / 1000),
        # An idle connection may be closed by the target just now; the
        # loss would make a request that cannot be repeated uncertain.
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
    return _answer(call, response)


def is_gone(target: _effects.Announced) -> bool:
    """Return whether nothing listens on the target's address.

    Looks more than once: a process that ends closes its sockets one
    after the other.
    """
    host, _, port = target.address.rpartition(":")
    for _ in range(_PROBES):
        try:
            socket.create_connection((host, int(port)), _PROBE_S).close()
        except ConnectionRefusedError:
            return True
        except OSError:
            return False
        time.sleep(_PROBE_PAUSE_S)
    return False


def _answer(
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
    # A reason stands in the refusals of the proxies only. A target that
    # passes one on speaks of a call further down; it has run itself.
    return (
        response.status == _SHED_STATUS
        and headers.get(response.headers, headers.OUTCOME) == headers.NOT_RUN
        and not headers.get(response.headers, headers.REASON)
    )


def _retry_after_ms(response: http.Response) -> int:
    value = headers.get(response.headers, headers.RETRY_AFTER)
    return int(value) * 1000 if value.isdecimal() else 0
