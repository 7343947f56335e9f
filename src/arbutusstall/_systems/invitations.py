"""Invites nodes that may have restarted, and hands them the configuration.

A node that starts while the log is unavailable knows no other node and no
configuration, but other nodes know its address. A node that has lost a
link invites the peer of that link at a short interval. While the log is
out, a root that has lost a link, and any node without a path to a root,
also invite all other members in turn.

An invited node without a configuration asks the inviting node for
admission. If that node has no path to a root either, it refuses, but sends
its configuration and member rows first. A node that receives them invites
others in the same way.
"""

import dataclasses

from arbutusstall import _clock
from arbutusstall import _effects
from arbutusstall._systems import admit
from arbutusstall._systems import attach
from arbutusstall._systems import distribution
from arbutusstall._systems import membership
from arbutusstall._tables import links
from arbutusstall._tables import node
from arbutusstall._tables import relay
from arbutusstall._wire import messages

_INVITATION_INTERVAL_S = 0.25
# Time after the loss of a link, or after the receipt of a configuration
# from a node that is not a parent, in which others are invited.
_INVITING_S = 15.0
_MAX_TRIES = round(_INVITING_S / _INVITATION_INTERVAL_S)
_ROUND_INTERVAL_S = 0.1
# All members are invited within this time, if there are not too many.
_ROUND_S = 0.3
_MAX_INVITED_AT_ONCE = 16
# Longer than the longest time between two answers of a log that works.
_MAX_LOG_AGE_S = 3.5


def on_lost(
    tables: node.Tables, link: links.Link, now: _clock.Instant
) -> None:
    """Schedule invitations for the peer of a lost link."""
    tables.relay.invite_all_until_s = now.mono_s + _INVITING_S
    if link.address:
        tables.relay.invitations_by_address[link.address] = relay.Invitation(
            node=link.peer, due_s=now.mono_s + _INVITATION_INTERVAL_S
        )


def on_invited(
    tables: node.Tables, message: messages.Hello, now: _clock.Instant
) -> list[_effects.Effect]:
    """Ask the sender for admission if this node has no path to a root.

    A sender without such a path has nothing to offer to a node that has a
    configuration.
    """
    if admit.reaches_root(tables) or tables.relay.leaving:
        return []
    if tables.snapshot.version and not message.reaches_root:
        return []
    attach.prepend_candidates(tables, (message.address,))
    if tables.attaching_to:
        return []
    tables.next_attach_s = now.mono_s
    return attach.run(tables, now)


def on_refused_hello(
    tables: node.Tables, peer: str, message: messages.Hello
) -> list[_effects.Effect]:
    """Send the configuration and the member rows to a node without them.

    Nodes with a path to a root do not send them: there the joining node
    finds another parent.
    """
    if message.root or message.version or not tables.snapshot.version:
        return []
    if admit.reaches_root(tables):
        return []
    # The rows go first: they may tell the node that its target has left,
    # and it can serve as soon as it has the configuration.
    return [
        *membership.rows_for(tables, peer, message.node),
        distribution.complete_update(tables, peer),
    ]


def on_state_received(
    tables: node.Tables, peer: str, now: _clock.Instant
) -> None:
    """Invite others after a node that is no parent sent its configuration."""
    if peer not in tables.links_by_peer:
        tables.relay.invite_all_until_s = now.mono_s + _INVITING_S


def run(tables: node.Tables, now: _clock.Instant) -> list[_effects.Effect]:
    """Send the invitations that are due."""
    effects = _invite_lost(tables, now)
    if _should_invite_all(tables, now):
        effects += _invite_next(tables, now)
    return effects


def _invite_lost(
    tables: node.Tables, now: _clock.Instant
) -> list[_effects.Effect]:
    invitations = tables.relay.invitations_by_address
    effects: list[_effects.Effect] = []
    for address, invitation in list(invitations.items()):
        if now.mono_s < invitation.due_s:
            continue
        del invitations[address]
        attached = invitation.node in tables.links_by_peer
        if attached or tables.relay.leaving:
            continue
        is_asked = address == tables.attaching_to
        tries = invitation.tries + 1
        if tries < _MAX_TRIES:
            invitations[address] = dataclasses.replace(
                invitation,
                due_s=now.mono_s + _INVITATION_INTERVAL_S,
                tries=tries,
            )
        if tables.snapshot.version and not is_asked:
            effects.append(_invite(tables, address))
    return effects


def _should_invite_all(tables: node.Tables, now: _clock.Instant) -> bool:
    state = tables.relay
    if state.leaving or not tables.snapshot.version:
        return False
    if now.mono_s >= state.invite_all_until_s:
        return False
    if state.attached and not tables.is_root:
        return False
    log_age_s = now.mono_s - state.log_answered_s
    return state.log_failed or log_age_s > _MAX_LOG_AGE_S


def _invite_next(
    tables: node.Tables, now: _clock.Instant
) -> list[_effects.Effect]:
    """Invite the next members of the current round, in random order."""
    state = tables.relay
    if now.mono_s < state.next_invitations_s:
        return []
    state.next_invitations_s = now.mono_s + _ROUND_INTERVAL_S
    if not state.uninvited_nodes:
        state.uninvited_nodes = [
            row.node
            for row in tables.members_by_node.values()
            if row.live and row.node != tables.member.node
        ]
        tables.rng.shuffle(state.uninvited_nodes)
        steps = round(_ROUND_S / _ROUND_INTERVAL_S)
        per_step = -(-len(state.uninvited_nodes) // steps)
        state.invited_at_once = min(_MAX_INVITED_AT_ONCE, per_step)
    names = state.uninvited_nodes[: state.invited_at_once]
    del state.uninvited_nodes[: state.invited_at_once]
    return [
        _invite(tables, address)
        for address in _unlinked_addresses(tables, names)
        if address != tables.attaching_to
    ]


def _unlinked_addresses(tables: node.Tables, names: list[str]) -> list[str]:
    return [
        tables.members_by_node[name].relay
        for name in names
        if name in tables.members_by_node and name not in tables.links_by_peer
    ]


def _invite(tables: node.Tables, address: str) -> _effects.Connect:
    hello = messages.Hello(
        node=tables.member.node,
        data_centre=tables.member.data_centre,
        address=tables.member.relay,
        version=tables.snapshot.version,
        digest=tables.digest,
        invite=True,
        reaches_root=admit.reaches_root(tables),
        evacuations=tables.evacuations.if_known,
    )
    return _effects.Connect(address=address, hello=hello)
