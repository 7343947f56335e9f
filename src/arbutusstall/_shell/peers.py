"""Sends calls to the inbound proxies of this node and of others."""

from collections import abc
import threading
import time
from typing import Protocol

from arbutusstall import _settings
from arbutusstall import errors
from arbutusstall._shell import answer_limits
from arbutusstall._shell import http
from arbutusstall._shell import inbound
from arbutusstall._systems import estimate
from arbutusstall._tables import members
from arbutusstall._wire import messages

_GREETING_TIMEOUT_S = 0.5
_CONNECT_TIMEOUT_S = 0.3
# Added to the ``wait_ms`` of a revocation to get its timeout.
_REVOKE_MARGIN_S = 0.3
_CLAIM_TIMEOUT_S = 0.5


class Peer(Protocol):
    """One inbound proxy."""

    def clock_bound(self) -> estimate.ClockBound:
        """Return its incarnation and a lower bound of its clock.

        Raises:
            PeerUnavailable: It does not answer.
        """
        ...

    def call(
        self, call: messages.CallRequest, timeout_s: float
    ) -> messages.CallAnswer:
        """Send a call and return its answer.

        Raises:
            PeerUnavailable: Nothing was sent.
            OutcomeUnknown: No complete answer arrived in time.
        """
        ...

    def revoke(
        self, revoke: messages.CallRevoke
    ) -> messages.CallRevoked | None:
        """Make sure that a call never starts, or cancel it.

        Waits up to ``wait_ms`` for a running call to end.

        Returns:
            None if no answer arrived.
        """
        ...

    def claim(self, claim: messages.KeyClaim) -> messages.KeyClaimed:
        """Claim an Idempotency-Key; ``UNSETTLED`` if no answer arrives."""
        ...

    def abort(self, call_id: str) -> None:
        """Abort the exchange of a call; callable from any thread."""
        ...


class LocalPeer:
    """The inbound proxy of the same process."""

    def __init__(self, proxy: inbound.Inbound) -> None:
        self._proxy = proxy

    def clock_bound(self) -> estimate.ClockBound:
        """Return its exact clock; see `Peer`."""
        return estimate.ClockBound(
            incarnation=self._proxy.incarnation,
            clock_ms=self._proxy.now_ms(),
            seen_s=time.monotonic(),
        )

    def call(
        self, call: messages.CallRequest, timeout_s: float
    ) -> messages.CallAnswer:
        """Run the call in the calling thread; see `Peer`."""
        return self._proxy.call(call)

    def revoke(
        self, revoke: messages.CallRevoke
    ) -> messages.CallRevoked | None:
        """Revoke a call; see `Peer`."""
        return self._proxy.revoke(revoke)

    def claim(self, claim: messages.KeyClaim) -> messages.KeyClaimed:
        """Claim an Idempotency-Key; see `Peer`."""
        return self._proxy.claim(claim)

    def abort(self, call_id: str) -> None:
        """Do nothing; the cancelling revocation aborts the call."""


class RemotePeer:
    """The inbound proxy of another node; thread-safe.

    A greeting precedes the first call, to get the incarnation and the
    clock of the proxy.
    """

    def __init__(self, node: str, address: str, pool: http.Pool) -> None:
        self.address = address
        self._node = node
        self._pool = pool
        self._lock = threading.Lock()
        self._clock_bound: estimate.ClockBound | None = None
        self._connections_by_call: dict[str, http.Connection] = {}

    def clock_bound(self) -> estimate.ClockBound:
        """Return a lower bound of its clock; greet it if none is known.

        Raises:
            PeerUnavailable: It does not answer.
        """
        known = self._clock_bound
        if known is not None:
            return known
        try:
            answer = self._exchange(
                messages.CallGreeting(node=self._node),
                _GREETING_TIMEOUT_S,
                fresh=True,
            )
        except errors.OutcomeUnknown as exc:
            raise errors.PeerUnavailable(
                step="call.greet", peer=self.address, reason=exc.reason
            ) from exc
        if not isinstance(answer, messages.CallGreeted):
            raise errors.PeerUnavailable(
                step="call.greet", peer=self.address, reason="wrong answer"
            )
        self._clock_bound = estimate.tighten(
            None, answer.incarnation, answer.clock_ms, time.monotonic()
        )
        return self._clock_bound

    def call(
        self, call: messages.CallRequest, timeout_s: float
    ) -> messages.CallAnswer:
        """Send a call and return its answer; see `Peer`.

        Raises:
            PeerUnavailable: Nothing was sent.
            OutcomeUnknown: No complete answer arrived in time.
        """
        try:
            answer = self._exchange(call, timeout_s, call_id=call.call_id)
        except errors.OutcomeUnknown:
            # The idle connections take the same network path and may be
            # broken as well.
            self._pool.close_idle(self.address)
            raise
        except errors.PeerUnavailable:
            self._clock_bound = None
            raise
        if (
            not isinstance(answer, messages.CallAnswer)
            or answer.call_id != call.call_id
        ):
            self._pool.close_idle(self.address)
            raise errors.OutcomeUnknown(
                step="call.send", peer=self.address, reason="crossed answer"
            )
        self._update_clock_bound(answer)
        return answer

    def revoke(
        self, revoke: messages.CallRevoke
    ) -> messages.CallRevoked | None:
        """Revoke a call over a new connection; see `Peer`."""
        timeout_s = revoke.wait_ms / 1000 + _REVOKE_MARGIN_S
        try:
            answer = self._exchange(revoke, timeout_s, fresh=True)
        except errors.ArbutusstallError:
            return None
        if (
            not isinstance(answer, messages.CallRevoked)
            or answer.call_id != revoke.call_id
        ):
            return None
        return answer

    def claim(self, claim: messages.KeyClaim) -> messages.KeyClaimed:
        """Claim an Idempotency-Key; see `Peer`."""
        try:
            answer = self._exchange(claim, _CLAIM_TIMEOUT_S)
        except errors.ArbutusstallError:
            answer = None
        if isinstance(answer, messages.KeyClaimed):
            return answer
        return messages.KeyClaimed(state=messages.KeyState.UNSETTLED)

    def abort(self, call_id: str) -> None:
        """Abort the exchange of a call; see `Peer`."""
        connection = self._connections_by_call.get(call_id)
        if connection is not None:
            connection.abort()

    def _update_clock_bound(self, answer: messages.CallAnswer) -> None:
        if not answer.incarnation:
            return
        now_s = time.monotonic()
        with self._lock:
            self._clock_bound = estimate.tighten(
                self._clock_bound, answer.incarnation, answer.clock_ms, now_s
            )

    def _exchange(
        self,
        message: messages.Message,
        timeout_s: float,
        fresh: bool = False,
        call_id: str = "",
    ) -> messages.Message:
        request = http.Request(
            method="POST",
            url=f"http://{self.address}/v1/calls",
            body=messages.encode(message),
            timeout_s=timeout_s,
            connect_timeout_s=min(_CONNECT_TIMEOUT_S, timeout_s),
            fresh=fresh,
        )
        with self._pool.connection(self.address) as connection:
            if call_id:
                self._connections_by_call[call_id] = connection
            try:
                response = connection.send(request)
            finally:
                self._connections_by_call.pop(call_id, None)
        try:
            return messages.decode(response.body)
        except errors.WireError as exc:
            raise errors.OutcomeUnknown(
                step="call.decode", peer=self.address, reason=exc.reason
            ) from exc


class Peers:
    """The inbound proxies of all nodes, this one included; thread-safe."""

    def __init__(
        self, settings: _settings.NodeSettings, local: inbound.Inbound
    ) -> None:
        self._node = settings.node
        self._local = LocalPeer(local)
        self._pool = http.Pool(
            limit=settings.calls.connections,
            answers=answer_limits.for_nodes(settings.reads),
        )
        self._lock = threading.Lock()
        self._remote_by_node: dict[str, RemotePeer] = {}

    def get(self, member: members.Member) -> Peer:
        """Return the inbound proxy of ``member``.

        If the address of the member has changed, this is a new object.
        """
        if member.node == self._node:
            return self._local
        with self._lock:
            peer = self._remote_by_node.get(member.node)
            if peer is None or peer.address != member.inbound:
                peer = RemotePeer(self._node, member.inbound, self._pool)
                self._remote_by_node[member.node] = peer
            return peer

    def at_address(self, node: str, address: str) -> Peer:
        """Return the inbound proxy of ``node`` at ``address``.

        The node may be unknown, or have another address by now.
        """
        if node == self._node:
            return self._local
        return RemotePeer(self._node, address, self._pool)

    def keep_only(self, nodes: abc.Set[str]) -> None:
        """Remove the peers of nodes that are not in ``nodes``.

        Closes their idle connections.
        """
        with self._lock:
            for node in self._remote_by_node.keys() - nodes:
                peer = self._remote_by_node.pop(node)
                self._pool.close_idle(peer.address)

    def close(self) -> None:
        """Close the idle connections."""
        self._pool.close()
