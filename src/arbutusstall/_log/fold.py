"""The fold: applies log records to the agreed state in log order."""

from collections import abc
import dataclasses

from arbutusstall import _notes
from arbutusstall._log import records
from arbutusstall._log import rollouts
from arbutusstall._tables import agreed as tables

_RECORD_IDS_KEPT = 20_000


def apply(
    state: tables.Agreed, offset: int, record: records.Record
) -> tables.Agreed:
    """Return the state after ``record`` at ``offset``.

    A record that breaks a rule changes nothing but the position.
    """
    state = dataclasses.replace(state, offset=offset + 1)
    if record.record_id in state.record_ids:
        return state
    state = dataclasses.replace(
        state, record_ids=_remember(state.record_ids, record, offset)
    )
    match record:
        case records.ReleaseRecord():
            return _release(state, offset, record)
        case records.LeaseClaim():
            return _claim(state, offset, record)
        case records.LeaseRenewal():
            return _renew(state, offset, record)
        case records.ShareDecision():
            return rollouts.apply_shares(state, offset, record)
        case records.Verdict():
            return rollouts.apply_verdict(state, offset, record)
        case records.RootRecord():
            return _root(state, offset, record)


def item_keys(note: _notes.ReleaseNote) -> tuple[str, ...]:
    """Return the keys of all items that a release touches, sorted."""
    keys = {f"service/{item.name}" for item in note.add.services}
    keys |= {f"service/{item.name}" for item in note.change.services}
    keys |= {f"service/{name}" for name in note.withdraw.services}
    keys |= {f"route/{item.prefix}" for item in note.add.routes}
    keys |= {f"route/{item.prefix}" for item in note.change.routes}
    keys |= {f"route/{prefix}" for prefix in note.withdraw.routes}
    keys |= {f"shares/{item.service}" for item in note.shares}
    return tuple(sorted(keys))


def _remember(
    ids: abc.Mapping[str, int], record: records.Record, offset: int
) -> abc.Mapping[str, int]:
    kept = dict(ids)
    kept[record.record_id] = offset
    if len(kept) > _RECORD_IDS_KEPT:
        del kept[next(iter(kept))]
    return kept


def _release(
    state: tables.Agreed, offset: int, record: records.ReleaseRecord
) -> tables.Agreed:
    known = state.releases_by_name.get(record.note.name)
    if known is not None:
        return state
    reason = _conflict(state, record) or _dangling(state, record.note)
    outcome = tables.ReleaseOutcome(
        name=record.note.name,
        digest=record.digest,
        state=tables.ReleaseState.REFUSED
        if reason
        else tables.ReleaseState.ACCEPTED,
        reason=reason,
        offset=offset,
    )
    releases = {**state.releases_by_name, record.note.name: outcome}
    state = dataclasses.replace(state, releases_by_name=releases)
    if reason:
        return state
    items = dict(state.item_offsets_by_key)
    for key in item_keys(record.note):
        items[key] = offset
    return rollouts.trim(
        dataclasses.replace(
            state,
            snapshot=_snapshot(state.snapshot, offset, record),
            item_offsets_by_key=items,
        )
    )


def _conflict(state: tables.Agreed, record: records.ReleaseRecord) -> str:
    for key in item_keys(record.note):
        current = state.item_offsets_by_key.get(key, tables.NO_OFFSET)
        if current != record.seen.get(key, tables.NO_OFFSET):
            return f"{key} was changed meanwhile, at offset {current}"
    return ""


def _dangling(state: tables.Agreed, note: _notes.ReleaseNote) -> str:
    services = set(state.snapshot.services_by_name)
    services |= {item.name for item in note.add.services}
    services -= set(note.withdraw.services)
    routes = {
        route.prefix: route.service
        for route in state.snapshot.routes_by_prefix.values()
    }
    for item in note.add.routes + note.change.routes:
        routes[item.prefix] = item.service
    for prefix in note.withdraw.routes:
        routes.pop(prefix, None)
    for prefix, service in sorted(routes.items()):
        if service not in services:
            return f"route {prefix} names the unknown service {service}"
    for share in note.shares:
        if share.service not in services:
            return f"shares name the unknown service {share.service}"
    return ""


def _snapshot(
    old: tables.Snapshot, offset: int, record: records.ReleaseRecord
) -> tables.Snapshot:
    note = record.note
    services = dict(old.services_by_name)
    routes = dict(old.routes_by_prefix)
    for service in note.add.services + note.change.services:
        services[service.name] = tables.Service(name=service.name)
    for route in note.add.routes + note.change.routes:
        routes[route.prefix] = tables.Route(
            prefix=route.prefix,
            service=route.service,
            timeout_ms=route.timeout_ms,
            idempotent=route.idempotent,
        )
    for prefix in note.withdraw.routes:
        routes.pop(prefix, None)
    for name in note.withdraw.services:
        services.pop(name, None)
    changes = rollouts.release(old, offset, record)
    return tables.Snapshot(
        version=offset + 1,
        services_by_name=services,
        routes_by_prefix=routes,
        shares_by_service=changes.shares_by_service,
        rollouts_by_id=changes.rollouts_by_id,
        blocked=changes.blocked,
    )


def _claim(
    state: tables.Agreed, offset: int, record: records.LeaseClaim
) -> tables.Agreed:
    if record.replaces != state.lease.offset:
        return state
    lease = tables.Lease(offset=offset, holder=record.holder, renewed=offset)
    return dataclasses.replace(state, lease=lease)


def _renew(
    state: tables.Agreed, offset: int, record: records.LeaseRenewal
) -> tables.Agreed:
    if record.lease != state.lease.offset:
        return state
    lease = dataclasses.replace(state.lease, renewed=offset)
    return dataclasses.replace(state, lease=lease)


def _root(
    state: tables.Agreed, offset: int, record: records.RootRecord
) -> tables.Agreed:
    root = tables.Root(
        node=record.node,
        data_centre=record.data_centre,
        address=record.address,
        admin=record.admin,
        offset=offset,
    )
    roots = {**state.roots_by_node, record.node: root}
    return dataclasses.replace(state, roots_by_node=roots)


def skip(state: tables.Agreed, offset: int) -> tables.Agreed:
    """Return the state after an unreadable record at ``offset``."""
    return dataclasses.replace(state, offset=offset + 1)
