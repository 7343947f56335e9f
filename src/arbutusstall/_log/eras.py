"""Carries the agreed state over to a new era of the store.

A store that comes back from an older copy has lost records and assigns their
offsets again. A `records.LogReset` with a carried state starts the agreed
state of the new era (docs/design/0051-store-era.md).
"""

from collections import abc
import dataclasses
import zlib

import msgspec

from arbutusstall._log import checkpoint
from arbutusstall._log import records
from arbutusstall._tables import agreed as tables
from arbutusstall._tables import versions


def encode(state: tables.Agreed) -> bytes:
    """Return what a reset carries of a state: configuration and roots."""
    carried = tables.Agreed(
        snapshot=state.snapshot, roots_by_key=state.roots_by_key
    )
    return zlib.compress(checkpoint.encode(carried))


def start(offset: int, record: records.LogReset) -> tables.Agreed:
    """Return the state after a reset that counts at its own place.

    It depends on the record and its offset alone.

    Raises:
        WireError: The carried state cannot be decoded.
    """
    carried = _decode(record)
    floor = versions.log_part(carried.snapshot.version)
    era: tables.Era | msgspec.UnsetType = msgspec.UNSET
    if record.era:
        era = tables.Era(
            number=record.era,
            began=offset,
            floor=floor,
            base=max(0, floor - offset),
        )
    state = tables.Agreed(offset=offset + 1, era=era)
    if not floor:
        return dataclasses.replace(state, roots_by_key=_roots(carried, offset))
    snapshot = dataclasses.replace(
        carried.snapshot,
        version=state.version_at(offset),
        rollouts_by_id=_renumbered(
            carried.snapshot.rollouts_by_id.values(), offset
        ),
    )
    return dataclasses.replace(
        state, snapshot=snapshot, roots_by_key=_roots(carried, offset)
    )


def merge(
    state: tables.Agreed, offset: int, record: records.LogReset
) -> tables.Agreed:
    """Return the state after a reset that was stored after another one.

    Of each service, the carried rollouts and shares count if they are newer
    than those known: they come from a later state of the earlier era and
    nothing was ordered since, or they show more steps of the same rollout.

    Raises:
        WireError: The carried state cannot be decoded.
    """
    if record.era != state.era_number or not record.state:
        return state
    assert isinstance(state.era, tables.Era)
    carried = _decode(record)
    services = _newer_services(state, carried.snapshot)
    if not services:
        return state
    floor = versions.log_part(carried.snapshot.version)
    era = dataclasses.replace(
        state.era,
        floor=max(state.era.floor, floor),
        base=max(state.era.base, floor - offset),
    )
    state = dataclasses.replace(state, era=era)
    # Offsets up to the first reset mark the rollouts as carried ones.
    old, new = state.snapshot, carried.snapshot
    taken = [
        rollout
        for rollout in new.rollouts_by_id.values()
        if rollout.service in services
    ]
    kept = {
        name: rollout
        for name, rollout in old.rollouts_by_id.items()
        if rollout.service not in services
    }
    percents = dict(old.shares_by_service)
    for name in services & new.shares_by_service.keys():
        percents[name] = new.shares_by_service[name]
    snapshot = dataclasses.replace(
        old,
        version=state.version_at(offset),
        rollouts_by_id={**kept, **_renumbered(taken, era.began)},
        shares_by_service=percents,
        blocked=_of_others(old.blocked, services)
        | (new.blocked - _of_others(new.blocked, services)),
    )
    return dataclasses.replace(state, snapshot=snapshot)


def newest(rollouts: abc.Iterable[tables.Rollout]) -> tables.Rollout | None:
    """Return the rollout that was ordered last; None if there is none."""
    return max(
        rollouts, key=lambda item: (item.offset, item.rollout_id), default=None
    )


def _newer_services(
    state: tables.Agreed, carried: tables.Snapshot
) -> frozenset[str]:
    assert isinstance(state.era, tables.Era)
    is_later = versions.log_part(carried.version) > state.era.floor
    found = set()
    for service in {
        rollout.service for rollout in carried.rollouts_by_id.values()
    }:
        known = newest(_of_service(state.snapshot, service))
        other = newest(_of_service(carried, service))
        assert other is not None
        if known is None:
            is_newer = is_later
        elif known.rollout_id == other.rollout_id:
            is_newer = _position(other) > _position(known)
        else:
            is_newer = is_later and known.offset <= state.era.began
        if is_newer:
            found.add(service)
    return frozenset(found)


def _position(rollout: tables.Rollout) -> tuple[bool, int]:
    return rollout.state is not tables.RolloutState.RUNNING, rollout.step


def _of_service(
    snapshot: tables.Snapshot, service: str
) -> list[tables.Rollout]:
    return [
        rollout
        for rollout in snapshot.rollouts_by_id.values()
        if rollout.service == service
    ]


def _of_others(
    blocked: frozenset[str], services: frozenset[str]
) -> frozenset[str]:
    return frozenset(
        name for name in blocked if name.rpartition("/")[0] not in services
    )


def _renumbered(
    rollouts: abc.Iterable[tables.Rollout], offset: int
) -> dict[str, tables.Rollout]:
    """Give rollouts offsets in the new era that keep their order."""
    ordered = sorted(rollouts, key=lambda item: (item.offset, item.rollout_id))
    first = offset - len(ordered) + 1
    return {
        rollout.rollout_id: dataclasses.replace(rollout, offset=first + index)
        for index, rollout in enumerate(ordered)
    }


def _roots(carried: tables.Agreed, offset: int) -> dict[str, tables.Root]:
    """Give each root a token of its own, as a claim at the offset would."""
    return {
        key: dataclasses.replace(
            root, offset=offset - index, renewed=offset - index
        )
        for index, (key, root) in enumerate(
            sorted(carried.roots_by_key.items())
        )
    }


def _decode(record: records.LogReset) -> tables.Agreed:
    if not record.state:
        return tables.Agreed()
    return checkpoint.decode(record.state)
