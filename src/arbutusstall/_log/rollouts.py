"""The part of the fold that concerns rollouts."""

from collections import abc
import dataclasses

from arbutusstall import _notes
from arbutusstall._log import records
from arbutusstall._tables import agreed as tables


def begin(
    shares: abc.Mapping[str, tables.Shares],
    offset: int,
    record: records.ReleaseRecord,
    item: _notes.ShareItem,
) -> tables.Rollout:
    """Return the rollout that a share item asks for."""
    current = shares.get(item.service)
    by_s = item.by.timestamp() if item.by else record.published_s
    return tables.Rollout(
        rollout_id=f"{record.note.name}/{item.service}",
        release=record.note.name,
        service=item.service,
        start=current.percent_by_version if current else {},
        goal=item.percent_by_version,
        started_s=record.published_s,
        by_s=by_s,
        state=tables.RolloutState.RUNNING
        if current
        else tables.RolloutState.DONE,
        reason="" if current else "first version of the service",
        offset=offset,
    )


def _running(
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
    """Return the state after a share decision."""
    rollout = _running(state, record.lease, record.rollout_id)
    if rollout is None or record.step != rollout.step + 1:
        return state
    stepped = dataclasses.replace(rollout, step=record.step)
    return _with_rollout(
        state, offset, stepped, percent=record.percent_by_version
    )


def apply_verdict(
    state: tables.Agreed, offset: int, record: records.Verdict
) -> tables.Agreed:
    """Return the state after a verdict."""
    rollout = _running(state, record.lease, record.rollout_id)
    if rollout is None:
        return state
    ended = dataclasses.replace(
        rollout,
        state=tables.RolloutState.DONE
        if record.done
        else tables.RolloutState.ROLLED_BACK,
        reason=record.reason,
    )
    percent = rollout.goal if record.done else rollout.start
    return _with_rollout(state, offset, ended, percent=percent)


def _with_rollout(
    state: tables.Agreed,
    offset: int,
    rollout: tables.Rollout,
    percent: abc.Mapping[str, float],
) -> tables.Agreed:
    old = state.snapshot
    blocked = old.blocked
    if rollout.state is tables.RolloutState.ROLLED_BACK:
        blocked |= {
            f"{rollout.service}/{version}"
            for version in rollout.goal
            if rollout.goal[version] > rollout.start.get(version, 0.0)
        }
    snapshot = dataclasses.replace(
        old,
        version=offset + 1,
        rollouts_by_id={**old.rollouts_by_id, rollout.rollout_id: rollout},
        shares_by_service={
            **old.shares_by_service,
            rollout.service: tables.Shares(
                service=rollout.service, percent_by_version=percent
            ),
        },
        blocked=blocked,
    )
    return dataclasses.replace(state, snapshot=snapshot)
