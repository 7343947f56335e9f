"""Invites nodes that may have restarted to attach to this node.

A node that starts while the log is unavailable knows no other node. Its
former parent and children know its address: after the loss of their link
they offer themselves as a parent for a limited number of tries.
"""

import dataclasses

from arbutusstall import _clock
from arbutusstall import _effects
from arbutusstall._systems import admit
from arbutusstall._systems import attach
from arbutusstall._tables import links
from arbutusstall._tables import node
from arbutusstall._tables import relay
from arbutusstall._wire import messages

_INVITATION_INTERVAL_S = 1.0
_MAX_TRIES = 10
_INVITED_ROLES = frozenset({links.LinkRole.CHILD, links.LinkRole.PARENT})


def on_lost(
    tables: node.Tables, link: links.Link, now: _clock.Instant
) -> None:
    """Schedule invitations for the peer of a lost link."""
    if link.role in _INVITED_ROLES and link.address:
        tables.relay.invitations_by_address[link.address] = relay.Invitation(
            node=link.peer, due_s=now.mono_s + _INVITATION_INTERVAL_S
        )


def on_invited(
    tables: node.Tables, message: messages.Hello, now: _clock.Instant
) -> None:
    """Ask the sender for admission if this node has no path to a root."""
    if admit.reaches_root(tables) or tables.relay.leaving:
        return
    attach.prepend_candidates(tables, (message.address,))
    if not tables.attaching_to:
        tables.next_attach_s = now.mono_s


def run(tables: node.Tables, now: _clock.Instant) -> list[_effects.Effect]:
    """Send the invitations that are due."""
    invitations = tables.relay.invitations_by_address
    effects: list[_effects.Effect] = []
    for address, invitation in list(invitations.items()):
        if now.mono_s < invitation.due_s:
            continue
        del invitations[address]
        attached = invitation.node in tables.links_by_peer
        if attached or tables.relay.leaving:
            continue
        if invitation.tries < _MAX_TRIES:
            invitations[address] = dataclasses.replace(
                invitation,
                due_s=now.mono_s + _INVITATION_INTERVAL_S,
                tries=invitation.tries + 1,
            )
        if admit.reaches_root(tables):
            effects.append(_invite(tables, address))
    return effects


def _invite(tables: node.Tables, address: str) -> _effects.Connect:
    hello = messages.Hello(
        node=tables.member.node,
        data_centre=tables.member.data_centre,
        address=tables.member.relay,
        version=tables.snapshot.version,
        digest=tables.digest,
        invite=True,
    )
    return _effects.Connect(address=address, hello=hello)
