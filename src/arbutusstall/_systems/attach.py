"""Chooses whom to ask for admission, and when."""

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

_CONNECT_LIMIT_S = 3.0
_NEXT_S = 0.1
# All nodes without a parent see a new root at the same time.
_NEW_ROOT_S = 1.0
_MAX_PARENTS = 4
_MAX_CANDIDATES = 16
_ROUNDS_BEFORE_LOG = 2
_ROUNDS_BEFORE_CUT = 4


def run(tables: node.Tables, now: _clock.Instant) -> list[_effects.Effect]:
    """Open a link where one is missing."""
    state = tables.relay
    if tables.attaching_to:
        return _watch(tables, now)
    if state.leaving or now.mono_s < tables.next_attach_s:
        return []
    if tables.is_root:
        return _next_root(tables, now)
    if parent(tables) is not None and not state.moving_from:
        return []
    return _next_parent(tables, now)


def parent(tables: node.Tables) -> links.Link | None:
    """Return the link to the parent."""
    for link in tables.links_by_peer.values():
        if link.role is links.LinkRole.PARENT:
            return link
    return None


def has_children(tables: node.Tables) -> bool:
    """Tell whether a node is attached below this one."""
    return any(
        link.role is links.LinkRole.CHILD
        for link in tables.links_by_peer.values()
    )


def can_be_parent(tables: node.Tables, label: int) -> bool:
    """Tell whether a parent with ``label`` cannot be below this node."""
    return not has_children(tables) or label < tables.relay.label


def prepend_candidates(
    tables: node.Tables, addresses: tuple[str, ...]
) -> None:
    """Ask ``addresses`` before the other candidates."""
    state = tables.relay
    merged = dict.fromkeys((*addresses, *state.candidate_addresses))
    merged.pop(tables.member.relay, None)
    state.candidate_addresses = list(merged)[:_MAX_CANDIDATES]


def on_refused(
    tables: node.Tables, message: messages.Refusal, now: _clock.Instant
) -> None:
    """Go on after a refusal."""
    address = tables.attaching_to
    tables.attaching_to = ""
    policy = tables.settings.relay
    if tables.is_root:
        tables.relay.retry_s_by_address[address] = (
            now.mono_s + message.retry_after_s
        )
        return
    # Nodes that refuse may name each other for ever.
    others = tuple(
        other
        for other in message.others
        if other not in tables.relay.asked_addresses
    )
    prepend_candidates(tables, others)
    if tables.relay.candidate_addresses:
        tables.next_attach_s = now.mono_s + _NEXT_S * tables.rng.random()
        return
    wait_s = min(message.retry_after_s, policy.retry_cap_s)
    tables.next_attach_s = now.mono_s + wait_s * tables.rng.random()


def on_failed(tables: node.Tables, now: _clock.Instant) -> None:
    """Go on after an attempt without an answer."""
    deprioritize(tables, tables.attaching_to, now)
    tables.attaching_to = ""
    tables.next_attach_s = now.mono_s + _NEXT_S * tables.rng.random()


def reset_backoff(tables: node.Tables, now: _clock.Instant) -> None:
    """Forget the back-off because a new root has appeared."""
    state = tables.relay
    if state.attach_rounds == 0 or state.attached:
        return
    state.attach_rounds = 0
    state.candidate_addresses.clear()
    tables.next_attach_s = now.mono_s + _NEW_ROOT_S * tables.rng.random()


def deprioritize(
    tables: node.Tables, address: str, now: _clock.Instant
) -> None:
    """Ask ``address`` after the others for a while."""
    wait_s = tables.settings.relay.retry_cap_s * (0.5 + tables.rng.random())
    tables.relay.retry_s_by_address[address] = now.mono_s + wait_s


def _watch(tables: node.Tables, now: _clock.Instant) -> list[_effects.Effect]:
    if now.mono_s - tables.relay.attach_started_s < _CONNECT_LIMIT_S:
        return []
    address = tables.attaching_to
    on_failed(tables, now)
    return [_effects.Disconnect(peer=address)]


def _next_root(
    tables: node.Tables, now: _clock.Instant
) -> list[_effects.Effect]:
    # Of two roots the one with the smaller id opens the link.
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


def _next_parent(
    tables: node.Tables, now: _clock.Instant
) -> list[_effects.Effect]:
    state = tables.relay
    reading = state.follows_log and not tables.caught_up
    if reading and not state.log_failed and not state.candidate_addresses:
        return []
    if not state.candidate_addresses:
        return _new_round(tables, now)
    address = state.candidate_addresses.pop(0)
    state.asked_addresses.add(address)
    linked = {link.address for link in tables.links_by_peer.values()}
    if address in linked or address == tables.member.relay:
        return []
    return _connect(tables, address, now)


def _new_round(
    tables: node.Tables, now: _clock.Instant
) -> list[_effects.Effect]:
    state = tables.relay
    policy = tables.settings.relay
    retry = state.retry_s_by_address
    for address, until_s in list(retry.items()):
        if now.mono_s >= until_s + policy.retry_cap_s:
            del retry[address]
    # The sort is stable: those that failed lately come last.
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
        # Full jitter: peers that failed together must not return so.
        ceiling_s = policy.retry_base_s * 2.0 ** min(state.attach_rounds, 10)
        wait_s = min(policy.retry_cap_s, ceiling_s) * tables.rng.random()
        tables.next_attach_s = now.mono_s + wait_s
    effects: list[_effects.Effect] = []
    if (
        state.attach_rounds >= _ROUNDS_BEFORE_LOG
        or not state.candidate_addresses
    ):
        effects += root_claims.follow_log(tables)
    if state.attach_rounds == _ROUNDS_BEFORE_CUT and has_children(tables):
        effects += _cut_children(tables)
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


def _cut_children(tables: node.Tables) -> list[_effects.Effect]:
    # Without children any label suits, so that any parent will do.
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
    )
    return [_effects.Connect(address=address, hello=hello)]
