"""A TCP proxy that injects faults into the connections through it.

Directions are named from the client's side: ``"up"`` is towards the
upstream server, ``"down"`` is towards the client.
"""

from collections import abc
import contextlib
import dataclasses
import random
import socket
import struct
import threading
import time

UP = "up"
DOWN = "down"

_CHUNK_BYTES = 65_536
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Faults:
    """What happens to the connections of one proxy.

    Attributes:
        refuse: Refuse new connections and reset the open ones.
        latency_s: Delay of each chunk.
        spread_s: Further delay, drawn once for each connection, so
            that connections overtake each other.
        vanish: Directions whose bytes are thrown away.
        reset_at: Byte counts by direction, counted on each connection
            since the faults were set; the bytes before are delivered,
            then the connection is reset.
        reset_on: Bytes by direction; a chunk that holds them is not
            delivered and the connection is reset.
        once: Go back to no faults after the first reset.
    """

    refuse: bool = False
    latency_s: float = 0.0
    spread_s: float = 0.0
    vanish: frozenset[str] = frozenset()
    reset_at: abc.Mapping[str, int] = dataclasses.field(default_factory=dict)
    reset_on: abc.Mapping[str, bytes] = dataclasses.field(default_factory=dict)
    once: bool = False


class FaultProxy:
    """Forwards connections from ``listen`` to ``upstream``."""

    def __init__(self, listen: str, upstream: str, seed: int = 0) -> None:
        self.listen = listen
        self.upstream = upstream
        self.faults = Faults()
        self.resets = 0
        self._rng = random.Random(seed)
        self._lock = threading.Lock()
        self._connections: set[_Connection] = set()
        self._server: socket.socket | None = None
        self._open()

    def set(self, **faults: object) -> None:
        """Replace the faults by `Faults` of these fields."""
        self.faults = Faults(**faults)
        for connection in self._snapshot():
            connection.passed = {UP: 0, DOWN: 0}
        if self.faults.refuse:
            self._shut()
            self.reset_open()
        elif self._server is None:
            self._open()

    def silence_open(self) -> int:
        """Make the open connections silent for good; return how many.

        No byte and no end of stream passes any more in either
        direction. New connections work.
        """
        connections = self._snapshot()
        for connection in connections:
            connection.silent = True
        return len(connections)

    def reset_open(self) -> None:
        """Reset the open connections."""
        for connection in self._snapshot():
            connection.reset()

    def stop(self) -> None:
        """Close everything."""
        self._shut()
        self.reset_open()

    def forget(self, connection: "_Connection") -> None:
        """Remove a closed connection."""
        with self._lock:
            self._connections.discard(connection)

    def note_reset(self) -> None:
        """Count a reset that a fault asked for."""
        with self._lock:
            self.resets += 1
            if self.faults.once:
                self.faults = Faults()

    def _snapshot(self) -> "list[_Connection]":
        with self._lock:
            return list(self._connections)

    def _open(self) -> None:
        host, _, port = self.listen.rpartition(":")
        self._server = socket.create_server((host, int(port)), backlog=128)
        threading.Thread(
            target=self._accept, args=(self._server,), daemon=True
        ).start()

    def _shut(self) -> None:
        server, self._server = self._server, None
        if server is not None:
            with contextlib.suppress(OSError):
                server.shutdown(socket.SHUT_RDWR)
            server.close()

    def _accept(self, server: socket.socket) -> None:
        while True:
            try:
                client, _ = server.accept()
            except OSError:
                return
            extra_s = self._rng.random() * self.faults.spread_s
            connection = _Connection(self, client, extra_s)
            with self._lock:
                self._connections.add(connection)
            threading.Thread(target=connection.run, daemon=True).start()


class _Connection:
    """One client connection and its upstream half."""

    def __init__(
        self, proxy: FaultProxy, client: socket.socket, extra_s: float
    ) -> None:
        self.silent = False
        self.passed = {UP: 0, DOWN: 0}
        self._proxy = proxy
        self._client = client
        self._extra_s = extra_s
        self._server: socket.socket | None = None

    def run(self) -> None:
        """Connect upstream and forward until both sides ended."""
        host, _, port = self._proxy.upstream.rpartition(":")
        try:
            self._server = socket.create_connection((host, int(port)))
        except OSError:
            self.reset()
            return
        for end in (self._client, self._server):
            end.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        down = threading.Thread(
            target=self._pump,
            args=(DOWN, self._server, self._client),
            daemon=True,
        )
        down.start()
        self._pump(UP, self._client, self._server)
        down.join()
        if not self.silent:
            self.reset()

    def reset(self) -> None:
        """Close both sides so that they see a reset."""
        for end in (self._client, self._server):
            if end is None:
                continue
            with contextlib.suppress(OSError):
                end.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE
                )
                # Wakes a thread that is blocked in recv().
                end.shutdown(socket.SHUT_RD)
            end.close()
        self._proxy.forget(self)

    def _pump(
        self, direction: str, source: socket.socket, sink: socket.socket
    ) -> None:
        with contextlib.suppress(OSError):
            while data := source.recv(_CHUNK_BYTES):
                if not self._forward(direction, data, sink):
                    return
            if not self._is_silent(direction):
                sink.shutdown(socket.SHUT_WR)

    def _forward(
        self, direction: str, data: bytes, sink: socket.socket
    ) -> bool:
        """Pass a chunk on; return whether the connection goes on."""
        faults = self._proxy.faults
        if self._is_silent(direction):
            return True
        time.sleep(faults.latency_s + self._extra_s)
        if self._is_silent(direction):
            return True
        allowed = self._allowed(faults, direction, data)
        sink.sendall(data[:allowed])
        self.passed[direction] += allowed
        if allowed < len(data):
            self._proxy.note_reset()
            self.reset()
            return False
        return True

    def _is_silent(self, direction: str) -> bool:
        return self.silent or direction in self._proxy.faults.vanish

    def _allowed(self, faults: Faults, direction: str, data: bytes) -> int:
        marker = faults.reset_on.get(direction)
        if marker is not None and marker in data:
            return 0
        limit = faults.reset_at.get(direction)
        if limit is None:
            return len(data)
        return min(len(data), max(0, limit - self.passed[direction]))
