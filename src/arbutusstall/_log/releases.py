"""Folds release records and keeps their outcomes.

Refusal reasons become part of the agreed state, whose digest all nodes
compare; a changed text makes nodes of different versions differ.
"""

from collections import abc
import dataclasses
import itertools

import xxhash

from arbutusstall import _files
from arbutusstall import _notes
from arbutusstall._log import records
from arbutusstall._log import rollouts
from arbutusstall._tables import agreed as tables

# Outcomes are evicted in batches, because each eviction copies the
# mappings; a batch amortizes that cost.
RELEASES_KEPT = 5_000
RELEASES_BATCH = 500
MAX_FORGOTTEN_BATCHES = 100


def apply(
    state: tables.Agreed, offset: int, record: records.ReleaseRecord
) -> tables.Agreed:
    """Return the state after a release, with its outcome recorded.

    The name of a refused release may be reused by a record whose
    publisher had read the refusal. A retried append of the refused
    record was written before the refusal and changes nothing.
    """
    known = state.releases_by_name.get(record.note.name)
    if known is not None and not _may_reuse_name(known, record):
        return state
    reason = refusal_reason(state, record)
    outcome = tables.ReleaseOutcome(
        name=record.note.name,
        digest=record.digest,
        state=tables.ReleaseState.REFUSED
        if reason
        else tables.ReleaseState.ACCEPTED,
        reason=reason,
        offset=offset,
        record_id=record.record_id,
    )
    if not reason:
        state = _accept(state, offset, record)
    outcomes = {**state.releases_by_name, outcome.name: outcome}
    state = dataclasses.replace(state, releases_by_name=outcomes)
    if len(outcomes) > RELEASES_KEPT + RELEASES_BATCH:
        return _evict_outcomes(state)
    return state


def refusal_reason(state: tables.Agreed, record: records.ReleaseRecord) -> str:
    """Return why a release would be refused; empty if it is valid.

    The reason begins with the JSON path of the offending part of the
    release.
    """
    note = record.note
    found = itertools.chain(
        _notes.problems(note),
        _outdated_problems(state, record),
        _conflict_problems(state, record),
        _existence_problems(state.snapshot, note),
        _running_rollout_problems(state.snapshot, note),
        _reference_problems(state.snapshot, note),
    )
    return next((str(problem) for problem in found), "")


def item_keys(note: _notes.ReleaseNote) -> tuple[str, ...]:
    """Return the sorted keys of all configuration items in a release."""
    return tuple(sorted({key for _, key in _notes.paths_and_keys(note)}))


def is_forgotten_name(state: tables.Agreed, name: str) -> bool:
    """Return whether an evicted outcome had this release name."""
    name_hash = _name_hash(name)
    return any(name_hash in batch for batch in state.forgotten_names)


def _name_hash(name: str) -> int:
    return xxhash.xxh3_64_intdigest(name.encode())


def _may_reuse_name(
    known: tables.ReleaseOutcome, record: records.ReleaseRecord
) -> bool:
    refused = known.state is tables.ReleaseState.REFUSED
    return refused and record.read_to > known.offset


def _outdated_problems(
    state: tables.Agreed, record: records.ReleaseRecord
) -> abc.Iterator[_files.Problem]:
    if is_forgotten_name(state, record.note.name):
        reason = "an earlier release had this name; its outcome is not kept"
        yield _files.Problem(path="$.name", reason=reason)
    if record.read_to <= state.forgotten_to:
        reason = f"it was written before offset {state.forgotten_to}"
        yield _files.Problem(path="$", reason=f"{reason}; publish it again")


def _conflict_problems(
    state: tables.Agreed, record: records.ReleaseRecord
) -> abc.Iterator[_files.Problem]:
    for path, key in _notes.paths_and_keys(record.note):
        current = state.item_offsets_by_key.get(key, tables.NO_OFFSET)
        seen = record.seen.get(key, tables.NO_OFFSET)
        was_evicted = (
            current == tables.NO_OFFSET and seen <= state.forgotten_to
        )
        if current != seen and not was_evicted:
            by = _changed_by(state, current)
            reason = f"{key} was changed meanwhile, at offset {current}{by}"
            yield _files.Problem(path=path, reason=reason)


def _changed_by(state: tables.Agreed, offset: int) -> str:
    for outcome in state.releases_by_name.values():
        if outcome.offset == offset:
            return f", by release {outcome.name}"
    return ""


def _existence_problems(
    old: tables.Snapshot, note: _notes.ReleaseNote
) -> abc.Iterator[_files.Problem]:
    for path, key in _notes.paths_and_keys(note):
        kind, _, name = key.partition("/")
        if kind == "shares":
            continue
        exists = name in (
            old.services_by_name if kind == "service" else old.routes_by_prefix
        )
        if path.startswith("$.add.") and exists:
            reason = f"{key} exists and cannot be added"
            yield _files.Problem(path=path, reason=reason)
        if not path.startswith("$.add.") and not exists:
            yield _files.Problem(path=path, reason=f"{key} does not exist")


def _running_rollout_problems(
    old: tables.Snapshot, note: _notes.ReleaseNote
) -> abc.Iterator[_files.Problem]:
    running = running_by_service(old)
    for index, name in enumerate(note.withdraw.services):
        if name in running:
            rollout_id = running[name].rollout_id
            yield _files.Problem(
                path=f"$.withdraw.services[{index}]",
                reason=f"service/{name} has the running move {rollout_id}",
            )


def running_by_service(
    snapshot: tables.Snapshot,
) -> abc.Mapping[str, tables.Rollout]:
    """Return the running rollout of each service that has one."""
    return {
        rollout.service: rollout
        for rollout in snapshot.rollouts_by_id.values()
        if rollout.state is tables.RolloutState.RUNNING
    }


def _reference_problems(
    old: tables.Snapshot, note: _notes.ReleaseNote
) -> abc.Iterator[_files.Problem]:
    services = set(old.services_by_name)
    services |= {item.name for item in note.add.services}
    services -= set(note.withdraw.services)
    references = _service_references(old, note)
    for path, referrer, service in references:
        if service not in services:
            reason = f"{referrer} names the unknown service {service}"
            yield _files.Problem(path=path, reason=reason)


def _service_references(
    old: tables.Snapshot, note: _notes.ReleaseNote
) -> abc.Iterator[tuple[str, str, str]]:
    touched = set(note.withdraw.routes)
    for part, items in (("add", note.add), ("change", note.change)):
        for index, route in enumerate(items.routes):
            touched.add(route.prefix)
            path = f"$.{part}.routes[{index}].service"
            yield path, f"route/{route.prefix}", route.service
    for index, share in enumerate(note.shares):
        yield f"$.shares[{index}].service", "the item", share.service
    if not note.withdraw.services:
        return
    for prefix, kept in sorted(old.routes_by_prefix.items()):
        if prefix not in touched:
            yield "$.withdraw.services", f"route/{prefix}", kept.service


def _accept(
    state: tables.Agreed, offset: int, record: records.ReleaseRecord
) -> tables.Agreed:
    items = dict(state.item_offsets_by_key)
    for key in item_keys(record.note):
        items[key] = offset
    accepted = dataclasses.replace(
        state,
        snapshot=_snapshot(state, offset, record),
        item_offsets_by_key=items,
    )
    return rollouts.trim(accepted)


def _snapshot(
    state: tables.Agreed, offset: int, record: records.ReleaseRecord
) -> tables.Snapshot:
    old = state.snapshot
    note = record.note
    changes = rollouts.release_changes(old, offset, record)
    return dataclasses.replace(
        old,
        version=state.version_at(offset),
        services_by_name=_services(old, note),
        routes_by_prefix=_routes(old, note),
        shares_by_service=changes.shares_by_service,
        rollouts_by_id=changes.rollouts_by_id,
        blocked=changes.blocked,
    )


def _services(
    old: tables.Snapshot, note: _notes.ReleaseNote
) -> abc.Mapping[str, tables.Service]:
    services = dict(old.services_by_name)
    for service in note.add.services + note.change.services:
        services[service.name] = tables.Service(name=service.name)
    for name in note.withdraw.services:
        services.pop(name, None)
    return services


def _routes(
    old: tables.Snapshot, note: _notes.ReleaseNote
) -> abc.Mapping[str, tables.Route]:
    routes = dict(old.routes_by_prefix)
    for route in note.add.routes + note.change.routes:
        routes[route.prefix] = tables.Route(
            prefix=route.prefix,
            service=route.service,
            timeout_ms=route.timeout_ms,
            idempotent=route.idempotent,
        )
    for prefix in note.withdraw.routes:
        routes.pop(prefix, None)
    return routes


def _evict_outcomes(state: tables.Agreed) -> tables.Agreed:
    outcomes = sorted(
        state.releases_by_name.values(), key=lambda item: item.offset
    )
    evicted, kept = outcomes[:-RELEASES_KEPT], outcomes[-RELEASES_KEPT:]
    forgotten_to = evicted[-1].offset
    names = frozenset(_name_hash(item.name) for item in evicted)
    batches = (*state.forgotten_names, names)[-MAX_FORGOTTEN_BATCHES:]
    present = _present_item_keys(state.snapshot)
    return dataclasses.replace(
        state,
        releases_by_name={item.name: item for item in kept},
        forgotten_to=forgotten_to,
        forgotten_names=batches,
        item_offsets_by_key={
            key: offset
            for key, offset in state.item_offsets_by_key.items()
            if key in present or offset > forgotten_to
        },
    )


def _present_item_keys(snapshot: tables.Snapshot) -> frozenset[str]:
    return frozenset(
        [f"service/{name}" for name in snapshot.services_by_name]
        + [f"route/{prefix}" for prefix in snapshot.routes_by_prefix]
        + [f"shares/{name}" for name in snapshot.shares_by_service]
    )
