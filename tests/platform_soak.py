"""Injects random failures into nodes on the platform.

Usage: python tests/platform_soak.py [--seconds N] [--seed N] [--runs N]
[--nodes N]. The seed fixes the failures and their times; two series of
failures overlap. The check compares the answers that callers got with
the requests that targets ran. Exits with 1 if a guarantee was violated,
and prints the directory of the logs then.
"""

import argparse
from collections import abc
import dataclasses
import pathlib
import random
import sys
import tempfile
import threading
import time

import fault_proxy
import platform_mesh
import ports
from standins import store

from arbutusstall import errors
from arbutusstall._shell import http

_SERVICES = ("kvoty", "kvoty", "vazeni")
_CALLER_COUNT = 8
_FAULT_SERIES_COUNT = 2
_MAX_FAULT_S = 2.5
_CALLER_PAUSE_S = 0.01
_START_TIMEOUT_S = 20.0
_RECOVERY_TIMEOUT_S = 15.0
# A planned stop must not break off a request that the node has read.
# Requests are not checked for this if an unplanned failure overlaps
# them or ended within this time before them.
_PLANNED_QUIET_S = 3.0
# Time after an acknowledged drain in which a target may still get requests.
_DRAIN_S = 2.0
_NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
_OK = 200


@dataclasses.dataclass(frozen=True, kw_only=True)
class Sent:
    """One request of a caller and its result.

    Attributes:
        booking: Whether the request is not idempotent.
        status: Status of the answer; 0 if the connection broke off, -1
            if nothing was sent.
        own: Whether the answer belongs to this request and is signed.
    """

    request_id: str
    node: str
    booking: bool
    began_s: float
    ended_s: float
    status: int
    own: bool


@dataclasses.dataclass(frozen=True, kw_only=True)
class FaultInterval:
    """Time of a failure or a planned stop at one node."""

    kind: str
    node: str
    planned: bool
    from_s: float
    to_s: float


class Soak:
    """One run with random failures from a seed.

    Attributes:
        sent: All requests of the callers.
        fault_intervals: All failures that have ended.
        late_ids_by_node: Ids of requests that a draining target ran too
            late.
    """

    def __init__(self, directory: pathlib.Path, seed: int, nodes: int) -> None:
        self.rng = random.Random(seed)
        self.mesh = platform_mesh.PlatformMesh(directory)
        self.sent: list[Sent] = []
        self.fault_intervals: list[FaultInterval] = []
        self.late_ids_by_node: dict[str, list[str]] = {}
        self._version = 3
        self._routes = {
            "read": platform_mesh.route("kvoty"),
            "weigh": platform_mesh.route("vazeni", prefix="/w/"),
            "book": platform_mesh.route(
                "kvoty", prefix="/book/", kind="non_idempotent"
            ),
        }
        self._store_proxies_by_node: dict[str, fault_proxy.FaultProxy] = {}
        self._nodes_with_fault: set[str] = set()
        self._lock = threading.Lock()
        self._stopped = threading.Event()
        for number in range(nodes):
            self._add(f"n{number}", _SERVICES[number % len(_SERVICES)])

    def run(self, seconds: float) -> list[str]:
        """Run for ``seconds``; return the violated guarantees."""
        try:
            self._start()
            faults = [
                threading.Thread(
                    target=self._inject_faults, args=(random.Random(draw),)
                )
                for draw in self.rng.sample(range(10**6), _FAULT_SERIES_COUNT)
            ]
            callers = [
                threading.Thread(target=self._call, args=(number,))
                for number in range(_CALLER_COUNT)
            ]
            for thread in (*faults, *callers):
                thread.start()
            self._stopped.wait(seconds)
            self._stopped.set()
            for thread in (*faults, *callers):
                thread.join()
            return [*self._recover(), *self.violations()]
        finally:
            for proxy in self._store_proxies_by_node.values():
                proxy.stop()
            self.mesh.stop()

    def _add(self, name: str, service: str) -> None:
        listen = f"127.0.0.1:{ports.take()}"
        proxy = fault_proxy.FaultProxy(listen, self.mesh.server.address)
        self._store_proxies_by_node[name] = proxy
        self.mesh.add(name, service, store=listen)

    def _start(self) -> None:
        for node in self.mesh.nodes_by_name.values():
            platform_mesh.wait_until(
                lambda node=node: node.lines("node-started"), _START_TIMEOUT_S
            )
        self._publish()
        platform_mesh.wait_until(
            lambda: all(self._serves(name) for name in self._names()),
            _START_TIMEOUT_S,
        )

    def _names(self) -> list[str]:
        return sorted(self.mesh.nodes_by_name)

    def _publish(self) -> None:
        config = platform_mesh.configuration(self._version, self._routes)
        self.mesh.store.put("config", config)

    def _serves(self, name: str) -> bool:
        try:
            return self.mesh.send(name).status == _OK
        except errors.ArbutusstallError:
            return False

    # Callers.

    def _call(self, number: int) -> None:
        """Send requests over one connection until it fails, then another."""
        rng = random.Random(number)
        count = 0
        while not self._stopped.is_set():
            name = rng.choice(self._names())
            connection = http.Connection()
            while connection.reusable and not self._stopped.is_set():
                count += 1
                sent = self._send(
                    connection, name, f"c{number}-{count}", rng.random() < 0.3
                )
                with self._lock:
                    self.sent.append(sent)
                if sent.status <= 0:
                    break
                time.sleep(_CALLER_PAUSE_S)
            connection.close()

    def _send(
        self,
        connection: http.Connection,
        name: str,
        request_id: str,
        booking: bool,
    ) -> Sent:
        began_s = time.monotonic()
        status, own = 0, True
        address = self.mesh.nodes_by_name[name].callers
        prefix = "book" if booking else "x"
        try:
            response = connection.send(
                http.Request(
                    method="POST" if booking else "GET",
                    url=f"http://{address}/{prefix}/{request_id}",
                    headers=(
                        ("Host", "a.example"),
                        ("X-Request-Id", request_id),
                        ("X-Deadline-Ms", "1500"),
                    ),
                    timeout_s=3.0,
                )
            )
        except errors.PeerUnavailable:
            status = -1
        except errors.OutcomeUnknown:
            status = 0
        else:
            status = response.status
            own = _is_own(response, request_id)
        return Sent(
            request_id=request_id,
            node=name,
            booking=booking,
            began_s=began_s,
            ended_s=time.monotonic(),
            status=status,
            own=own,
        )

    # Failures.

    def _inject_faults(self, rng: random.Random) -> None:
        kinds: tuple[abc.Callable[[str, float], None], ...] = (
            self._kill,
            self._pause,
            self._terminate,
            self._cut_store,
            self._fail_store,
            self._fail_target,
            self._slow_target,
            self._drain_target,
            self._reconfigure,
        )
        while not self._stopped.is_set():
            kind = rng.choice(kinds)
            name = rng.choice(self._names())
            length_s = rng.uniform(0.1, _MAX_FAULT_S)
            pause_s = rng.uniform(0.0, 1.0)
            with self._lock:
                is_free = name not in self._nodes_with_fault
                self._nodes_with_fault.add(name)
            if is_free:
                began_s = time.monotonic()
                kind(name, length_s)
                self._record_interval(kind.__name__.strip("_"), name, began_s)
                self._nodes_with_fault.discard(name)
            self._stopped.wait(pause_s)

    def _record_interval(self, kind: str, name: str, began_s: float) -> None:
        self.fault_intervals.append(
            FaultInterval(
                kind=kind,
                node=name,
                planned=kind in ("terminate", "reconfigure", "drain_target"),
                from_s=began_s,
                to_s=time.monotonic(),
            )
        )

    def _kill(self, name: str, length_s: float) -> None:
        node = self.mesh.nodes_by_name[name]
        node.kill()
        self._stopped.wait(length_s)
        node.start()

    def _pause(self, name: str, length_s: float) -> None:
        node = self.mesh.nodes_by_name[name]
        node.pause()
        time.sleep(length_s)
        node.resume()

    def _terminate(self, name: str, length_s: float) -> None:
        node = self.mesh.nodes_by_name[name]
        node.terminate()
        self._stopped.wait(length_s)
        node.start()

    def _cut_store(self, name: str, length_s: float) -> None:
        proxy = self._store_proxies_by_node[name]
        proxy.silence_open()
        proxy.set(refuse=True)
        self._stopped.wait(length_s)
        proxy.set()

    def _fail_store(self, name: str, length_s: float) -> None:
        out = length_s > _MAX_FAULT_S / 2
        self.mesh.store.faults = store.Faults(out=out, lose_answers=not out)
        self._stopped.wait(length_s)
        self.mesh.store.faults = store.Faults()

    def _fail_target(self, name: str, length_s: float) -> None:
        self._behave(name, length_s, reset=True)

    def _slow_target(self, name: str, length_s: float) -> None:
        self._behave(name, length_s, delay_s=0.3)

    def _behave(self, name: str, length_s: float, **changes: object) -> None:
        target = self.mesh.endpoints_by_node[name]
        previous = target.behaviour
        target.behaviour = dataclasses.replace(previous, **changes)
        self._stopped.wait(length_s)
        target.behaviour = previous

    def _drain_target(self, name: str, length_s: float) -> None:
        target = self.mesh.endpoints_by_node[name]
        if not target.drain():
            target.state = "ready"
            return
        acknowledged_s = time.monotonic()
        time.sleep(_DRAIN_S + length_s)
        late = [
            executed.request_id
            for executed in list(target.executed)
            if executed.started_s > acknowledged_s + _DRAIN_S
        ]
        if late:
            self.late_ids_by_node[name] = late
        target.restart()

    def _reconfigure(self, name: str, length_s: float) -> None:
        with self._lock:
            self._version += 2
            self._routes[f"r{self._version}"] = platform_mesh.route(
                "vazeni", prefix=f"/r{self._version}/"
            )
            self._publish()

    # Guarantees.

    def _recover(self) -> list[str]:
        """Return the nodes that do not serve after the last failure."""
        waiting = set(self._names())
        end_s = time.monotonic() + _RECOVERY_TIMEOUT_S
        while waiting and time.monotonic() < end_s:
            waiting = {name for name in waiting if not self._serves(name)}
            time.sleep(0.1)
        return [f"recovery: {name} does not serve" for name in sorted(waiting)]

    def violations(self) -> list[str]:
        """Return where answers contradict the requests that targets ran."""
        runs_by_id: dict[str, int] = {}
        for target in self.mesh.endpoints_by_node.values():
            for executed in target.executed:
                runs = runs_by_id.get(executed.request_id, 0)
                runs_by_id[executed.request_id] = runs + 1
        found = [
            f"drain: {len(late)} late at {name}, first {late[0]}"
            for name, late in self.late_ids_by_node.items()
        ]
        for sent in self.sent:
            runs = runs_by_id.get(sent.request_id, 0)
            if sent.status == _OK and not sent.own:
                found.append(f"own answer: {sent}")
            if sent.booking and runs > 1:
                found.append(f"at most once: {runs} runs of {sent}")
            if sent.booking and sent.status in _NOT_RUN_STATUSES and runs:
                found.append(f"not run: {sent}")
            if sent.status == 0 and self._only_planned(sent):
                found.append(f"planned stop: {sent}")
        return found

    def _only_planned(self, sent: Sent) -> bool:
        """Return whether no unplanned failure was close to a request."""
        from_s = sent.began_s - _PLANNED_QUIET_S
        return not any(
            interval.from_s < sent.ended_s and interval.to_s > from_s
            for interval in self.fault_intervals
            if not interval.planned
        )


def _is_own(response: http.Response, request_id: str) -> bool:
    headers = {name.lower(): value for name, value in response.headers}
    if response.status != _OK:
        return True
    return headers.get("x-request-id") == request_id and bool(
        headers.get("x-response-signature")
    )


def main() -> int:
    """Run all seeds; return the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=15.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--runs", type=int, default=1)
    parser.add_argument("--nodes", type=int, default=6)
    options = parser.parse_args()
    failed = 0
    for seed in range(options.seed, options.seed + options.runs):
        directory = pathlib.Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
        soak = Soak(directory, seed, options.nodes)
        violations = soak.run(options.seconds)
        answered = sum(item.status == _OK for item in soak.sent)
        print(
            f"seed={seed} sent={len(soak.sent)} answered={answered} "
            f"failures={len(soak.fault_intervals)} broken={len(violations)}",
            flush=True,
        )
        for line in violations[:10]:
            print(f"  {line}", flush=True)
        if violations:
            failed += 1
            print(f"  logs: {directory}", flush=True)
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
