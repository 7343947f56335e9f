"""A request that crashes endpoints, while machines restart in turn."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "rig-3"))

import rig  # noqa: E402

FRONTS = ("front-1", "front-2")
BACKS = ("back-1", "back-2", "back-3", "back-4")
POISON = "/lepu/poison/7"
STABLE_S = 3.0
POISON_GAP_S = 0.5
ROLLS = 2
ALLOWED = 3


async def case(mesh: rig.Rig) -> bool:
    """Return whether the poison stays away from the endpoints."""
    for name in FRONTS:
        await mesh.add(name, "front")
    for name in BACKS:
        await mesh.add(name, "back")
    routes = {
        "work": rig.route("back", "/lepu/"),
        "home": rig.route("front", "/home/"),
    }
    await mesh.store.put("config", rig.configuration(10, routes))
    for node in mesh.nodes.values():
        await node.ready()
    await asyncio.sleep(5.0)
    background = asyncio.create_task(work(mesh))
    sender = asyncio.create_task(poison(mesh))
    await asyncio.sleep(6.0)
    for _ in range(ROLLS):
        for name in BACKS:
            if mesh.trouble:
                await mesh.nodes[name].restart()
            await asyncio.sleep(2.0)
    await asyncio.sleep(6.0)
    sender.cancel()
    background.cancel()
    return judge(mesh)


async def work(mesh: rig.Rig) -> None:
    """Send ordinary requests."""
    number = 0
    while True:
        number += 1
        name = FRONTS[number % 2]
        await mesh.request(name, f"/lepu/item/{number}")
        await asyncio.sleep(0.2)


async def poison(mesh: rig.Rig) -> None:
    """Send the same request again and again."""
    number = 0
    while True:
        number += 1
        await mesh.request(FRONTS[number % 2], POISON)
        await asyncio.sleep(POISON_GAP_S)


def judge(mesh: rig.Rig) -> bool:
    """Count the retries that arrive after the third crash."""
    crashes = sorted(
        at_s for item in mesh.endpoints.values() for at_s in item.crashes
    )
    mesh.record.line(f"crashes at {[round(at_s, 2) for at_s in crashes]}")
    if len(crashes) < 3:
        return True
    from_s = crashes[2] + STABLE_S
    late = {
        item.request_id
        for item in mesh.arrivals
        if item.path == POISON and item.at_s > from_s
    }
    mesh.record.line(
        f"retries that reached an endpoint after {from_s:.2f}: {len(late)},"
        f" allowed {ALLOWED}"
    )
    return len(late) <= ALLOWED


if __name__ == "__main__":
    rig.run(FOLDER, case)
