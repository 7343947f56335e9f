"""Stand-in for a target.

Usage: python -m standins.target PORT ADMIN SERVICE VERSION [SLOTS
[ANNOUNCED [NODE]]]. ANNOUNCED is the address to announce, by default its
own; NODE is the name of its node in the event lines.

Announces itself to the node's ADMIN address. ``POST /behaviour`` sets
`Behaviour`; ``POST /leave`` makes the target leave the mesh; ``GET
/executions`` lists the ids of the requests that it ran. A request whose
path contains ``/crash`` ends the process.
"""

import contextlib
import dataclasses
import os
import sys
import threading
import time

import msgspec
from werkzeug import serving
from werkzeug import wrappers
import xxhash

from arbutusstall import errors
from arbutusstall._shell import http
from standins import endless
from standins import journal

_ANNOUNCE_INTERVAL_S = 1.0
_UNLIMITED_CAPACITY = 10_000
_CRASH_DELAY_S = 0.1
# Requests to paths with this end get an answer of that size.
_LARGE_SUFFIX = "/large"
_LARGE_BYTES = 5_000_000


@dataclasses.dataclass(frozen=True, kw_only=True)
class Behaviour:
    """How the target answers.

    Attributes:
        fail: Share of the answers that have status 500, 0 to 1.
        delay_s: Time that an answer takes in seconds.
        fail_prefix: Only paths with this prefix fail.
        capacity: Requests processed at once; others wait, as for a CPU
            core. Zero for no limit.
        crash_body: A request with this body ends the process.
        slow_prefix: Only paths with this prefix take ``delay_s``.
        endless: Name of an answer without end (`endless`); empty for none.
    """

    fail: float = 0.0
    delay_s: float = 0.0
    fail_prefix: str = ""
    capacity: int = 0
    crash_body: str = ""
    slow_prefix: str = ""
    endless: str = ""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Identity:
    """Service and version of this target, and its node."""

    service: str
    version: str
    node: str
    admin: str


class App:
    """Runs requests and records their ids."""

    def __init__(self, identity: Identity, lines: journal.Journal) -> None:
        self.leaving = threading.Event()
        self._identity = identity
        self._lines = lines
        self._behaviour = Behaviour()
        self._executions: list[str] = []
        self._lock = threading.Lock()
        self._due_failures = 0.0
        self._free_capacity = threading.Semaphore(_UNLIMITED_CAPACITY)

    def __call__(self, environ, start_response):
        """Answer one request (WSGI)."""
        request = wrappers.Request(environ)
        return self._answer(request)(environ, start_response)

    def _answer(self, request):
        if request.path == "/behaviour":
            self._behaviour = msgspec.json.decode(
                request.get_data(), type=Behaviour
            )
            self._free_capacity = threading.Semaphore(
                self._behaviour.capacity or _UNLIMITED_CAPACITY
            )
            return wrappers.Response("ok\n")
        if request.path == "/executions":
            return wrappers.Response(msgspec.json.encode(self._executions))
        if request.path == "/leave":
            return self._leave()
        return self._run(request, request.get_data(as_text=True))

    def _run(self, request, body):
        request_id = request.headers.get("Arbutusstall-Request-Id", "")
        behaviour = self._behaviour
        self._lines.emit(
            "target-executed",
            request=request_id,
            method=request.method,
            path=request.path,
            key=request.headers.get("Idempotency-Key", ""),
            service=self._identity.service,
            version=self._identity.version,
            beside=self._identity.node,
        )
        with self._lock:
            self._executions.append(request_id)
            failed = self._must_fail(behaviour, request.path)
        if "/crash" in request.path:
            os._exit(1)
        if behaviour.endless:
            sock = request.environ["werkzeug.socket"]
            endless.send(sock, behaviour.endless)
        if behaviour.crash_body and body == behaviour.crash_body:
            # Requests that were sent at the same time start meanwhile.
            time.sleep(_CRASH_DELAY_S)
            os._exit(1)
        with self._free_capacity:
            if request.path.startswith(behaviour.slow_prefix):
                time.sleep(behaviour.delay_s)
        name = f"{self._identity.service}/{self._identity.version}"
        text = f"{name} {request.method} {request.path} {body} {request_id}\n"
        if request.path.endswith(_LARGE_SUFFIX):
            text = text.ljust(_LARGE_BYTES)
        status = 500 if failed else 200
        self._lines.emit(
            "target-finished",
            request=request_id,
            status=status,
            digest=xxhash.xxh3_64_hexdigest(text.encode()),
        )
        return wrappers.Response(text, status)

    def _leave(self):
        self.leaving.set()
        self._lines.emit("target-leaving", beside=self._identity.node)
        http.send(
            http.Request(
                method="POST",
                url=f"http://{self._identity.admin}/v1/leave",
                body=b"{}",
            )
        )
        return wrappers.Response("ok\n")

    def _must_fail(self, behaviour, path):
        if not path.startswith(behaviour.fail_prefix):
            return False
        self._due_failures += behaviour.fail
        if self._due_failures < 1.0:
            return False
        self._due_failures -= 1.0
        return True


class _Handler(serving.WSGIRequestHandler):
    protocol_version = "HTTP/1.1"

    def log(self, type, message, *args):
        """Write no access log."""


def _announce(admin: str, body: bytes, leaving: threading.Event) -> None:
    while not leaving.is_set():
        with contextlib.suppress(errors.ArbutusstallError):
            http.send(
                http.Request(
                    method="POST",
                    url=f"http://{admin}/v1/announce",
                    body=body,
                )
            )
        leaving.wait(_ANNOUNCE_INTERVAL_S)


def main() -> None:
    """Serve until killed."""
    port, admin, service, version, *rest = sys.argv[1:]
    defaults = ["20", f"127.0.0.1:{port}", "-"]
    slots, announced, node = rest + defaults[len(rest) :]
    body = msgspec.json.encode(
        {
            "service": service,
            "version": version,
            "address": announced,
            "slots": int(slots),
        }
    )
    lines = journal.Journal(f"{node}-target", sys.stderr)
    lines.emit("target-started", service=service, version=version)
    identity = Identity(
        service=service, version=version, node=node, admin=admin
    )
    app = App(identity, lines)
    threading.Thread(
        target=_announce, args=(admin, body, app.leaving), daemon=True
    ).start()
    serving.run_simple(
        "127.0.0.1",
        int(port),
        app,
        threaded=True,
        request_handler=_Handler,
    )


if __name__ == "__main__":
    main()
