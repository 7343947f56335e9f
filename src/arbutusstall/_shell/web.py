"""A threaded HTTP server with persistent connections.

Idle connections occupy no thread: one thread polls them and passes each
connection that becomes readable to a pool of workers.
"""

from collections import abc
from concurrent import futures
import contextlib
import logging
import os
import select
import socket
import threading
import time

from werkzeug import serving

from arbutusstall._shell import exchange

WsgiApp = abc.Callable[..., abc.Iterable[bytes]]

_DEFAULT_WORKERS = 64
_BACKLOG = 512
_POLL_TIMEOUT_S = 0.5
_NEXT_REQUEST_WAIT_MS = 2
_IDLE_TIMEOUT_S = 60.0
_READABLE_EVENTS = select.EPOLLIN | select.EPOLLRDHUP | select.EPOLLONESHOT
_HANGUP_EVENTS = select.EPOLLRDHUP | select.EPOLLONESHOT


class _Connection:
    """A connection of a client.

    Attributes:
        busy: Whether a worker serves the connection or it is being closed.
        idle_since_s: Monotonic time since which it is idle.
    """

    __slots__ = ("busy", "exchange", "idle_since_s", "socket")

    def __init__(
        self, sock: socket.socket, handler: exchange.Exchange
    ) -> None:
        self.socket = sock
        self.exchange = handler
        self.busy = False
        self.idle_since_s = time.monotonic()


class WebServer:
    """Serves one WSGI application on one address.

    Args:
        address: Host and port, separated by a colon.
        workers: Maximum number of requests that are served concurrently.
    """

    def __init__(
        self, address: str, app: WsgiApp, workers: int = _DEFAULT_WORKERS
    ) -> None:
        host, _, port = address.rpartition(":")
        logging.getLogger("werkzeug").setLevel(logging.ERROR)
        self._server = serving.make_server(
            host,
            int(port),
            app,
            threaded=True,
            request_handler=exchange.Exchange,
        )
        self._listener = self._server.socket
        self._listener.listen(_BACKLOG)
        self._listener.setblocking(False)
        self._pool = futures.ThreadPoolExecutor(
            max_workers=workers, thread_name_prefix=f"web-{port}"
        )
        self._workers = workers
        self._epoll = select.epoll()
        self._wakeup = os.eventfd(0, os.EFD_NONBLOCK)
        self._lock = threading.Lock()
        self._connections_by_fd: dict[int, _Connection] = {}
        self._busy_count = 0
        self._closing = False
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._poll, daemon=True)

    def start(self) -> None:
        """Start to accept connections."""
        self._epoll.register(self._listener, select.EPOLLIN)
        self._epoll.register(self._wakeup, select.EPOLLIN)
        self._thread.start()

    def close_connections(self) -> None:
        """Close each connection after its next answer, from now on."""
        self._closing = True

    def stop(self, grace_s: float = 0.0) -> None:
        """Close the listener and all connections.

        Args:
            grace_s: Time limit for the requests in flight, in seconds.
        """
        self._closing = True
        with contextlib.suppress(OSError, ValueError):
            self._epoll.unregister(self._listener)
        self._listener.close()
        end_s = time.monotonic() + grace_s
        while self._busy_count and time.monotonic() < end_s:
            time.sleep(0.005)
        self._stopped.set()
        os.eventfd_write(self._wakeup, 1)
        self._thread.join(timeout=2 * _POLL_TIMEOUT_S)
        for connection in list(self._connections_by_fd.values()):
            if connection.busy:
                # The worker closes the connection; the shutdown ends a read
                # that blocks it.
                with contextlib.suppress(OSError):
                    connection.socket.shutdown(socket.SHUT_RDWR)
            else:
                self._close(connection)
        self._pool.shutdown(wait=False)

    def _poll(self) -> None:
        listener = self._listener.fileno()
        next_idle_check_s = time.monotonic() + _IDLE_TIMEOUT_S
        while not self._stopped.is_set():
            for fd, mask in self._epoll.poll(_POLL_TIMEOUT_S):
                if fd == listener:
                    self._accept()
                else:
                    self._on_event(fd, mask)
            if time.monotonic() > next_idle_check_s:
                self._close_idle()
                next_idle_check_s = time.monotonic() + _IDLE_TIMEOUT_S

    def _accept(self) -> None:
        for _ in range(_BACKLOG):
            try:
                sock, address = self._listener.accept()
            except OSError:
                return
            handler = exchange.Exchange(sock, address, self._server)
            with self._lock:
                self._connections_by_fd[sock.fileno()] = _Connection(
                    sock, handler
                )
            self._epoll.register(sock, _READABLE_EVENTS)

    def _on_event(self, fd: int, mask: int) -> None:
        with self._lock:
            connection = self._connections_by_fd.get(fd)
            if connection is None:
                return
            was_busy = connection.busy
            if not was_busy:
                connection.busy = True
                self._busy_count += 1
        if was_busy:
            if mask & (select.EPOLLRDHUP | select.EPOLLHUP):
                connection.exchange.cancellation.cancel()
            return
        self._pool.submit(self._serve_until_idle, connection)

    def _serve_until_idle(self, connection: _Connection) -> None:
        fd = connection.socket.fileno()
        kept = False
        try:
            kept = self._serve_requests(connection, fd)
        finally:
            with self._lock:
                self._busy_count -= 1
                connection.busy = False
            if not kept or self._stopped.is_set():
                self._close(connection)
            else:
                connection.idle_since_s = time.monotonic()
                self._watch(fd, _READABLE_EVENTS)

    def _serve_requests(self, connection: _Connection, fd: int) -> bool:
        while True:
            self._watch(fd, _HANGUP_EVENTS)
            connection.exchange.closing = self._closing
            if not connection.exchange.serve_one():
                return False
            if not self._has_next_request(connection, fd):
                return True

    def _has_next_request(self, connection: _Connection, fd: int) -> bool:
        """Return whether the next request has arrived.

        Waits a moment for it unless more than half of the workers are
        busy: a client that sends its next request at once is served by the
        same thread, without a detour through the polling thread. The buffer
        is checked last, since this takes three system calls and clients
        rarely send a request before the previous answer.
        """
        if self._busy_count * 2 <= self._workers:
            poller = select.poll()
            poller.register(fd, select.POLLIN)
            if poller.poll(_NEXT_REQUEST_WAIT_MS):
                return True
        return connection.exchange.has_buffered()

    def _watch(self, fd: int, mask: int) -> None:
        with contextlib.suppress(OSError, ValueError):
            self._epoll.modify(fd, mask)

    def _close(self, connection: _Connection) -> None:
        with self._lock:
            fd = connection.socket.fileno()
            if self._connections_by_fd.get(fd) is connection:
                del self._connections_by_fd[fd]
        connection.exchange.close()

    def _close_idle(self) -> None:
        limit_s = time.monotonic() - _IDLE_TIMEOUT_S
        with self._lock:
            old = [
                connection
                for connection in self._connections_by_fd.values()
                if not connection.busy and connection.idle_since_s < limit_s
            ]
            for connection in old:
                connection.busy = True
        for connection in old:
            self._close(connection)
