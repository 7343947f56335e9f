"""The HTTP admin interface: health, metrics, status and announcements."""

from collections import abc
import dataclasses

import msgspec
import prometheus_client
from werkzeug import wrappers

from arbutusstall import _codec
from arbutusstall import _core
from arbutusstall import _effects
from arbutusstall import _values
from arbutusstall import errors
from arbutusstall._shell import control
from arbutusstall._shell import control_metrics
from arbutusstall._shell import inbound
from arbutusstall._shell import outbound
from arbutusstall._shell import status


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Announcement:
    """Body of ``POST /v1/announce``.

    Attributes:
        service: Name of the target's service.
        version: Version of the service.
        address: Address of the target as ``IP:PORT``.
        slots: Number of requests that the target executes concurrently.
    """

    service: _values.Name
    version: _values.Name
    address: _values.Address
    slots: _values.Slots


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Drain:
    """Answer of ``POST /v1/leave``.

    Attributes:
        in_flight: Number of calls that were admitted and have not ended.
    """

    in_flight: int


class Admin:
    """A WSGI application for operators, metric scrapes and the target."""

    def __init__(
        self,
        core: _core.NodeCore,
        loop: control.ControlLoop,
        inbound_proxy: inbound.Inbound,
        outbound_proxy: outbound.Outbound,
    ) -> None:
        self._core = core
        self._loop = loop
        self._inbound = inbound_proxy
        self._outbound = outbound_proxy
        self._handlers = {
            ("GET", "/healthz"): self._healthy,
            ("GET", "/readyz"): self._ready,
            ("GET", "/metrics"): self._metrics,
            ("GET", "/v1/status"): self._status,
            ("GET", "/v1/config"): self._config,
            ("POST", "/v1/announce"): self._announce,
            ("POST", "/v1/leave"): self._leave,
        }

    def __call__(
        self,
        environ: dict[str, object],
        start_response: abc.Callable[..., object],
    ) -> abc.Iterable[bytes]:
        """Answer one request (WSGI)."""
        request = wrappers.Request(environ)
        handler = self._handlers.get((request.method, request.path))
        if handler is None:
            response = wrappers.Response("not found\n", 404)
        else:
            response = handler(request)
        return response(environ, start_response)  # type: ignore[arg-type]

    def _healthy(self, request: wrappers.Request) -> wrappers.Response:
        return wrappers.Response("ok\n")

    def _ready(self, request: wrappers.Request) -> wrappers.Response:
        if self._core.tables.snapshot.version == 0:
            return wrappers.Response("no configuration\n", 503)
        return wrappers.Response("ok\n")

    def _metrics(self, request: wrappers.Request) -> wrappers.Response:
        control_metrics.refresh(self._core.tables)
        return wrappers.Response(
            prometheus_client.generate_latest(),
            content_type=prometheus_client.CONTENT_TYPE_LATEST,
        )

    def _status(self, request: wrappers.Request) -> wrappers.Response:
        found = status.from_tables(self._core.tables)
        return wrappers.Response(
            _codec.json_encode(found), content_type="application/json"
        )

    def _config(self, request: wrappers.Request) -> wrappers.Response:
        view = self._outbound.view
        config = status.ConfigInForce(
            incarnation=self._core.tables.member.incarnation,
            snapshot=view.snapshot,
            endpoints_by_service={
                service: tuple(row.node for row in rows)
                for service, rows in view.members_by_service.items()
            },
            blocked=tuple(sorted(view.blocked)),
        )
        return wrappers.Response(
            _codec.json_encode(config), content_type="application/json"
        )

    def _announce(self, request: wrappers.Request) -> wrappers.Response:
        try:
            body = _values.decode_json(
                request.get_data(), Announcement, step="announce.decode"
            )
        except errors.WireError as exc:
            return wrappers.Response(f"{exc.reason}\n", 400)
        event = _effects.Announced(
            service=body.service,
            version=body.version,
            address=body.address,
            slots=body.slots,
        )
        self._inbound.set_target(event)
        self._loop.put(event)
        return wrappers.Response("ok\n")

    def _leave(self, request: wrappers.Request) -> wrappers.Response:
        self._inbound.drain()
        self._loop.put(_effects.Left(reason="target"))
        drain = Drain(in_flight=self._inbound.in_flight)
        return wrappers.Response(
            msgspec.json.encode(drain), content_type="application/json"
        )
