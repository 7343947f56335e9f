"""Steps for the distribution tree of real processes."""

import signal

import behave
import mesh

from arbutusstall._shell import relay

_TIMEOUT_S = 30.0


@behave.given("a tree of {count:d} processes with {roots:d} root positions")
def start(context, count, roots):
    """Start nodes without targets and wait until all are attached."""
    context.mesh = mesh.Mesh(context.directory, {"relay": {"roots": roots}})
    context.mesh.start_log()
    for index in range(count):
        context.mesh.start_node(
            mesh.NodeSpec(
                name=f"node-{index}",
                data_centre="lipno",
                service="kvoty",
                version="v1",
            ),
            target=False,
        )
    context.mesh.wait_ready()
    context.number = 0
    assert context.mesh.wait_until(
        lambda: (
            sum(status["root"] for status in _statuses(context)) == roots
            and all(
                status["root"] or status["parent"]
                for status in _statuses(context)
            )
        ),
        _TIMEOUT_S,
    )


@behave.when("a root process with children is told to stop")
def stop_root(context):
    """Send SIGTERM to the root with the most children."""
    context.name = _root(context)
    context.before = _children(context, context.name)
    context.mesh.signal(context.name, signal.SIGTERM)


@behave.when("a root process is frozen")
def freeze_root(context):
    """Send SIGSTOP to the root with the most children."""
    context.name = _root(context)
    context.before = _children(context, context.name)
    context.mesh.signal(context.name, signal.SIGSTOP)
    context.frozen = context.mesh.nodes_by_name.pop(context.name)


@behave.then(
    "it exits within {limit:d} seconds and its children have other parents"
)
def ended(context, limit):
    """Wait for the exit and check that no child lost its parent."""
    process = context.mesh.processes_by_name.pop(context.name)
    assert process.wait(timeout=limit) == 0
    context.mesh.nodes_by_name.pop(context.name)
    for child in context.before:
        status = context.mesh.status(child)
        parent = status["parent"]
        assert parent != context.name, status
        assert parent or status["root"], status
        # A child that moves before the link ends never logs parent-lost.
        lines = (context.mesh.directory / f"{child}.log").read_text()
        assert "parent-lost" not in lines, child


@behave.then("its children have another parent within {limit:d} seconds")
def moved(context, limit):
    """Wait until no node has the frozen root as its parent."""
    assert context.mesh.wait_until(
        lambda: all(
            status["root"] or status["parent"] not in ("", context.name)
            for status in _statuses(context)
        ),
        limit,
    )


@behave.then("a release reaches all tree processes within {limit:d} seconds")
def release_reaches_all(context, limit):
    """Publish a service and wait until all nodes have the version."""
    context.number += 1
    name = f"release-{context.number}"
    done = context.mesh.publish(
        {"name": name, "add": {"services": [{"name": name}]}}
    )
    assert done.returncode == 0, done.stdout + done.stderr
    version = int(done.stdout.rsplit("offset ", 1)[1].split()[0]) + 1
    assert context.mesh.wait_until(
        lambda: all(
            status["version"] >= version for status in _statuses(context)
        ),
        limit,
    )


@behave.given("an outbox that nobody drains")
def outbox(context):
    """Create the outbox of a stream that no thread reads."""
    context.outbox = relay.Outbox()


@behave.when("messages are queued without end")
def fill_outbox(context):
    """Queue messages until one is refused, a bounded number of times."""
    data = b"x" * 10_000
    context.queued = 0
    for _ in range(10_000):
        if not context.outbox.put(data):
            break
        context.queued += len(data)


@behave.then("the outbox refuses them before it holds {limit:d} megabytes")
def outbox_is_bounded(context, limit):
    """Check how many bytes were accepted."""
    assert 0 < context.queued < limit * 1_000_000, context.queued


def _statuses(context):
    return [context.mesh.status(name) for name in context.mesh.nodes_by_name]


def _children(context, name):
    return [
        child
        for child in context.mesh.nodes_by_name
        if context.mesh.status(child)["parent"] == name
    ]


def _root(context):
    by_name = {
        name: context.mesh.status(name) for name in context.mesh.nodes_by_name
    }
    roots = [name for name, status in by_name.items() if status["root"]]
    return max(roots, key=lambda name: by_name[name]["children"])
