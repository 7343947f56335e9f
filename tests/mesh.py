"""Starts and controls a mesh of real processes on loopback."""

from collections import abc
import dataclasses
import json
import os
import pathlib
import signal
import subprocess
import sys
import time

import fault_proxy
import msgspec
import ports

from arbutusstall import errors
from arbutusstall._shell import http

_NODE_MODULE = "arbutusstall._cli.node"
_START_TIMEOUT_S = 20.0
_POLL_INTERVAL_S = 0.05


@dataclasses.dataclass(frozen=True, kw_only=True)
class NodeSpec:
    """A node to start, and its target.

    Attributes:
        slots: Number of requests that the target runs at once.
    """

    name: str
    data_centre: str
    service: str
    version: str
    slots: int = 20


@dataclasses.dataclass(frozen=True, kw_only=True)
class RunningNode:
    """Addresses under which others reach a node and its target."""

    spec: NodeSpec
    callers: str
    inbound: str
    relay: str
    admin: str
    target: str


def free_addresses(count: int) -> list[str]:
    """Return loopback addresses that nothing listens on at present."""
    return [f"127.0.0.1:{ports.take()}" for _ in range(count)]


class Mesh:
    """Processes of one test; `stop` ends each by its process id.

    Args:
        settings: Settings that override those of every node.
        keep_s: Time for which the log keeps a record, in seconds.
        rate: Maximum number of appends to the log per second.

    Attributes:
        directory: Where settings, releases and logs are written.
        log: Address of the stand-in of the platform log.
        proxied: Kinds of address that each node has behind a fault
            proxy, of ``inbound``, ``relay``, ``target``, ``callers`` and
            ``log``.
        proxies_by_name: The proxies, named ``"NODE/KIND"``.
    """

    def __init__(
        self,
        directory: pathlib.Path,
        settings: abc.Mapping[str, object] | None = None,
        keep_s: float = 3600.0,
        rate: int = 300,
        proxied: abc.Collection[str] = (),
    ) -> None:
        self.directory = directory
        self.nodes_by_name: dict[str, RunningNode] = {}
        self.processes_by_name: dict[str, subprocess.Popen[bytes]] = {}
        self.proxied = frozenset(proxied)
        self.proxies_by_name: dict[str, fault_proxy.FaultProxy] = {}
        self._listen_by_node: dict[str, dict[str, str]] = {}
        self._settings = settings or {}
        self._log_options = (str(keep_s), str(rate))
        self.log = free_addresses(1)[0]

    def start_log(self) -> None:
        """Start the stand-in of the platform log."""
        port = self.log.rpartition(":")[2]
        self.spawn("log", "-m", "standins.log", port, *self._log_options)
        self.wait_for(f"http://{self.log}/counts")

    def start_node(self, spec: NodeSpec, target: bool = True) -> RunningNode:
        """Start a node and, unless ``target`` is false, its target."""
        if spec.name not in self.nodes_by_name:
            self._add_node(spec)
        running = self.nodes_by_name[spec.name]
        path = self.directory / f"{spec.name}.settings.json"
        path.write_text(json.dumps(self._node_settings(running)))
        mutant = os.environ.get("ARBUTUSSTALL_MUTANT")
        program = ("mutant", mutant) if mutant else (_NODE_MODULE,)
        self.spawn(
            spec.name,
            "-m",
            *program,
            "run",
            "--settings",
            str(path),
        )
        if target:
            self.start_target(spec.name)
        return running

    def start_target(self, name: str) -> None:
        """Start the target of the node ``name``."""
        running = self.nodes_by_name[name]
        spec = running.spec
        self.spawn(
            f"{name}-target",
            "-m",
            "standins.target",
            self._listen_by_node[name]["target"].rpartition(":")[2],
            running.admin,
            spec.service,
            spec.version,
            str(spec.slots),
            running.target,
            name,
        )

    def wait_ready(self) -> None:
        """Wait until every node answers on its admin address."""
        for running in self.nodes_by_name.values():
            self.wait_for(f"http://{running.admin}/healthz")

    def note(self, *arguments: str) -> subprocess.CompletedProcess[str]:
        """Run arbutusstall-note and return its output and exit code."""
        return subprocess.run(
            [sys.executable, "-m", "arbutusstall._cli.note", *arguments],
            capture_output=True,
            text=True,
            timeout=60,
            check=False,
        )

    def publish(
        self, release: abc.Mapping[str, object], *options: str
    ) -> subprocess.CompletedProcess[str]:
        """Write a release file and publish it."""
        path = self.directory / f"{release['name']}.note.json"
        path.write_text(json.dumps(release))
        return self.note(
            "publish", str(path), "--log", f"http://{self.log}", *options
        )

    def status(self, name: str) -> dict[str, object]:
        """Return the status of the node ``name``."""
        admin = self.nodes_by_name[name].admin
        return self.get_json(f"http://{admin}/v1/status")

    def get_json(self, url: str) -> dict[str, object]:
        """Return the JSON object at ``url``."""
        response = http.send(http.Request(method="GET", url=url))
        return msgspec.json.decode(response.body)

    def log_counts(self) -> dict[str, object]:
        """Return the counters of the log stand-in."""
        return self.get_json(f"http://{self.log}/counts")

    def set_log_faults(self, **faults: object) -> None:
        """Replace the faults of the log stand-in; none without arguments."""
        self.post(f"http://{self.log}/faults", faults)

    def set_behaviour(self, name: str, **behaviour: object) -> None:
        """Replace the `standins.target.Behaviour` of a node's target."""
        target = self.nodes_by_name[name].target
        self.post(f"http://{target}/behaviour", behaviour)

    def executions(self, name: str) -> list[str]:
        """Return the ids of the requests that a node's target ran."""
        target = self.nodes_by_name[name].target
        response = http.send(
            http.Request(method="GET", url=f"http://{target}/executions")
        )
        return msgspec.json.decode(response.body, type=list[str])

    def post(self, url: str, body: object) -> http.Response:
        """Send ``body`` as JSON with POST."""
        return http.send(
            http.Request(
                method="POST", url=url, body=msgspec.json.encode(body)
            )
        )

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process of this mesh."""
        self.processes_by_name[name].send_signal(number)

    def kill(self, name: str) -> None:
        """Kill a process and wait for its end."""
        process = self.processes_by_name.pop(name)
        process.kill()
        process.wait(timeout=10)

    def wait_until(
        self, condition: abc.Callable[[], bool], limit_s: float
    ) -> bool:
        """Poll ``condition``; return whether it held within ``limit_s``.

        A condition that raises an ``ArbutusstallError`` does not hold.
        """
        end_s = time.monotonic() + limit_s
        while time.monotonic() < end_s:
            try:
                if condition():
                    return True
            except errors.ArbutusstallError:
                pass
            time.sleep(_POLL_INTERVAL_S)
        return False

    def wait_for(self, url: str) -> None:
        """Wait until ``url`` answers with a status below 500.

        Raises:
            TimeoutError: No such answer arrived in time.
        """
        request = http.Request(method="GET", url=url)
        if not self.wait_until(
            lambda: http.send(request).status < 500, _START_TIMEOUT_S
        ):
            raise TimeoutError(url)

    def log_paths(self) -> list[pathlib.Path]:
        """Return the event log files of all processes."""
        return sorted(self.directory.glob("*.log"))

    def stop(self) -> None:
        """End every process of this mesh."""
        for process in self.processes_by_name.values():
            process.send_signal(signal.SIGCONT)
            process.kill()
        for process in self.processes_by_name.values():
            process.wait(timeout=10)
        self.processes_by_name.clear()
        for proxy in self.proxies_by_name.values():
            proxy.stop()

    def spawn(self, name: str, *arguments: str) -> None:
        """Start a Python process that logs to ``NAME.log``."""
        with (self.directory / f"{name}.log").open("ab") as output:
            self.processes_by_name[name] = subprocess.Popen(
                [sys.executable, *arguments],
                stdout=output,
                stderr=output,
                stdin=subprocess.DEVNULL,
                env={**os.environ, "PYTHONUNBUFFERED": "1"},
            )

    def _add_node(self, spec: NodeSpec) -> None:
        kinds = ("callers", "inbound", "relay", "admin", "target")
        listen = dict(zip(kinds, free_addresses(len(kinds)), strict=True))
        self._listen_by_node[spec.name] = listen
        public = {
            kind: self._behind_proxy(spec.name, kind, listen[kind])
            for kind in kinds
        }
        self.nodes_by_name[spec.name] = RunningNode(spec=spec, **public)

    def _behind_proxy(self, name: str, kind: str, address: str) -> str:
        if kind not in self.proxied:
            return address
        listen = free_addresses(1)[0]
        proxy = fault_proxy.FaultProxy(listen, address)
        self.proxies_by_name[f"{name}/{kind}"] = proxy
        return listen

    def _node_settings(self, running: RunningNode) -> dict[str, object]:
        name = running.spec.name
        listen = self._listen_by_node[name]
        proxy = self.proxies_by_name.get(f"{name}/log")
        if proxy is None:
            log = self._behind_proxy(name, "log", self.log)
        else:
            log = proxy.listen
        return {
            "node": name,
            "data_centre": running.spec.data_centre,
            "addresses": {
                kind: listen[kind]
                for kind in ("callers", "inbound", "relay", "admin")
            },
            "advertise": {"inbound": running.inbound, "relay": running.relay},
            "log": {"url": f"http://{log}"},
            **self._settings,
        }
