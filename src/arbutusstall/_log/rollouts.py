"""Folds the records that start, step and end rollouts.

The ``reason`` texts become part of the agreed state, whose digest all
nodes compare; a changed text makes nodes of different versions differ.
"""

from collections import abc
import dataclasses
import math

from arbutusstall import _notes
from arbutusstall._log import eras
from arbutusstall._log import records
from arbutusstall._systems import shares
from arbutusstall._tables import agreed as tables

MAX_ENDED_PER_SERVICE = 2
"""Ended rollouts per service that stay in the snapshot."""

MAX_ENDED_ROLLOUTS = 1_000
"""Ended rollouts that the agreed state keeps outside the snapshot."""

_FULL_PERCENT = 100.0
# Tolerated rounding error of percentages, and of the progress from 0 to 1.
_MAX_ERROR = 1e-6


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Changes:
    """The parts of a snapshot that a release or an order may change."""

    shares_by_service: abc.Mapping[str, tables.Shares]
    rollouts_by_id: abc.Mapping[str, tables.Rollout]
    blocked: frozenset[str]


def release_changes(
    old: tables.Snapshot, offset: int, record: records.ReleaseRecord
) -> Changes:
    """Return the changes that a release's shares and withdrawals make.

    A running rollout of a service in the release's shares ends: it is
    done if it had reached its goal; otherwise it is rolled back and the
    new rollout starts from the shares from which the old one started.
    """
    changes = Changes(
        shares_by_service=old.shares_by_service,
        rollouts_by_id=old.rollouts_by_id,
        blocked=old.blocked,
    )
    for name in record.note.withdraw.services:
        changes = _withdraw(changes, name)
    for item in record.note.shares:
        changes = _supersede(changes, item.service, record.note.name)
        changes = _apply_share_item(changes, offset, record, item)
    return changes


def _withdraw(changes: Changes, service: str) -> Changes:
    kept = dict(changes.shares_by_service)
    kept.pop(service, None)
    return dataclasses.replace(
        changes,
        shares_by_service=kept,
        blocked=frozenset(
            name
            for name in changes.blocked
            if name.rpartition("/")[0] != service
        ),
    )


def _supersede(changes: Changes, service: str, release: str) -> Changes:
    running = [
        rollout
        for rollout in changes.rollouts_by_id.values()
        if rollout.service == service
        and rollout.state is tables.RolloutState.RUNNING
    ]
    for rollout in running:
        done = rollout.progress >= 1.0
        position = "at the goal" if done else "before the goal"
        ended = dataclasses.replace(
            rollout,
            state=tables.RolloutState.DONE
            if done
            else tables.RolloutState.ROLLED_BACK,
            reason=f"superseded by release {release} {position}",
            held_by="",
        )
        percent = rollout.goal if done else rollout.start
        changes = dataclasses.replace(
            changes,
            rollouts_by_id={
                **changes.rollouts_by_id,
                rollout.rollout_id: ended,
            },
            shares_by_service={
                **changes.shares_by_service,
                service: tables.Shares(
                    service=service, percent_by_version=percent
                ),
            },
        )
    return changes


def _apply_share_item(
    changes: Changes,
    offset: int,
    record: records.ReleaseRecord,
    item: _notes.ShareItem,
) -> Changes:
    rollout = new_rollout(changes.shares_by_service, offset, record, item)
    percents = dict(changes.shares_by_service)
    if rollout.state is tables.RolloutState.DONE:
        percents[item.service] = tables.Shares(
            service=item.service, percent_by_version=rollout.goal
        )
    named_versions = {
        f"{item.service}/{version}"
        for version, percent in item.percent_by_version.items()
        if percent > 0.0
    }
    return Changes(
        shares_by_service=percents,
        rollouts_by_id={
            **changes.rollouts_by_id,
            rollout.rollout_id: rollout,
        },
        blocked=changes.blocked - named_versions,
    )


def new_rollout(
    percents: abc.Mapping[str, tables.Shares],
    offset: int,
    record: records.ReleaseRecord,
    item: _notes.ShareItem,
) -> tables.Rollout:
    """Return the rollout that a share item requests."""
    current = percents.get(item.service)
    by_s = item.by.timestamp() if item.by else record.published_s
    rollout = tables.Rollout(
        rollout_id=f"{record.note.name}/{item.service}",
        release=record.note.name,
        service=item.service,
        start=current.percent_by_version if current else {},
        goal=item.percent_by_version,
        started_s=record.published_s,
        by_s=by_s,
        offset=offset,
    )
    if current is None:
        return _completed(rollout, "first version of the service")
    if not shares.rising(rollout):
        return _completed(rollout, "the shares are in force already")
    return rollout


def apply_order(
    state: tables.Agreed, offset: int, record: records.RolloutOrder
) -> tables.Agreed:
    """Return the state after an order to roll out one version.

    An order that was applied before changes nothing. A running rollout
    of the service is superseded.
    """
    rollout_id = f"{record.order_id}/{record.service}"
    old = state.snapshot
    known = rollout_id in old.rollouts_by_id or (
        rollout_id in state.ended_rollouts_by_id
    )
    if known:
        return state
    carried = _carried_order(state, record)
    if carried is not None:
        return _with_order_id(state, offset, carried, record.order_id)
    changes = _supersede(
        Changes(
            shares_by_service=old.shares_by_service,
            rollouts_by_id=old.rollouts_by_id,
            blocked=old.blocked,
        ),
        record.service,
        record.order_id,
    )
    rollout = _ordered_rollout(changes, rollout_id, offset, record)
    name = f"{record.service}/{record.version}"
    rejected = rollout.state is tables.RolloutState.ROLLED_BACK
    snapshot = dataclasses.replace(
        old,
        version=state.version_at(offset),
        shares_by_service={
            **changes.shares_by_service,
            record.service: tables.Shares(
                service=record.service,
                percent_by_version=_shares_after_order(rollout),
            ),
        },
        rollouts_by_id={**changes.rollouts_by_id, rollout_id: rollout},
        blocked=changes.blocked | {name}
        if rejected
        else changes.blocked - {name},
    )
    return trim(dataclasses.replace(state, snapshot=snapshot))


def _carried_order(
    state: tables.Agreed, record: records.RolloutOrder
) -> tables.Rollout | None:
    """Return the rollout of the same order in an earlier era of the store.

    The operator writes its order again, which gives it another id.
    """
    newest = eras.newest(
        rollout
        for rollout in state.snapshot.rollouts_by_id.values()
        if rollout.service == record.service
    )
    if newest is None or newest.goal != {record.version: _FULL_PERCENT}:
        return None
    # Ids without an era were given before nodes knew of eras.
    is_renamed = record.order_id.rpartition("-")[0] == newest.release
    if isinstance(state.era, tables.Era) and (
        is_renamed or newest.offset <= state.era.began
    ):
        return newest
    return None


def _with_order_id(
    state: tables.Agreed, offset: int, rollout: tables.Rollout, order_id: str
) -> tables.Agreed:
    rollouts = dict(state.snapshot.rollouts_by_id)
    del rollouts[rollout.rollout_id]
    rollout_id = f"{order_id}/{rollout.service}"
    rollouts[rollout_id] = dataclasses.replace(
        rollout, rollout_id=rollout_id, release=order_id, offset=offset
    )
    snapshot = dataclasses.replace(
        state.snapshot,
        version=state.version_at(offset),
        rollouts_by_id=rollouts,
    )
    return dataclasses.replace(state, snapshot=snapshot)


def _ordered_rollout(
    changes: Changes,
    rollout_id: str,
    offset: int,
    record: records.RolloutOrder,
) -> tables.Rollout:
    current = changes.shares_by_service.get(record.service)
    start = dict(current.percent_by_version) if current else {}
    if not start and record.previous:
        start = {record.previous: _FULL_PERCENT}
    rollout = tables.Rollout(
        rollout_id=rollout_id,
        release=record.order_id,
        service=record.service,
        start=start,
        goal={record.version: _FULL_PERCENT},
        started_s=record.started_s,
        by_s=record.by_s,
        offset=offset,
    )
    if record.outcome is tables.RolloutState.ROLLED_BACK:
        return dataclasses.replace(
            rollout,
            state=record.outcome,
            reason="rolled back before",
            rejected=(record.version,),
        )
    if record.outcome is tables.RolloutState.DONE:
        return _completed(rollout, "done before")
    if not start:
        return _completed(rollout, "first version of the service")
    if not shares.rising(rollout):
        return _completed(rollout, "the shares are in force already")
    return rollout


def _shares_after_order(rollout: tables.Rollout) -> abc.Mapping[str, float]:
    if rollout.state is tables.RolloutState.DONE:
        return rollout.goal
    if rollout.state is tables.RolloutState.ROLLED_BACK:
        return shares.rolled_back(rollout, rollout.rejected)
    return rollout.start


def _completed(rollout: tables.Rollout, reason: str) -> tables.Rollout:
    return dataclasses.replace(
        rollout,
        state=tables.RolloutState.DONE,
        reason=reason,
        progress=1.0,
    )


def _running_rollout(
    state: tables.Agreed, lease: int, rollout_id: str
) -> tables.Rollout | None:
    rollout = state.snapshot.rollouts_by_id.get(rollout_id)
    if lease != state.lease.offset or rollout is None:
        return None
    if rollout.state is not tables.RolloutState.RUNNING:
        return None
    return rollout


def apply_shares(
    state: tables.Agreed, offset: int, record: records.ShareDecision
) -> tables.Agreed:
    """Return the state after a share decision.

    A decision changes nothing if its lease has been replaced, its step
    is out of order, or its shares are not between start and goal.
    """
    rollout = _running_rollout(state, record.lease, record.rollout_id)
    if rollout is None or record.step != rollout.step + 1:
        return state
    if not _is_between(rollout, record.percent_by_version):
        return state
    stepped = dataclasses.replace(
        rollout,
        step=record.step,
        progress=_progress(rollout, record.percent_by_version),
        held_by=record.held_by,
    )
    return _with_rollout(
        state, offset, stepped, percent=record.percent_by_version
    )


def apply_verdict(
    state: tables.Agreed, offset: int, record: records.Verdict
) -> tables.Agreed:
    """Return the state after a verdict.

    A verdict changes nothing if its lease has been replaced or the
    rollout is not running.
    """
    rollout = _running_rollout(state, record.lease, record.rollout_id)
    if rollout is None:
        return state
    if record.done:
        ended = dataclasses.replace(
            rollout,
            state=tables.RolloutState.DONE,
            reason=record.reason,
            progress=1.0,
            held_by="",
        )
        return _with_rollout(state, offset, ended, percent=rollout.goal)
    rising_versions = shares.rising(rollout)
    rejected = tuple(
        name for name in record.rejected if name in rising_versions
    )
    rejected = rejected or rising_versions
    ended = dataclasses.replace(
        rollout,
        state=tables.RolloutState.ROLLED_BACK,
        reason=record.reason,
        held_by="",
        rejected=rejected,
    )
    return _with_rollout(
        state, offset, ended, percent=shares.rolled_back(rollout, rejected)
    )


def trim(state: tables.Agreed) -> tables.Agreed:
    """Move all but the newest ended rollouts out of the snapshot.

    Versions that only a moved rollout rejected are removed from
    ``blocked``; they have no share of the traffic.
    """
    old = state.snapshot.rollouts_by_id
    surplus_ids = _surplus_ended_ids(old)
    if not surplus_ids:
        return state
    kept = {
        rollout_id: rollout
        for rollout_id, rollout in old.items()
        if rollout_id not in surplus_ids
    }
    history = [
        *state.ended_rollouts_by_id.values(),
        *(old[rollout_id] for rollout_id in surplus_ids),
    ]
    # Mappings decoded from a checkpoint do not keep the insertion order,
    # so rollouts are sorted by offset to evict the same ones everywhere.
    history.sort(key=lambda rollout: (rollout.offset, rollout.rollout_id))
    return dataclasses.replace(
        state,
        snapshot=dataclasses.replace(
            state.snapshot,
            rollouts_by_id=kept,
            blocked=state.snapshot.blocked & _rejected_versions(kept),
        ),
        ended_rollouts_by_id={
            rollout.rollout_id: rollout
            for rollout in history[-MAX_ENDED_ROLLOUTS:]
        },
    )


def _surplus_ended_ids(
    rollouts: abc.Mapping[str, tables.Rollout],
) -> list[str]:
    ended_by_service: dict[str, list[str]] = {}
    for rollout_id, rollout in rollouts.items():
        if rollout.state is not tables.RolloutState.RUNNING:
            ended_by_service.setdefault(rollout.service, []).append(rollout_id)
    return [
        rollout_id
        for ids in ended_by_service.values()
        for rollout_id in sorted(
            ids, key=lambda rollout_id: rollouts[rollout_id].offset
        )[:-MAX_ENDED_PER_SERVICE]
    ]


def _rejected_versions(rollouts: abc.Mapping[str, tables.Rollout]) -> set[str]:
    return {
        f"{rollout.service}/{version}"
        for rollout in rollouts.values()
        for version in rollout.rejected
    }


def _is_between(
    rollout: tables.Rollout, percents: abc.Mapping[str, float]
) -> bool:
    known = set(rollout.start) | set(rollout.goal)
    if not set(percents) <= known or not all(
        map(math.isfinite, percents.values())
    ):
        return False
    if abs(sum(percents.values()) - _FULL_PERCENT) > _MAX_ERROR:
        return False
    for version in known:
        bounds = (
            rollout.start.get(version, 0.0),
            rollout.goal.get(version, 0.0),
        )
        percent = percents.get(version, 0.0)
        if not min(bounds) - _MAX_ERROR <= percent <= max(bounds) + _MAX_ERROR:
            return False
    return True


def _progress(
    rollout: tables.Rollout, percents: abc.Mapping[str, float]
) -> float:
    version = shares.rising(rollout)[0]
    start = rollout.start.get(version, 0.0)
    fraction = (percents.get(version, 0.0) - start) / (
        rollout.goal[version] - start
    )
    return 1.0 if fraction > 1.0 - _MAX_ERROR else fraction


def _with_rollout(
    state: tables.Agreed,
    offset: int,
    rollout: tables.Rollout,
    percent: abc.Mapping[str, float],
) -> tables.Agreed:
    old = state.snapshot
    blocked = old.blocked | {
        f"{rollout.service}/{version}" for version in rollout.rejected
    }
    snapshot = dataclasses.replace(
        old,
        version=state.version_at(offset),
        rollouts_by_id={**old.rollouts_by_id, rollout.rollout_id: rollout},
        shares_by_service={
            **old.shares_by_service,
            rollout.service: tables.Shares(
                service=rollout.service, percent_by_version=percent
            ),
        },
        blocked=blocked,
    )
    state = dataclasses.replace(state, snapshot=snapshot)
    if rollout.state is tables.RolloutState.RUNNING:
        return state
    return trim(state)
