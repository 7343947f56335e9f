"""Tells nodes that have started again where they can attach.

A node that starts while the log is out knows nobody. Its former parent
and children know its address: for a while after their link was lost they
offer themselves as a parent.
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

_GAP_S = 1.0
_MOST_TRIES = 10
_INVITED_ROLES = frozenset({links.LinkRole.CHILD, links.LinkRole.PARENT})


def on_lost(
    tables: node.Tables, link: links.Link, now: _clock.Instant
) -> None:
    """Plan to invite the node of a link that was lost."""
    if link.role in _INVITED_ROLES and link.address:
        tables.relay.invitations_by_address[link.address] = relay.Invitation(
            node=link.peer, due_s=now.mono_s + _GAP_S
        )


def on_invited(
    tables: node.Tables, message: messages.Hello, now: _clock.Instant
) -> None:
    """Ask the sender for admission if there is no way to a root."""
    if admit.reaches_root(tables) or tables.relay.leaving:
        return
    attach.prepend_candidates(tables, (message.address,))
    if not tables.attaching_to:
        tables.next_attach_s = now.mono_s


def run(tables: node.Tables, now: _clock.Instant) -> list[_effects.Effect]:
    """Send the invitations that are due."""
    planned = tables.relay.invitations_by_address
    effects: list[_effects.Effect] = []
    for address, invitation in list(planned.items()):
        if now.mono_s < invitation.due_s:
            continue
        del planned[address]
        attached = invitation.node in tables.links_by_peer
        if attached or tables.relay.leaving:
            continue
        if invitation.tries < _MOST_TRIES:
            planned[address] = dataclasses.replace(
                invitation,
                due_s=now.mono_s + _GAP_S,
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
