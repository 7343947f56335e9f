"""Steps for requests that may run in some regions only."""

import random

import behave
import platform_mesh

from arbutusstall import _effects
from arbutusstall._systems import balancing
from arbutusstall._systems import regions
from arbutusstall._systems import routing
from arbutusstall._tables import members

_REGIONS = {"lipno": "north", "tabor": "south"}
_SERVICE = "kvoty"
_NOW_S = 100.0
_CALLS = 200


@behave.given("endpoints in lipno, tabor and zatec")
def endpoints_in_three(context):
    """Put a view with two endpoints in each data centre in force."""
    rows = tuple(
        members.Member(
            node=f"{name}-{number}",
            data_centre=name,
            incarnation=1,
            state=members.MemberState.SERVING,
            service=_SERVICE,
            version="v1",
            slots=8,
        )
        for name in ("lipno", "tabor", "zatec")
        for number in range(2)
    )
    context.view = _effects.View(members_by_service={_SERVICE: rows})
    context.balancer = balancing.Balancer("lipno", random.Random(2))
    context.balancer.update_endpoints(context.view, 0.0)
    for row in rows[:2]:
        # Busy endpoints nearby, so that calls go to other data centres too.
        for _ in range(16):
            context.balancer.record_sent(row.node)


def _names(text):
    return () if text == "any region" else tuple(text.split(", "))


@behave.when("calls of a route of {route} and a tenant of {tenant} are routed")
def route_calls(context, route, tenant):
    """Choose endpoints as calls do, and leave them as loaded as before."""
    view = regions.restrict(
        context.view, _SERVICE, _REGIONS, _names(route), _names(tenant)
    )
    context.reached = set()
    for _ in range(_CALLS):
        version = routing.choose_version(view, _SERVICE, random)
        if version is None:
            continue
        # All candidates count, also those that cost more.
        found = context.balancer.candidates(view, _SERVICE, version, _NOW_S)
        context.reached |= {row.data_centre for row in found}


@behave.then("they go to {result}")
def check_reached(context, result):
    """Compare the data centres that the last calls could reach."""
    found = ", ".join(sorted(context.reached)) or "nowhere"
    assert found == result, found


@behave.given(
    "the operator publishes a route for each region and for no region"
)
def publish_regions(context):
    """The settings files tell the regions of both zones."""
    mesh = context.platform
    limits = {"north": ["north"], "south": ["south"], "none": ["west"]}
    routes = {
        name: platform_mesh.route(
            _SERVICE, prefix=f"/{name}/", allowedRegions=limit
        )
        for name, limit in limits.items()
    }
    zones = '[zones]\nlipno = "north"\ntabor = "south"\n'
    for node in mesh.nodes_by_name.values():
        node.kill()
        region = _REGIONS[context.zones[node.name]]
        text = node.settings.read_text()
        node.settings.write_text(
            text.replace('region = "main"', f'region = "{region}"') + zones
        )
        node.start()
    mesh.store.put("config", platform_mesh.configuration(3, routes))
    for node in mesh.nodes_by_name.values():
        platform_mesh.wait_until(node.is_ready, 20.0)


@behave.then("a request of any node goes to the region of its route")
def goes_to_region(context):
    """Wait until both nodes know both targets, then send some."""
    mesh = context.platform
    for name in mesh.nodes_by_name:
        for target, zone in context.zones.items():
            path = f"/{_REGIONS[zone]}/1"
            platform_mesh.wait_until(
                lambda name=name, path=path: (
                    mesh.send(name, path).status == 200
                ),
                20.0,
            )
            for _ in range(20):
                body = mesh.send(name, path).body
                assert body == f"i-{target}\n".encode(), (name, path, body)


@behave.then("a request of the route for no region is refused as not run")
def refused_for_regions(context):
    """Check the status and the time of the next attempt."""
    for name in context.platform.nodes_by_name:
        response = context.platform.send(name, "/none/1")
        headers = {key.lower() for key, _ in response.headers}
        assert response.status == 503, response
        assert "retry-after" in headers, response
