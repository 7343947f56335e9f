"""The agreed state as operators read it."""

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
    """One release and what became of it."""

    name: str
    state: str
    reason: str
    offset: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class MoveRow:
    """One move of traffic.

    Attributes:
        state: ``running``, ``done`` or ``rolled-back``.
        verdict: The same in the operators' words.
        percent_by_version: Shares of the service now.
        held_by: What keeps it behind its plan; empty if nothing does.
        reason: Why it ended.
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
    """Releases and moves, oldest first."""

    version: int
    leader: str
    releases: tuple[ReleaseRow, ...]
    moves: tuple[MoveRow, ...]

    def lines(self) -> abc.Iterator[str]:
        """Yield the status as lines of text."""
        yield f"version {self.version}, leader {self.leader or '-'}"
        for release in self.releases:
            text = f"release {release.name}: {release.state}"
            yield f"{text} {release.reason}".rstrip()
        for move in self.moves:
            yield _move_line(move)


def of(state: agreed.Agreed) -> Status:
    """Return the status that ``state`` shows."""
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
        parts.append(f"at {percents(move.percent_by_version)}")
    if move.held_by:
        parts.append(f"held by {move.held_by}")
    if move.reason:
        parts.append(move.reason)
    return " ".join(parts)


def percents(percent_by_version: abc.Mapping[str, float]) -> str:
    """Return shares as text, such as ``v1 95%, v2 5%``."""
    return ", ".join(
        f"{version} {percent:.3g}%"
        for version, percent in sorted(percent_by_version.items())
    )
