"""Decides which joining nodes this node admits as its children."""

from arbutusstall import _clock
from arbutusstall._systems import rendezvous
from arbutusstall._systems import root_claims
from arbutusstall._systems import tiers
from arbutusstall._tables import links
from arbutusstall._tables import node
from arbutusstall._wire import messages

_MAX_SUGGESTED_PARENTS = 4
_RETRY_AFTER_S = 1.0


def refusal(
    tables: node.Tables, hello: messages.Hello, now: _clock.Instant
) -> messages.Refusal | None:
    """Return the refusal of a joining node, or None to admit it.

    Roots are admitted by roots only. Any other node is refused while this
    node is leaving, has no path to a root or has a label that is not below
    that of the joining node. A new child is also refused if this node has
    ``fan_out`` children or has used up its join rate, and by a root with
    children if its tier is below the first.
    """
    if hello.root:
        return None if tables.is_root else _make_refusal(tables, hello)
    if tables.relay.leaving or not reaches_root(tables):
        return _make_refusal(tables, hello)
    if hello.label >= 0 and tables.relay.label >= hello.label:
        return _make_refusal(tables, hello)
    if hello.node in tables.links_by_peer:
        # An existing child that reconnects.
        return None
    children = _children(tables)
    if len(children) >= tables.settings.relay.fan_out:
        return _make_refusal(tables, hello)
    if tables.is_root and hello.tier > 1 and children:
        return _make_refusal(tables, hello)
    return (
        None if _take_join_token(tables, now) else _make_refusal(tables, hello)
    )


def reaches_root(tables: node.Tables) -> bool:
    """Return whether the chain of parents reaches a root."""
    return tables.is_root or tables.relay.attached


def local_size(tables: node.Tables) -> int:
    """Return the number of live members in this node's data centre.

    Without a path to a root the member table may be incomplete. The size
    that another node last reported is then used if it is larger.
    """
    if reaches_root(tables):
        return max(tables.membership.local_live, 1)
    return max(tables.membership.local_live, tables.relay.local_size)


def other_parents(tables: node.Tables) -> tuple[str, ...]:
    """Return relay addresses where children of this node may attach."""
    addresses = [
        link.address
        for link in tables.links_by_peer.values()
        if link.role is links.LinkRole.PARENT
    ]
    addresses += [
        root.address
        for root in root_claims.local_roots(tables)
        if root.node != tables.member.node
    ]
    return tuple(dict.fromkeys(addresses))


def _children(tables: node.Tables) -> list[links.Link]:
    return [
        link
        for link in tables.links_by_peer.values()
        if link.role is links.LinkRole.CHILD
    ]


def _take_join_token(tables: node.Tables, now: _clock.Instant) -> bool:
    state = tables.relay
    policy = tables.settings.relay
    elapsed_s = now.mono_s - state.join_tokens_updated_s
    state.join_tokens = min(
        float(policy.fan_out), state.join_tokens + elapsed_s * policy.join_rate
    )
    state.join_tokens_updated_s = now.mono_s
    if state.join_tokens < 1.0:
        return False
    state.join_tokens -= 1.0
    return True


def _make_refusal(
    tables: node.Tables, hello: messages.Hello
) -> messages.Refusal:
    # The rendezvous order spreads joining nodes over the children of this
    # node.
    others = rendezvous.order(
        hello.node,
        (
            link.address
            for link in _children(tables)
            if link.peer != hello.node
        ),
    )[:_MAX_SUGGESTED_PARENTS]
    if not reaches_root(tables):
        others = []
    return messages.Refusal(
        node=tables.member.node,
        retry_after_s=_RETRY_AFTER_S,
        others=tuple(others),
        local_size=local_size(tables),
    )


def tier(tables: node.Tables) -> int:
    """Return the level of this node; 1 is directly below the roots."""
    policy = tables.settings.relay
    return tiers.tier(
        tables.member.node,
        local_size(tables),
        policy.roots,
        policy.fan_out,
    )
