"""Publishes releases and determines their outcomes."""

from collections import abc
import dataclasses
import random
import time
import uuid

import expression

from arbutusstall import _notes
from arbutusstall import _settings
from arbutusstall import errors
from arbutusstall._log import client
from arbutusstall._log import pacing
from arbutusstall._log import reader
from arbutusstall._log import records
from arbutusstall._log import releases
from arbutusstall._tables import agreed


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Publication:
    """An accepted release.

    Attributes:
        state: An agreed state that includes it.
        repeated: Whether an earlier publication of the same content had
            been accepted already.
    """

    outcome: agreed.ReleaseOutcome
    state: agreed.Agreed
    repeated: bool = False


PublishResult = expression.Result[Publication, errors.ArbutusstallError]


def release_record(
    note: _notes.ReleaseNote, state: agreed.Agreed
) -> records.ReleaseRecord:
    """Return the record that publishes ``note`` based on ``state``."""
    return records.ReleaseRecord(
        record_id=f"release/{note.name}/{uuid.uuid4().hex}",
        note=note,
        digest=_notes.digest(note),
        published_s=time.time(),
        seen={
            key: state.item_offsets_by_key.get(key, agreed.NO_OFFSET)
            for key in releases.item_keys(note)
        },
        read_to=state.offset,
    )


class Publisher:
    """Appends releases and reads their outcomes back from the log.

    Args:
        log: The log to append to and read from.
        settings: Supplies the backoff between attempts.
        bound_s: Time after which no further attempt begins, in seconds.
        sleep: Waits for a number of seconds.
    """

    def __init__(
        self,
        log: client.LogClient,
        settings: _settings.LogSettings,
        bound_s: float,
        sleep: abc.Callable[[float], None] = time.sleep,
    ) -> None:
        self._log = log
        self._settings = settings
        self._sleep = sleep
        self._rng = random.Random()
        self._deadline_s = time.monotonic() + bound_s

    def read(self, state: agreed.Agreed | None = None) -> agreed.Agreed:
        """Return the agreed state, retrying failed reads with backoff.

        Raises:
            LogUnavailable: Reads failed until the time limit.
        """
        failures = 0
        while True:
            try:
                return reader.read_agreed(self._log, state)
            except errors.LogUnavailable:
                if not self._wait(failures):
                    raise
            failures += 1

    def publish(
        self, note: _notes.ReleaseNote, state: agreed.Agreed
    ) -> PublishResult:
        """Append the release, based on ``state``, and return its outcome.

        The error is `ReleaseRefused`, or `LogUnavailable` if the outcome
        is unknown.
        """
        known = state.releases_by_name.get(note.name)
        accepted = agreed.ReleaseState.ACCEPTED
        if known is not None and known.state is accepted:
            return _already_accepted(note, known, state)
        record = release_record(note, state)
        reason = releases.refusal_reason(state, record)
        if reason:
            return expression.Error(_refusal_error(note, reason))
        return self._append(record, state)

    def _append(
        self, record: records.ReleaseRecord, state: agreed.Agreed
    ) -> PublishResult:
        failures = 0
        may_be_stored = False
        while True:
            failure = self._append_once(record)
            may_be_stored |= not isinstance(failure, errors.LogOverloaded)
            try:
                state = self.read(state)
            except errors.LogUnavailable as exc:
                return expression.Error(exc)
            found = _result_of(record, state)
            if found is not None:
                return found
            if failure is None or not self._wait(failures):
                break
            failures += 1
        if may_be_stored or failure is None:
            return expression.Error(_unknown_outcome_error(failure))
        return expression.Error(_refusal_error(record.note, failure.reason))

    def _append_once(
        self, record: records.ReleaseRecord
    ) -> errors.LogUnavailable | None:
        try:
            self._log.append(records.encode(record))
        except errors.LogUnavailable as exc:
            return exc
        return None

    def _wait(self, failures: int) -> bool:
        delay_s = pacing.backoff_s(self._settings, failures, self._rng)
        if time.monotonic() + delay_s >= self._deadline_s:
            return False
        self._sleep(delay_s)
        return True


def _result_of(
    record: records.ReleaseRecord, state: agreed.Agreed
) -> PublishResult | None:
    outcome = state.releases_by_name.get(record.note.name)
    if outcome is None or outcome.offset < record.read_to:
        return None
    if outcome.state is agreed.ReleaseState.REFUSED:
        reason = outcome.reason
        if outcome.record_id != record.record_id:
            reason = (
                f"$.name: another release of this name was refused: {reason}"
            )
        return expression.Error(_refusal_error(record.note, reason))
    if outcome.record_id == record.record_id:
        return expression.Ok(Publication(outcome=outcome, state=state))
    return _already_accepted(record.note, outcome, state)


def _already_accepted(
    note: _notes.ReleaseNote,
    known: agreed.ReleaseOutcome,
    state: agreed.Agreed,
) -> PublishResult:
    if known.digest == _notes.digest(note):
        return expression.Ok(
            Publication(outcome=known, state=state, repeated=True)
        )
    reason = (
        f"$.name: a release of this name was accepted with other content "
        f"at offset {known.offset}; choose another name"
    )
    return expression.Error(_refusal_error(note, reason))


def _refusal_error(
    note: _notes.ReleaseNote, reason: str
) -> errors.ReleaseRefused:
    return errors.ReleaseRefused(
        step="release.publish", peer=note.name, reason=reason
    )


def _unknown_outcome_error(
    failure: errors.LogUnavailable | None,
) -> errors.LogUnavailable:
    return failure or errors.LogUnavailable(
        step="release.publish",
        peer="log",
        reason="the log acknowledged the record but did not return it",
    )
