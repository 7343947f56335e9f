"""The decision logic of one node, free of I/O."""

from collections import abc
import contextlib
import random
from typing import Any

from arbutusstall import _clock
from arbutusstall import _effects
from arbutusstall import _settings
from arbutusstall._evacuation import decisions as evacuations
from arbutusstall._staleness import decisions as staleness
from arbutusstall._systems import absences
from arbutusstall._systems import agreement
from arbutusstall._systems import checkpoint
from arbutusstall._systems import distribution
from arbutusstall._systems import invitations
from arbutusstall._systems import lease
from arbutusstall._systems import liveness
from arbutusstall._systems import local_rollback
from arbutusstall._systems import log_reset
from arbutusstall._systems import membership
from arbutusstall._systems import outcomes
from arbutusstall._systems import progress
from arbutusstall._systems import publication
from arbutusstall._systems import quarantine
from arbutusstall._systems import rollout
from arbutusstall._systems import root_claims
from arbutusstall._systems import rows
from arbutusstall._systems import store_eras
from arbutusstall._systems import tree
from arbutusstall._tables import links
from arbutusstall._tables import members
from arbutusstall._tables import node
from arbutusstall._tenants import freshness
from arbutusstall._wire import messages

Guard = abc.Callable[[str], contextlib.AbstractContextManager[None]]

_Handler = abc.Callable[..., list[_effects.Effect]]

_EVENT_HANDLERS: dict[type[Any], _Handler] = {
    _effects.LogRead: agreement.on_read,
    _effects.LogFailed: agreement.on_failed,
    _effects.Announced: membership.on_announced,
    _effects.Left: membership.on_left,
    _effects.RosterRead: membership.on_roster,
    _effects.AbsenceRecorded: absences.on_recorded,
    _effects.Observed: outcomes.on_observed,
    _effects.LinkLost: tree.on_lost,
    _effects.TargetCrashed: quarantine.on_crashed,
    _effects.Published: publication.on_published,
    _effects.Ordered: publication.on_ordered,
    _effects.EvacuationsRead: evacuations.on_read,
    _effects.EvacuationChanged: evacuations.on_changed,
    _effects.SourceChanged: publication.on_source_changed,
    _effects.SourceConfirmed: freshness.on_source_confirmed,
    _effects.StoreEraChanged: store_eras.on_changed,
}
# Run in this order at each tick.
_SYSTEMS: abc.Mapping[
    str, abc.Callable[[node.Tables, _clock.Instant], list[_effects.Effect]]
] = {
    "store eras": store_eras.run,
    "log reset": log_reset.run,
    "root claims": root_claims.run,
    "key evidence": freshness.run,
    "source news": staleness.run,
    "tree": tree.run,
    "liveness": liveness.run,
    "membership": membership.run,
    "absences": absences.run,
    "progress": progress.run,
    "lease": lease.run,
    "checkpoint": checkpoint.run,
    "outcomes": outcomes.run,
    "rollout": rollout.run,
    "publication": publication.run,
}
_MESSAGE_HANDLERS: dict[type[Any], _Handler] = {
    messages.Hello: tree.on_hello,
    messages.Welcome: tree.on_welcome,
    messages.Refusal: tree.on_refusal,
    messages.Heartbeat: tree.on_heartbeat,
    messages.RootsUpdate: tree.on_roots,
    messages.SnapshotUpdate: distribution.on_update,
    messages.SnapshotDelta: distribution.on_delta,
    messages.SnapshotWanted: distribution.on_snapshot_wanted,
    messages.MemberUpdate: membership.on_update,
    messages.MemberDigest: membership.on_digest,
    messages.Alive: liveness.on_alive,
    messages.InForce: progress.on_in_force,
    messages.OutcomeReport: outcomes.on_report,
    messages.RollbackNotice: local_rollback.on_notice,
    messages.SuspectReport: quarantine.on_report,
}
# Run after the `_EVENT_HANDLERS` entry for the same event.
_FOLLOW_UPS: dict[type[Any], _Handler] = {
    _effects.LogRead: tree.on_log_read,
    _effects.LogFailed: tree.on_log_failed,
    _effects.Left: tree.on_left,
    _effects.SourceConfirmed: staleness.on_source_confirmed,
}


class NodeCore:
    """Decides what a node does; the caller delivers events and time.

    Not thread-safe: a single thread calls `start`, `handle` and `tick`
    and carries out the returned effects in order.

    Args:
        settings: Settings of the node.
        rng: Source of random delays and choices.
        incarnation: Start time of the node process in milliseconds since
            the epoch.
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
            inbound=settings.advertise.inbound or settings.addresses.inbound,
            relay=settings.advertise.relay or settings.addresses.relay,
        )
        self.tables = node.Tables(settings=settings, rng=rng, member=member)
        rows.put(self.tables, member, _clock.Instant(mono_s=0.0, wall_s=0.0))

    @property
    def has_children(self) -> bool:
        """Whether any child is linked to this node; safe in any thread."""
        links_copy = list(self.tables.links_by_peer.values())
        return any(link.role is links.LinkRole.CHILD for link in links_copy)

    def start(self, now: _clock.Instant) -> list[_effects.Effect]:
        """Return the effects to carry out when the node starts."""
        return [
            _effects.Emit(
                event="node-started",
                fields={"callers": self.tables.settings.addresses.callers},
            ),
            _effects.FollowLog(offset=0),
        ]

    def handle(
        self, event: _effects.Event, now: _clock.Instant
    ) -> list[_effects.Effect]:
        """Apply one event to the tables and return the resulting effects."""
        effects: list[_effects.Effect] = []
        if isinstance(event, _effects.Received):
            effects += self._receive(event, now)
        for handlers in (_EVENT_HANDLERS, _FOLLOW_UPS):
            handler = handlers.get(type(event))
            if handler is not None:
                effects += handler(self.tables, event, now)
        return store_eras.stamp(self.tables, effects, now)

    def tick(
        self, now: _clock.Instant, guard: Guard | None = None
    ) -> list[_effects.Effect]:
        """Run the periodic systems and return the resulting effects.

        Args:
            guard: Returns the context in which the system with a name
                runs. If it suppresses an exception, the system has no
                effects, and the others still run. Without a guard,
                exceptions are raised.
        """
        effects: list[_effects.Effect] = []
        for name, run in _SYSTEMS.items():
            with guard(name) if guard else contextlib.nullcontext():
                effects += run(self.tables, now)
        return store_eras.stamp(self.tables, effects, now)

    def _receive(
        self, event: _effects.Received, now: _clock.Instant
    ) -> list[_effects.Effect]:
        # An invitation arrives outside the link to its sender, so it does
        # not prove that the link is alive.
        is_invitation = isinstance(event.message, messages.Hello) and (
            event.message.invite
        )
        if event.peer in self.tables.links_by_peer and not is_invitation:
            self.tables.relay.last_received_s_by_peer[event.peer] = now.mono_s
        if isinstance(event.message, messages.SnapshotUpdate):
            invitations.on_state_received(self.tables, event.peer, now)
        # A node serves once a message has brought a configuration, so the
        # evacuations in the same message come first.
        effects = evacuations.on_message(self.tables, event.message)
        handler = _MESSAGE_HANDLERS.get(type(event.message))
        if handler is not None:
            effects += handler(self.tables, event.peer, event.message, now)
        return effects
