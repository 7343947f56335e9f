"""Decides which joiners a node takes as its children."""

from arbutusstall import _clock
from arbutusstall._systems import rendezvous
from arbutusstall._systems import root_claims
from arbutusstall._systems import tiers
from arbutusstall._tables import links
from arbutusstall._tables import node
from arbutusstall._wire import messages

_MAX_OTHERS = 4
_RETRY_S = 1.0


def refusal(
    tables: node.Tables, hello: messages.Hello, now: _clock.Instant
) -> messages.Refusal | None:
    """Return why a joiner is turned away, or None to admit it."""
    if hello.root:
        return None if tables.is_root else _refuse(tables, hello)
    if tables.relay.leaving or not is_rooted(tables):
        return _refuse(tables, hello)
    if hello.label >= 0 and tables.relay.label >= hello.label:
        return _refuse(tables, hello)
    if hello.node in tables.links_by_peer:
        # The same child again, over a new connection.
        return None
    children = _children(tables)
    if len(children) >= tables.settings.relay.fan_out:
        return _refuse(tables, hello)
    if tables.is_root and hello.tier > 1 and children:
        return _refuse(tables, hello)
    return None if _take_token(tables, now) else _refuse(tables, hello)


def is_rooted(tables: node.Tables) -> bool:
    """Tell whether the chain of parents reaches a root."""
    return tables.is_root or tables.relay.attached


def local_size(tables: node.Tables) -> int:
    """Return how many members of the own data centre are known."""
    if is_rooted(tables):
        return max(tables.membership.local_live, 1)
    return max(tables.membership.local_live, tables.relay.local_size)


def other_parents(tables: node.Tables) -> tuple[str, ...]:
    """Return addresses that children of this node may move to."""
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


def _rooted(tables: node.Tables) -> bool:
    return tables.is_root or tables.relay.attached


def _children(tables: node.Tables) -> list[links.Link]:
    return [
        link
        for link in tables.links_by_peer.values()
        if link.role is links.LinkRole.CHILD
    ]


def _take_token(tables: node.Tables, now: _clock.Instant) -> bool:
    state = tables.relay
    policy = tables.settings.relay
    elapsed_s = now.mono_s - state.tokens_s
    state.tokens = min(
        float(policy.fan_out), state.tokens + elapsed_s * policy.join_rate
    )
    state.tokens_s = now.mono_s
    if state.tokens < 1.0:
        return False
    state.tokens -= 1.0
    return True


def _refuse(tables: node.Tables, hello: messages.Hello) -> messages.Refusal:
    # Different joiners get different children of this node first.
    others = rendezvous.order(
        hello.node,
        (
            link.address
            for link in _children(tables)
            if link.peer != hello.node
        ),
    )[:_MAX_OTHERS]
    if not is_rooted(tables):
        others = []
    return messages.Refusal(
        node=tables.member.node,
        retry_after_s=_RETRY_S,
        others=tuple(others),
        local_size=local_size(tables),
    )


def tier(tables: node.Tables) -> int:
    """Return the level below the roots that suits this node."""
    policy = tables.settings.relay
    return tiers.tier(
        tables.member.node,
        local_size(tables),
        policy.roots,
        policy.fan_out,
    )
