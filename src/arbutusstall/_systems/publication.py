"""Applies what an external source publishes, and reports back to it.

Every node that reads the log also reads the source. A configuration is
put in force where it is read and distributed down the tree from there.
An order for a rollout goes through the log. The leader appends it at once;
each other root does so after its own delay if the agreed state does not
contain the order by then.
"""

from collections import abc
import dataclasses
from typing import TypeVar

import msgspec

from arbutusstall import _clock
from arbutusstall import _effects
from arbutusstall._log import records
from arbutusstall._systems import distribution
from arbutusstall._systems import lease
from arbutusstall._systems import progress
from arbutusstall._systems import rendezvous
from arbutusstall._systems import routing
from arbutusstall._tables import agreed
from arbutusstall._tables import members
from arbutusstall._tables import node
from arbutusstall._tables import versions

_APPEND_STAGGER_S = 0.25
_APPEND_RETRY_S = 1.0
# The targets of the old version may be stopped once the end of a rollout
# is reported. Before that, every node must route by the final shares and
# the last calls to these targets must have ended.
_MIN_SETTLE_S = 1.0
_MAX_SETTLE_S = 3.0

T = TypeVar("T")


def on_published(
    tables: node.Tables, event: _effects.Published, now: _clock.Instant
) -> list[_effects.Effect]:
    """Put a published configuration in force if it is newer."""
    old = tables.snapshot
    if event.source_version <= old.source_version:
        return []
    log_part = versions.log_part(old.version)
    snapshot = dataclasses.replace(
        old,
        version=versions.combine(event.source_version, log_part),
        source_version=event.source_version,
        services_by_name={item.name: item for item in event.services},
        routes_by_prefix=_index_routes(old, event.routes),
        limits=event.limits,
        tenants_by_name=_optional(_index_tenants(old, event.tenants)),
        access_by_prefix=_optional(event.access_by_prefix),
        cold_rates_by_service=_optional(event.cold_rates_by_service),
    )
    effects: list[_effects.Effect] = [
        _effects.Emit(
            event="configuration-read",
            fields={
                "source_version": event.source_version,
                "before": old.source_version,
                "routes": len(event.routes),
            },
        )
    ]
    return effects + distribution.adopt(tables, snapshot, now)


def on_ordered(
    tables: node.Tables, event: _effects.Ordered, now: _clock.Instant
) -> list[_effects.Effect]:
    """Queue a rollout order for the log unless it is known already."""
    table = tables.publications
    if event.order_id in table.orders_by_id or _is_folded(
        tables, event.order_id, event.service
    ):
        return []
    table.orders_by_id[event.order_id] = records.RolloutOrder(
        record_id=event.order_id,
        order_id=event.order_id,
        service=event.service,
        version=event.version,
        previous="",
        started_s=now.wall_s,
        by_s=now.wall_s + event.duration_s,
        outcome=event.outcome,
    )
    table.order_due_s_by_id[event.order_id] = now.mono_s + _append_delay_s(
        tables, now
    )
    effects: list[_effects.Effect] = [
        _effects.Emit(
            event="rollout-ordered",
            fields={
                "order": event.order_id,
                "service": event.service,
                "version": event.version,
                "duration_s": event.duration_s,
            },
        )
    ]
    return effects + _append_orders(tables, now)


def on_source_changed(
    tables: node.Tables, event: _effects.SourceChanged, now: _clock.Instant
) -> list[_effects.Effect]:
    """Record whether the source is available; send all peers a heartbeat."""
    tables.relay.source_lost = not event.available
    tables.relay.heartbeat_all = True
    name = "source-regained" if event.available else "source-lost"
    return [_effects.Emit(event=name, fields={"reason": event.reason or "-"})]


def run(tables: node.Tables, now: _clock.Instant) -> list[_effects.Effect]:
    """Append orders that are due; as leader, report rollout states."""
    effects = _append_orders(tables, now)
    if lease.is_leader(tables, now):
        effects += _report_rollouts(tables, now)
    return effects


def _optional(
    items: abc.Mapping[str, T],
) -> agreed.OptionalMapping[T]:
    return items or msgspec.UNSET


def _index_routes(
    old: agreed.Snapshot, routes: abc.Iterable[agreed.Route]
) -> abc.Mapping[str, agreed.Route]:
    """Index the routes by prefix, sharing unchanged ones with ``old``.

    Many snapshots are kept to compute deltas from, and most routes are
    the same in all of them.
    """
    known = old.routes_by_prefix
    found = {}
    for route in routes:
        before = known.get(route.prefix)
        found[route.prefix] = before if before == route else route
    return found


def _index_tenants(
    old: agreed.Snapshot, tenants: abc.Iterable[agreed.Tenant]
) -> abc.Mapping[str, agreed.Tenant]:
    """Index the tenants by name, sharing unchanged ones with ``old``.

    If all are unchanged, the mapping itself is shared, and the call path
    keeps the table that it has derived from it.
    """
    known = old.tenants
    found = {item.name: item for item in tenants}
    if found == known:
        return known
    return {
        name: known[name] if known.get(name) == item else item
        for name, item in found.items()
    }


def _append_orders(
    tables: node.Tables, now: _clock.Instant
) -> list[_effects.Effect]:
    table = tables.publications
    effects: list[_effects.Effect] = []
    if not _may_append(tables):
        return effects
    for order_id, order in list(table.orders_by_id.items()):
        if _is_folded(tables, order_id, order.service):
            del table.orders_by_id[order_id]
            del table.order_due_s_by_id[order_id]
            continue
        previous = _previous_version(tables, order)
        if now.mono_s < table.order_due_s_by_id[order_id] or not previous:
            continue
        table.order_due_s_by_id[order_id] = now.mono_s + _APPEND_RETRY_S
        record = dataclasses.replace(order, previous=previous)
        effects.append(_effects.Append(record=record))
    return effects


def _may_append(tables: node.Tables) -> bool:
    return tables.is_root and tables.caught_up and not tables.relay.leaving


def _append_delay_s(tables: node.Tables, now: _clock.Instant) -> float:
    """Return the delay of this node's append, in seconds.

    It is zero at the leader and grows with the rendezvous order of the
    other roots, so that normally only one of them appends.
    """
    if lease.is_leader(tables, now):
        return 0.0
    names = {root.node for root in tables.agreed.roots_by_key.values()}
    holder = tables.agreed.lease.holder
    ordered = rendezvous.order("publication", names - {holder})
    own = tables.member.node
    position = ordered.index(own) if own in ordered else len(ordered)
    return _APPEND_STAGGER_S * (position + 1)


def _previous_version(tables: node.Tables, order: records.RolloutOrder) -> str:
    """Return the version with the highest share of the service now.

    Without shares, it is the lowest other version among the serving
    endpoints; empty if there is none.
    """
    shares = tables.agreed.snapshot.shares_by_service.get(order.service)
    if shares is not None:
        percents = shares.percent_by_version
        return max(percents, key=lambda name: percents[name])
    versions = {
        row.version
        for row in tables.members_by_node.values()
        if row.service == order.service
        and row.state is members.MemberState.SERVING
        and row.version != order.version
    }
    return routing.lowest_version(versions) or ""


def _is_folded(tables: node.Tables, order_id: str, service: str) -> bool:
    rollout_id = f"{order_id}/{service}"
    state = tables.agreed
    return (
        rollout_id in state.snapshot.rollouts_by_id
        or rollout_id in state.ended_rollouts_by_id
    )


def _report_rollouts(
    tables: node.Tables, now: _clock.Instant
) -> list[_effects.Effect]:
    table = tables.publications
    newest: dict[str, agreed.Rollout] = {}
    for rollout in tables.agreed.snapshot.rollouts_by_id.values():
        known = newest.get(rollout.service)
        if known is None or rollout.offset > known.offset:
            newest[rollout.service] = rollout
    effects: list[_effects.Effect] = []
    for service, rollout in newest.items():
        report = (rollout.rollout_id, rollout.state)
        if table.reported_by_service.get(service) == report:
            continue
        if not _is_settled(tables, rollout, now):
            continue
        table.reported_by_service[service] = report
        version = next(iter(rollout.goal), "")
        effects.append(
            _effects.ReportRollout(
                service=service, version=version, state=rollout.state
            )
        )
    return effects


def _is_settled(
    tables: node.Tables, rollout: agreed.Rollout, now: _clock.Instant
) -> bool:
    if rollout.state is not agreed.RolloutState.DONE:
        return True
    ended = tables.publications.ended_s_by_rollout
    since_s = ended.setdefault(rollout.rollout_id, now.mono_s)
    age_s = now.mono_s - since_s
    if age_s < _MIN_SETTLE_S:
        return False
    mesh = progress.mesh(tables)
    return mesh.in_force >= mesh.known or age_s >= _MAX_SETTLE_S
