"""Selects the nodes to attach to and the times of the attempts."""

from arbutusstall import _clock
from arbutusstall import _effects
from arbutusstall._systems import admit
from arbutusstall._systems import rendezvous
from arbutusstall._systems import root_claims
from arbutusstall._systems import tiers
from arbutusstall._tables import links
from arbutusstall._tables import node
from arbutusstall._tables import relay
from arbutusstall._wire import messages

_CONNECT_TIMEOUT_S = 3.0
_MAX_NEXT_ATTEMPT_DELAY_S = 0.1
# All nodes without a parent learn of a new root at the same time; their
# attempts are spread over this period.
_MAX_NEW_ROOT_DELAY_S = 1.0
_MAX_PARENTS = 4
_MAX_CANDIDATES = 16
# Round of the search for a parent in which a node starts to read the log,
# and round in which it also disconnects its children.
_ROUNDS_BEFORE_LOG = 2
_ROUNDS_BEFORE_DETACHING = 4


def run(tables: node.Tables, now: _clock.Instant) -> list[_effects.Effect]:
    """Connect to a parent, or at a root to another root, if one is missing."""
    state = tables.relay
    if tables.attaching_to:
        return _check_timeout(tables, now)
    if state.leaving or now.mono_s < tables.next_attach_s:
        return []
    if tables.is_root:
        return _connect_root(tables, now)
    if parent(tables) is not None and not state.moving_from:
        return []
    return _connect_parent(tables, now)


def parent(tables: node.Tables) -> links.Link | None:
    """Return the link to the parent, or None."""
    for link in tables.links_by_peer.values():
        if link.role is links.LinkRole.PARENT:
            return link
    return None


def has_children(tables: node.Tables) -> bool:
    """Return whether this node has a child."""
    return any(
        link.role is links.LinkRole.CHILD
        for link in tables.links_by_peer.values()
    )


def can_be_parent(tables: node.Tables, label: int) -> bool:
    """Return whether a node with ``label`` may become the parent.

    A link goes only from a lower label to a higher one, so a node with a
    lower label cannot be in the subtree of this one.
    """
    return not has_children(tables) or label < tables.relay.label


def prepend_candidates(
    tables: node.Tables, addresses: tuple[str, ...]
) -> None:
    """Put ``addresses`` before the other candidates."""
    state = tables.relay
    merged = dict.fromkeys((*addresses, *state.candidate_addresses))
    merged.pop(tables.member.relay, None)
    state.candidate_addresses = list(merged)[:_MAX_CANDIDATES]


def on_refused(
    tables: node.Tables, message: messages.Refusal, now: _clock.Instant
) -> None:
    """Handle a refusal: ask the next candidate, or wait if there is none."""
    address = tables.attaching_to
    tables.attaching_to = ""
    policy = tables.settings.relay
    if tables.is_root:
        tables.relay.retry_s_by_address[address] = (
            now.mono_s + message.retry_after_s
        )
        return
    # Nodes that refuse may suggest each other endlessly, so each address
    # is asked only once in a round.
    others = tuple(
        other
        for other in message.others
        if other not in tables.relay.asked_addresses
    )
    prepend_candidates(tables, others)
    if tables.relay.candidate_addresses:
        tables.next_attach_s = (
            now.mono_s + _MAX_NEXT_ATTEMPT_DELAY_S * tables.rng.random()
        )
        return
    wait_s = min(message.retry_after_s, policy.retry_cap_s)
    tables.next_attach_s = now.mono_s + wait_s * tables.rng.random()


def on_failed(tables: node.Tables, now: _clock.Instant) -> None:
    """Handle an attempt that was not answered."""
    deprioritize(tables, tables.attaching_to, now)
    tables.attaching_to = ""
    tables.next_attach_s = (
        now.mono_s + _MAX_NEXT_ATTEMPT_DELAY_S * tables.rng.random()
    )


def reset_backoff(tables: node.Tables, now: _clock.Instant) -> None:
    """Reset the backoff of a detached node because there is a new root."""
    state = tables.relay
    if state.attach_rounds == 0 or state.attached:
        return
    state.attach_rounds = 0
    state.candidate_addresses.clear()
    tables.next_attach_s = (
        now.mono_s + _MAX_NEW_ROOT_DELAY_S * tables.rng.random()
    )


def deprioritize(
    tables: node.Tables, address: str, now: _clock.Instant
) -> None:
    """Rank ``address`` last for a random time around ``retry_cap_s``."""
    wait_s = tables.settings.relay.retry_cap_s * (0.5 + tables.rng.random())
    tables.relay.retry_s_by_address[address] = now.mono_s + wait_s


def _check_timeout(
    tables: node.Tables, now: _clock.Instant
) -> list[_effects.Effect]:
    if now.mono_s - tables.relay.attach_started_s < _CONNECT_TIMEOUT_S:
        return []
    address = tables.attaching_to
    on_failed(tables, now)
    return [_effects.Disconnect(peer=address)]


def _connect_root(
    tables: node.Tables, now: _clock.Instant
) -> list[_effects.Effect]:
    # Of two roots the one with the smaller node id opens the link.
    retry = tables.relay.retry_s_by_address
    missing = [
        root.address
        for root in tables.agreed.roots_by_key.values()
        if root.node > tables.member.node
        and root.node not in tables.links_by_peer
        and now.mono_s >= retry.get(root.address, 0.0)
    ]
    if not missing:
        return []
    return _connect(tables, tables.rng.choice(missing), now)


def _connect_parent(
    tables: node.Tables, now: _clock.Instant
) -> list[_effects.Effect]:
    state = tables.relay
    reading = state.follows_log and not tables.caught_up
    if reading and not state.log_failed and not state.candidate_addresses:
        return []
    if not state.candidate_addresses:
        return _start_round(tables, now)
    address = state.candidate_addresses.pop(0)
    state.asked_addresses.add(address)
    linked = {link.address for link in tables.links_by_peer.values()}
    if address in linked or address == tables.member.relay:
        return []
    return _connect(tables, address, now)


def _start_round(
    tables: node.Tables, now: _clock.Instant
) -> list[_effects.Effect]:
    state = tables.relay
    policy = tables.settings.relay
    retry = state.retry_s_by_address
    for address, until_s in list(retry.items()):
        if now.mono_s >= until_s + policy.retry_cap_s:
            del retry[address]
    # The sort is stable: addresses that failed recently come last, and the
    # others keep their order.
    state.asked_addresses.clear()
    state.candidate_addresses = sorted(
        _candidates(tables),
        key=lambda address: now.mono_s < retry.get(address, 0.0),
    )
    if state.candidate_addresses:
        state.attach_rounds += 1
    else:
        state.attach_rounds = max(state.attach_rounds, 1)
    if state.attach_rounds > 1:
        # Full jitter: nodes that failed at the same time must not retry at
        # the same time.
        ceiling_s = policy.retry_base_s * 2.0 ** min(state.attach_rounds, 10)
        wait_s = min(policy.retry_cap_s, ceiling_s) * tables.rng.random()
        tables.next_attach_s = now.mono_s + wait_s
    effects: list[_effects.Effect] = []
    if (
        state.attach_rounds >= _ROUNDS_BEFORE_LOG
        or not state.candidate_addresses
    ):
        effects += root_claims.follow_log(tables)
    if state.attach_rounds == _ROUNDS_BEFORE_DETACHING and has_children(
        tables
    ):
        effects += _detach_children(tables)
    return effects


def _candidates(tables: node.Tables) -> list[str]:
    policy = tables.settings.relay
    own = tables.member
    members = {
        member.node: member.relay
        for member in tables.members_by_node.values()
        if member.live and member.data_centre == own.data_centre
    }
    names = tiers.parents(
        own.node,
        members,
        admit.local_size(tables),
        policy.roots,
        policy.fan_out,
    )
    addresses = [members[name] for name in names[:_MAX_PARENTS]]
    lapsed = {root.position for root in tables.relay.vacant}
    if tables.relay.follows_log:
        lapsed = {
            root.position for root in root_claims.vacant_positions(tables)
        }
    roots = {
        root.node: root.address
        for root in root_claims.local_roots(tables)
        if root.position not in lapsed and root.node != own.node
    }
    addresses += [roots[name] for name in rendezvous.order(own.node, roots)]
    if not tables.caught_up or not addresses:
        addresses += rendezvous.order(own.node, tables.settings.seeds)
    return list(dict.fromkeys(addresses))


def _detach_children(tables: node.Tables) -> list[_effects.Effect]:
    # A node without children may take any label, and so any parent.
    effects: list[_effects.Effect] = []
    for link in list(tables.links_by_peer.values()):
        if link.role is links.LinkRole.CHILD:
            del tables.links_by_peer[link.peer]
            effects.append(_effects.Disconnect(peer=link.peer))
    tables.relay.label = relay.NO_LABEL
    return effects


def _connect(
    tables: node.Tables, address: str, now: _clock.Instant
) -> list[_effects.Effect]:
    tables.attaching_to = address
    tables.relay.attach_started_s = now.mono_s
    label = tables.relay.label if has_children(tables) else relay.NO_LABEL
    hello = messages.Hello(
        node=tables.member.node,
        data_centre=tables.member.data_centre,
        address=tables.member.relay,
        version=tables.snapshot.version,
        digest=tables.digest,
        root=tables.is_root,
        label=label,
        tier=admit.tier(tables),
        evacuations=tables.evacuations.if_known,
    )
    return [_effects.Connect(address=address, hello=hello)]
