"""Steps for moves of traffic between versions."""

import behave
import mesh


@behave.given("a node beside version {version} of {service} in {centre}")
def start_version(context, version, service, centre):
    """Start a node and a target, and wait until all nodes know it."""
    context.mesh.start_node(
        mesh.NodeSpec(
            name=f"{service}-{version}",
            data_centre=centre,
            service=service,
            version=version,
        )
    )
    context.mesh.wait_ready()
    everyone = len(context.mesh.nodes_by_name)
    assert context.mesh.wait_until(
        lambda: all(
            context.mesh.status(name)["serving"] == everyone
            for name in context.mesh.nodes_by_name
        ),
        20.0,
    )
