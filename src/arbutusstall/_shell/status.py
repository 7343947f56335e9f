"""What the admin server tells of a node's state."""

from collections import abc
import dataclasses

from arbutusstall._systems import progress
from arbutusstall._tables import agreed
from arbutusstall._tables import links
from arbutusstall._tables import members
from arbutusstall._tables import node
from arbutusstall._wire import messages


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Status:
    """Answer of ``GET /v1/status``.

    Attributes:
        scope: ``"mesh"`` at a root: ``known`` and ``in_force`` count
            the whole mesh; ``"subtree"`` elsewhere: they count this
            node and the nodes below it.
        known: Nodes of the scope.
        in_force: Those that have ``version`` in force.
        lacking: Names of some that lack it.
        data_centres: The counts of the mesh by data centre.
        serving: Endpoints known here that take calls.
    """

    node: str
    data_centre: str
    version: int
    root: bool
    scope: str
    known: int
    in_force: int
    lacking: tuple[str, ...]
    data_centres: tuple[progress.CentreProgress, ...]
    serving: int
    parent: str
    children: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ConfigInForce:
    """Answer of ``GET /v1/config``: what calls are routed by now.

    Attributes:
        incarnation: Names the process, as in the member table.
        endpoints_by_service: Nodes whose targets take calls.
    """

    incarnation: int
    snapshot: agreed.Snapshot
    endpoints_by_service: abc.Mapping[str, tuple[str, ...]]
    blocked: tuple[str, ...]


def from_tables(tables: node.Tables) -> Status:
    """Return the status by the tables of a node."""
    report: messages.InForce | progress.MeshProgress
    report = progress.summary(tables)
    centres: tuple[progress.CentreProgress, ...] = ()
    if tables.is_root:
        report = progress.mesh(tables)
        centres = report.centres
    roles = [
        (link.role, link.peer) for link in list(tables.links_by_peer.values())
    ]
    parents = [peer for role, peer in roles if role is links.LinkRole.PARENT]
    return Status(
        node=tables.member.node,
        data_centre=tables.member.data_centre,
        version=report.version,
        root=tables.is_root,
        known=report.known,
        in_force=report.in_force,
        scope="mesh" if tables.is_root else "subtree",
        lacking=report.lacking,
        data_centres=centres,
        parent=parents[0] if parents else "",
        children=sum(role is links.LinkRole.CHILD for role, _ in roles),
        serving=sum(
            member.state is members.MemberState.SERVING
            for member in list(tables.members_by_node.values())
        ),
    )
