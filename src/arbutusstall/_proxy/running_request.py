"""A caller's request in the outbound proxy, from its arrival to its answer."""

import asyncio
import dataclasses

from arbutusstall._proxy import dialects
from arbutusstall._proxy import http_server
from arbutusstall._proxy import peers as peer_links
from arbutusstall._systems import attempts
from arbutusstall._tables import agreed
from arbutusstall._tables import members
from arbutusstall._wire import messages

_SAFE_METHODS = frozenset({"GET", "HEAD"})
# Nested calls go before all others, since refusing one would waste the
# work of the request above it.
_NESTED_RANK = -1
# Ranks between two priorities of tenants.
_ROUTE_PRIORITIES = 4


@dataclasses.dataclass(kw_only=True, slots=True)
class RunningRequest:
    """A caller's request without an answer, and its current attempt.

    Attributes:
        number: Number of this request, unique within the process.
        call: The call of the current attempt.
        end_s: Loop time of the deadline.
        nested: Whether the local target makes the request while it
            works on another one.
        waited_ms: Estimated time for which the caller had waited before
            this request arrived.
        tenant: Tenant that made the request; None if it needs no key.
        admitted: Attempts that the tenant's quota has admitted.
        sends: Attempts that a target may have seen.
        refusals: Attempts that were refused before they reached a target.
        last: Outcome of the last attempt.
        earlier_lost: Whether the outcome of an earlier attempt is unknown.
        member: Endpoint of the current attempt.
    """

    number: int
    exchange: http_server.Exchange
    incoming: dialects.IncomingRequest
    route: agreed.Route
    call: messages.CallRequest
    started_s: float
    end_s: float
    nested: bool
    waited_ms: int = 0
    tenant: agreed.Tenant | None = None
    admitted: int = 0
    tried_nodes: set[str] = dataclasses.field(default_factory=set)
    sends: int = 0
    refusals: int = 0
    last: attempts.Attempt | None = None
    earlier_lost: bool = False
    member: members.Member | None = None
    peer: peer_links.Peer | None = None
    timer: asyncio.TimerHandle | None = None
    ended: bool = False


def build_call(
    incoming: dialects.IncomingRequest,
    route: agreed.Route,
    service: str,
    deadline_ms: int,
    nested: bool,
    tenant: agreed.Tenant | None = None,
) -> messages.CallRequest:
    """Return the call of a request, without what each attempt adds.

    Args:
        service: Service that the route chose for the request.
        deadline_ms: Time left to the caller's deadline or, if that is
            earlier, to the route's timeout.
        nested: Whether the local target makes the request while it works
            on another one.
        tenant: Tenant that made the request; its priority, if it has one,
            takes precedence over the route's, which orders the requests of
            tenants of the same priority.
    """
    rank = _NESTED_RANK if nested else route.priority
    if tenant is not None:
        rank = _tenant_rank(tenant, route)
    safe = incoming.method in _SAFE_METHODS and not route.strict
    return messages.CallRequest(
        call_id="",
        request_id=incoming.request_id,
        incarnation=0,
        sent_ms=0,
        service=service,
        version="",
        route=route.prefix,
        method=incoming.method,
        path=incoming.target,
        headers=incoming.headers,
        body=incoming.body,
        deadline_ms=deadline_ms,
        idempotent=route.idempotent or safe,
        key=incoming.key,
        depth=incoming.depth,
        rank=rank,
    )


def _tenant_rank(tenant: agreed.Tenant, route: agreed.Route) -> int:
    priority = route.priority if tenant.priority is None else tenant.priority
    return priority * _ROUTE_PRIORITIES + min(
        route.priority, _ROUTE_PRIORITIES - 1
    )
