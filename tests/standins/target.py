"""Stand-in for a target.

Usage: python -m standins.target PORT ADMIN SERVICE VERSION [SLOTS
[ANNOUNCED]]. ANNOUNCED is the address to announce, if another.
Announces itself to the node's ADMIN address. ``POST /behaviour`` sets
`Behaviour`; ``GET /executions`` lists the request ids that were run.
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

from arbutusstall import errors
from arbutusstall._shell import http

_ANNOUNCE_S = 1.0
_NO_LIMIT = 10_000
_CRASH_DELAY_S = 0.1


@dataclasses.dataclass(frozen=True, kw_only=True)
class Behaviour:
    """How the target answers.

    Attributes:
        fail: Share of the answers that are errors, 0 to 1.
        delay_s: Time an answer takes.
        fail_prefix: Only paths that start so fail.
        capacity: Requests worked on at once; more wait, as for a core.
            Zero for no limit.
        crash_body: A request with this body ends the process.
    """

    fail: float = 0.0
    delay_s: float = 0.0
    fail_prefix: str = ""
    capacity: int = 0
    crash_body: str = ""


class App:
    """Runs requests and remembers which ones."""

    def __init__(self, name: str) -> None:
        self._name = name
        self._behaviour = Behaviour()
        self._executions: list[str] = []
        self._lock = threading.Lock()
        self._debt = 0.0
        self._room = threading.Semaphore(_NO_LIMIT)

    def __call__(self, environ, start_response):
        """Answer one request (WSGI)."""
        request = wrappers.Request(environ)
        return self._answer(request)(environ, start_response)

    def _answer(self, request):
        if request.path == "/behaviour":
            self._behaviour = msgspec.json.decode(
                request.get_data(), type=Behaviour
            )
            self._room = threading.Semaphore(
                self._behaviour.capacity or _NO_LIMIT
            )
            return wrappers.Response("ok\n")
        if request.path == "/executions":
            return wrappers.Response(msgspec.json.encode(self._executions))
        request_id = request.headers.get("Arbutusstall-Request-Id", "")
        body = request.get_data(as_text=True)
        behaviour = self._behaviour
        with self._lock:
            self._executions.append(request_id)
            failed = self._fails(behaviour, request.path)
        if behaviour.crash_body and body == behaviour.crash_body:
            # Those beside it have begun by then.
            time.sleep(_CRASH_DELAY_S)
            os._exit(1)
        with self._room:
            time.sleep(behaviour.delay_s)
        text = f"{self._name} {request.method} {request.path} {body}\n"
        return wrappers.Response(text, 500 if failed else 200)

    def _fails(self, behaviour, path):
        if not path.startswith(behaviour.fail_prefix):
            return False
        self._debt += behaviour.fail
        if self._debt < 1.0:
            return False
        self._debt -= 1.0
        return True


class _Handler(serving.WSGIRequestHandler):
    protocol_version = "HTTP/1.1"

    def log(self, type, message, *args):
        """Write no access log."""


def _announce(admin: str, body: bytes) -> None:
    while True:
        with contextlib.suppress(errors.ArbutusstallError):
            http.send(
                http.Request(
                    method="POST",
                    url=f"http://{admin}/v1/announce",
                    body=body,
                )
            )
        time.sleep(_ANNOUNCE_S)


def main() -> None:
    """Serve until killed."""
    port, admin, service, version, *rest = sys.argv[1:]
    slots, announced = (rest + ["20", f"127.0.0.1:{port}"][len(rest) :])[:2]
    body = msgspec.json.encode(
        {
            "service": service,
            "version": version,
            "address": announced,
            "slots": int(slots),
        }
    )
    threading.Thread(target=_announce, args=(admin, body), daemon=True).start()
    serving.run_simple(
        "127.0.0.1",
        int(port),
        App(f"{service}/{version}"),
        threaded=True,
        request_handler=_Handler,
    )


if __name__ == "__main__":
    main()
