"""What clients' requests cost in memory, and which connections give way."""

from collections import abc
import dataclasses
import itertools
import logging
from typing import Generic
from typing import Protocol
from typing import TypeVar

from arbutusstall import _settings
from arbutusstall._bounds import fair_queue
from arbutusstall._bounds import unsent_data
from arbutusstall._proxy import byte_budget
from arbutusstall._shell import call_metrics

LOG = logging.getLogger(__name__)

# A line of 7 bytes takes 184 bytes at the node of the client and 168 beside
# the target (tracemalloc, CPython 3.11): a tuple, two strings, two sequences.
LINE_BYTES = 200
# The objects of a request without any header line.
REQUEST_BYTES = 1_500
# Part of the budget that is freed at once when it is exhausted, so that the
# search for the largest heads is rare.
_FREED_FRACTION = 8
# The servers for heartbeats, readiness and metrics have few clients, with
# small requests.
_CONTROL_FRACTION = 4
_CONTROL_CONNECTIONS = 64
# Parts of the callers' connections that each of these servers, and the one
# for other nodes, may have.
_CONTROL_PART = 16
_PEER_FRACTION = 2
# Part of the budget of heads that unsent answers may take, or one answer.
_UNSENT_FRACTION = 2
_DEFAULT_UNSENT_BYTES = 32 * 1024 * 1024
# Part of the connections that may be without any complete request before
# they, rather than idle ones, give way to new connections.
_NEW_FRACTION = 8


def head_bytes(headers: abc.Sequence[tuple[str, str]]) -> int:
    """Return the memory that a request with these headers takes."""
    length = sum(len(name) + len(value) for name, value in headers)
    return REQUEST_BYTES + LINE_BYTES * len(headers) + length


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ServerBounds:
    """Bounds of all connections of one server together.

    Attributes:
        heads: Bytes of the heads and of the unparsed data that are held.
        bodies: Bytes of the bodies that are held; None for no bound.
        connections: Maximum number of connections.
        turns: Divides the loop's time among connections.
        unsent: Bounds the data that clients have not taken.
    """

    heads: byte_budget.ByteBudget
    bodies: byte_budget.ByteBudget | None
    connections: int
    turns: fair_queue.FairQueue = dataclasses.field(
        default_factory=fair_queue.FairQueue
    )
    unsent: unsent_data.UnsentData[unsent_data.Writer] = dataclasses.field(
        default_factory=lambda: unsent_data.UnsentData(_DEFAULT_UNSENT_BYTES)
    )


class ProcessBounds:
    """What all servers of a process share, and the bounds of each.

    Attributes:
        bodies: Bounds all bodies that the process holds.
    """

    def __init__(self, reads: _settings.ReadSettings) -> None:
        self.bodies = byte_budget.ByteBudget(reads.held_bytes)
        self._reads = reads
        self._turns = fair_queue.FairQueue()
        unsent_bytes = max(
            reads.head_bytes // _UNSENT_FRACTION, reads.answer_bytes
        )
        self._unsent: unsent_data.UnsentData[unsent_data.Writer] = (
            unsent_data.UnsentData(unsent_bytes)
        )

    def callers(self) -> ServerBounds:
        """Return the bounds of the server for callers."""
        return self._server(
            byte_budget.ByteBudget(self._reads.head_bytes),
            self.bodies,
            self._reads.client_connections,
        )

    def peers(self) -> ServerBounds:
        """Return the bounds of the server for other nodes.

        The bodies of calls are bounded once the messages are decoded.
        """
        limit = max(self._reads.head_bytes, self._reads.frame_bytes)
        return self._server(
            byte_budget.ByteBudget(limit),
            None,
            max(1, self._reads.client_connections // _PEER_FRACTION),
        )

    def calls(self) -> ServerBounds:
        """Return the bounds of a server for calls that are HTTP requests."""
        return dataclasses.replace(
            self.peers(),
            heads=byte_budget.ByteBudget(self._reads.head_bytes),
            bodies=self.bodies,
        )

    def control(self) -> ServerBounds:
        """Return the bounds of one of the other servers.

        The budget is its own, so that a crowd at one address does not keep
        out the target's heartbeats, the readiness checks or the callers.
        """
        budget = byte_budget.ByteBudget(
            self._reads.head_bytes // _CONTROL_FRACTION
        )
        connections = self._reads.client_connections // _CONTROL_PART
        return self._server(
            budget, budget, max(1, min(_CONTROL_CONNECTIONS, connections))
        )

    def _server(
        self,
        heads: byte_budget.ByteBudget,
        bodies: byte_budget.ByteBudget | None,
        connections: int,
    ) -> ServerBounds:
        return ServerBounds(
            heads=heads,
            bodies=bodies,
            connections=connections,
            turns=self._turns,
            unsent=self._unsent,
        )


class Evictable(Protocol):
    """A connection that may have to give way to others."""

    @property
    def busy(self) -> bool:
        """Whether a request waits, or bytes of an answer are unsent."""
        ...

    @property
    def head_held(self) -> int:
        """Bytes held for an incomplete request, without its body."""
        ...

    @property
    def body_held(self) -> int:
        """Bytes held for the body of an incomplete request."""
        ...

    @property
    def began_s(self) -> float:
        """Loop time at which the incomplete request began."""
        ...

    def shed(self) -> None:
        """Refuse the incomplete request and release what it holds."""
        ...

    def abort(self) -> None:
        """Close the connection at once."""
        ...


_Connection = TypeVar("_Connection", bound=Evictable)


class Connections(Generic[_Connection]):
    """The connections of a server, and those of them that wait.

    A connection waits while no complete request of it is being answered.
    The oldest of them gives way when a new connection exceeds the limit.
    Those without any complete request go first once there are many, so that
    a crowd of them does not displace the clients that send requests.
    """

    def __init__(self, bounds: ServerBounds) -> None:
        self.bounds = bounds
        self.all: set[_Connection] = set()
        # Dictionaries keep the order in which the connections began to wait.
        self._new: dict[_Connection, None] = {}
        self._idle: dict[_Connection, None] = {}

    def add(self, connection: _Connection) -> None:
        """Register a connection; one is closed if there are too many.

        If all others are busy, it is the new one.
        """
        is_full = len(self.all) >= self.bounds.connections
        if is_full and not self._evict(connection):
            return
        self.all.add(connection)
        self._new[connection] = None

    def remove(self, connection: _Connection) -> None:
        """Remove a connection that has ended."""
        self.all.discard(connection)
        self.begin_request(connection)

    def begin_request(self, connection: _Connection) -> None:
        """Exempt a connection, since a request of it is being answered."""
        self._new.pop(connection, None)
        self._idle.pop(connection, None)

    def end_request(self, connection: _Connection) -> None:
        """Let a connection wait again after an answer."""
        if connection in self.all:
            self._idle[connection] = None

    def make_room(self) -> None:
        """Refuse the largest incomplete heads to free a part of the budget."""
        waiting = sorted(
            itertools.chain(self._new, self._idle),
            key=lambda connection: connection.head_held,
            reverse=True,
        )
        wanted = self.bounds.heads.limit // _FREED_FRACTION
        for connection in waiting:
            held = connection.head_held
            if wanted <= 0 or held <= 0:
                return
            wanted -= held
            connection.shed()

    def make_body_room(self) -> None:
        """Refuse the oldest incomplete bodies to free a part of the budget.

        Bodies that arrive slowly are older than others of their size.
        """
        budget = self.bounds.bodies
        if budget is None:
            return
        waiting = sorted(
            itertools.chain(self._new, self._idle),
            key=lambda connection: connection.began_s,
        )
        wanted = budget.limit // _FREED_FRACTION
        for connection in waiting:
            held = connection.body_held
            if wanted <= 0:
                return
            if held > 0:
                wanted -= held
                connection.shed()

    def _evict(self, newcomer: _Connection) -> bool:
        """Close a connection; return whether it is not the newcomer."""
        many_new = len(self._new) > self.bounds.connections // _NEW_FRACTION
        order = (self._new, self._idle)
        first, second = order if many_new else order[::-1]
        # An answer that the client has not taken would be cut.
        waiting = itertools.chain(first, second)
        victim = next((item for item in waiting if not item.busy), newcomer)
        self.remove(victim)
        call_metrics.EVICTIONS.inc()
        LOG.warning(
            {
                "event": "connection-evicted",
                "connections": len(self.all),
                "limit": self.bounds.connections,
            }
        )
        victim.abort()
        return victim is not newcomer
