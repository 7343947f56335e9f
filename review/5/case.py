"""An acknowledged departure is forgotten, and its endpoint used again.

While the store is down, an endpoint says that it is gone and its node
acknowledges that. Then all nodes are killed and start again. When the
store is back, the node finds the endpoint in its roster as serving, and
sends it requests, as the endpoint still answers.
"""

import os
import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from rig import mesh as meshes  # noqa: E402

DRAIN_S = 2.0
STABLE_S = 3.0
LEFT_AFTER_S = 1.0
KILLED_AFTER_S = 3.0
DOWN_S = 6.0
MEASURED_S = 6.0


def ask_until(mesh, caller, until_s):
    """Send idempotent requests one after the other."""
    while time.monotonic() < until_s:
        mesh.request(caller, "GET", "/slots/1", 1500)
        time.sleep(0.05)


def play(mesh, trouble):
    """Return the exit code."""
    mesh.configure(
        7,
        {
            "r1": meshes.route(
                "verfuegbar", "idempotent", timeout_ms=1500, path="/slots/"
            )
        },
    )
    caller = mesh.add("s-zh-a-1", "zh-a", "kasse")
    leaving = mesh.add("s-zh-a-2", "zh-a", "verfuegbar")
    mesh.add("s-zh-b-3", "zh-b", "verfuegbar")
    if not meshes.wait_until(caller.is_ready, 20.0):
        return 2
    ask_until(mesh, caller, time.monotonic() + 8.0)
    instance = leaving.endpoint.instance
    if not any(
        event == "run" and fields["at"] == instance
        for _, event, _, fields in mesh.record.events
    ):
        return 2
    began_s = time.monotonic()
    if trouble:
        mesh.set_store_down(True)
    ask_until(mesh, caller, began_s + LEFT_AFTER_S)
    if not leaving.endpoint.leave():
        return 2
    mesh.record.write("acknowledged", instance, by=leaving.name)
    ask_until(mesh, caller, began_s + KILLED_AFTER_S)
    if trouble:
        for machine in mesh.machines.values():
            machine.kill()
        for machine in mesh.machines.values():
            machine.start()
    ask_until(mesh, caller, began_s + DOWN_S)
    if trouble:
        mesh.set_store_down(False)
    # From here on all machines have been in touch for long enough.
    ask_until(mesh, caller, began_s + DOWN_S + STABLE_S + 0.5)
    mesh.record.write("measured-from", instance)
    first = len(mesh.record.events)
    ask_until(mesh, caller, time.monotonic() + MEASURED_S)
    late = [
        subject
        for _, event, subject, fields in mesh.record.events[first:]
        if event == "run" and fields["at"] == instance
    ]
    served = sum(
        event == "answered" and fields["status"] == 200
        for _, event, _, fields in mesh.record.events[first:]
    )
    mesh.record.write(
        "verdict", instance, late=len(late), served=served, broken=bool(late)
    )
    return int(bool(late))


def main():
    """Return 1 if the rule was broken, 0 if it held, 2 if it can't run."""
    mesh = meshes.Mesh(HERE)
    try:
        return play(mesh, os.environ.get("TROUBLE", "1") != "0")
    finally:
        mesh.stop()


if __name__ == "__main__":
    sys.exit(main())
