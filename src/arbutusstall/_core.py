"""One node's decision logic as one object without any I/O."""

from collections import abc
import random
from typing import Any

from arbutusstall import _clock
from arbutusstall import _effects
from arbutusstall import _settings
from arbutusstall._systems import agreement
from arbutusstall._systems import distribution
from arbutusstall._systems import lease
from arbutusstall._systems import local_rollback
from arbutusstall._systems import membership
from arbutusstall._systems import outcomes
from arbutusstall._systems import rollout
from arbutusstall._systems import tree
from arbutusstall._tables import members
from arbutusstall._tables import node
from arbutusstall._wire import messages

_Handler = abc.Callable[..., list[_effects.Effect]]

_EVENT_HANDLERS: dict[type[Any], _Handler] = {
    _effects.LogRead: agreement.on_read,
    _effects.Announced: membership.on_announced,
    _effects.Left: membership.on_left,
    _effects.Observed: outcomes.on_observed,
    _effects.LinkLost: tree.on_lost,
}
_MESSAGE_HANDLERS: dict[type[Any], _Handler] = {
    messages.Hello: tree.on_hello,
    messages.Welcome: tree.on_welcome,
    messages.SnapshotUpdate: distribution.on_update,
    messages.MemberUpdate: membership.on_update,
    messages.InForce: distribution.on_in_force,
    messages.OutcomeReport: outcomes.on_report,
    messages.RollbackNotice: local_rollback.on_notice,
}


class NodeCore:
    """Decides what a node does; the caller delivers events and time.

    Not thread-safe: a single thread calls `start`, `handle` and `tick`
    and carries out the returned effects in order.
    """

    def __init__(
        self,
        settings: _settings.NodeSettings,
        rng: random.Random,
        incarnation: int,
    ) -> None:
        member = members.Member(
            node=settings.node,
            data_centre=settings.data_centre,
            incarnation=incarnation,
            inbound=settings.addresses.inbound,
            relay=settings.addresses.relay,
        )
        self.tables = node.Tables(settings=settings, rng=rng, member=member)
        self.tables.members_by_node[member.node] = member

    def start(self, now: _clock.Instant) -> list[_effects.Effect]:
        """Return the effects that begin the node's work."""
        return [
            _effects.Emit(event="node-started"),
            _effects.FollowLog(offset=0),
        ]

    def handle(
        self, event: _effects.Event, now: _clock.Instant
    ) -> list[_effects.Effect]:
        """Change the tables by one event."""
        if isinstance(event, _effects.Received):
            return self._receive(event, now)
        handler = _EVENT_HANDLERS.get(type(event))
        return handler(self.tables, event, now) if handler else []

    def tick(self, now: _clock.Instant) -> list[_effects.Effect]:
        """Run the periodic systems over the tables."""
        effects = tree.run(self.tables, now)
        effects += lease.run(self.tables, now)
        effects += outcomes.run(self.tables, now)
        effects += rollout.run(self.tables, now)
        return effects

    def _receive(
        self, event: _effects.Received, now: _clock.Instant
    ) -> list[_effects.Effect]:
        handler = _MESSAGE_HANDLERS.get(type(event.message))
        if handler is None:
            return []
        return handler(self.tables, event.peer, event.message, now)
