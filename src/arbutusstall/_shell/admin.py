"""The admin server: health, metrics, status and announcements."""

from collections import abc
import dataclasses

import msgspec
import prometheus_client
from werkzeug import wrappers

from arbutusstall import _core
from arbutusstall import _effects
from arbutusstall._shell import control
from arbutusstall._shell import inbound
from arbutusstall._shell import outbound
from arbutusstall._systems import progress
from arbutusstall._tables import agreed
from arbutusstall._tables import links
from arbutusstall._tables import members
from arbutusstall._wire import messages


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Announcement:
    """Body of ``POST /v1/announce``; ``address`` is ``IP:PORT``."""

    service: str
    version: str
    address: str
    slots: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Drain:
    """Answer of ``POST /v1/leave``: requests still at the target."""

    in_flight: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Status:
    """Answer of ``GET /v1/status``.

    Attributes:
        scope: ``"mesh"`` at a root: ``known`` and ``in_force`` count
            the whole mesh; ``"subtree"`` elsewhere: they count this
            node and the nodes below it.
        known: Nodes of the scope.
        in_force: Those that have ``version`` in force.
        lacking: Names of some that lack it.
        data_centres: The counts of the mesh by data centre.
        serving: Endpoints known here that take calls.
    """

    node: str
    data_centre: str
    version: int
    root: bool
    scope: str
    known: int
    in_force: int
    lacking: tuple[str, ...]
    data_centres: tuple[progress.CentreProgress, ...]
    serving: int
    parent: str
    children: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ConfigInForce:
    """Answer of ``GET /v1/config``: what calls are routed by now.

    Attributes:
        incarnation: Names the process, as in the member table.
        endpoints_by_service: Nodes whose targets take calls.
    """

    incarnation: int
    snapshot: agreed.Snapshot
    endpoints_by_service: abc.Mapping[str, tuple[str, ...]]
    blocked: tuple[str, ...]


class Admin:
    """A WSGI application for operators, scrapers and the target."""

    def __init__(
        self,
        core: _core.NodeCore,
        loop: control.ControlLoop,
        proxy: inbound.Inbound,
        calls: outbound.Outbound,
    ) -> None:
        self._core = core
        self._loop = loop
        self._proxy = proxy
        self._calls = calls
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
        return wrappers.Response(
            prometheus_client.generate_latest(),
            content_type=prometheus_client.CONTENT_TYPE_LATEST,
        )

    def _status(self, request: wrappers.Request) -> wrappers.Response:
        tables = self._core.tables
        report: messages.InForce | progress.MeshProgress
        report = progress.summary(tables)
        centres: tuple[progress.CentreProgress, ...] = ()
        if tables.is_root:
            report = progress.mesh(tables)
            centres = report.centres
        roles = [
            (link.role, link.peer)
            for link in list(tables.links_by_peer.values())
        ]
        parents = [
            peer for role, peer in roles if role is links.LinkRole.PARENT
        ]
        status = Status(
            node=tables.member.node,
            data_centre=tables.member.data_centre,
            version=report.version,
            root=tables.is_root,
            known=report.known,
            in_force=report.in_force,
            scope="mesh" if tables.is_root else "subtree",
            lacking=report.lacking,
            data_centres=centres,
            parent=parents[0] if parents else "",
            children=sum(role is links.LinkRole.CHILD for role, _ in roles),
            serving=sum(
                member.state is members.MemberState.SERVING
                for member in list(tables.members_by_node.values())
            ),
        )
        return wrappers.Response(
            msgspec.json.encode(status), content_type="application/json"
        )

    def _config(self, request: wrappers.Request) -> wrappers.Response:
        view = self._calls.view
        config = ConfigInForce(
            incarnation=self._core.tables.member.incarnation,
            snapshot=view.snapshot,
            endpoints_by_service={
                service: tuple(row.node for row in rows)
                for service, rows in view.members_by_service.items()
            },
            blocked=tuple(sorted(view.blocked)),
        )
        return wrappers.Response(
            msgspec.json.encode(config), content_type="application/json"
        )

    def _announce(self, request: wrappers.Request) -> wrappers.Response:
        try:
            body = msgspec.json.decode(request.get_data(), type=Announcement)
        except msgspec.MsgspecError as exc:
            return wrappers.Response(f"{exc}\n", 400)
        event = _effects.Announced(
            service=body.service,
            version=body.version,
            address=body.address,
            slots=body.slots,
        )
        self._proxy.announced(event)
        self._loop.put(event)
        return wrappers.Response("ok\n")

    def _leave(self, request: wrappers.Request) -> wrappers.Response:
        self._proxy.drain()
        self._loop.put(_effects.Left(reason="target"))
        drain = Drain(in_flight=self._proxy.in_flight)
        return wrappers.Response(
            msgspec.json.encode(drain), content_type="application/json"
        )
