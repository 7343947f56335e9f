"""Random failures over nodes on the platform, checked from outside.

Usage: python tests/platform_soak.py [--seconds N] [--seed N] [--runs N]
[--nodes N]. The seed fixes which failures come and when; several come in
series and overlap. What is checked is what callers and targets saw. Exits
with 1 if a promise was broken, and keeps the logs then.
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
_CALLERS = 8
_FAULT_SERIES = 2
_LONGEST_FAULT_S = 2.5
_CALLER_PAUSE_S = 0.01
_START_S = 20.0
_RECOVERY_S = 15.0
# A request that a stopping node has read gets its answer.
_PLANNED_QUIET_S = 3.0
_DRAIN_S = 2.0
_NOT_RUN = frozenset({408, 421, 429, 503})
_OK = 200


@dataclasses.dataclass(frozen=True, kw_only=True)
class Sent:
    """One request of a caller and what came of it.

    Attributes:
        status: Status of the answer; 0 if the connection broke off, -1
            if nothing was sent.
    """

    request_id: str
    node: str
    booking: bool
    began_s: float
    ended_s: float
    status: int
    own: bool


@dataclasses.dataclass(frozen=True, kw_only=True)
class Span:
    """A failure or a planned stop at one node; all nodes if empty."""

    kind: str
    node: str
    planned: bool
    from_s: float
    to_s: float


class Soak:
    """One seeded run."""

    def __init__(self, directory: pathlib.Path, seed: int, nodes: int) -> None:
        self.rng = random.Random(seed)
        self.mesh = platform_mesh.PlatformMesh(directory)
        self.sent: list[Sent] = []
        self.spans: list[Span] = []
        self.late_ids_by_node: dict[str, list[str]] = {}
        self._version = 3
        self._routes = {
            "read": platform_mesh.route("kvoty"),
            "weigh": platform_mesh.route("vazeni", prefix="/w/"),
            "book": platform_mesh.route(
                "kvoty", prefix="/book/", kind="non_idempotent"
            ),
        }
        self._links_by_node: dict[str, fault_proxy.FaultProxy] = {}
        self._busy: set[str] = set()
        self._lock = threading.Lock()
        self._stopped = threading.Event()
        for number in range(nodes):
            self._add(f"n{number}", _SERVICES[number % len(_SERVICES)])

    def run(self, seconds: float) -> list[str]:
        """Run for a while; return the promises that were broken."""
        try:
            self._start()
            faults = [
                threading.Thread(
                    target=self._break, args=(random.Random(draw),)
                )
                for draw in self.rng.sample(range(10**6), _FAULT_SERIES)
            ]
            callers = [
                threading.Thread(target=self._call, args=(number,))
                for number in range(_CALLERS)
            ]
            for thread in (*faults, *callers):
                thread.start()
            self._stopped.wait(seconds)
            self._stopped.set()
            for thread in (*faults, *callers):
                thread.join()
            return [*self._recover(), *self.violations()]
        finally:
            for link in self._links_by_node.values():
                link.stop()
            self.mesh.stop()

    def _add(self, name: str, service: str) -> None:
        listen = f"127.0.0.1:{ports.take()}"
        link = fault_proxy.FaultProxy(listen, self.mesh.server.address)
        self._links_by_node[name] = link
        self.mesh.add(name, service, store=listen)

    def _start(self) -> None:
        for node in self.mesh.nodes_by_name.values():
            platform_mesh.wait_until(
                lambda node=node: node.lines("node-started"), _START_S
            )
        self._publish()
        platform_mesh.wait_until(
            lambda: all(self._serves(name) for name in self._names()),
            _START_S,
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
        """Use one connection until its node is gone, then another."""
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

    def _break(self, rng: random.Random) -> None:
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
            length_s = rng.uniform(0.1, _LONGEST_FAULT_S)
            pause_s = rng.uniform(0.0, 1.0)
            with self._lock:
                free = name not in self._busy
                self._busy.add(name)
            if free:
                began_s = time.monotonic()
                kind(name, length_s)
                self._note(kind.__name__.strip("_"), name, began_s)
                self._busy.discard(name)
            self._stopped.wait(pause_s)

    def _note(self, kind: str, name: str, began_s: float) -> None:
        self.spans.append(
            Span(
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
        link = self._links_by_node[name]
        link.silence_open()
        link.set(refuse=True)
        self._stopped.wait(length_s)
        link.set()

    def _fail_store(self, name: str, length_s: float) -> None:
        out = length_s > _LONGEST_FAULT_S / 2
        self.mesh.store.faults = store.Faults(out=out, lose_answers=not out)
        self._stopped.wait(length_s)
        self.mesh.store.faults = store.Faults()

    def _fail_target(self, name: str, length_s: float) -> None:
        self._behave(name, length_s, reset=True)

    def _slow_target(self, name: str, length_s: float) -> None:
        self._behave(name, length_s, delay_s=0.3)

    def _behave(self, name: str, length_s: float, **changes: object) -> None:
        target = self.mesh.endpoints_by_node[name]
        usual = target.behaviour
        target.behaviour = dataclasses.replace(usual, **changes)
        self._stopped.wait(length_s)
        target.behaviour = usual

    def _drain_target(self, name: str, length_s: float) -> None:
        target = self.mesh.endpoints_by_node[name]
        if not target.drain():
            target.state = "ready"
            return
        acknowledged_s = time.monotonic()
        time.sleep(_DRAIN_S + length_s)
        late = [
            seen.request_id
            for seen in list(target.executed)
            if seen.started_s > acknowledged_s + _DRAIN_S
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

    # Promises.

    def _recover(self) -> list[str]:
        """Everything serves again once nothing fails any more."""
        waiting = set(self._names())
        end_s = time.monotonic() + _RECOVERY_S
        while waiting and time.monotonic() < end_s:
            waiting = {name for name in waiting if not self._serves(name)}
            time.sleep(0.1)
        return [f"recovery: {name} does not serve" for name in sorted(waiting)]

    def violations(self) -> list[str]:
        """Compare what callers were told with what targets ran."""
        runs_by_id: dict[str, int] = {}
        for target in self.mesh.endpoints_by_node.values():
            for seen in target.executed:
                runs = runs_by_id.get(seen.request_id, 0)
                runs_by_id[seen.request_id] = runs + 1
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
            if sent.booking and sent.status in _NOT_RUN and runs:
                found.append(f"not run: {sent}")
            if sent.status == 0 and self._only_planned(sent):
                found.append(f"planned stop: {sent}")
        return found

    def _only_planned(self, sent: Sent) -> bool:
        """Tell whether only planned work was near a request in time."""
        from_s = sent.began_s - _PLANNED_QUIET_S
        return not any(
            span.from_s < sent.ended_s and span.to_s > from_s
            for span in self.spans
            if not span.planned
        )


def _is_own(response: http.Response, request_id: str) -> bool:
    headers = {name.lower(): value for name, value in response.headers}
    if response.status != _OK:
        return True
    return headers.get("x-request-id") == request_id and bool(
        headers.get("x-response-signature")
    )


def main() -> int:
    """Run seed after seed; return the exit code."""
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
        broken = soak.run(options.seconds)
        answered = sum(item.status == _OK for item in soak.sent)
        print(
            f"seed={seed} sent={len(soak.sent)} answered={answered} "
            f"failures={len(soak.spans)} broken={len(broken)}",
            flush=True,
        )
        for line in broken[:10]:
            print(f"  {line}", flush=True)
        if broken:
            failed += 1
            print(f"  logs: {directory}", flush=True)
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
