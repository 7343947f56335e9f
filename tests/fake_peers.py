"""Inbound proxies of other nodes as an outbound proxy meets them."""

import asyncio
import collections
import dataclasses

from arbutusstall import errors
from arbutusstall._wire import messages

# How long opening a connection to a dead machine takes to fail.
CONNECT_S = 0.4


@dataclasses.dataclass(kw_only=True)
class FakePeer:
    """Answers at once, unless it is dead or silent."""

    node: str
    dead: bool = False
    silent: bool = False
    connected: bool = False
    calls: int = 0

    @property
    def is_ready(self) -> bool:
        """As the real one tells it."""
        return self.connected and not self.silent

    def call(self, call, done):
        """Answer, or fail after the time of a connection."""
        self.calls += 1
        loop = asyncio.get_running_loop()
        if self.dead:
            problem = errors.PeerUnavailable(
                step="call.connect", peer=self.node, reason="no connection"
            )
            loop.call_later(CONNECT_S, done, problem)
        elif not self.silent:
            self.connected = True
            answer = messages.CallAnswer(
                call_id=call.call_id,
                request_id=call.request_id,
                status=200,
                headers=(("X-Node", self.node),),
                slots=8,
                taken_ms=20,
            )
            loop.call_soon(done, answer)

    def revoke(self, call, done):
        """Know nothing."""
        done(None)

    def cancel(self, call):
        """Do nothing."""


class FakePeers:
    """Stands in for `peers.Peers`."""

    def __init__(self, nodes, dead):
        self.by_node = {
            node: FakePeer(node=node, dead=index < dead)
            for index, node in enumerate(nodes)
        }
        self.prepared = collections.Counter()
        self._opening = set()

    def get(self, member):
        """Return one peer."""
        return self.by_node[member.node]

    def is_ready(self, member):
        """Tell whether it is connected."""
        return self.by_node[member.node].is_ready

    def prepare(self, member, failed):
        """Connect, if it lives."""
        peer = self.by_node[member.node]
        if peer.node in self._opening:
            return
        self.prepared[peer.node] += 1
        if not peer.dead:
            peer.connected = True
            return

        def fail():
            self._opening.remove(peer.node)
            failed()

        self._opening.add(peer.node)
        asyncio.get_running_loop().call_later(CONNECT_S, fail)

    def keep_only(self, nodes):
        """Keep all."""

    def forget(self, node, call_id):
        """Keep nothing."""

    def close(self):
        """Nothing is open."""
