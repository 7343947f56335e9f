"""Serves a WSGI application behind the HTTP server of the event loop.

The loop reads requests and writes answers, within the bounds of
`request_limits`; the application runs in threads, once a request is
complete.
"""

import asyncio
from collections import abc
from concurrent import futures
import dataclasses
import time
from typing import Any

from werkzeug import exceptions

from arbutusstall import _settings
from arbutusstall._proxy import http_connection
from arbutusstall._proxy import http_messages
from arbutusstall._proxy import http_server
from arbutusstall._proxy import request_limits
from arbutusstall._shell import exchange
from arbutusstall._shell import failures
from arbutusstall._shell import loop_thread
from arbutusstall._tables import agreed

WsgiApp = abc.Callable[..., abc.Iterable[bytes]]

_DEFAULT_WORKERS = 64
_STOP_POLL_INTERVAL_S = 0.005
_CONTENT_LENGTH = "content-length"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Serving:
    """How a server is served.

    Attributes:
        thread: Runs the loop; the server starts one if it is None.
        bounds: Bounds of the server.
        limits: Limits of its requests.
        workers: Maximum number of requests that run concurrently.
    """

    thread: loop_thread.LoopThread | None = None
    bounds: request_limits.ServerBounds = dataclasses.field(
        default_factory=lambda: request_limits.ProcessBounds(
            _settings.ReadSettings()
        ).callers()
    )
    limits: agreed.CallerLimits = agreed.CallerLimits()
    workers: int = _DEFAULT_WORKERS


class WebServer:
    """Serves one WSGI application on one address.

    Args:
        address: Host and port, separated by a colon.
    """

    def __init__(
        self, address: str, app: WsgiApp, serving: Serving | None = None
    ) -> None:
        self._address = address
        self._app = app
        self._serving = serving or Serving()
        self._own_thread = self._serving.thread is None
        self._thread = self._serving.thread or loop_thread.LoopThread()
        self._pool = futures.ThreadPoolExecutor(
            max_workers=self._serving.workers,
            thread_name_prefix=f"web-{address.rpartition(':')[2]}",
        )
        self._server: http_server.HttpServer | None = None

    def start(self) -> None:
        """Start to accept connections."""
        if self._own_thread:
            self._thread.start()
        self._server = self._thread.run(self._start())

    def close_connections(self) -> None:
        """Close each connection after its next answer, from now on."""
        if self._server is not None:
            self._server.closing = True

    def stop(self, grace_s: float = 0.0) -> None:
        """Close the listener and all connections.

        Args:
            grace_s: Time limit for the requests in flight, in seconds.
        """
        server, self._server = self._server, None
        if server is not None:
            self._thread.run(self._stop(server, grace_s))
        if self._own_thread:
            self._thread.stop()
        self._pool.shutdown(wait=False)

    def handle(self, request: http_connection.Exchange) -> None:
        """Run the application for a request in a thread."""
        cancellation = exchange.Cancellation()
        request.on_cancelled = cancellation.cancel
        self._pool.submit(self._run, request, cancellation)

    async def _start(self) -> http_server.HttpServer:
        server = http_server.HttpServer(
            self._address, self, self._serving.limits, self._serving.bounds
        )
        await server.start()
        return server

    async def _stop(
        self, server: http_server.HttpServer, grace_s: float
    ) -> None:
        server.close_listener()
        end_s = time.monotonic() + grace_s
        while server.busy and time.monotonic() < end_s:
            await asyncio.sleep(_STOP_POLL_INTERVAL_S)
        server.close()
        # The loop closes the aborted connections in its next turn.
        await asyncio.sleep(0)

    def _run(
        self,
        request: http_connection.Exchange,
        cancellation: exchange.Cancellation,
    ) -> None:
        environ = exchange.make_environ(
            request.request, cancellation, self._address
        )
        try:
            response = _respond(self._app, environ)
        except Exception as exc:  # noqa: BLE001
            failures.log("request", exc)
            response = _respond(exceptions.InternalServerError(), environ)
        # A client that closes after its answer must cancel nothing.
        cancellation.set_callback(None)
        self._thread.call(request.answer, response)


def _respond(app: Any, environ: dict[str, Any]) -> http_messages.Response:
    started: list[Any] = []

    def start_response(
        status: str, headers: list[tuple[str, str]], exc_info: Any = None
    ) -> abc.Callable[[bytes], object]:
        started[:] = [status, headers]
        return started.append

    body = b"".join(app(environ, start_response))
    status, headers = started
    length = None
    kept = []
    for name, value in headers:
        if name.lower() == _CONTENT_LENGTH:
            length = int(value)
        else:
            kept.append((name, value))
    return http_messages.Response(
        status=int(status.split(" ", 1)[0]),
        headers=tuple(kept),
        body=body,
        length=length if environ["REQUEST_METHOD"] == "HEAD" else None,
    )
