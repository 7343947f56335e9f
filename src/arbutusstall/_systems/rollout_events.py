"""Events for the changes of rollouts between two snapshots."""

from arbutusstall import _effects
from arbutusstall._tables import agreed


def between(
    before: agreed.Snapshot, after: agreed.Snapshot
) -> list[_effects.Effect]:
    """Return one event for each rollout that changed.

    The events are ``rollout-running`` at the start, ``rollout-step`` for
    new shares, ``rollout-held`` for a new reason to hold, and
    ``rollout-done`` or ``rollout-rolled-back`` for the verdict.
    """
    effects: list[_effects.Effect] = []
    for rollout_id, rollout in after.rollouts_by_id.items():
        event = _event(before.rollouts_by_id.get(rollout_id), rollout)
        if event:
            effects.append(_emit(event, rollout, after))
    return effects


def _event(old: agreed.Rollout | None, new: agreed.Rollout) -> str:
    if old is None or old.state is not new.state:
        return f"rollout-{new.state.value}"
    if old.progress != new.progress:
        return "rollout-step"
    if old.held_by != new.held_by:
        return "rollout-held"
    return ""


def _emit(
    event: str, rollout: agreed.Rollout, snapshot: agreed.Snapshot
) -> _effects.Emit:
    percents = snapshot.shares_by_service.get(rollout.service)
    shown = percents.percent_by_version if percents else {}
    return _effects.Emit(
        event=event,
        fields={
            "rollout": rollout.rollout_id,
            "step": rollout.step,
            "shares": ",".join(
                f"{version}:{percent:.4g}"
                for version, percent in sorted(shown.items())
            )
            or "-",
            "held_by": rollout.held_by or "-",
            "reason": rollout.reason or "-",
        },
    )
