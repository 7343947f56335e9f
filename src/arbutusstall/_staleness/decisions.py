"""Passes on how old the news of the source is, and renews old news.

A read of the source proves that nothing newer existed when it was
answered. Heartbeats carry the age of that proof from the roots to all
nodes. It grows at every node wherever the path to the source is blocked:
at the source, on a link that has gone silent, or at a node that stands
still. A node that has had no news for too long reads the source itself.
"""

import math

import msgspec

from arbutusstall import _clock
from arbutusstall import _effects
from arbutusstall import _settings
from arbutusstall._staleness import news
from arbutusstall._systems import admit
from arbutusstall._systems import attach
from arbutusstall._tables import links
from arbutusstall._tables import node
from arbutusstall._tables import versions
from arbutusstall._wire import messages
from arbutusstall._wire import tree_messages

# Fractions of the time within which a configuration has to be in force.
# Roots have news this often, also if nothing changes.
_POLL = 0.3
# News is older than that by a tick for each level of the tree. A read and
# its distribution take the rest of the time.
_MAX_AGE = 0.7
# Newer news is passed on at once; a smaller gain waits for a heartbeat.
_MIN_GAIN = 0.2
_RETRY = 0.25
_MAX_RETRY = 1.0
_MAX_RETRY_EXPONENT = 4


def poll_s(settings: _settings.NodeSettings) -> float:
    """Return how long a read of the source waits for something new."""
    bound_s = settings.relay.apply_s
    if not bound_s:
        return settings.log.poll_s
    return min(settings.log.poll_s, bound_s * _POLL)


def on_source_confirmed(
    tables: node.Tables,
    event: _effects.SourceConfirmed,
    now: _clock.Instant,
) -> list[_effects.Effect]:
    """Use a read of the source as news."""
    if tables.settings.relay.apply_s:
        _adopt(tables, event.checked_s, event.position, event.era, now)
    return []


def on_heartbeat(
    tables: node.Tables,
    link: links.Link,
    message: messages.Heartbeat,
    now: _clock.Instant,
) -> None:
    """Use the news of a parent or of another root.

    News about a configuration that is not in force here yet is ignored.
    A peer that reports none is trusted as long as it sends heartbeats.
    """
    is_bounded = tables.settings.relay.apply_s > 0
    if not is_bounded or link.role is links.LinkRole.CHILD:
        return
    source = versions.source_part(message.version)
    if source > tables.snapshot.source_version:
        return
    found = message.news
    if found is msgspec.UNSET:
        _adopt(tables, now.mono_s, None, 0, now)
    elif 0.0 <= found.age_s <= now.mono_s:
        checked_s = now.mono_s - found.age_s
        _adopt(tables, checked_s, found.position, found.era, now)


def reported(
    tables: node.Tables, now: _clock.Instant
) -> tree_messages.SourceNews | msgspec.UnsetType:
    """Return the news that heartbeats carry; unset without a bound."""
    state = tables.news
    if not tables.settings.relay.apply_s:
        return msgspec.UNSET
    if state.position is None:
        return tree_messages.SourceNews(age_s=math.inf)
    return tree_messages.SourceNews(
        age_s=age_s(state, now.mono_s),
        position=state.position,
        era=state.era,
    )


def age_s(state: news.SourceNews, now_s: float) -> float:
    """Return the age of the news; infinite if there was none."""
    if state.checked_s is None:
        return math.inf
    return now_s - state.checked_s


def run(tables: node.Tables, now: _clock.Instant) -> list[_effects.Effect]:
    """Report changes; read the source if the news has become too old."""
    bound_s = tables.settings.relay.apply_s
    if not bound_s or not tables.snapshot.version or tables.relay.leaving:
        return []
    state = tables.news
    if state.checked_s is None:
        # Peers are expected to report an age soon.
        state.checked_s = now.mono_s
    effects = _report(tables, now)
    if not state.is_late or now.mono_s < state.next_read_s:
        return effects
    if not _may_read(tables):
        return effects
    exponent = min(state.reads, _MAX_RETRY_EXPONENT)
    wait_s = bound_s * min(_MAX_RETRY, _RETRY * 2.0**exponent)
    state.next_read_s = now.mono_s + wait_s * tables.rng.uniform(0.5, 1.0)
    # A position that turned out to be unusable is not tried again.
    position = None if state.reads else state.position
    state.reads += 1
    return [*effects, _effects.ReadSource(position=position, era=state.era)]


def _adopt(
    tables: node.Tables,
    checked_s: float,
    position: int | None,
    era: int,
    now: _clock.Instant,
) -> None:
    state = tables.news
    if state.checked_s is not None and checked_s <= state.checked_s:
        return
    state.checked_s = checked_s
    state.position = position
    state.era = era
    state.reads = 0
    gain_s = checked_s - state.announced_s
    if gain_s >= tables.settings.relay.apply_s * _MIN_GAIN:
        state.announced_s = checked_s
        tables.relay.next_heartbeat_s = min(
            tables.relay.next_heartbeat_s, now.mono_s
        )


def _report(tables: node.Tables, now: _clock.Instant) -> list[_effects.Effect]:
    state = tables.news
    found_s = age_s(state, now.mono_s)
    is_late = found_s > tables.settings.relay.apply_s * _MAX_AGE
    if is_late == state.is_late:
        return []
    state.is_late = is_late
    parent = attach.parent(tables)
    return [
        _effects.Emit(
            event="source-news-late" if is_late else "source-news-regained",
            fields={
                "age_s": round(found_s, 3),
                "parent": parent.peer if parent else "-",
            },
        )
    ]


def _may_read(tables: node.Tables) -> bool:
    """Return whether this node reads the source by itself.

    The reader of a node that follows the source retries already after a
    failure. The source cannot serve every node of a large data centre.
    """
    state = tables.relay
    if state.follows_log and state.source_lost:
        return False
    limit = tables.settings.relay.detached_readers
    return admit.local_size(tables) <= limit
