"""Runs nodes as the platform does, with stand-ins of store and targets."""

from collections import abc
import dataclasses
import os
import pathlib
import signal
import socket
import subprocess
import sys
import time

import ports
from standins import endpoint
from standins import store

from arbutusstall import errors
from arbutusstall._shell import http

ROOT = pathlib.Path(__file__).resolve().parent.parent
_MAX_PRINTED_CHARS = 6_000
_LIMITS = "maxFds = 4100"
_SETTINGS = """\
nodeId = "{node}"
ip = "127.0.0.1"
zone = "{zone}"
region = "main"
internalPorts = [{internal},{internal}]
heartbeat = "2s"
metricsPort = {metrics}
service = "{service}"
bounds = ["grace=4s","retryBudgetRatio=0.2"{bounds}]
[listen]
outbound = "127.0.0.1:{outbound}"
ready = "127.0.0.1:{ready}"
control = "127.0.0.1:{control}"
[limits]
{limits}
[platform]
address = "{store}"
keep = "20s"
"""


def settings_text(
    *, node: str, service: str, store: str, first_port: int
) -> str:
    """Return a settings file with consecutive ports from ``first_port``."""
    names = ("outbound", "ready", "control", "metrics", "internal")
    return _SETTINGS.format(
        node=node,
        zone="lipno",
        service=service,
        store=store,
        bounds="",
        limits=_LIMITS,
        **{name: first_port + n for n, name in enumerate(names)},
    )


def route(
    service: str,
    *,
    host: str = "a.example",
    prefix: str = "/x/",
    kind: str = "idempotent",
    **more: object,
) -> dict[str, object]:
    """Return a route in the form that operators publish."""
    return {
        "host": host,
        "pathPrefix": prefix,
        "routeType": kind,
        "timeout": "1500ms",
        "targetLatency": "500ms",
        "priority": 1,
        "service": service,
        "maxAttempts": 2,
        **more,
    }


def configuration(
    version: int, routes: dict[str, dict[str, object]]
) -> dict[str, object]:
    """Return a complete configuration: routes, their services, limits."""
    services = {
        str(part["service"])
        for item in routes.values()
        for part in item.get("trafficSplit", [item])  # type: ignore
    }
    return {
        "version": version,
        "routes": routes,
        "services": {
            name: {"healthPath": "/health", "maxConnections": 100}
            for name in services
        },
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 1_000_000,
            "headerTimeout": "3000ms",
            "idleTimeout": "15000ms",
        },
    }


@dataclasses.dataclass(kw_only=True)
class NodeProcess:
    """One node process and its addresses.

    Attributes:
        settings: Path of the settings file.
        output: Path of the file with its stdout and stderr.
    """

    name: str
    service: str
    callers: str
    ready: str
    control: str
    admin: str
    internal: str
    settings: pathlib.Path
    output: pathlib.Path
    process: subprocess.Popen | None = None

    def start(self) -> None:
        """Start the process."""
        with self.output.open("ab") as output:
            self.process = subprocess.Popen(
                [sys.executable, str(ROOT / "deploy" / "node.py")],
                env={
                    **os.environ,
                    "ARBUTUSSTALL_NODE_FILE": str(self.settings),
                    "PYTHONPATH": str(ROOT / "src"),
                },
                stdout=output,
                stderr=subprocess.STDOUT,
            )

    def kill(self) -> None:
        """Kill the process, if it runs, and wait for its end."""
        self._end(signal.SIGKILL)

    def terminate(self) -> int:
        """Send SIGTERM and wait; return the exit code."""
        return self._end(signal.SIGTERM)

    def pause(self) -> None:
        """Suspend the process."""
        assert self.process is not None
        self.process.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Resume a suspended process."""
        assert self.process is not None
        self.process.send_signal(signal.SIGCONT)

    def lines(self, event: str) -> list[str]:
        """Return the lines of an event in the output."""
        text = self.output.read_text(errors="replace")
        return [
            line
            for line in text.splitlines()
            if f"event={event} " in f"{line} "
        ]

    def listens_for_heartbeats(self) -> bool:
        """Return whether the node accepts connections of its target."""
        host, _, port = self.control.rpartition(":")
        try:
            socket.create_connection((host, int(port)), timeout=0.1).close()
        except OSError:
            return False
        return True

    def is_ready(self) -> bool:
        """Return whether the node's readiness check succeeds."""
        request = http.Request(
            method="GET", url=f"http://{self.ready}/ready", fresh=True
        )
        try:
            return http.send(request).status == 200
        except errors.ArbutusstallError:
            return False

    def _end(self, number: int) -> int:
        process = self.process
        assert process is not None
        process.send_signal(number)
        return process.wait(timeout=10.0)


class PlatformMesh:
    """A store, nodes and their targets, all ended by `stop`.

    Args:
        bounds: Further bounds in the nodes' settings, each after a comma.
    """

    def __init__(self, directory: pathlib.Path, bounds: str = "") -> None:
        self._bounds = bounds
        self.server = store.Server(ports.take())
        self.nodes_by_name: dict[str, NodeProcess] = {}
        self.endpoints_by_node: dict[str, endpoint.Endpoint] = {}
        self._directory = directory
        self._requests = 0

    @property
    def store(self) -> store.Store:
        """The content of the store."""
        return self.server.store

    def add(
        self,
        name: str,
        service: str,
        zone: str = "lipno",
        store: str = "",
        limits: str = _LIMITS,
    ) -> NodeProcess:
        """Start a node and its local target.

        Args:
            name: Name of the node.
            service: Service of the target.
            zone: Zone of the node.
            store: Address of the store for this node, such as that of a
                fault proxy; empty for the store itself.
            limits: Lines of the section ``limits`` of the settings.
        """
        addresses = {
            part: ports.take()
            for part in ("outbound", "ready", "control", "metrics", "internal")
        }
        settings = self._directory / f"{name}.toml"
        settings.write_text(
            _SETTINGS.format(
                node=name,
                zone=zone,
                service=service,
                store=store or self.server.address,
                bounds=self._bounds,
                limits=limits,
                **addresses,
            )
        )
        node = NodeProcess(
            name=name,
            service=service,
            callers=f"127.0.0.1:{addresses['outbound']}",
            ready=f"127.0.0.1:{addresses['ready']}",
            control=f"127.0.0.1:{addresses['control']}",
            admin=f"127.0.0.1:{addresses['metrics']}",
            internal=f"127.0.0.1:{addresses['internal']}",
            settings=settings,
            output=self._directory / f"{name}.log",
        )
        self.nodes_by_name[name] = node
        node.start()
        self.endpoints_by_node[name] = endpoint.Endpoint(
            port=ports.take(),
            control=node.control,
            service=service,
            instance=f"i-{name}",
        )
        return node

    def restart(self) -> None:
        """Kill all nodes and start them again."""
        for node in self.nodes_by_name.values():
            node.kill()
        for node in self.nodes_by_name.values():
            node.start()

    def send(
        self,
        name: str,
        path: str = "/x/1",
        *,
        host: str = "a.example",
        method: str = "GET",
        body: bytes = b"",
        request_id: str = "",
        headers: tuple[tuple[str, str], ...] = (),
    ) -> http.Response:
        """Send a request to the outbound proxy of a node."""
        self._requests += 1
        address = self.nodes_by_name[name].callers
        return http.send(
            http.Request(
                method=method,
                url=f"http://{address}{path}",
                headers=(
                    ("Host", host),
                    ("X-Request-Id", request_id or f"r-{self._requests}"),
                    ("X-Deadline-Ms", "1500"),
                    *headers,
                ),
                body=body,
                timeout_s=3.0,
                fresh=True,
            )
        )

    def runs(self, request_id: str) -> int:
        """Return how many times targets ran a request."""
        return sum(
            executed.request_id == request_id
            for item in self.endpoints_by_node.values()
            for executed in item.executed
        )

    def print_logs(self) -> None:
        """Print the end of each node's output, to explain a failure."""
        for node in self.nodes_by_name.values():
            text = node.output.read_text(errors="replace")
            print(f"== {node.name}\n{text[-_MAX_PRINTED_CHARS:]}")

    def stop(self) -> None:
        """Stop all targets, nodes and the store."""
        for item in self.endpoints_by_node.values():
            item.stop()
        for node in self.nodes_by_name.values():
            if node.process is not None and node.process.poll() is None:
                node.kill()
        self.server.stop()


def wait_until(
    condition: abc.Callable[[], object], limit_s: float = 10.0
) -> float:
    """Wait until a condition holds; return the seconds it took.

    Raises:
        AssertionError: It did not hold within ``limit_s``.
    """
    started_s = time.monotonic()
    while time.monotonic() - started_s < limit_s:
        if condition():
            return time.monotonic() - started_s
        time.sleep(0.02)
    raise AssertionError(f"the condition did not hold within {limit_s} s")
