"""Runs a small mesh like the co-op's, with two rollouts.

One moves traffic to a good version and completes; the other moves it to
a failing version and is rolled back.
"""

import datetime
import pathlib
import sys
import tempfile
import threading
import time

import mesh
from prometheus_client import parser

from arbutusstall import errors
from arbutusstall._shell import http
from arbutusstall._timeline import lines

_ROLLOUT_S = 6.0
_VERDICT_TIMEOUT_S = 30.0

SPECS = [
    mesh.NodeSpec(
        name=f"kvoty-{version}-{index}",
        data_centre=data_centre,
        service="kvoty",
        version=version,
    )
    for version in ("v1", "v2", "v3")
    for index, data_centre in enumerate(("lipno", "svet"))
]


def main() -> int:
    """Run the demonstration; return 0 if both verdicts are as expected."""
    with tempfile.TemporaryDirectory() as name:
        demo = mesh.Mesh(pathlib.Path(name), {"relay": {"roots": 1}})
        try:
            return _run(demo)
        finally:
            demo.stop()


def _run(demo: mesh.Mesh) -> int:
    demo.start_log()
    for spec in SPECS:
        demo.start_node(spec)
    demo.wait_ready()
    node_count = len(SPECS)
    if not demo.wait_until(lambda: _members(demo) == node_count, 20.0):
        print("the nodes did not find each other within 20 s")
        return 1
    print(f"{node_count} nodes, 2 data centres, 1 service")
    first = {
        "name": "first",
        "add": {
            "services": [{"name": "kvoty"}],
            "routes": [{"prefix": "/kvoty", "service": "kvoty"}],
        },
        "shares": [{"service": "kvoty", "percent_by_version": {"v1": 100}}],
    }
    control = ControlBytes(demo)
    published_s = time.time()
    print(demo.publish(first, "--wait").stdout.rstrip())
    _print_convergence(demo, published_s)
    stop = threading.Event()
    callers = threading.Thread(target=_call, args=(demo, stop))
    callers.start()
    try:
        done = _roll_out(demo, "to-v2", "v2", "done")
        demo.set_behaviour("kvoty-v3-0", fail=0.8)
        demo.set_behaviour("kvoty-v3-1", fail=0.8)
        rolled_back = _roll_out(demo, "to-v3", "v3", "rolled-back")
    finally:
        stop.set()
        callers.join()
    control.print()
    return 0 if done and rolled_back else 1


class ControlBytes:
    """Measures the rate of bytes that nodes send over relay links."""

    def __init__(self, demo: mesh.Mesh) -> None:
        self._demo = demo
        self._started_s = time.monotonic()
        self._initial_bytes = self._sent_bytes()

    def print(self) -> None:
        """Print the mean rate per node since the construction."""
        seconds = time.monotonic() - self._started_s
        nodes = len(self._demo.nodes_by_name)
        rate = (self._sent_bytes() - self._initial_bytes) / seconds / nodes
        print(f"control: {rate:.0f} bytes a second sent by each node")

    def _sent_bytes(self) -> float:
        total = 0.0
        for node in self._demo.nodes_by_name.values():
            url = f"http://{node.admin}/metrics"
            answer = http.send(http.Request(method="GET", url=url))
            for family in parser.text_string_to_metric_families(
                answer.body.decode()
            ):
                if family.name == "arbutusstall_relay_sent_bytes":
                    total += family.samples[0].value
        return total


def _print_convergence(demo: mesh.Mesh, published_s: float) -> None:
    """Print when the last node put the release in force."""
    last_s_by_node = {}
    for path in demo.log_paths():
        for run in lines.read_runs(path).values():
            for line in run:
                if line.event == "config-in-force":
                    last_s_by_node[line.node] = line.ts_s
    seconds = max(last_s_by_node.values()) - published_s
    print(
        f"converged: in force on {len(last_s_by_node)} nodes {seconds:.2f} s"
        " after the start of the publishing program"
    )


def _members(demo: mesh.Mesh) -> int:
    return min(
        int(str(demo.status(name)["serving"])) for name in demo.nodes_by_name
    )


def _roll_out(demo: mesh.Mesh, name: str, version: str, verdict: str) -> bool:
    by = datetime.datetime.now(datetime.UTC) + datetime.timedelta(
        seconds=_ROLLOUT_S
    )
    release = {
        "name": name,
        "shares": [
            {
                "service": "kvoty",
                "percent_by_version": {version: 100},
                "by": by.isoformat(),
            }
        ],
    }
    print(demo.publish(release).stdout.rstrip())
    expected = f"move {name}/kvoty: {verdict}"
    status = ("status", "--log", f"http://{demo.log}")
    found = demo.wait_until(
        lambda: expected in demo.note(*status).stdout, _VERDICT_TIMEOUT_S
    )
    for line in demo.note(*status).stdout.splitlines():
        if line.startswith(f"move {name}/"):
            print(line)
    return found


def _call(demo: mesh.Mesh, stop: threading.Event) -> None:
    addresses = [node.callers for node in demo.nodes_by_name.values()]
    index = 0
    while not stop.is_set():
        index += 1
        url = f"http://{addresses[index % len(addresses)]}/kvoty/{index}"
        try:
            http.send(http.Request(method="GET", url=url))
        except errors.ArbutusstallError as exc:
            print(exc)
        time.sleep(0.01)


if __name__ == "__main__":
    sys.exit(main())
