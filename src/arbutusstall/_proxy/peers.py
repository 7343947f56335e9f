"""Sends calls to inbound proxies over persistent connections."""

import asyncio
from collections import abc
import dataclasses
import functools
import logging
from typing import Protocol

import msgspec

from arbutusstall import _settings
from arbutusstall import errors
from arbutusstall._proxy import background
from arbutusstall._proxy import frames
from arbutusstall._proxy import inbound
from arbutusstall._shell import failures
from arbutusstall._systems import estimate
from arbutusstall._systems import silence
from arbutusstall._tables import members
from arbutusstall._wire import messages

LOG = logging.getLogger(__name__)

AnswerCallback = abc.Callable[
    [messages.CallAnswer | errors.ArbutusstallError], None
]
QuotaCallback = abc.Callable[[str, messages.Message], None]
RevokedCallback = abc.Callable[[messages.CallRevoked | None], None]

_CONNECT_TIMEOUT_S = 0.4
_GREETING_TIMEOUT_S = 0.6
_CHECK_INTERVAL_S = 0.1
# A longer gap between two checks means that this process was paused. Its
# peers may have sent what it has not read, so their silence proves nothing.
_MAX_CHECK_GAP_S = 0.5
# Larger bodies are sent only when the peer requests them.
_MAX_INLINE_BODY_BYTES = 8 * 1024


class Peer(Protocol):
    """One inbound proxy."""

    @property
    def is_ready(self) -> bool:
        """Whether a call can be sent at once and is likely to arrive."""
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
        """Make sure that a call never starts, or wait until it has ended.

        ``done`` is called once, with None if the peer did not answer.
        """
        ...

    def cancel(self, call: messages.CallRequest) -> None:
        """Cancel a call whose outcome is no longer needed."""
        ...


class LocalPeer:
    """The inbound proxy of the same process."""

    def __init__(self, proxy: inbound.Inbound) -> None:
        self._proxy = proxy

    @property
    def is_ready(self) -> bool:
        """Always true: no connection is needed."""
        return True

    def call(self, call: messages.CallRequest, done: AnswerCallback) -> None:
        """Submit the call; see `Peer`."""
        call = msgspec.structs.replace(
            call,
            incarnation=self._proxy.incarnation,
            sent_ms=self._proxy.now_ms(),
        )
        self._proxy.submit(call, done, is_local=True)

    def revoke(
        self, call: messages.CallRequest, done: RevokedCallback
    ) -> None:
        """Revoke the call; see `Peer`."""
        self._proxy.revoke(
            messages.CallRevoke(
                call_id=call.call_id,
                incarnation=self._proxy.incarnation,
                # The time of the call is not kept. The lowest bound makes
                # the outcome unknown if an entry may have been evicted.
                sent_ms=0,
            ),
            done,
        )

    def cancel(self, call: messages.CallRequest) -> None:
        """Cancel the call; see `Peer`."""
        self._proxy.cancel(call.call_id)


@dataclasses.dataclass(kw_only=True, slots=True)
class _Pending:
    call: messages.CallRequest
    done: AnswerCallback


class RemotePeer:
    """The inbound proxy of another node.

    A connection is opened on first use. It can carry calls once the peer
    has answered a greeting, which tells its incarnation and clock.
    """

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
        self._on_open_callbacks: list[abc.Callable[[str], None]] = []
        self._unsent_ids: set[str] = set()
        self._pending_by_id: dict[str, _Pending] = {}
        self._revoked_by_id: dict[str, RevokedCallback] = {}
        self._stamps_by_id: dict[str, tuple[int, int]] = {}
        self._silence_watch = silence.SilenceWatch()
        self.on_quota: abc.Callable[[messages.Message], None] | None = None

    @property
    def is_ready(self) -> bool:
        """Whether a connection is open and no ping is unanswered."""
        connection = self._connection
        return (
            connection is not None
            and connection.is_open
            and self._clock_bound is not None
            and not self._silence_watch.is_suspect(connection.last_received_s)
        )

    @property
    def is_suspect(self) -> bool:
        """Whether a connection is open but a ping is unanswered."""
        connection = self._connection
        return (
            connection is not None
            and connection.is_open
            and self._silence_watch.is_suspect(connection.last_received_s)
        )

    def prepare(self, on_failed: abc.Callable[[], None]) -> None:
        """Open a connection unless one is open or being opened.

        ``on_failed`` is called if it cannot be opened.
        """
        connection = self._connection
        if self._opening is None and not (connection and connection.is_open):
            self._when_open(lambda problem: on_failed() if problem else None)

    def open(self, done: abc.Callable[[str], None]) -> None:
        """Open a connection unless one is open.

        ``done`` is called once, with the reason if the connection cannot
        be opened and with an empty text otherwise.
        """
        self._when_open(done)

    def send_control(self, message: messages.Message) -> None:
        """Send a message, if necessary over a new connection.

        It is lost if another one is being opened already, or if that
        fails: the sender sends it again.
        """

        def send(problem: str) -> None:
            if not problem and self._connection is not None:
                self._connection.send(message)

        if self._opening is None:
            self._when_open(send)

    @property
    def is_idle(self) -> bool:
        """Whether no call, revocation or connection attempt is pending."""
        return not (
            self._pending_by_id
            or self._revoked_by_id
            or self._on_open_callbacks
        )

    def call(self, call: messages.CallRequest, done: AnswerCallback) -> None:
        """Send a call; see `Peer`."""

        def send(problem: str) -> None:
            if call.call_id not in self._unsent_ids:
                return
            self._unsent_ids.remove(call.call_id)
            if problem:
                done(self._unavailable(problem))
            else:
                self._send_call(call, done)

        self._unsent_ids.add(call.call_id)
        self._when_open(send)

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

        self._when_open(send)

    def cancel(self, call: messages.CallRequest) -> None:
        """Cancel a call; see `Peer`."""
        self._unsent_ids.discard(call.call_id)
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
        """Discard the revocation data of a call that has ended."""
        self._stamps_by_id.pop(call_id, None)

    def check(self, now_s: float) -> None:
        """Ping a silent peer; close its connection if it does not answer."""
        connection = self._connection
        if connection is None:
            return
        suspect = self._silence_watch.is_suspect(connection.last_received_s)
        if self.is_idle and not suspect:
            return
        step = self._silence_watch.check(connection.last_received_s, now_s)
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
        """Measure the silence of the peer from ``now_s`` on."""
        self._silence_watch.record_request(now_s)

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
        """Pass an answer to the callback that waits for it."""
        if isinstance(message, messages.CallAnswer):
            pending = self._pending_by_id.pop(message.call_id, None)
            self._update_clock_bound(message.incarnation, message.clock_ms)
            if pending is not None:
                connection.cancel_body(message.call_id)
                self.forget(message.call_id)
                pending.done(message)
        elif isinstance(message, messages.CallBodyWanted):
            wanted = self._pending_by_id.get(message.call_id)
            if wanted is not None:
                connection.send_body(message.call_id, wanted.call.body)
        elif isinstance(message, messages.CallGreeted):
            self._update_clock_bound(message.incarnation, message.clock_ms)
            self._greeted.set()
        elif isinstance(message, messages.CallRevoked):
            done = self._revoked_by_id.pop(message.call_id, None)
            if done is not None:
                done(message)
        elif self.on_quota is not None:
            self.on_quota(message)

    def on_lost(self, connection: frames.FrameConnection, reason: str) -> None:
        """Fail all pending calls and revocations."""
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

    def _when_open(self, action: abc.Callable[[str], None]) -> None:
        connection = self._connection
        if connection is not None and connection.is_open and self._clock_bound:
            action("")
            return
        self._on_open_callbacks.append(action)
        if self._opening is None:
            self._opening = self._loop.create_task(self._open())

    async def _open(self) -> None:
        problem = ""
        self._greeted.clear()
        try:
            self._connection = await frames.connect(
                self.address, self, self._reads, _CONNECT_TIMEOUT_S
            )
            self._connection.send(messages.CallGreeting(node=self._node))
            async with asyncio.timeout(_GREETING_TIMEOUT_S):
                await self._greeted.wait()
        except errors.PeerUnavailable as exc:
            problem = exc.reason
        except TimeoutError:
            problem = "no greeting in time"
            if self._connection is not None:
                self._connection.abort()
        except Exception as exc:
            failures.log("peer.open", exc)
            problem = failures.describe(exc)
        self._opening = None
        self._run_open_callbacks(problem)

    def _run_open_callbacks(self, problem: str) -> None:
        actions, self._on_open_callbacks = self._on_open_callbacks, []
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
            self._silence_watch.record_request(self._loop.time())
        stamped = msgspec.structs.replace(
            call,
            incarnation=bound.incarnation,
            sent_ms=bound.at(self._loop.time()),
        )
        offered = stamped
        if len(call.body) > _MAX_INLINE_BODY_BYTES:
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

    def _update_clock_bound(self, incarnation: int, clock_ms: int) -> None:
        if incarnation:
            self._clock_bound = estimate.tighten(
                self._clock_bound, incarnation, clock_ms, self._loop.time()
            )

    def _unavailable(self, reason: str) -> errors.PeerUnavailable:
        return errors.PeerUnavailable(
            step="call.connect", peer=self.address, reason=reason
        )


class Peers:
    """The inbound proxies of all nodes, this one included.

    Checks the remote ones for silence at a fixed interval.

    Attributes:
        on_quota: Gets the answers of quota servers, with their nodes.
    """

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
        self.on_quota: QuotaCallback | None = None
        self._loop = asyncio.get_running_loop()
        self._last_check_s = self._loop.time()
        self._checks = background.Periodic(
            "peer checks", _CHECK_INTERVAL_S, self._check
        )
        self._checks.start_later()

    def get(self, member: members.Member) -> Peer:
        """Return the inbound proxy of ``member``.

        A changed address replaces the peer and closes its connection.
        """
        if member.node == self._node:
            return self._local
        peer = self._remote_by_node.get(member.node)
        if peer is None or peer.address != member.inbound:
            if peer is not None:
                peer.close()
            peer = RemotePeer(self._node, member.inbound, self._reads)
            if self.on_quota is not None:
                peer.on_quota = functools.partial(self.on_quota, member.node)
            self._remote_by_node[member.node] = peer
        return peer

    def is_ready(self, member: members.Member) -> bool:
        """Return whether a call to ``member`` can be sent at once."""
        return self.get(member).is_ready

    def is_suspect(self, member: members.Member) -> bool:
        """Return whether ``member`` is connected but does not answer."""
        peer = self.get(member)
        return isinstance(peer, RemotePeer) and peer.is_suspect

    def prepare(
        self, member: members.Member, on_failed: abc.Callable[[], None]
    ) -> None:
        """Open a connection for later calls; see `RemotePeer.prepare`."""
        peer = self.get(member)
        if isinstance(peer, RemotePeer):
            peer.prepare(on_failed)

    def open(
        self, member: members.Member, done: abc.Callable[[str], None]
    ) -> None:
        """Open a connection to ``member``; see `RemotePeer.open`."""
        peer = self.get(member)
        if isinstance(peer, RemotePeer):
            peer.open(done)
        else:
            done("")

    def send_control(
        self, member: members.Member, message: messages.Message
    ) -> None:
        """Send a message to ``member``; see `RemotePeer.send_control`."""
        peer = self.get(member)
        if isinstance(peer, RemotePeer):
            peer.send_control(message)

    def forget(self, node: str, call_id: str) -> None:
        """Discard the revocation data of a call that has ended."""
        peer = self._remote_by_node.get(node)
        if peer is not None:
            peer.forget(call_id)

    def keep_only(self, nodes: abc.Set[str]) -> None:
        """Close idle connections to nodes that are not in ``nodes``."""
        for node in list(self._remote_by_node):
            peer = self._remote_by_node[node]
            if node not in nodes and peer.is_idle:
                del self._remote_by_node[node]
                peer.close()

    def close(self) -> None:
        """Close all connections."""
        self._checks.stop()
        for peer in self._remote_by_node.values():
            peer.close()

    def _check(self) -> None:
        now_s = self._loop.time()
        paused = now_s - self._last_check_s > _MAX_CHECK_GAP_S
        self._last_check_s = now_s
        for peer in list(self._remote_by_node.values()):
            if paused:
                peer.reset_silence(now_s)
            else:
                peer.check(now_s)
