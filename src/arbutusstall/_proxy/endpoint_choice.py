"""Chooses the endpoint of a call and opens a connection to it."""

import asyncio
from collections import abc
import dataclasses
import functools
import math
import random

from arbutusstall import _effects
from arbutusstall._proxy import peers as peer_links
from arbutusstall._systems import admission
from arbutusstall._systems import balancing
from arbutusstall._systems import endpoint_stats
from arbutusstall._tables import members
from arbutusstall._wire import messages

_SERVER_ERROR = 500
# Time that a call waits for a connection. It covers the round trips to
# another region, and leaves the caller time to come back elsewhere.
_MAX_CONNECT_WAIT_S = 0.25
# Refusals that take the endpoint out of balancing.
_OUT_OF_SERVICE_REASONS = frozenset(
    {
        admission.DRAINING,
        admission.EVACUATED,
        admission.NO_TARGET,
        admission.UNREACHABLE,
        admission.WRONG_VERSION,
    }
)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Choice:
    """Result of the choice of an endpoint.

    Attributes:
        member: The chosen endpoint; None if there is none.
        unreachable: Nodes to which no connection could be opened.
        limited_ms: Time until an endpoint may take the call again, if all
            of them are at their limits; 0 otherwise.
    """

    member: members.Member | None = None
    unreachable: frozenset[str] = frozenset()
    limited_ms: int = 0


class EndpointChoice:
    """Chooses endpoints by load and by the state of their connections.

    Args:
        data_centre: Data centre of this node.
        rng: Source of the random draws.
    """

    def __init__(
        self, data_centre: str, peers: peer_links.Peers, rng: random.Random
    ) -> None:
        self._peers = peers
        self._loop = asyncio.get_running_loop()
        self._balancer = balancing.Balancer(data_centre, rng)

    def update_endpoints(self, view: _effects.View) -> None:
        """Adopt the endpoints of ``view``."""
        self._balancer.update_endpoints(view, self._loop.time())

    def choose(
        self,
        view: _effects.View,
        service: str,
        version: str,
        tried: abc.Set[str],
        rank: int,
        done: abc.Callable[[Choice], None],
    ) -> None:
        """Choose an endpoint, and call ``done`` once with the result.

        That happens at once if a candidate is connected. If the best
        candidate is not, a connection to it is opened in the background.
        If no candidate is connected, connections to all of them are
        opened at the same time and the first one that opens is chosen, so
        that a call does not wait for an endpoint that is gone.

        Args:
            view: View by which the call is routed.
            service: Service of the call.
            version: Version of the service.
            tried: Nodes that are excluded.
            rank: Priority of the call, as in `messages.CallRequest`.
            done: Called with the result.
        """
        now_s = self._loop.time()
        found = self._balancer.candidates(
            view, service, version, now_s, tried, rank
        )
        for row in found:
            if self._peers.is_ready(row):
                if row is not found[0]:
                    self._prepare(found[0])
                done(Choice(member=row))
                return
        if not found:
            limited_s = self._balancer.limited_s(
                view, service, version, now_s, rank
            )
            done(Choice(limited_ms=math.ceil(1000 * limited_s)))
            return
        unconnected = [row for row in found if not self._peers.is_suspect(row)]
        if not unconnected:
            done(Choice(member=found[0]))
            return
        self._connect_any(unconnected, done)

    def record_sent(self, node: str) -> None:
        """Record that a call was sent to ``node``."""
        self._balancer.record_sent(node)

    def record_released(self, node: str) -> None:
        """Record that a call was abandoned."""
        self._balancer.record_released(node)

    def record_failure(self, node: str, *, unreachable: bool) -> None:
        """Record that a call was lost, or could not be sent."""
        self._balancer.record_failure(node, self._loop.time(), unreachable)

    def record_answer(
        self,
        node: str,
        call: messages.CallRequest,
        answer: messages.CallAnswer,
    ) -> None:
        """Record the load and the outcome that an answer reports."""
        if answer.not_run in _OUT_OF_SERVICE_REASONS:
            self.record_failure(node, unreachable=True)
            return
        if answer.unknown:
            self.record_failure(node, unreachable=False)
            return
        # A server error may stem from a call that the target made itself.
        # It raises the endpoint's cost but does not eject the endpoint.
        report = endpoint_stats.AnswerReport(
            in_flight=answer.in_flight,
            slots=answer.slots,
            route=call.route,
            taken_ms=0 if answer.not_run else answer.taken_ms,
            failed=answer.status >= _SERVER_ERROR,
            shares_machine=answer.slowness is not None,
            route_ms=answer.route_ms,
        )
        now_s = self._loop.time()
        self._balancer.record_answer(node, report, now_s)
        if answer.not_run == admission.OVER_LIMIT:
            wait_s = answer.retry_after_ms / 1000
            self._balancer.record_limited(node, call.rank, wait_s, now_s)

    def _prepare(self, row: members.Member) -> None:
        self._peers.prepare(row, lambda: self._record_unreachable(row.node))

    def _record_unreachable(self, node: str) -> None:
        self._balancer.record_unreachable(node, self._loop.time())

    def _connect_any(
        self,
        rows: abc.Sequence[members.Member],
        done: abc.Callable[[Choice], None],
    ) -> None:
        """Choose the first of ``rows`` to which a connection opens."""
        pending = {row.node for row in rows}
        chosen = False

        def choose(choice: Choice) -> None:
            nonlocal chosen
            if not chosen:
                chosen = True
                timer.cancel()
                done(choice)

        def on_opened(row: members.Member, problem: str) -> None:
            pending.discard(row.node)
            if not problem:
                choose(Choice(member=row))
                return
            self._record_unreachable(row.node)
            if not pending:
                choose(unreachable)

        unreachable = Choice(unreachable=frozenset(pending))
        timer = self._loop.call_later(_MAX_CONNECT_WAIT_S, choose, unreachable)
        for row in rows:
            self._peers.open(row, functools.partial(on_opened, row))
