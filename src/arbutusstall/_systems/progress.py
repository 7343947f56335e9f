"""Aggregates up the tree how many nodes have a version in force."""

import dataclasses

from arbutusstall import _clock
from arbutusstall import _effects
from arbutusstall._tables import links
from arbutusstall._tables import node
from arbutusstall._tables import versions
from arbutusstall._wire import messages

_REPORT_DELAY_S = 0.2
_MAX_LACKING_NAMES = 8


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CentreProgress:
    """Progress of one data centre.

    Attributes:
        data_centre: Name of the data centre.
        known: Number of nodes that a root has reported or the member
            table lists.
        in_force: How many of these are reported to have the version in
            force.
    """

    data_centre: str
    known: int
    in_force: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class MeshProgress:
    """Progress of the whole mesh as known to one root.

    Attributes:
        version: Configuration version in force at this root.
        known: Number of known nodes.
        in_force: How many of these have ``version`` in force.
        lacking: Names of some of the nodes that lack ``version``.
        centres: Progress by data centre.
    """

    version: versions.Version
    known: int
    in_force: int
    lacking: tuple[str, ...]
    centres: tuple[CentreProgress, ...]


def on_in_force(
    tables: node.Tables,
    peer: str,
    message: messages.InForce,
    now: _clock.Instant,
) -> list[_effects.Effect]:
    """Store the progress of a peer's subtree."""
    link = tables.links_by_peer.get(peer)
    if link is None:
        return []
    tables.links_by_peer[peer] = dataclasses.replace(
        link,
        version=message.version,
        known=message.known,
        in_force=message.in_force,
        minimum=message.minimum,
        lacking=message.lacking,
    )
    if link.role is links.LinkRole.CHILD:
        schedule_report(tables, now)
    return []


def schedule_report(tables: node.Tables, now: _clock.Instant) -> None:
    """Schedule a report after a short delay that batches changes."""
    tables.next_progress_report_s = min(
        tables.next_progress_report_s, now.mono_s + _REPORT_DELAY_S
    )


def run(tables: node.Tables, now: _clock.Instant) -> list[_effects.Effect]:
    """Send the summary to the parent, or at a root to the other roots."""
    if now.mono_s < tables.next_progress_report_s:
        return []
    tables.next_progress_report_s = (
        now.mono_s + tables.settings.relay.refresh_s
    )
    report = summary(tables)
    return [
        _effects.Send(peer=link.peer, message=report)
        for link in tables.links_by_peer.values()
        if link.role is not links.LinkRole.CHILD
    ]


def summary(tables: node.Tables) -> messages.InForce:
    """Return the progress of this node and its subtree."""
    version = tables.snapshot.version
    known, in_force, minimum = 1, 1, version
    lacking: list[str] = []
    for link in tables.links_by_peer.values():
        if link.role is not links.LinkRole.CHILD:
            continue
        known += link.known
        in_force += _count_in_force(link, version)
        minimum = versions.oldest_parts(minimum, link.minimum)
        lacking += _lacking_names(link, version)
    return messages.InForce(
        version=version,
        known=known,
        in_force=in_force,
        minimum=minimum,
        lacking=tuple(lacking[:_MAX_LACKING_NAMES]),
    )


def mesh(tables: node.Tables) -> MeshProgress:
    """Return the progress of all roots that this root is linked to.

    Where a data centre has no root, or one that is not linked, at least
    the live rows of the member table count as known.
    """
    own = summary(tables)
    known = {tables.member.data_centre: own.known}
    in_force = {tables.member.data_centre: own.in_force}
    lacking = list(own.lacking)
    for link in list(tables.links_by_peer.values()):
        if link.role is not links.LinkRole.ROOT:
            continue
        centre = link.data_centre
        known[centre] = known.get(centre, 0) + link.known
        linked_in_force = _count_in_force(link, own.version)
        in_force[centre] = in_force.get(centre, 0) + linked_in_force
        lacking += _lacking_names(link, own.version)
    for member in list(tables.members_by_node.values()):
        if member.live:
            known.setdefault(member.data_centre, 0)
    centres = tuple(
        CentreProgress(
            data_centre=centre,
            known=count
            if _all_roots_linked(tables, centre)
            else max(count, _count_live(tables, centre)),
            in_force=in_force.get(centre, 0),
        )
        for centre, count in sorted(known.items())
    )
    return MeshProgress(
        version=own.version,
        known=sum(centre.known for centre in centres),
        in_force=sum(centre.in_force for centre in centres),
        lacking=tuple(lacking[:_MAX_LACKING_NAMES]),
        centres=centres,
    )


def _all_roots_linked(tables: node.Tables, centre: str) -> bool:
    roots = [
        root
        for root in tables.agreed.roots_by_key.values()
        if root.data_centre == centre
    ]
    return bool(roots) and all(
        root.node in tables.links_by_peer or root.node == tables.member.node
        for root in roots
    )


def _count_live(tables: node.Tables, centre: str) -> int:
    return sum(
        member.live and member.data_centre == centre
        for member in list(tables.members_by_node.values())
    )


def _count_in_force(link: links.Link, version: int) -> int:
    if not versions.has_newer_part(version, link.minimum):
        return link.known
    behind = versions.has_newer_part(version, link.version)
    return 0 if behind else link.in_force


def _lacking_names(link: links.Link, version: int) -> tuple[str, ...]:
    if not versions.has_newer_part(version, link.minimum):
        return ()
    if versions.has_newer_part(version, link.version):
        return (link.peer, *link.lacking)
    return link.lacking
