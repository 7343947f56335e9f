"""Steps for the path from a release to an answer."""

import behave
import mesh
from prometheus_client import parser

from arbutusstall._shell import http


@behave.given("a mesh of {count:d} nodes of service {service} in {centre}")
def start_mesh(context, count, service, centre):
    """Start the log, the nodes and their targets."""
    context.mesh = mesh.Mesh(context.directory, {"relay": {"roots": 1}})
    context.mesh.start_log()
    for index in range(count):
        context.mesh.start_node(
            mesh.NodeSpec(
                name=f"{service}-{index}",
                data_centre=centre,
                service=service,
                version="v1",
            )
        )
    context.mesh.wait_ready()
    assert context.mesh.wait_until(
        lambda: all(
            context.mesh.status(name)["serving"] == count
            for name in context.mesh.nodes_by_name
        ),
        20.0,
    )


@behave.when("a release routes {prefix} to version {version} of {service}")
def publish_route(context, prefix, version, service):
    """Publish a service, a route and its shares."""
    done = context.mesh.publish(
        {
            "name": "first",
            "add": {
                "services": [{"name": service}],
                "routes": [{"prefix": prefix, "service": service}],
            },
            "shares": [
                {"service": service, "percent_by_version": {version: 100}}
            ],
        }
    )
    assert done.returncode == 0, done.stdout + done.stderr


@behave.then("it is in force on all nodes within {limit:d} seconds")
def in_force(context, limit):
    """Wait until every node has a configuration."""
    assert context.mesh.wait_until(
        lambda: all(
            int(context.mesh.status(name)["version"]) > 0
            for name in context.mesh.nodes_by_name
        ),
        limit,
    )


@behave.then('a call to {path} through each node answers "{text}"')
def call_each(context, path, text):
    """Send one call through each node."""
    for running in context.mesh.nodes_by_name.values():
        response = http.send(
            http.Request(method="GET", url=f"http://{running.callers}{path}")
        )
        assert response.status == 200, response
        assert response.body.decode().startswith(text), response


@behave.then("the metrics of each node show its configuration and 1 call")
def metrics(context):
    """Read the metrics of every node; exactly one node is a root."""
    roots = 0.0
    for name, running in context.mesh.nodes_by_name.items():
        body = http.send(
            http.Request(method="GET", url=f"http://{running.admin}/metrics")
        ).body.decode()
        values_by_name = {
            sample.name: sample.value
            for family in parser.text_string_to_metric_families(body)
            for sample in family.samples
        }
        version = context.mesh.status(name)["version"]
        assert values_by_name["arbutusstall_config_version"] == version
        assert values_by_name["arbutusstall_calls_total"] == 1
        roots += values_by_name["arbutusstall_root"]
    assert roots == 1
