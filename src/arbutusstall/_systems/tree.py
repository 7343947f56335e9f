"""Finds a parent for this node or makes it a root relay."""

from arbutusstall import _clock
from arbutusstall import _effects
from arbutusstall._log import records
from arbutusstall._systems import distribution
from arbutusstall._systems import membership
from arbutusstall._tables import agreed
from arbutusstall._tables import links
from arbutusstall._tables import node
from arbutusstall._wire import messages

_REPORT_S = 0.2
_ATTACH_S = 1.0


def run(tables: node.Tables, now: _clock.Instant) -> list[_effects.Effect]:
    """Attach to a parent or to the other roots where links are missing."""
    if not tables.caught_up and not tables.is_root:
        return []
    effects = _take_root_place(tables, now)
    effects += _attach(tables, now)
    effects += _report(tables, now)
    return effects


def on_hello(
    tables: node.Tables,
    peer: str,
    message: messages.Hello,
    now: _clock.Instant,
) -> list[_effects.Effect]:
    """Admit a child or another root."""
    role = links.LinkRole.ROOT if message.root else links.LinkRole.CHILD
    tables.links_by_peer[peer] = links.Link(
        peer=peer,
        address=message.address,
        role=role,
        version=message.version,
    )
    effects: list[_effects.Effect] = [
        _effects.Send(
            peer=peer, message=messages.Welcome(node=tables.member.node)
        ),
        membership.everything(tables, peer),
    ]
    if role is links.LinkRole.CHILD and message.digest != tables.digest:
        update = messages.SnapshotUpdate(
            digest=tables.digest, snapshot=tables.snapshot
        )
        effects.append(_effects.Send(peer=peer, message=update))
    return effects


def on_welcome(
    tables: node.Tables,
    peer: str,
    message: messages.Welcome,
    now: _clock.Instant,
) -> list[_effects.Effect]:
    """Use the link to a parent or another root."""
    role = links.LinkRole.ROOT if tables.is_root else links.LinkRole.PARENT
    tables.links_by_peer[peer] = links.Link(
        peer=peer, address=tables.attaching_to, role=role
    )
    tables.attaching_to = ""
    tables.next_report_s = now.mono_s
    effects: list[_effects.Effect] = [membership.everything(tables, peer)]
    if not tables.is_root:
        effects.append(_effects.StopLog())
    return effects


def on_lost(
    tables: node.Tables, event: _effects.LinkLost, now: _clock.Instant
) -> list[_effects.Effect]:
    """Forget a link; `run` looks for another one."""
    tables.links_by_peer.pop(event.peer, None)
    if tables.attaching_to == event.peer:
        tables.attaching_to = ""
    return []


def _own_roots(tables: node.Tables) -> list[agreed.Root]:
    return [
        root
        for root in tables.agreed.roots_by_node.values()
        if root.data_centre == tables.member.data_centre
    ]


def _take_root_place(
    tables: node.Tables, now: _clock.Instant
) -> list[_effects.Effect]:
    own = tables.member
    if own.node in tables.agreed.roots_by_node:
        tables.is_root = True
        return []
    full = len(_own_roots(tables)) >= tables.settings.relay.roots
    if full or now.mono_s < tables.next_root_record_s:
        return []
    tables.next_root_record_s = now.mono_s + _ATTACH_S
    record = records.RootRecord(
        record_id=f"root/{own.node}/{own.incarnation}",
        node=own.node,
        data_centre=own.data_centre,
        address=own.relay,
        admin=tables.settings.advertise.admin
        or tables.settings.addresses.admin,
    )
    return [_effects.Append(record=record)]


def _attach(tables: node.Tables, now: _clock.Instant) -> list[_effects.Effect]:
    if tables.attaching_to or now.mono_s < tables.next_attach_s:
        return []
    address = _wanted(tables)
    if not address:
        return []
    tables.next_attach_s = now.mono_s + _ATTACH_S * tables.rng.random()
    tables.attaching_to = address
    hello = messages.Hello(
        node=tables.member.node,
        data_centre=tables.member.data_centre,
        address=tables.member.relay,
        version=tables.snapshot.version,
        digest=tables.digest,
        root=tables.is_root,
    )
    return [_effects.Connect(address=address, hello=hello)]


def _wanted(tables: node.Tables) -> str:
    if tables.is_root:
        # Of two roots the one with the smaller id opens the link.
        missing = [
            root.address
            for root in tables.agreed.roots_by_node.values()
            if root.node > tables.member.node
            and root.node not in tables.links_by_peer
        ]
        return tables.rng.choice(missing) if missing else ""
    roles = {link.role for link in tables.links_by_peer.values()}
    if links.LinkRole.PARENT in roles:
        return ""
    roots = _own_roots(tables)
    if len(roots) < tables.settings.relay.roots:
        return ""
    return tables.rng.choice(roots).address


def _report(tables: node.Tables, now: _clock.Instant) -> list[_effects.Effect]:
    if now.mono_s < tables.next_report_s:
        return []
    tables.next_report_s = now.mono_s + tables.settings.relay.refresh_s
    report = distribution.summary(tables)
    return [
        _effects.Send(peer=link.peer, message=report)
        for link in tables.links_by_peer.values()
        if link.role is not links.LinkRole.CHILD
    ]
