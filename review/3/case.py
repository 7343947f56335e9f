"""A configuration whose version is a Unix time stops the nodes' control.

The operator publishes a version that is far above the last one, with a
route to a service that machines added soon afterwards run. The nodes put
the configuration in force, but can no longer encode a message that names
its version. Their control loops end, and the running nodes never learn of
the machines that are added.
"""

import os
import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from rig import mesh as meshes  # noqa: E402

FIRST_VERSION = 7
SMALL_STEP = 5
UNIX_TIME_S = 1_796_463_000
STEADY_S = 12.0
MEASURED_S = 8.0
MIN_REQUESTS = 20


def routes(**services_by_path):
    """Return idempotent routes to services, by the name of their path."""
    return {
        f"r-{path}": meshes.route(
            service, "idempotent", timeout_ms=1500, path=f"/{path}/"
        )
        for path, service in services_by_path.items()
    }


def count_served(mesh, callers, path, until_s):
    """Ask on one route until a time; return requests and served ones."""
    sent, served = 0, 0
    while time.monotonic() < until_s:
        for caller in callers:
            _, answer = mesh.request(caller, "GET", path, 1500)
            sent += 1
            served += answer.status == 200 and answer.whole
        time.sleep(0.1)
    return sent, served


def play(mesh, trouble):
    """Return the exit code."""
    mesh.configure(FIRST_VERSION, routes(first="einsatz"))
    callers = [
        mesh.add("s-zh-a-1", "zh-a", "kasse"),
        mesh.add("s-zh-b-2", "zh-b", "kasse"),
    ]
    mesh.add("s-zh-a-3", "zh-a", "einsatz")
    mesh.add("s-zh-b-4", "zh-b", "einsatz")
    if not meshes.wait_until(lambda: all(c.is_ready() for c in callers), 20):
        return 2
    time.sleep(8.0)
    version = UNIX_TIME_S if trouble else FIRST_VERSION + SMALL_STEP
    mesh.configure(version, routes(first="einsatz", later="verfuegbar"))
    time.sleep(3.0)
    mesh.add("s-zh-a-5", "zh-a", "verfuegbar")
    mesh.add("s-zh-b-6", "zh-b", "verfuegbar")
    time.sleep(STEADY_S)
    until_s = time.monotonic() + MEASURED_S
    first = count_served(mesh, callers, "/first/1", until_s)
    later = count_served(mesh, callers, "/later/1", until_s + MEASURED_S)
    if min(first[0], later[0]) < MIN_REQUESTS or not first[1]:
        return 2
    broken = later[1] / later[0] < first[1] / first[0] / 4
    mesh.record.write(
        "verdict",
        first=f"{first[1]}/{first[0]}",
        later=f"{later[1]}/{later[0]}",
        broken=broken,
    )
    return int(broken)


def main():
    """Return 1 if the rule was broken, 0 if it held, 2 if it can't run."""
    mesh = meshes.Mesh(HERE)
    try:
        return play(mesh, os.environ.get("TROUBLE", "1") != "0")
    finally:
        mesh.stop()


if __name__ == "__main__":
    sys.exit(main())
