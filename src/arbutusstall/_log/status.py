"""The agreed state as shown to operators."""

from collections import abc
import dataclasses

from arbutusstall._tables import agreed

_VERDICTS = {
    agreed.RolloutState.RUNNING: "running",
    agreed.RolloutState.DONE: "done",
    agreed.RolloutState.ROLLED_BACK: "taken back",
}


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ReleaseRow:
    """One release and its outcome."""

    name: str
    state: str
    reason: str
    offset: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class MoveRow:
    """One rollout.

    Attributes:
        move: Rollout id.
        state: ``running``, ``done`` or ``rolled-back``.
        verdict: The state as worded for operators.
        goal: Percentages to reach, by version.
        percent_by_version: Current shares of the service.
        held_by: What keeps it behind its schedule; empty if nothing does.
        reason: Reason for the verdict; empty while running.
    """

    move: str
    service: str
    state: str
    verdict: str
    goal: abc.Mapping[str, float]
    percent_by_version: abc.Mapping[str, float]
    held_by: str
    reason: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Status:
    """Releases and rollouts, oldest first."""

    version: int
    leader: str
    releases: tuple[ReleaseRow, ...]
    moves: tuple[MoveRow, ...]

    def lines(self) -> abc.Iterator[str]:
        """Yield the status as lines of text, one for each row."""
        yield f"version {self.version}, leader {self.leader or '-'}"
        for release in self.releases:
            text = f"release {release.name}: {release.state}"
            yield f"{text} {release.reason}".rstrip()
        for move in self.moves:
            yield _move_line(move)


def from_agreed(state: agreed.Agreed) -> Status:
    """Return the status of ``state``."""
    releases = sorted(
        state.releases_by_name.values(), key=lambda item: item.offset
    )
    rollouts = sorted(
        (
            *state.ended_rollouts_by_id.values(),
            *state.snapshot.rollouts_by_id.values(),
        ),
        key=lambda item: (item.offset, item.rollout_id),
    )
    return Status(
        version=state.snapshot.version,
        leader=state.lease.holder,
        releases=tuple(
            ReleaseRow(
                name=item.name,
                state=item.state.value,
                reason=item.reason,
                offset=item.offset,
            )
            for item in releases
        ),
        moves=tuple(_move_row(state.snapshot, item) for item in rollouts),
    )


def _move_row(snapshot: agreed.Snapshot, rollout: agreed.Rollout) -> MoveRow:
    shares = snapshot.shares_by_service.get(rollout.service)
    return MoveRow(
        move=rollout.rollout_id,
        service=rollout.service,
        state=rollout.state.value,
        verdict=_VERDICTS[rollout.state],
        goal=rollout.goal,
        percent_by_version=shares.percent_by_version if shares else {},
        held_by=rollout.held_by,
        reason=rollout.reason,
    )


def _move_line(move: MoveRow) -> str:
    parts = [f"move {move.move}: {move.state}"]
    if move.state == agreed.RolloutState.ROLLED_BACK.value:
        parts.append("(taken back)")
    if move.state == agreed.RolloutState.RUNNING.value:
        parts.append(f"at {format_percents(move.percent_by_version)}")
    if move.held_by:
        parts.append(f"held by {move.held_by}")
    if move.reason:
        parts.append(move.reason)
    return " ".join(parts)


def format_percents(percent_by_version: abc.Mapping[str, float]) -> str:
    """Return shares as text, for example ``v1 95%, v2 5%``."""
    return ", ".join(
        f"{version} {percent:.3g}%"
        for version, percent in sorted(percent_by_version.items())
    )
