"""The call path in one process: proxies, targets, and fault proxies."""

import threading
import time

import fault_proxy
import mesh
from werkzeug import wrappers

from arbutusstall import _effects
from arbutusstall import settings as node_settings
from arbutusstall._shell import events
from arbutusstall._shell import exchange
from arbutusstall._shell import http
from arbutusstall._shell import inbound
from arbutusstall._shell import outbound
from arbutusstall._shell import web
from arbutusstall._tables import agreed
from arbutusstall._tables import members

SERVICE = "vazeni"
PREFIX = "/vazeni"
VERSION = "v1"


class Target:
    """A target that records the requests that it runs.

    Attributes:
        executions: Ids of the requests that it started.
        cancelled: Ids of the requests that were cancelled.
        delay_s: Time that a request takes in seconds.
        status: Status of its answers.
        extra_headers: Further headers of its answers.
        release: Requests wait until this event is set.
        running: Number of requests at present.
        max_running: Highest number of requests at once.
    """

    def __init__(self) -> None:
        self.address = mesh.free_addresses(1)[0]
        self.executions: list[str] = []
        self.cancelled: list[str] = []
        self.delay_s = 0.0
        self.status = 200
        self.extra_headers: dict[str, str] = {}
        self.release = threading.Event()
        self.release.set()
        self.running = 0
        self.max_running = 0
        self._lock = threading.Lock()
        self._server = web.WebServer(self.address, self)
        self._server.start()

    def __call__(self, environ, start_response):
        """Answer one request (WSGI)."""
        request = wrappers.Request(environ)
        request_id = request.headers["Arbutusstall-Request-Id"]
        environ[exchange.CANCELLATION].set_callback(
            lambda: self.cancelled.append(request_id)
        )
        with self._lock:
            self.executions.append(request_id)
            self.running += 1
            self.max_running = max(self.max_running, self.running)
        time.sleep(self.delay_s)
        self.release.wait(20)
        with self._lock:
            self.running -= 1
        body = f"{request.path} {request.get_data(as_text=True)}"
        response = wrappers.Response(body, self.status)
        response.headers.update(self.extra_headers)
        return response(environ, start_response)

    def stop(self) -> None:
        """Close the server."""
        self._server.stop()


class Endpoint:
    """An inbound proxy and its target, each behind a fault proxy.

    Attributes:
        link: Fault proxy in front of the inbound proxy.
        target_link: Fault proxy in front of the target.
        suspects: Suspects that the inbound proxy reported.
    """

    def __init__(
        self, name: str, calls: node_settings.CallSettings, slots: int
    ) -> None:
        self.name = name
        self._calls = calls
        self._slots = slots
        self._address = mesh.free_addresses(1)[0]
        self.target = Target()
        self.link = fault_proxy.FaultProxy(
            mesh.free_addresses(1)[0], self._address
        )
        self.target_link = fault_proxy.FaultProxy(
            mesh.free_addresses(1)[0], self.target.address
        )
        self._incarnation = 0
        self.suspects: list[object] = []
        self.start()

    def start(self) -> None:
        """Start a new incarnation of the inbound proxy."""
        self._incarnation += 1
        settings = _settings(self.name, self._address, self._calls)
        self.inbound = inbound.Inbound(
            settings, self, self._incarnation, events.EventLog(settings)
        )
        self.announce()
        self.inbound.start()

    def announce(self) -> None:
        """Announce the target to the inbound proxy."""
        self.inbound.set_target(
            _effects.Announced(
                service=SERVICE,
                version=VERSION,
                address=self.target_link.listen,
                slots=self._slots,
            )
        )

    def put(self, event: object) -> None:
        """Handle an event of the inbound proxy as the control loop does."""
        if isinstance(event, _effects.TargetCrashed):
            self.suspects.extend(event.suspects)

    def crash(self) -> None:
        """Stop the inbound proxy at once and reset its connections."""
        self.inbound._server.stop()
        self.link.reset_open()

    def member(self) -> members.Member:
        """Return the member row that outbound proxies use for routing."""
        return members.Member(
            node=self.name,
            data_centre="lipno",
            incarnation=1,
            state=members.MemberState.SERVING,
            service=SERVICE,
            version=VERSION,
            inbound=self.link.listen,
            slots=self._slots,
        )

    def stop(self) -> None:
        """Stop all servers and fault proxies."""
        self.target.release.set()
        self.link.stop()
        self.target_link.stop()
        self.inbound._server.stop()
        self.target.stop()


class Rig:
    """Endpoints and the outbound proxies that requests enter through.

    Attributes:
        callers: Address, server and outbound proxy of each entry node.
    """

    def __init__(self, count: int, slots: int = 20, **calls: object) -> None:
        call_settings = node_settings.CallSettings(**calls)
        self.endpoints = [
            Endpoint(f"vazeni-{index}", call_settings, slots)
            for index in range(count)
        ]
        self.callers = [self._entry(call_settings, n) for n in range(2)]

    def send(
        self,
        method: str = "POST",
        request_id: str = "request",
        caller: int = 0,
        path: str = PREFIX,
        body: bytes = b"ticket",
        **headers: str,
    ) -> http.Response:
        """Send a request as a caller and return the answer.

        Args:
            caller: Index of the entry node in `callers`.
            headers: Further headers, with ``_`` for ``-`` in their names.
        """
        header_rows = [("Arbutusstall-Request-Id", request_id)]
        header_rows += [
            (name.replace("_", "-"), value) for name, value in headers.items()
        ]
        return http.Connection().send(
            http.Request(
                method=method,
                url=f"http://{self.callers[caller][0]}{path}",
                headers=tuple(header_rows),
                body=body if method == "POST" else b"",
                timeout_s=20.0,
            )
        )

    def executions(self, request_id: str) -> int:
        """Return how many times the targets ran a request."""
        return sum(
            endpoint.target.executions.count(request_id)
            for endpoint in self.endpoints
        )

    def put_in_force(self, count: int) -> None:
        """Put a view with only the first ``count`` endpoints in force."""
        view = self._view(count)
        for endpoint in self.endpoints:
            endpoint.inbound.update_key_owners(view)
        for _, _, proxy in self.callers:
            proxy.put_in_force(_effects.PutInForce(view=view))

    def stop(self) -> None:
        """Stop all servers and fault proxies."""
        for _, server, _ in self.callers:
            server.stop()
        for endpoint in self.endpoints:
            endpoint.stop()

    def _entry(self, calls: node_settings.CallSettings, number: int):
        settings = _settings(f"entry-{number}", "127.0.0.1:0", calls)
        log = events.EventLog(settings)
        local = inbound.Inbound(settings, self.endpoints[0], 1, log)
        proxy = outbound.Outbound(settings, local, log)
        proxy.put_in_force(_effects.PutInForce(view=self._view()))
        address = mesh.free_addresses(1)[0]
        server = web.WebServer(address, proxy, web.Serving(workers=130))
        server.start()
        return address, server, proxy

    def _view(self, count: int | None = None) -> _effects.View:
        endpoints = self.endpoints[:count]
        rows = tuple(endpoint.member() for endpoint in endpoints)
        return _effects.View(
            snapshot=agreed.Snapshot(
                version=1,
                routes_by_prefix={
                    PREFIX: agreed.Route(
                        prefix=PREFIX, service=SERVICE, timeout_ms=2_000
                    )
                },
                shares_by_service={
                    SERVICE: agreed.Shares(
                        service=SERVICE, percent_by_version={VERSION: 100.0}
                    )
                },
            ),
            members_by_service={SERVICE: rows},
        )


def _settings(
    name: str, address: str, calls: node_settings.CallSettings
) -> node_settings.NodeSettings:
    return node_settings.NodeSettings(
        node=name,
        data_centre="lipno",
        addresses=node_settings.AddressSettings(
            callers="-", inbound=address, relay="-", admin="-"
        ),
        log=node_settings.LogSettings(url="-"),
        calls=calls,
    )
