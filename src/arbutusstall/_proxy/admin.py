"""The HTTP admin interface: health, readiness, metrics and status."""

from collections import abc

import prometheus_client

from arbutusstall import _codec
from arbutusstall import _core
from arbutusstall._proxy import http_messages
from arbutusstall._proxy import http_server
from arbutusstall._shell import control_metrics
from arbutusstall._shell import status

_OK = 200
_NOT_FOUND = 404
_UNAVAILABLE = 503
_JSON = (("Content-Type", "application/json"),)
_TEXT = (("Content-Type", prometheus_client.CONTENT_TYPE_LATEST),)


class Admin:
    """Answers operators' requests and scrapes of the metrics."""

    def __init__(self, core: _core.NodeCore) -> None:
        self._core = core
        self._responders: dict[
            str, abc.Callable[[], http_messages.Response]
        ] = {
            "/healthz": lambda: http_messages.Response(status=_OK),
            "/readyz": self._ready,
            "/metrics": self._metrics,
            "/v1/status": self._status,
        }

    def handle(self, exchange: http_server.Exchange) -> None:
        """Answer a request; 404 for an unknown path or method."""
        path = exchange.request.target.partition("?")[0]
        responder = self._responders.get(path)
        if responder is None or exchange.request.method != "GET":
            exchange.answer(http_messages.Response(status=_NOT_FOUND))
            return
        exchange.answer(responder())

    def _ready(self) -> http_messages.Response:
        known = self._core.tables.snapshot.version > 0
        return http_messages.Response(status=_OK if known else _UNAVAILABLE)

    def _metrics(self) -> http_messages.Response:
        control_metrics.refresh(self._core.tables)
        return http_messages.Response(
            status=_OK,
            headers=_TEXT,
            body=prometheus_client.generate_latest(),
        )

    def _status(self) -> http_messages.Response:
        found = status.from_tables(self._core.tables)
        return http_messages.Response(
            status=_OK, headers=_JSON, body=_codec.json_encode(found)
        )
