"""Reports live nodes up the tree; roots detect those that died.

Normally only the roots of a node's own data centre declare it dead. The
rows of a data centre that cannot be reached at all are kept for much
longer, so that a network partition between regions does not remove the
endpoints of either side.
"""

from arbutusstall import _clock
from arbutusstall import _effects
from arbutusstall._systems import membership
from arbutusstall._systems import root_claims
from arbutusstall._tables import links
from arbutusstall._tables import node
from arbutusstall._wire import messages

_JITTER = 0.2
# Multiple of ``expire_s`` after which the nodes of an unreachable data
# centre are declared dead.
_UNREACHABLE_EXPIRY_FACTOR = 10.0


def on_alive(
    tables: node.Tables,
    peer: str,
    message: messages.Alive,
    now: _clock.Instant,
) -> list[_effects.Effect]:
    """Record which nodes a peer reports alive."""
    link = tables.links_by_peer.get(peer)
    if link is None:
        return []
    state = tables.membership
    for name in message.nodes:
        state.last_alive_s_by_node[name] = now.mono_s
    if link.role is links.LinkRole.CHILD:
        for name in message.nodes:
            state.subtree_alive_s_by_node[name] = now.mono_s
    return []


def run(tables: node.Tables, now: _clock.Instant) -> list[_effects.Effect]:
    """Report this node's subtree alive; at a root, expire silent nodes."""
    state = tables.membership
    if now.mono_s < state.next_refresh_s:
        return []
    if not state.next_refresh_s:
        # The first report is delayed at random, so that nodes that started
        # at the same time do not report at the same time.
        state.next_refresh_s = now.mono_s + (
            tables.settings.relay.refresh_s * tables.rng.random()
        )
        return []
    wait_s = tables.settings.relay.refresh_s
    wait_s *= 1.0 - _JITTER * tables.rng.random()
    state.next_refresh_s = now.mono_s + wait_s
    effects = _report(tables, now)
    if tables.is_root:
        _expire(tables, now)
    return effects


def _report(tables: node.Tables, now: _clock.Instant) -> list[_effects.Effect]:
    # Reports of other roots are not sent back to them: two roots would keep
    # a dead node alive by reporting it to each other.
    subtree_alive = tables.membership.subtree_alive_s_by_node
    limit_s = 2 * tables.settings.relay.refresh_s
    for name, since_s in list(subtree_alive.items()):
        if now.mono_s - since_s > limit_s:
            del subtree_alive[name]
    names = {tables.member.node, *subtree_alive}
    for link in tables.links_by_peer.values():
        if link.role is links.LinkRole.CHILD:
            names.add(link.peer)
    message = messages.Alive(nodes=tuple(sorted(names)))
    return [
        _effects.Send(peer=link.peer, message=message)
        for link in tables.links_by_peer.values()
        if _is_upstream(tables, link)
    ]


def _is_upstream(tables: node.Tables, link: links.Link) -> bool:
    if link.role is links.LinkRole.PARENT:
        return True
    return (
        link.role is links.LinkRole.ROOT
        and link.data_centre == tables.member.data_centre
    )


def _expire(tables: node.Tables, now: _clock.Instant) -> None:
    alive = tables.membership.last_alive_s_by_node
    for name in tables.links_by_peer:
        alive[name] = now.mono_s
    alive[tables.member.node] = now.mono_s
    can_expire_local = _linked_to_all_roots(tables)
    linked = {link.data_centre for link in tables.links_by_peer.values()}
    linked.add(tables.member.data_centre)
    expire_s = tables.settings.relay.expire_s
    silent = []
    for member in tables.members_by_node.values():
        if not member.live:
            continue
        is_local = member.data_centre == tables.member.data_centre
        if is_local and not can_expire_local:
            continue
        if not is_local and member.data_centre in linked:
            alive[member.node] = now.mono_s
            continue
        limit_s = (
            expire_s if is_local else expire_s * _UNREACHABLE_EXPIRY_FACTOR
        )
        since_s = alive.setdefault(member.node, now.mono_s)
        if now.mono_s - since_s > limit_s:
            silent.append(member.node)
    membership.mark_silent(tables, silent, now)
    for name in list(alive):
        if name not in tables.members_by_node:
            del alive[name]


def _linked_to_all_roots(tables: node.Tables) -> bool:
    lapsed = {root.position for root in root_claims.vacant_positions(tables)}
    return all(
        root.node in tables.links_by_peer
        or root.node == tables.member.node
        or root.position in lapsed
        for root in root_claims.local_roots(tables)
    )
