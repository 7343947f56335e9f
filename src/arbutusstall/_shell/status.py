"""State of a node as the admin server reports it."""

from collections import abc
import dataclasses

from arbutusstall._systems import progress
from arbutusstall._tables import agreed
from arbutusstall._tables import links
from arbutusstall._tables import members
from arbutusstall._tables import node
from arbutusstall._tables import versions
from arbutusstall._wire import messages


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Status:
    """Answer of ``GET /v1/status``.

    Attributes:
        node: Name of the node.
        data_centre: Data centre of the node.
        version: Configuration version in force at this node.
        root: Whether the node is a root relay.
        scope: ``"mesh"`` at a root, where ``known`` and ``in_force``
            count the nodes of the whole mesh; ``"subtree"`` elsewhere,
            where they count this node and the nodes below it.
        known: Number of known nodes in the scope.
        in_force: How many of these have ``version`` in force.
        lacking: Names of some of the nodes that lack ``version``.
        data_centres: Counts of the mesh by data centre; empty unless
            this node is a root.
        serving: Number of known endpoints that accept calls.
        parent: Node id or address of the parent; empty if there is none.
        children: Number of children.
    """

    node: str
    data_centre: str
    version: versions.Version
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
    """Answer of ``GET /v1/config``: the view that routes calls now.

    Attributes:
        incarnation: Identifies the process, as in the member table.
        snapshot: Configuration in force.
        endpoints_by_service: Names of the nodes whose target has
            announced itself.
        blocked: Versions that get no traffic, as ``"service/version"``.
    """

    incarnation: int
    snapshot: agreed.Snapshot
    endpoints_by_service: abc.Mapping[str, tuple[str, ...]]
    blocked: tuple[str, ...]


def from_tables(tables: node.Tables) -> Status:
    """Return the status of the node that owns ``tables``."""
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
