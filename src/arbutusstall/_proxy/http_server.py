"""An HTTP/1.1 server on asyncio."""

import asyncio
import logging
import socket

from arbutusstall._proxy import background
from arbutusstall._proxy import byte_budget
from arbutusstall._proxy import http_connection
from arbutusstall._proxy import listening
from arbutusstall._proxy import request_limits
from arbutusstall._proxy.http_connection import Exchange
from arbutusstall._proxy.http_connection import FIRST_REQUEST_S
from arbutusstall._proxy.http_connection import Handler
from arbutusstall._tables import agreed

__all__ = ["FIRST_REQUEST_S", "Exchange", "Handler", "HttpServer"]

LOG = logging.getLogger(__name__)

_SWEEP_INTERVAL_S = 0.5
_DEFAULT_HEAD_BYTES = 32 * 1024 * 1024
_DEFAULT_CONNECTIONS = 8_192


class HttpServer:
    """Serves a handler on one address.

    Args:
        bounds: Bounds what all connections hold together; by default
            only heads and connections are bounded.

    Attributes:
        limits: Limits of requests and timeouts; may be replaced at any
            time.
        closing: Whether each connection is closed after its next answer.
    """

    def __init__(
        self,
        address: str,
        handler: http_connection.Handler,
        limits: agreed.CallerLimits | None = None,
        bounds: request_limits.ServerBounds | None = None,
    ) -> None:
        self.limits = limits or agreed.CallerLimits()
        self.bounds = bounds or request_limits.ServerBounds(
            heads=byte_budget.ByteBudget(_DEFAULT_HEAD_BYTES),
            bodies=None,
            connections=_DEFAULT_CONNECTIONS,
        )
        self.connections: request_limits.Connections[
            http_connection.Connection
        ] = request_limits.Connections(self.bounds)
        self.closing = False
        self.handler = handler
        self.loop = asyncio.get_running_loop()
        self._address = address
        self._listener: listening.Listener | None = None
        self._accepting = background.Tasks()
        self._sweeps = background.Periodic(
            "connection timeouts", _SWEEP_INTERVAL_S, self._sweep
        )

    @property
    def busy(self) -> int:
        """Number of connections with a request that has no answer yet.

        An answer counts until its client has taken it. While the server is
        closing, connections count as well whose request has arrived in
        part, or whose first request may still arrive.
        """
        accepting = len(self._accepting)
        return accepting + sum(
            connection.has_work or (self.closing and connection.is_expecting)
            for connection in self.connections.all
        )

    async def start(self) -> None:
        """Listen on the address."""
        self._listener = await listening.listen(
            self._address, lambda: http_connection.Connection(self)
        )
        self._sweeps.start()

    def close_listener(self) -> None:
        """Accept no further connections and close the idle ones.

        Connections that wait to be accepted, and those whose requests have
        arrived or may still arrive, are answered first.
        """
        self.closing = True
        if self._listener is not None:
            self._accept_waiting(self._listener.sock)
            self._listener.server.close()
            self._listener = None
        self._close_idle()
        self.loop.call_later(http_connection.FIRST_REQUEST_S, self._close_idle)

    def close(self) -> None:
        """Close the listener and abort all connections."""
        self.close_listener()
        self._sweeps.stop()
        for connection in list(self.connections.all):
            connection.abort()

    @property
    def _has_room(self) -> bool:
        taken = len(self.connections.all) + len(self._accepting)
        return taken < self.bounds.connections

    def _accept_waiting(self, listener: socket.socket) -> None:
        """Accept the connections that the kernel has completed.

        Beyond the maximum they are left, and end with the listener.
        """
        while self._has_room:
            try:
                sock, _ = listener.accept()
            except BlockingIOError:
                return
            except OSError as exc:
                LOG.warning({"event": "accept-failed", "reason": exc.strerror})
                return
            self._accepting.spawn(self._adopt(sock))

    async def _adopt(self, sock: socket.socket) -> None:
        sock.setblocking(False)
        await self.loop.connect_accepted_socket(
            lambda: http_connection.Connection(self), sock
        )

    def _close_idle(self) -> None:
        for connection in list(self.connections.all):
            connection.close_if_idle()

    def _sweep(self) -> None:
        now_s = self.loop.time()
        for connection in list(self.connections.all):
            connection.check_timeouts(now_s)
