"""Derives events for operators from the log as it grows."""

import dataclasses

from arbutusstall._log import client
from arbutusstall._log import follower
from arbutusstall._log import status
from arbutusstall._tables import agreed

LONG_POLL_S = 2.0
RETRY_DELAY_S = 0.5


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Event:
    """A change in the log that is reported to operators.

    Attributes:
        offset: Log offset of the record that caused it.
        event: For example ``release-accepted`` or ``move-done``.
        subject: Release name, rollout id, or node id of the leader;
            ``log`` for events about the log itself.
        text: Details for a human reader.
    """

    offset: int
    event: str
    subject: str
    text: str = ""

    def line(self) -> str:
        """Return the event as one line."""
        return f"{self.offset} {self.event} {self.subject} {self.text}".strip()


class Watcher:
    """Follows the log and returns what changed.

    Args:
        log: The log to follow.
        from_start: Whether to return events of records that the log
            already holds.
    """

    def __init__(self, log: client.LogClient, *, from_start: bool) -> None:
        self._log = log
        self._follower = follower.Follower()
        self._offset = 0
        self._skips_past = not from_start

    def poll(self, wait_s: float) -> list[Event]:
        """Read the log once and return the resulting events.

        Args:
            wait_s: Maximum time to wait for a record, in seconds.

        Raises:
            LogUnavailable: The log did not answer.
        """
        answer = self._log.read(
            self._offset, 0.0 if self._skips_past else wait_s
        )
        before = self._follower.state
        events: list[Event] = []
        for entry in answer.entries:
            single = dataclasses.replace(answer, entries=(entry,))
            for log_event in self._follower.read(single):
                events.append(
                    Event(
                        offset=log_event.offset,
                        event=log_event.event,
                        subject="log",
                        text=log_event.reason,
                    )
                )
            events += _changes(before, self._follower.state)
            before = self._follower.state
            self._offset = entry.offset + 1
        if not answer.entries:
            self._follower.read(answer)
        if not self._skips_past:
            return events
        self._skips_past = self._offset < answer.next_offset and bool(
            answer.entries
        )
        return []


def _changes(before: agreed.Agreed, after: agreed.Agreed) -> list[Event]:
    offset = after.offset - 1
    events = _release_changes(before, after)
    events += _move_changes(before, after)
    if before.lease.offset != after.lease.offset:
        events.append(
            Event(
                offset=offset,
                event="leader",
                subject=after.lease.holder or "-",
                text=f"lease {after.lease.offset}",
            )
        )
    return events


def _release_changes(
    before: agreed.Agreed, after: agreed.Agreed
) -> list[Event]:
    if before.releases_by_name is after.releases_by_name:
        return []
    return [
        Event(
            offset=row.offset,
            event=f"release-{row.state.value}",
            subject=name,
            text=row.reason,
        )
        for name, row in after.releases_by_name.items()
        if before.releases_by_name.get(name) != row
    ]


def _move_changes(before: agreed.Agreed, after: agreed.Agreed) -> list[Event]:
    old, new = before.snapshot, after.snapshot
    if old.rollouts_by_id is new.rollouts_by_id:
        return []
    events = []
    for rollout_id, rollout in new.rollouts_by_id.items():
        if old.rollouts_by_id.get(rollout_id) == rollout:
            continue
        shares = new.shares_by_service.get(rollout.service)
        now = (
            status.format_percents(shares.percent_by_version) if shares else ""
        )
        text = f"at {now}" if now else ""
        if rollout.reason:
            text = f"{text}; {rollout.reason}".lstrip("; ")
        events.append(
            Event(
                offset=after.offset - 1,
                event=f"move-{rollout.state.value}",
                subject=rollout_id,
                text=text,
            )
        )
    return events
