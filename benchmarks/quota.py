"""Compares ways to hold the limit of a tenant over all nodes.

Prints the usable part of the limit and the busiest window as a part of
the bound, for the chosen design (`tests/quota_model.py`) and, as fluids
without tokens or delays of messages, for three others.
"""

import pathlib
import sys

sys.path[:0] = [
    str(pathlib.Path(__file__).parents[1] / name) for name in ("src", "tests")
]

import quota_model  # noqa: E402

_NODES = 70
_ZONES = 5
_RATE = 290.0
_STEP_S = 0.1
_RUN_S = 20.0
_EVENT_S = 10.0
_LEASE_S = 3.0
_FLOOR = 0.3
_SERVICE_TARGETS = 10
_BOUND = quota_model.allowed(
    quota_model.quota.Limit(rate_per_s=_RATE, burst=_RATE)
)
_CASES = ("one node", "all nodes", "moves", "partition")


def _demand(case, at_s):
    """Return the demand of each node; their sum is twice the limit."""
    if case == "one node":
        users = [0]
    elif case == "moves":
        zone = 0 if at_s < _EVENT_S else 1
        users = [node for node in range(_NODES) if node % _ZONES == zone]
    else:
        users = list(range(_NODES))
    part = 2 * _RATE / len(users)
    return [part if node in users else 0.0 for node in range(_NODES)]


def _sides(case, at_s):
    """Return the groups of nodes that reach each other."""
    if case != "partition" or at_s < _EVENT_S:
        return [list(range(_NODES))]
    small = [node for node in range(_NODES) if node % _ZONES < 2]
    return [small, [node for node in range(_NODES) if node not in small]]


def by_recent_use(case):
    """Yield the rate used: shares by the use of the last second."""
    shares = [1 / _NODES] * _NODES
    for step in range(int(_RUN_S / _STEP_S)):
        at_s = step * _STEP_S
        if step % 10 == 0:
            before = _demand(case, at_s - 1)
            for side in _sides(case, at_s):
                total = sum(before[node] for node in side) or 1.0
                for node in side:
                    by_use = (1 - _FLOOR) * before[node] / total
                    shares[node] = _FLOOR / _NODES + by_use
        demand = _demand(case, at_s)
        yield sum(map(min, demand, (share * _RATE for share in shares)))


def by_leases(case):
    """Yield the rate used: leases by demand, from one coordinator.

    The coordinator is in the smaller part of the partition.
    """
    leases = [(0.0, 0.0)] * _NODES
    for step in range(int(_RUN_S / _STEP_S)):
        at_s = step * _STEP_S
        demand = _demand(case, at_s)
        leases = [item if item[1] > at_s else (0.0, 0.0) for item in leases]
        if step % 10 == 0:
            side = _sides(case, at_s)[0]
            total = sum(demand[node] for node in side) or 1.0
            for node in side:
                free = _RATE - sum(item[0] for item in leases)
                wanted = _RATE * demand[node] / total
                granted = min(wanted, free + leases[node][0])
                if granted > 0:
                    leases[node] = (granted, at_s + _LEASE_S)
        yield sum(map(min, demand, (item[0] for item in leases)))


def beside_target(case):
    """Yield the rate used: each target's node holds 1/N of the limit.

    The tenant's requests go to one service of ten targets.
    """
    for step in range(int(_RUN_S / _STEP_S)):
        demand = sum(_demand(case, step * _STEP_S))
        yield min(demand, _RATE * _SERVICE_TARGETS / _NODES)


def _measure(rates):
    rates = list(rates)
    steps = int(quota_model.WINDOW_S / _STEP_S)
    windows = [
        sum(rates[begin : begin + steps]) * _STEP_S
        for begin in range(len(rates) - steps)
    ]
    begin = int(_EVENT_S / _STEP_S)
    after = sum(rates[begin : begin + steps]) / steps
    later = sum(rates[begin + steps :]) / (len(rates) - begin - steps)
    most = (max(windows) + _RATE) / _BOUND
    return after / _RATE, later / _RATE, most


def chosen(case, count=_NODES, tenants=77):
    """Return the same figures for the chosen design."""
    limits = quota_model.make_limits(tenants)
    tenant = next(iter(limits))
    model = quota_model.QuotaModel(count, limits)
    model.run(5, [])
    nodes = model.nodes
    zones = [[node for node in nodes if node.zone == z] for z in (0, 1)]
    first = {"one node": nodes[:1], "moves": zones[0]}.get(case, nodes)
    then = {"one node": nodes[:1], "moves": zones[1]}.get(case, nodes)
    model.run(5, [(tenant, 2 * _RATE, first)])
    at_s = model.now_s
    if case == "partition":
        model.allowed = lambda one, other: (one.zone < 2) == (other.zone < 2)
    model.run(10, [(tenant, 2 * _RATE, then)])
    most = model.most_in_window(tenant) / quota_model.allowed(limits[tenant])
    used = model.used(tenant, at_s, at_s + 5)
    return used, model.used(tenant, at_s + 5, at_s + 10), most


def load(count, tenants, seconds=4):
    """Return messages and bytes a second of a node, and of the busiest."""
    limits = quota_model.make_limits(tenants)
    model = quota_model.QuotaModel(count, limits)
    model.run(5, [])
    figures = []
    for part in (0.0, 1 / 1.6):
        for node in model.nodes:
            node.number = node.bytes = 0
        loads = [
            (tenant, part * limit.rate_per_s, model.nodes)
            for tenant, limit in limits.items()
        ]
        model.run(seconds, loads if part else [])
        for name in ("number", "bytes"):
            values = [getattr(node, name) / seconds for node in model.nodes]
            figures += [sum(values) / count, max(values)]
    waits = sorted(model.waits_s)
    return (*figures, 1_000 * waits[len(waits) // 2])


def _row(figures):
    return " ".join(f"{value:.2f}" for value in figures)


def main():
    """Print the tables."""
    print("design, case: used in 5 s after the event, later; window/bound")
    ways = {
        "recent use": by_recent_use,
        "leases": by_leases,
        "beside target": beside_target,
    }
    for case in _CASES:
        for name, way in ways.items():
            print(f"{name}, {case}: {_row(_measure(way(case)))}")
        for count, tenants in ((70, 77), (300, 77), (1000, 77)):
            row = _row(chosen(case, count, tenants))
            print(f"chosen with {count} nodes, {case}: {row}", flush=True)
    print("nodes, tenants: idle messages/s mean max, bytes/s mean max; normal")
    print("load: the same; median wait in ms")
    for count, tenants in ((70, 77), (300, 77), (300, 1000), (1000, 1000)):
        row = " ".join(f"{value:.1f}" for value in load(count, tenants))
        print(f"{count} {tenants}: {row}", flush=True)


if __name__ == "__main__":
    main()
