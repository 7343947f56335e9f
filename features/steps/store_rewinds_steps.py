"""Steps for the agreement in a store that comes back from older copies."""

import behave
import rewinds

from arbutusstall._log import records
from arbutusstall._tables import agreed

_SEEDS = (1, 2, 3)


@behave.given("{count:d} nodes with a running rollout")
def running(context, count):
    """Start meshes of several seeds and a rollout in each."""
    context.meshes = [rewinds.Mesh(count, seed * 100) for seed in _SEEDS]
    for mesh in context.meshes:
        mesh.run(15.0)
        mesh.order(7)
        mesh.run(20.0)
        assert mesh.leader() is not None
        assert mesh.leader().rollout.step >= 5


@behave.when("the store loses {seconds:d} s")
def lose(context, seconds):
    """Rewind once."""
    for mesh in context.meshes:
        mesh.rewind(seconds)


@behave.when("the store loses 1 s and then 2 s")
def lose_twice(context):
    """Rewind again before the first new era has settled."""
    for mesh in context.meshes:
        mesh.rewind(1)
        mesh.run(0.7)
        mesh.rewind(2)


@behave.when("the leader ends and the store loses 1 s")
def lose_leader(context):
    """Rewind while the others wait for the lease to expire."""
    for mesh in context.meshes:
        gone = mesh.leader()
        mesh.nodes = {
            name: node for name, node in mesh.nodes.items() if node != gone
        }
        mesh.run(1.0)
        mesh.rewind(1)


@behave.when("a step is being stored as the store loses 2 s")
def lose_in_step(context):
    """Rewind at the tick in which a step was sent."""
    for mesh in context.meshes:
        sent = len(mesh._sending)
        while len(mesh._sending) <= sent:
            sent = len(mesh._sending)
            mesh.run(0.1)
        mesh.rewind(2)


@behave.when("the store loses 5 s, seen late by two nodes")
def lose_unseen(context):
    """Cut two nodes from the store for two minutes."""
    for mesh in context.meshes:
        late = list(mesh.nodes.values())[:2]
        for node in late:
            node.cut = True
        mesh.rewind(5)
        mesh.run(120.0)
        for node in late:
            node.cut = False


@behave.when("the store loses 3 s before a root has read it")
def lose_unread(context):
    """One node has not read the newest steps and resets the log first."""
    for mesh in context.meshes:
        slow, *others = mesh.nodes.values()
        slow.cut = True
        mesh.run(2.5)
        for node in others:
            node.cut = True
        mesh.rewind(3)
        slow.cut = False
        mesh.run(1.0)
        for node in others:
            node.cut = False


@behave.when("the rollout is {ended} and the store loses {seconds:d} s")
def lose_verdict(context, ended, seconds):
    """End the rollout, and lose the verdict once all have read it."""
    for mesh in context.meshes:
        mesh.finish(done=ended == "done")
        mesh.run(0.8)
        mesh.rewind(seconds)


@behave.when("all nodes are replaced and the store loses 3 s")
def replace_all(context):
    """Start others that know nothing but the copy."""
    for mesh in context.meshes:
        mesh.rewind(3)
        count = len(mesh.nodes)
        mesh.nodes.clear()
        for index in range(count):
            mesh.add(f"kvoty-{index + 10}")


@behave.when("the store loses 1 s and all records expire half a minute later")
def lose_and_expire(context):
    """Cut all nodes from the store until the records have expired."""
    for mesh in context.meshes:
        mesh.rewind(1)
        mesh.run(30.0)
        for node in mesh.nodes.values():
            node.cut = True
        mesh.run(20.0)
        mesh._store(b"{")
        mesh.first_kept = len(mesh.entries)
        for node in mesh.nodes.values():
            node.cut = False
        mesh.run(1.0)


@behave.then("one leads within {seconds:d} seconds")
def leads(context, seconds):
    """Check that the nodes do not wait for a checkpoint."""
    for mesh in context.meshes:
        assert mesh.leader() is None
        mesh.run(seconds)
        assert mesh.leader() is not None


@behave.then("all nodes agree, one leads, and the rollout has gone on")
def gone_on(context):
    """Compare the nodes after half a minute; each tick was checked."""
    for mesh in context.meshes:
        mesh.run(1.0)
        before = max(node.position for node in mesh.nodes.values())
        mesh.run(30.0)
        leader = mesh.leader()
        assert leader is not None, "nobody leads"
        _check_agreed(mesh)
        assert leader.rollout.state is agreed.RolloutState.RUNNING
        assert (False, leader.rollout.step) > before, (before, leader.rollout)


@behave.then("all nodes still hold that it is {ended}")
def still_ended(context, ended):
    """Check the outcome although the operator orders the same again."""
    for mesh in context.meshes:
        mesh.run(30.0)
        assert mesh.leader() is not None
        _check_agreed(mesh)
        for node in mesh.nodes.values():
            state = node.rollout.state.value.replace("-", " ")
            assert state == ended, node.rollout
            folded = node.core.tables.agreed.snapshot.rollouts_by_id
            assert node.rollout.rollout_id in folded, "lost from the log"


@behave.then("a late decision of the earlier era changes nothing")
def late_decision(context):
    """Append a decision under the current lease, but of era 1."""
    for mesh in context.meshes:
        mesh.run(30.0)
        leader = mesh.leader()
        rollout = leader.rollout
        late = records.Verdict(
            record_id="late",
            lease=leader.core.tables.agreed.lease.offset,
            rollout_id=rollout.rollout_id,
            done=False,
            reason="late",
        )
        mesh._store(records.encode(late, 1))
        mesh.run(5.0)
        _check_agreed(mesh)
        assert mesh.leader().rollout.state is agreed.RolloutState.RUNNING


def _check_agreed(mesh):
    states = [node.core.tables.agreed for node in mesh.nodes.values()]
    assert all(state == states[0] for state in states), "states differ"
    assert all(state.era_number == mesh.era for state in states)
    in_force = [node.core.tables.snapshot for node in mesh.nodes.values()]
    assert all(item == in_force[0] for item in in_force), "not the same"
