"""Stand-in for a target on the platform, inside the test process."""

import dataclasses
import socket
import threading
import time

import msgspec
from werkzeug import serving
from werkzeug import wrappers

from arbutusstall import errors
from arbutusstall._shell import http
from standins import endless

_HEARTBEAT_INTERVAL_S = 0.3
_MISDIRECTED_STATUS = 421
_HEALTH_PATH = "/health"
# Requests to paths with this end get an answer of that size.
_LARGE_SUFFIX = "/large"
_LARGE_BYTES = 5_000_000


@dataclasses.dataclass(frozen=True, kw_only=True)
class Behaviour:
    """How the endpoint answers.

    Attributes:
        delay_s: Time that an answer takes in seconds.
        status: HTTP status of its answers.
        signed: Whether answers carry a signature.
        shed: Whether it refuses requests as not executed.
        reset: Whether it runs requests but closes their connections.
        limit_per_s: Limit that it names in its answers; None if it names
            none.
        leaving: Whether it says in its answers that it leaves.
        cold_s: Remaining coldness in its heartbeats, in seconds.
        health_cold: Value of the header of its health checks that tells
            the remaining coldness; empty if there is none.
        health_bytes: Size of the body of a health check's answer.
        endless: Name of an answer without end (`endless`); empty for none.
    """

    delay_s: float = 0.0
    status: int = 200
    signed: bool = True
    shed: bool = False
    reset: bool = False
    limit_per_s: float | None = None
    leaving: bool = False
    cold_s: float = 0.0
    health_cold: str = ""
    health_bytes: int = 0
    endless: str = ""


@dataclasses.dataclass(frozen=True, kw_only=True)
class ExecutedRequest:
    """One request that the endpoint ran.

    Attributes:
        started_s: Monotonic time at which it started.
    """

    request_id: str
    method: str
    path: str
    caller_service: str
    deadline_ms: int
    body: bytes
    started_s: float = 0.0
    headers: tuple[tuple[str, str], ...] = ()


@dataclasses.dataclass(frozen=True, kw_only=True)
class Arrival:
    """One request that reached the endpoint, at a monotonic time."""

    request_id: str
    at_s: float


class Endpoint:
    """Announces itself to a node by heartbeats and runs requests.

    Attributes:
        instance: Name under which it announces itself.
        executed: The requests that it ran.
        arrivals: The requests that reached it, also those that it refused.
        state: State in its heartbeats, ``ready`` or ``draining``. In any
            other state it sends none; it has left in the state ``left``.
        health_checks: Number of health checks that it answered.
    """

    def __init__(
        self,
        *,
        port: int,
        control: str,
        service: str,
        instance: str,
        version: str = "v1",
        slots: int = 8,
    ) -> None:
        self.instance = instance
        self._name = instance
        self._restart_count = 0
        self.behaviour = Behaviour()
        self.executed: list[ExecutedRequest] = []
        self.arrivals: list[Arrival] = []
        self.state = "ready"
        self.health_checks = 0
        self.acknowledged_s = 0.0
        self._address = f"127.0.0.1:{port}"
        self._control = control
        self._service = service
        self._version = version
        self._slots = slots
        self._sequence = 0
        self._born = int(time.time() * 1000)
        self._stopped = threading.Event()
        self._server = serving.make_server(
            "127.0.0.1",
            port,
            self,
            threaded=True,
            request_handler=_Handler,
        )
        threading.Thread(
            target=self._server.serve_forever, daemon=True
        ).start()
        threading.Thread(target=self._send_heartbeats, daemon=True).start()

    def __call__(self, environ, start_response):
        """Answer one request (WSGI)."""
        request = wrappers.Request(environ)
        response = self._answer(request, environ)
        return response(environ, start_response)

    def drain(self) -> bool:
        """Announce that it drains; return whether that was acknowledged."""
        self.state = "draining"
        return self.send_heartbeat()

    def leave(self) -> bool:
        """Remove the announcement; return whether that was acknowledged.

        The endpoint sends no heartbeats from then on, and still serves.
        """
        self.state = "left"
        return self._send("DELETE", b"")

    def restart(self) -> None:
        """Act as a restarted target, which has a new instance name."""
        self._restart_count += 1
        self.instance = f"{self._name}-{self._restart_count}"
        self._sequence = 0
        self._born = int(time.time() * 1000)
        self.state = "ready"

    def send_heartbeat(
        self, sequence: int | None = None, state: str = ""
    ) -> bool:
        """Send one heartbeat; return whether it was acknowledged."""
        self._sequence += 1
        body = {
            "address": self._address,
            "born": self._born,
            "info": {
                "service": self._service,
                "version": self._version,
                "zone": "lipno",
                "slots": self._slots,
            },
            "status": {
                "state": state or self.state,
                "sequence": sequence or self._sequence,
                "coldRemaining": f"{self.behaviour.cold_s:g}s",
            },
        }
        return self._send("PUT", msgspec.json.encode(body))

    def stop(self) -> None:
        """Stop without notifying the node."""
        self._stopped.set()
        self._server.shutdown()
        self._server.server_close()

    def _send_heartbeats(self) -> None:
        while not self._stopped.wait(_HEARTBEAT_INTERVAL_S):
            if self.state == "ready":
                self.send_heartbeat()

    def _send(self, method: str, body: bytes) -> bool:
        request = http.Request(
            method=method,
            url=f"http://{self._control}/instances/{self.instance}",
            body=body,
            timeout_s=1.0,
            fresh=True,
        )
        try:
            return http.send(request).status == 200
        except errors.ArbutusstallError:
            return False

    def _answer(self, request, environ):
        headers = request.headers
        request_id = headers.get("X-Request-Id", "")
        if request.path == _HEALTH_PATH:
            return self._answer_health_check()
        addressee = headers.get("X-Target-Instance", self.instance)
        if addressee != self.instance:
            return wrappers.Response("", _MISDIRECTED_STATUS)
        behaviour = self.behaviour
        self.arrivals.append(
            Arrival(request_id=request_id, at_s=time.monotonic())
        )
        if behaviour.shed:
            shed = wrappers.Response("", 503)
            shed.headers["X-Not-Executed"] = "1"
            shed.headers["X-Request-Id"] = request_id
            return shed
        self.executed.append(
            ExecutedRequest(
                request_id=request_id,
                method=request.method,
                path=request.full_path.rstrip("?"),
                caller_service=headers.get("X-Caller-Service", ""),
                deadline_ms=int(headers.get("X-Deadline-Ms", "0")),
                body=request.get_data(),
                started_s=time.monotonic(),
                headers=tuple(headers.items()),
            )
        )
        time.sleep(behaviour.delay_s)
        if behaviour.endless:
            endless.send(environ["werkzeug.socket"], behaviour.endless)
        if behaviour.reset:
            sock = environ["werkzeug.socket"]
            sock.shutdown(socket.SHUT_RDWR)
        body = f"{self.instance}\n"
        if request.path.endswith(_LARGE_SUFFIX):
            body = body.ljust(_LARGE_BYTES)
        response = wrappers.Response(body, behaviour.status)
        response.headers["X-Request-Id"] = request_id
        if behaviour.limit_per_s is not None:
            response.headers["Server-Limit"] = f"{behaviour.limit_per_s:g}"
        if behaviour.leaving:
            response.headers["Server-Leaving"] = "1"
        if behaviour.signed:
            response.headers["X-Response-Signature"] = f"of-{self.instance}"
        return response

    def _answer_health_check(self):
        self.health_checks += 1
        status = 503 if self.state in ("draining", "left") else 200
        body = " " * self.behaviour.health_bytes
        response = wrappers.Response(body, status)
        response.headers["X-Instance-Id"] = self.instance
        if self.behaviour.health_cold:
            response.headers["X-Cold-Ms"] = self.behaviour.health_cold
        return response


class _Handler(serving.WSGIRequestHandler):
    protocol_version = "HTTP/1.1"

    def log(self, type, message, *args):
        """Write no access log."""
