"""Keeps the evidence that no API key was removed without notice.

Evidence is a time F on this node's clock at which the source had no
newer configuration than the one in force here. It comes from a read of
the source, where F is the time at which the request was sent, or from a
peer in the tree. Each node stamps its heartbeats with its own clock, and
the peer returns the stamp with the age that its evidence had when the
stamp arrived. The stamp was taken before it arrived, so stamp - age is
not later than F, however long the messages took.
"""

from collections import abc
import math

import msgspec

from arbutusstall import _clock
from arbutusstall import _effects
from arbutusstall import _settings
from arbutusstall._tables import evidence
from arbutusstall._tables import links
from arbutusstall._tables import node
from arbutusstall._tables import versions
from arbutusstall._wire import messages
from arbutusstall._wire import tree_messages

# Fractions of the bound. A node has to serve for 0.6 of the bound after its
# last contact with the store, so evidence may be 0.36 of it old by then. The
# margin covers the difference in speed of two clocks (0.05 % at most).
_MARGIN = 0.04
# With the minimum time between two reads, evidence at a root is at most 1.1 s
# old with a bound of 5 s; each level of the tree adds up to 0.6 s.
_POLL = 0.1
# Two levels of the tree stay below this, and time for two reads is left.
_MIN_READ_AGE = 0.45
_MAX_READ_AGE = 0.55
_RETRY = 0.08
_MAX_RETRY = 0.3
_MAX_RETRY_EXPONENT = 4
# In the first two seconds of a new era of the store, the operator may not
# have written again what the store had lost.
_NEW_ERA_S = 2.0


class KeyEvidence:
    """The evidence as the call path uses it.

    Args:
        settings: Supplies the bound; without one, keys are always fresh.
        clock_s: Returns monotonic seconds, including suspension.
    """

    def __init__(
        self,
        settings: _settings.TenantSettings,
        clock_s: abc.Callable[[], float] = _clock.steady_s,
    ) -> None:
        self._limit_s = limit_s(settings)
        self._clock_s = clock_s
        self._confirmed_s = -math.inf

    @property
    def is_fresh(self) -> bool:
        """Whether no key can have been removed for too long."""
        if not self._limit_s:
            return True
        return self._clock_s() - self._confirmed_s < self._limit_s

    def confirm(
        self, effect: _effects.KeysConfirmed, in_force: versions.Version
    ) -> None:
        """Adopt evidence, unless it is about a later configuration.

        Args:
            effect: The evidence.
            in_force: Source version by which requests are routed.
        """
        if in_force >= effect.source_version:
            self._confirmed_s = max(self._confirmed_s, effect.confirmed_s)


def limit_s(settings: _settings.TenantSettings) -> float:
    """Return how old evidence may be; 0 if there is no bound."""
    return settings.revoke_s * (1.0 - _MARGIN)


def poll_s(settings: _settings.NodeSettings) -> float:
    """Return how long a read of the source waits for something new.

    A read counts from the time at which it was sent, so long waits make
    old evidence.
    """
    bound_s = settings.tenants.revoke_s
    if not bound_s:
        return settings.log.poll_s
    return min(settings.log.poll_s, bound_s * _POLL)


def on_source_confirmed(
    tables: node.Tables,
    event: _effects.SourceConfirmed,
    now: _clock.Instant,
) -> list[_effects.Effect]:
    """Use a read of the source as evidence.

    Everything that the read returned was handled before. A configuration
    that was refused as invalid is in force nowhere and does not count.
    """
    state = tables.evidence
    if not tables.settings.tenants.revoke_s:
        return []
    if state.era and event.era and event.era != state.era:
        on_new_era(tables, now)
    state.era = event.era or state.era
    if event.sent_s < state.not_before_s:
        return []
    return _confirm(tables, event.sent_s)


def on_new_era(tables: node.Tables, now: _clock.Instant) -> None:
    """Ignore reads for a while, since the store has lost acknowledged writes.

    When the era began is unknown; it was seen first at ``now``.
    """
    tables.evidence.not_before_s = now.mono_s + _NEW_ERA_S


def on_heartbeat(
    tables: node.Tables,
    peer: str,
    message: messages.Heartbeat,
    now: _clock.Instant,
) -> list[_effects.Effect]:
    """Use a peer's evidence; answer the first stamp on a link at once.

    Evidence about a configuration that is not in force here yet is
    ignored, as is evidence from the future, which no peer can have.
    """
    if not tables.settings.tenants.revoke_s:
        return []
    link = tables.links_by_peer[peer]
    if message.clock_s is not msgspec.UNSET:
        if link.clock_s is None:
            tables.relay.heartbeat_all = True
        tables.links_by_peer[peer] = links.with_clock(
            link, message.clock_s, now.mono_s
        )
    if message.stamp_s is msgspec.UNSET or message.age_s is msgspec.UNSET:
        return []
    source = versions.source_part(message.version)
    confirmed_s = message.stamp_s - message.age_s
    is_possible = 0.0 <= confirmed_s <= now.mono_s
    if not is_possible or source > tables.snapshot.source_version:
        return []
    return _confirm(tables, confirmed_s)


def stamp(
    tables: node.Tables,
    link: links.Link,
    heartbeat: messages.Heartbeat,
    now: _clock.Instant,
) -> messages.Heartbeat:
    """Return a heartbeat for one peer, with the clocks and the evidence."""
    if not tables.settings.tenants.revoke_s:
        return heartbeat
    confirmed_s = tables.evidence.confirmed_s
    if link.clock_s is None or confirmed_s is None:
        return tree_messages.stamped(heartbeat, clock_s=now.mono_s)
    return tree_messages.stamped(
        heartbeat,
        clock_s=now.mono_s,
        stamp_s=link.clock_s,
        age_s=link.clock_received_s - confirmed_s,
    )


def run(tables: node.Tables, now: _clock.Instant) -> list[_effects.Effect]:
    """Report changes; read the source if the evidence has become old.

    A node that follows the log reads the source continuously.
    """
    settings = tables.settings.tenants
    if not settings.revoke_s or not tables.snapshot.tenants:
        return []
    state = tables.evidence
    effects = _report(tables, now)
    if state.confirmed_s is None and not state.next_read_s:
        # Peers usually answer a new node before it has to read.
        state.next_read_s = now.mono_s + settings.revoke_s * (
            tables.rng.uniform(_RETRY / 2, _RETRY * 2)
        )
    if tables.relay.follows_log or now.mono_s < state.next_read_s:
        return effects
    exponent = min(state.failed_reads, _MAX_RETRY_EXPONENT)
    wait_s = settings.revoke_s * min(_MAX_RETRY, _RETRY * 2.0**exponent)
    state.next_read_s = now.mono_s + wait_s * tables.rng.uniform(0.5, 1.0)
    state.failed_reads += 1
    return [*effects, _effects.ReadSource()]


def age_s(state: evidence.EvidenceTable, now_s: float) -> float:
    """Return the age of the evidence; infinite if there is none."""
    if state.confirmed_s is None:
        return math.inf
    return now_s - state.confirmed_s


def _confirm(tables: node.Tables, confirmed_s: float) -> list[_effects.Effect]:
    state = tables.evidence
    if state.confirmed_s is not None and confirmed_s <= state.confirmed_s:
        return []
    bound_s = tables.settings.tenants.revoke_s
    state.confirmed_s = confirmed_s
    state.failed_reads = 0
    state.next_read_s = confirmed_s + bound_s * tables.rng.uniform(
        _MIN_READ_AGE, _MAX_READ_AGE
    )
    return [
        _effects.KeysConfirmed(
            source_version=tables.snapshot.source_version,
            confirmed_s=confirmed_s,
        )
    ]


def _report(tables: node.Tables, now: _clock.Instant) -> list[_effects.Effect]:
    state = tables.evidence
    found_s = age_s(state, now.mono_s)
    is_fresh = found_s < limit_s(tables.settings.tenants)
    if is_fresh == state.is_fresh:
        return []
    state.is_fresh = is_fresh
    name = "keys-confirmed" if is_fresh else "keys-unconfirmed"
    return [
        _effects.Emit(event=name, fields={"age_s": round(found_s, 3)}),
    ]
