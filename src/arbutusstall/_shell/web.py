"""A threaded HTTP server by werkzeug."""

from collections import abc
import logging
import threading
from typing import Any

from werkzeug import serving

WsgiApp = abc.Callable[..., abc.Iterable[bytes]]


class _Handler(serving.WSGIRequestHandler):
    protocol_version = "HTTP/1.1"
    # A small answer must not wait for the acknowledgement of its head.
    disable_nagle_algorithm = True

    def log(self, type: str, message: str, *args: Any) -> None:
        """Drop the access log; the proxies write their own events."""


class WebServer:
    """Serves one WSGI application on one address."""

    def __init__(self, address: str, app: WsgiApp) -> None:
        host, _, port = address.rpartition(":")
        logging.getLogger("werkzeug").setLevel(logging.ERROR)
        self._server = serving.make_server(
            host, int(port), app, threaded=True, request_handler=_Handler
        )
        self._thread = threading.Thread(
            target=self._server.serve_forever, daemon=True
        )

    def start(self) -> None:
        """Begin to accept connections."""
        self._thread.start()

    def stop(self) -> None:
        """Stop accepting connections."""
        self._server.shutdown()
        self._server.server_close()
