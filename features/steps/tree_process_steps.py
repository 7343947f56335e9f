"""Steps for the distribution tree of real processes."""

import asyncio
import signal
import socket

import behave
import mesh
import ports

from arbutusstall import settings
from arbutusstall._proxy import frames
from arbutusstall._wire import messages

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


@behave.given("a connection to a peer that does not read")
def unread_peer(context):
    """Listen without reading; the kernel accepts the connection."""
    context.listener = socket.create_server(("127.0.0.1", ports.take()))
    context.add_cleanup(context.listener.close)


class _Owner:
    """Gets no messages."""

    def on_message(self, connection, message):
        """Ignore a message."""

    def on_lost(self, connection, reason):
        """Ignore the end."""


async def _send_without_end(context):
    host, port = context.listener.getsockname()
    connection = await frames.connect(
        f"{host}:{port}", _Owner(), settings.ReadSettings(), _TIMEOUT_S
    )
    part = messages.CallBody(call_id="c", data=b"x" * 10_000)
    for _ in range(10_000):
        if not connection.send(part):
            context.is_cut = True
            return
        context.held = max(context.held, connection.unsent_bytes)


@behave.when("messages are sent without end")
def send_without_end(context):
    """Send messages until one is refused, a bounded number of times."""
    context.held = 0
    context.is_cut = False
    asyncio.run(_send_without_end(context))


@behave.then("it is cut before it holds {limit:d} megabytes")
def connection_is_bounded(context, limit):
    """Check how many bytes were held for the peer."""
    assert context.is_cut
    assert 0 < context.held < limit * 1_000_000, context.held


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
