"""A TCP proxy that injects faults into the connections through it.

Directions: ``"up"`` is from the client to the upstream server,
``"down"`` is from the server to the client.
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
    """Faults of the connections of one proxy.

    Attributes:
        refuse: Refuse new connections and reset the open ones.
        latency_s: Delay of each chunk in seconds.
        spread_s: Maximum further delay in seconds. The delay is drawn
            once for each connection, so that connections overtake each
            other.
        vanish: Directions whose bytes are discarded.
        reset_at: Byte counts by direction, counted on each connection
            since the faults were set; the bytes before are delivered,
            then the connection is reset.
        reset_on: Bytes by direction; a chunk that contains them is not
            delivered and the connection is reset.
        once: Clear all faults after the first reset.
    """

    refuse: bool = False
    latency_s: float = 0.0
    spread_s: float = 0.0
    vanish: frozenset[str] = frozenset()
    reset_at: abc.Mapping[str, int] = dataclasses.field(default_factory=dict)
    reset_on: abc.Mapping[str, bytes] = dataclasses.field(default_factory=dict)
    once: bool = False


class FaultProxy:
    """Forwards connections from ``listen`` to ``upstream``.

    Attributes:
        faults: The faults in force.
        resets: Number of resets that ``reset_at`` or ``reset_on`` caused.
    """

    def __init__(self, listen: str, upstream: str, seed: int = 0) -> None:
        self.listen = listen
        self.upstream = upstream
        self.faults = Faults()
        self.resets = 0
        self._rng = random.Random(seed)
        self._lock = threading.Lock()
        self._connections: set[_Connection] = set()
        self._server: socket.socket | None = None
        self._listen()

    def set(self, **faults: object) -> None:
        """Replace the faults by `Faults` with these fields.

        Byte counts of open connections start again at 0.
        """
        self.faults = Faults(**faults)
        for connection in self._open_connections():
            connection.passed_bytes = {UP: 0, DOWN: 0}
        if self.faults.refuse:
            self._stop_listening()
            self.reset_open()
        elif self._server is None:
            self._listen()

    def silence_open(self) -> int:
        """Silence the open connections for good; return their number.

        No further byte and no end of stream passes in either direction.
        New connections work.
        """
        connections = self._open_connections()
        for connection in connections:
            connection.silent = True
        return len(connections)

    def reset_open(self) -> None:
        """Reset the open connections."""
        for connection in self._open_connections():
            connection.reset()

    def stop(self) -> None:
        """Stop listening and reset the open connections."""
        self._stop_listening()
        self.reset_open()

    def remove(self, connection: "_Connection") -> None:
        """Remove a closed connection."""
        with self._lock:
            self._connections.discard(connection)

    def count_reset(self) -> None:
        """Count a reset that a fault caused."""
        with self._lock:
            self.resets += 1
            if self.faults.once:
                self.faults = Faults()

    def _open_connections(self) -> "list[_Connection]":
        with self._lock:
            return list(self._connections)

    def _listen(self) -> None:
        host, _, port = self.listen.rpartition(":")
        self._server = socket.create_server((host, int(port)), backlog=128)
        threading.Thread(
            target=self._accept, args=(self._server,), daemon=True
        ).start()

    def _stop_listening(self) -> None:
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
            delay_s = self._rng.random() * self.faults.spread_s
            connection = _Connection(self, client, delay_s)
            with self._lock:
                self._connections.add(connection)
            threading.Thread(target=connection.run, daemon=True).start()


class _Connection:
    """A client connection and its connection to the upstream server."""

    def __init__(
        self, proxy: FaultProxy, client: socket.socket, delay_s: float
    ) -> None:
        self.silent = False
        self.passed_bytes = {UP: 0, DOWN: 0}
        self._proxy = proxy
        self._client = client
        self._delay_s = delay_s
        self._server: socket.socket | None = None

    def run(self) -> None:
        """Connect upstream and forward until both directions ended."""
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
        """Close both connections with a TCP reset."""
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
        self._proxy.remove(self)

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
        """Forward a chunk; return whether the connection continues."""
        faults = self._proxy.faults
        if self._is_silent(direction):
            return True
        time.sleep(faults.latency_s + self._delay_s)
        if self._is_silent(direction):
            return True
        allowed_bytes = self._allowed_bytes(faults, direction, data)
        sink.sendall(data[:allowed_bytes])
        self.passed_bytes[direction] += allowed_bytes
        if allowed_bytes < len(data):
            self._proxy.count_reset()
            self.reset()
            return False
        return True

    def _is_silent(self, direction: str) -> bool:
        return self.silent or direction in self._proxy.faults.vanish

    def _allowed_bytes(
        self, faults: Faults, direction: str, data: bytes
    ) -> int:
        trigger = faults.reset_on.get(direction)
        if trigger is not None and trigger in data:
            return 0
        limit = faults.reset_at.get(direction)
        if limit is None:
            return len(data)
        return min(len(data), max(0, limit - self.passed_bytes[direction]))
