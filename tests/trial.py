"""Runs a mesh under load and faults and checks its time line.

The faults that a trial injects, and what it observes from outside, are
written as event lines, like the events of the nodes and targets.
"""

from collections import abc
import contextlib
import itertools
import json
import pathlib
import signal
import subprocess
import sys
import threading
import time

import mesh
import msgspec
from standins import journal
import xxhash

from arbutusstall import errors

_OBSERVE_INTERVAL_S = 0.1
_JOIN_TIMEOUT_S = 30.0
_SETTINGS = {"relay": {"roots": 1}, "calls": {"key_horizon_ms": 6_000}}


class Trial:
    """Starts one mesh, injects faults and checks the invariants.

    Attributes:
        directory: Where settings, logs and reports are written.
        mesh: The processes of the mesh.
        journal: Event lines of the trial itself.
    """

    def __init__(
        self,
        directory: pathlib.Path,
        settings: abc.Mapping[str, object] | None = None,
        proxied: abc.Collection[str] = (),
        keep_s: float = 3600.0,
    ) -> None:
        self.directory = directory
        self.mesh = mesh.Mesh(
            directory,
            {**_SETTINGS, **(settings or {})},
            keep_s=keep_s,
            proxied=proxied,
        )
        self._output = (directory / "trial.log").open("a")
        self.journal = journal.Journal("trial", self._output)
        self._fault_ids = itertools.count(1)
        self._log_fault_id = 0
        self._loads: dict[str, subprocess.Popen[bytes]] = {}
        self._stopped = threading.Event()
        self._observer = threading.Thread(target=self._observe, daemon=True)

    def start(self, specs: abc.Iterable[mesh.NodeSpec]) -> None:
        """Start the log and the nodes; wait until all endpoints are known."""
        self.mesh.start_log()
        for spec in specs:
            self.start_node(spec)
        self.mesh.wait_ready()
        self.wait_joined(_JOIN_TIMEOUT_S)
        self._observer.start()

    def start_node(self, spec: mesh.NodeSpec) -> None:
        """Start a node, or start it again with the same addresses."""
        running = self.mesh.start_node(spec)
        self.journal.emit(
            "node-address", beside=spec.name, callers=running.callers
        )

    def wait_joined(self, limit_s: float) -> None:
        """Wait until each running node knows all running endpoints.

        Raises:
            TimeoutError: Some do not know all within ``limit_s``.
        """
        names = [
            name
            for name in self.mesh.nodes_by_name
            if name in self.mesh.processes_by_name
        ]
        joined = self.mesh.wait_until(
            lambda: all(
                self.mesh.status(name)["serving"] >= len(names)
                for name in names
            ),
            limit_s,
        )
        if not joined:
            raise TimeoutError(f"not joined: {self._describe(names)}")

    def _describe(self, names: abc.Iterable[str]) -> dict[str, object]:
        status_by_name: dict[str, object] = {}
        for name in names:
            try:
                status_by_name[name] = self.mesh.status(name)
            except errors.ArbutusstallError as exc:
                code = self.mesh.processes_by_name[name].poll()
                status_by_name[name] = f"{exc}, exit code {code}"
        return status_by_name

    def publish(
        self, release: dict[str, object], *options: str
    ) -> subprocess.CompletedProcess[str]:
        """Publish a release and log the routes that it adds."""
        added = release.get("add", {})
        routes = [
            f"{route['prefix']}>{route['service']}"
            for route in added.get("routes", ())
        ]
        self.journal.emit(
            "release-published",
            release=release["name"],
            routes=",".join(routes),
        )
        return self.mesh.publish(release, *options)

    def publish_first(self, *services: str, **route: object) -> None:
        """Publish services, each with one route and all traffic to v1."""
        self.publish_ok(
            {
                "name": "first",
                "add": {
                    "services": [{"name": name} for name in services],
                    "routes": [
                        {"prefix": f"/{name}", "service": name, **route}
                        for name in services
                    ],
                },
                "shares": [
                    {"service": name, "percent_by_version": {"v1": 100}}
                    for name in services
                ],
            },
            "--wait",
        )

    def publish_ok(self, release: dict[str, object], *options: str) -> None:
        """Publish a release; fail if it is not accepted."""
        completed = self.publish(release, *options)
        assert completed.returncode == 0, completed.stdout + completed.stderr

    def begin_fault(
        self, fault: str, nodes: abc.Iterable[str], **fields: object
    ) -> int:
        """Log that a fault begins; return its id."""
        number = next(self._fault_ids)
        self.journal.emit(
            "fault-began",
            fault=fault,
            nodes=",".join(nodes),
            id=number,
            **fields,
        )
        return number

    def end_fault(self, number: int) -> None:
        """Log that the fault with the id ``number`` has ended."""
        self.journal.emit("fault-ended", id=number)

    def kill(self, *names: str) -> None:
        """Kill nodes together with their targets."""
        self.begin_fault("kill", names)
        for name in names:
            self.mesh.kill(name)
            self.mesh.kill(f"{name}-target")

    def restart(self, *names: str) -> None:
        """Start killed nodes again."""
        for name in names:
            self.start_node(self.mesh.nodes_by_name[name].spec)

    def stop_node(self, name: str) -> int:
        """Stop a node by SIGTERM; return its exit code."""
        process = self.mesh.processes_by_name.pop(name)
        process.send_signal(signal.SIGTERM)
        return process.wait(timeout=_JOIN_TIMEOUT_S)

    @contextlib.contextmanager
    def frozen(self, name: str) -> abc.Iterator[None]:
        """Suspend a node for the time of the context."""
        number = self.begin_fault("freeze", [name])
        self.mesh.signal(name, signal.SIGSTOP)
        try:
            yield
        finally:
            self.mesh.signal(name, signal.SIGCONT)
            self.end_fault(number)

    def set_log_faults(self, **faults: object) -> None:
        """Replace the faults of the log; no arguments end them."""
        if self._log_fault_id:
            self.mesh.set_log_faults()
            self.end_fault(self._log_fault_id)
            self._log_fault_id = 0
        if faults:
            self._log_fault_id = self.begin_fault("log", ["*"], what=faults)
            self.mesh.set_log_faults(**faults)

    def make_bad(
        self,
        service: str,
        version: str,
        since: str = "start",
        **behaviour: object,
    ) -> None:
        """Change how all targets of a version answer.

        Args:
            service: Service of the version.
            version: The version that becomes bad.
            since: ``start`` if it is bad from its first call, or ``later``.
            behaviour: Fields of `standins.target.Behaviour`.
        """
        self.begin_fault(
            "bad-version",
            ["-"],
            service=service,
            version=version,
            delay_s=behaviour.get("delay_s", ""),
            **{"from": since},
        )
        for name, running in self.mesh.nodes_by_name.items():
            spec = running.spec
            if (spec.service, spec.version) == (service, version):
                self.mesh.set_behaviour(name, **behaviour)

    def start_load(
        self,
        name: str,
        kinds: abc.Sequence[abc.Mapping[str, object]],
        steps: str,
        entries: abc.Iterable[str] = (),
        seed: int = 1,
    ) -> None:
        """Start arbutusstall-load with event lines of all calls.

        Args:
            name: Name in event lines, request ids and file names.
            kinds: Kinds of request, as in the file of the program.
            steps: Successive rates in calls per second, each with its
                duration in seconds, such as ``50x5``.
            entries: Names of the nodes to call; all by default.
            seed: Seed of the choice of kinds.
        """
        path = self.directory / f"{name}.kinds.json"
        path.write_text(json.dumps({"kinds": kinds}))
        nodes = list(entries) or list(self.mesh.nodes_by_name)
        self.mesh.spawn(
            name,
            "-m",
            "arbutusstall._cli.load",
            "run",
            *("--steps", steps, "--seed", str(seed), "--events", "all"),
            *("--name", name, "--format", "json"),
            *("--report", str(self.directory / f"{name}.report.json")),
            str(path),
            *(f"http://{self.mesh.nodes_by_name[n].callers}" for n in nodes),
        )
        self._loads[name] = self.mesh.processes_by_name.pop(name)

    def wait_load(self, name: str, limit_s: float = 60.0) -> dict:
        """Wait for the end of a load; return its counts by outcome."""
        self._loads.pop(name).wait(timeout=limit_s)
        report = json.loads(
            (self.directory / f"{name}.report.json").read_text()
        )
        totals: dict[str, int] = {}
        for kind in report["kinds"].values():
            for outcome, count in kind["counts"].items():
                totals[outcome] = totals.get(outcome, 0) + count
        return totals

    def check(self, settle_s: float) -> dict[str, dict]:
        """Return the verdicts on the time line by invariant.

        Args:
            settle_s: Time to observe the mesh before the check, in
                seconds.
        """
        self._stopped.wait(settle_s)
        self.journal.emit("observed-until")
        completed = subprocess.run(
            [
                sys.executable,
                "-m",
                "arbutusstall._cli.timeline",
                "--check",
                *("--format", "json"),
                *map(str, self.mesh.log_paths()),
            ],
            capture_output=True,
            text=True,
            timeout=120,
            check=False,
        )
        assert completed.returncode in (0, 1), completed.stderr
        verdicts = msgspec.json.decode(completed.stdout)
        return {item["invariant"]: item for item in verdicts}

    def stop(self) -> None:
        """Stop all processes and the observer."""
        self._stopped.set()
        for process in self._loads.values():
            process.kill()
            process.wait(timeout=10)
        if self._observer.ident is not None:
            self._observer.join(timeout=10)
        self.mesh.stop()
        self._output.close()

    def _observe(self) -> None:
        while not self._stopped.is_set():
            for name in list(self.mesh.nodes_by_name):
                if name in self.mesh.processes_by_name:
                    self._observe_node(name)
            time.sleep(_OBSERVE_INTERVAL_S)

    def _observe_node(self, name: str) -> None:
        admin = self.mesh.nodes_by_name[name].admin
        try:
            config = self.mesh.get_json(f"http://{admin}/v1/config")
        except (errors.ArbutusstallError, msgspec.MsgspecError):
            return
        snapshot = config["snapshot"]
        routes = [
            f"{prefix}>{route['service']}"
            for prefix, route in snapshot["routes_by_prefix"].items()
        ]
        # Shares are left out, since a node may lower them locally.
        compared = {
            key: snapshot[key]
            for key in ("services_by_name", "routes_by_prefix")
        }
        content = json.dumps(compared, sort_keys=True).encode()
        self.journal.emit(
            "config-seen",
            seen=name,
            incarnation=config["incarnation"],
            version=snapshot["version"],
            content=xxhash.xxh3_64_hexdigest(content),
            routes=",".join(routes),
            services=",".join(snapshot["services_by_name"]),
        )
