"""Calls to inbound proxies over kept connections."""

import asyncio
from collections import abc
import dataclasses
import logging
from typing import Protocol

import msgspec

from arbutusstall import _settings
from arbutusstall import errors
from arbutusstall._proxy import frames
from arbutusstall._proxy import inbound
from arbutusstall._systems import estimate
from arbutusstall._systems import silence
from arbutusstall._tables import members
from arbutusstall._wire import messages

LOG = logging.getLogger(__name__)

AnswerCallback = abc.Callable[
    [messages.CallAnswer | errors.ArbutusstallError], None
]
RevokedCallback = abc.Callable[[messages.CallRevoked | None], None]

_CONNECT_S = 0.4
_GREETING_S = 0.6
_CHECK_S = 0.1
# After a gap between two checks nothing can be said about the peers.
_PAUSE_S = 0.5
# Larger bodies are sent when they are asked for.
_MOST_AT_ONCE_BYTES = 8 * 1024


class Peer(Protocol):
    """One inbound proxy."""

    @property
    def is_ready(self) -> bool:
        """Whether a call can be sent at once, and is likely to arrive."""
        ...

    def call(self, call: messages.CallRequest, done: AnswerCallback) -> None:
        """Send a call.

        ``done`` is called once: with the answer, with
        `errors.PeerUnavailable` if nothing was sent, or with
        `errors.OutcomeUnknown`.
        """
        ...

    def revoke(
        self, call: messages.CallRequest, done: RevokedCallback
    ) -> None:
        """Make sure that a call never starts, or wait for its end.

        ``done`` is called once, with None if the peer did not answer.
        """
        ...

    def cancel(self, call: messages.CallRequest) -> None:
        """Break a call off; its outcome is of no interest any more."""
        ...


class LocalPeer:
    """The inbound proxy of the same process."""

    def __init__(self, proxy: inbound.Inbound) -> None:
        self._proxy = proxy

    @property
    def is_ready(self) -> bool:
        """Whether a call can be sent: always."""
        return True

    def call(self, call: messages.CallRequest, done: AnswerCallback) -> None:
        """Run the call."""
        call = msgspec.structs.replace(
            call,
            incarnation=self._proxy.incarnation,
            sent_ms=self._proxy.now_ms(),
        )
        self._proxy.submit(call, done)

    def revoke(
        self, call: messages.CallRequest, done: RevokedCallback
    ) -> None:
        """Revoke the call."""
        self._proxy.revoke(
            messages.CallRevoke(
                call_id=call.call_id,
                incarnation=self._proxy.incarnation,
                sent_ms=self._proxy.now_ms(),
            ),
            done,
        )

    def cancel(self, call: messages.CallRequest) -> None:
        """Break the call off."""
        self._proxy.cancel(call.call_id)


@dataclasses.dataclass(kw_only=True, slots=True)
class _Pending:
    call: messages.CallRequest
    done: AnswerCallback


class RemotePeer:
    """The inbound proxy of another node."""

    def __init__(
        self, node: str, address: str, reads: _settings.ReadSettings
    ) -> None:
        self.address = address
        self._reads = reads
        self._node = node
        self._loop = asyncio.get_running_loop()
        self._connection: frames.FrameConnection | None = None
        self._clock_bound: estimate.ClockBound | None = None
        self._opening: asyncio.Task[None] | None = None
        self._greeted = asyncio.Event()
        self._when_open: list[abc.Callable[[str], None]] = []
        self._unsent: set[str] = set()
        self._pending_by_id: dict[str, _Pending] = {}
        self._revoked_by_id: dict[str, RevokedCallback] = {}
        self._stamps_by_id: dict[str, tuple[int, int]] = {}
        self._silence = silence.SilenceWatch()

    @property
    def is_ready(self) -> bool:
        """Whether a connection is open and the peer is not suspect."""
        connection = self._connection
        return (
            connection is not None
            and connection.is_open
            and self._clock_bound is not None
            and not self._silence.is_suspect(connection.last_received_s)
        )

    def prepare(self, failed: abc.Callable[[], None]) -> None:
        """Open a connection if none is open or being opened.

        ``failed`` is called if that does not work.
        """
        connection = self._connection
        if self._opening is None and not (connection and connection.is_open):
            self._use(lambda problem: failed() if problem else None)

    @property
    def is_idle(self) -> bool:
        """Whether nothing waits for this peer."""
        return not (
            self._pending_by_id or self._revoked_by_id or self._when_open
        )

    def call(self, call: messages.CallRequest, done: AnswerCallback) -> None:
        """Send a call; see `Peer`."""

        def send(problem: str) -> None:
            if call.call_id not in self._unsent:
                return
            self._unsent.remove(call.call_id)
            if problem:
                done(self._unavailable(problem))
            else:
                self._send_call(call, done)

        self._unsent.add(call.call_id)
        self._use(send)

    def revoke(
        self, call: messages.CallRequest, done: RevokedCallback
    ) -> None:
        """Revoke a call over a working connection; see `Peer`."""

        def send(problem: str) -> None:
            connection = self._connection
            stamp = self._stamps_by_id.get(call.call_id)
            if problem or connection is None or stamp is None:
                done(None)
                return
            message = messages.CallRevoke(
                call_id=call.call_id,
                incarnation=stamp[0],
                sent_ms=stamp[1],
            )
            self._revoked_by_id[call.call_id] = done
            connection.send(message)

        self._use(send)

    def cancel(self, call: messages.CallRequest) -> None:
        """Break a call off; see `Peer`."""
        self._unsent.discard(call.call_id)
        self._pending_by_id.pop(call.call_id, None)
        self._revoked_by_id.pop(call.call_id, None)
        stamp = self._stamps_by_id.pop(call.call_id, None)
        if self._connection is not None and stamp is not None:
            self._connection.cancel_body(call.call_id)
            self._connection.send(
                messages.CallRevoke(
                    call_id=call.call_id,
                    incarnation=stamp[0],
                    sent_ms=stamp[1],
                    cancel=True,
                )
            )

    def forget(self, call_id: str) -> None:
        """Drop what is kept for a revocation of a call that has ended."""
        self._stamps_by_id.pop(call_id, None)

    def check(self, now_s: float) -> None:
        """Ask a silent peer for a sign of life, or give it up."""
        connection = self._connection
        if connection is None:
            return
        suspect = self._silence.is_suspect(connection.last_received_s)
        if self.is_idle and not suspect:
            return
        step = self._silence.check(connection.last_received_s, now_s)
        if step is silence.Step.PING:
            connection.send(messages.CallGreeting(node=self._node))
        elif step is silence.Step.GIVE_UP:
            LOG.warning(
                {
                    "event": "peer-silent",
                    "peer": self.address,
                    "silent_ms": int(
                        (now_s - connection.last_received_s) * 1000
                    ),
                    "waiting": len(self._pending_by_id),
                }
            )
            connection.abort()

    def reset_silence(self, now_s: float) -> None:
        """Begin anew to measure the silence."""
        self._silence.asked(now_s)

    def close(self) -> None:
        """Close the connection."""
        if self._opening is not None:
            self._opening.cancel()
        if self._connection is not None:
            self._connection.abort()

    def on_message(
        self,
        connection: frames.FrameConnection,
        message: messages.Message,
    ) -> None:
        """Hand an answer to whoever waits for it."""
        if isinstance(message, messages.CallAnswer):
            pending = self._pending_by_id.pop(message.call_id, None)
            self._learn(message.incarnation, message.clock_ms)
            if pending is not None:
                connection.cancel_body(message.call_id)
                self.forget(message.call_id)
                pending.done(message)
        elif isinstance(message, messages.CallBodyWanted):
            wanted = self._pending_by_id.get(message.call_id)
            if wanted is not None:
                connection.send_body(message.call_id, wanted.call.body)
        elif isinstance(message, messages.CallGreeted):
            self._learn(message.incarnation, message.clock_ms)
            self._greeted.set()
        elif isinstance(message, messages.CallRevoked):
            done = self._revoked_by_id.pop(message.call_id, None)
            if done is not None:
                done(message)

    def on_lost(self, connection: frames.FrameConnection, reason: str) -> None:
        """Tell all that wait that no answer will come."""
        if connection is not self._connection:
            return
        self._connection = None
        self._clock_bound = None
        pending, self._pending_by_id = self._pending_by_id, {}
        revoked, self._revoked_by_id = self._revoked_by_id, {}
        for item in pending.values():
            item.done(
                errors.OutcomeUnknown(
                    step="call.send", peer=self.address, reason=reason
                )
            )
        for done in revoked.values():
            done(None)
        self._greeted.set()

    def _use(self, action: abc.Callable[[str], None]) -> None:
        connection = self._connection
        if connection is not None and connection.is_open and self._clock_bound:
            action("")
            return
        self._when_open.append(action)
        if self._opening is None:
            self._opening = self._loop.create_task(self._open())

    async def _open(self) -> None:
        problem = ""
        self._greeted.clear()
        try:
            self._connection = await frames.connect(
                self.address, self, self._reads, _CONNECT_S
            )
            self._connection.send(messages.CallGreeting(node=self._node))
            async with asyncio.timeout(_GREETING_S):
                await self._greeted.wait()
        except errors.PeerUnavailable as exc:
            problem = exc.reason
        except TimeoutError:
            problem = "no greeting in time"
            if self._connection is not None:
                self._connection.abort()
        self._opening = None
        self._opened(problem)

    def _opened(self, problem: str) -> None:
        actions, self._when_open = self._when_open, []
        for action in actions:
            action(problem)

    def _send_call(
        self, call: messages.CallRequest, done: AnswerCallback
    ) -> None:
        connection, bound = self._connection, self._clock_bound
        if connection is None or bound is None:
            done(self._unavailable("the connection has ended"))
            return
        if self.is_idle:
            self._silence.asked(self._loop.time())
        stamped = msgspec.structs.replace(
            call,
            incarnation=bound.incarnation,
            sent_ms=bound.at(self._loop.time()),
        )
        offered = stamped
        if len(call.body) > _MOST_AT_ONCE_BYTES:
            offered = msgspec.structs.replace(
                stamped, body=b"", body_bytes=len(call.body)
            )
        if not connection.send(offered):
            done(self._unavailable("the connection has ended"))
            return
        self._stamps_by_id[call.call_id] = (
            stamped.incarnation,
            stamped.sent_ms,
        )
        self._pending_by_id[call.call_id] = _Pending(call=stamped, done=done)

    def _learn(self, incarnation: int, clock_ms: int) -> None:
        if incarnation:
            self._clock_bound = estimate.tighten(
                self._clock_bound, incarnation, clock_ms, self._loop.time()
            )

    def _unavailable(self, reason: str) -> errors.PeerUnavailable:
        return errors.PeerUnavailable(
            step="call.connect", peer=self.address, reason=reason
        )


class Peers:
    """The inbound proxies by node."""

    def __init__(
        self,
        node: str,
        local: inbound.Inbound,
        reads: _settings.ReadSettings,
    ) -> None:
        self._node = node
        self._reads = reads
        self._local = LocalPeer(local)
        self._remote_by_node: dict[str, RemotePeer] = {}
        self._loop = asyncio.get_running_loop()
        self._checked_s = self._loop.time()
        self._timer = self._loop.call_later(_CHECK_S, self._check)

    def get(self, member: members.Member) -> Peer:
        """Return the inbound proxy of ``member``."""
        if member.node == self._node:
            return self._local
        peer = self._remote_by_node.get(member.node)
        if peer is None or peer.address != member.inbound:
            if peer is not None:
                peer.close()
            peer = RemotePeer(self._node, member.inbound, self._reads)
            self._remote_by_node[member.node] = peer
        return peer

    def is_ready(self, member: members.Member) -> bool:
        """Whether a call to ``member`` can be sent at once."""
        return self.get(member).is_ready

    def prepare(
        self, member: members.Member, failed: abc.Callable[[], None]
    ) -> None:
        """Open a connection for later calls; see `RemotePeer.prepare`."""
        peer = self.get(member)
        if isinstance(peer, RemotePeer):
            peer.prepare(failed)

    def forget(self, node: str, call_id: str) -> None:
        """Drop what was kept to revoke a call that has ended."""
        peer = self._remote_by_node.get(node)
        if peer is not None:
            peer.forget(call_id)

    def keep_only(self, nodes: abc.Set[str]) -> None:
        """Close the connections to other nodes than ``nodes``."""
        for node in list(self._remote_by_node):
            peer = self._remote_by_node[node]
            if node not in nodes and peer.is_idle:
                del self._remote_by_node[node]
                peer.close()

    def close(self) -> None:
        """Close all connections."""
        self._timer.cancel()
        for peer in self._remote_by_node.values():
            peer.close()

    def _check(self) -> None:
        now_s = self._loop.time()
        paused = now_s - self._checked_s > _PAUSE_S
        self._checked_s = now_s
        for peer in list(self._remote_by_node.values()):
            if paused:
                peer.reset_silence(now_s)
            else:
                peer.check(now_s)
        self._timer = self._loop.call_later(_CHECK_S, self._check)
