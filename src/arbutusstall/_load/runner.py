"""Sends calls at their scheduled times, independent of the answers.

Latencies count from the scheduled time, so that they include the wait
for a free worker.
"""

from collections import abc
from concurrent import futures
import dataclasses
import random
import time

import xxhash

from arbutusstall import errors
from arbutusstall._load import kinds
from arbutusstall._load import schedule
from arbutusstall._load import tally
from arbutusstall._shell import events
from arbutusstall._shell import http
from arbutusstall._shell import outbound

# How long to wait for an answer after the deadline of the call.
_RESPONSE_GRACE_S = 1.0
_IDEMPOTENCY_KEY = "Idempotency-Key"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RunSettings:
    """Parameters of a run.

    Attributes:
        entries: Base URLs of the nodes that calls enter through.
        steps: Rates in their order.
        seed: Fixes the order of kinds; part of the request ids.
        workers: Maximum number of concurrent calls.
        log_all: Whether to log all calls, not only failed ones.
        node: Name in event lines and request ids.
        data_centre: Data centre in event lines.
    """

    entries: tuple[str, ...]
    steps: tuple[schedule.Step, ...]
    seed: int
    workers: int
    log_all: bool
    node: str
    data_centre: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _Attempt:
    request_id: str
    key: str
    entry: str
    scheduled: schedule.ScheduledCall


class Runner:
    """Sends the calls of one plan and counts their outcomes."""

    def __init__(self, plan: kinds.Plan, settings: RunSettings) -> None:
        self._plan = plan
        self._settings = settings
        self._log = events.EventLog(settings)
        self._tally = tally.Tally()
        self._started_s = 0.0

    def run(self) -> dict[str, tally.KindReport]:
        """Send all calls and return the results by kind."""
        rng = random.Random(self._settings.seed)
        calls = schedule.plan_calls(self._plan, self._settings.steps, rng)
        self._log.emit("load-started", {"seed": self._settings.seed})
        self._started_s = time.monotonic()
        with futures.ThreadPoolExecutor(self._settings.workers) as pool:
            pending = [
                pool.submit(self._call, scheduled)
                for scheduled in self._pace(calls)
            ]
        for future in pending:
            future.result()
        self._log.emit("load-ended")
        return self._tally.report()

    def _pace(
        self, calls: abc.Iterable[schedule.ScheduledCall]
    ) -> abc.Iterator[schedule.ScheduledCall]:
        for scheduled in calls:
            remaining_s = self._started_s + scheduled.due_s - time.monotonic()
            if remaining_s > 0:
                time.sleep(remaining_s)
            yield scheduled

    def _call(self, scheduled: schedule.ScheduledCall) -> None:
        result = tally.Result(outcome=tally.Outcome.NONE)
        for number in range(scheduled.kind.resend + 1):
            result = self._attempt(self._prepare(scheduled, number))
            if result.outcome not in (
                tally.Outcome.UNKNOWN,
                tally.Outcome.NONE,
            ):
                break
        latency_s = time.monotonic() - self._started_s - scheduled.due_s
        self._tally.add(scheduled.kind.name, result, latency_s)

    def _prepare(
        self, scheduled: schedule.ScheduledCall, number: int
    ) -> _Attempt:
        entries = self._settings.entries
        name = (
            f"{self._settings.node}-{self._settings.seed}-{scheduled.number}"
        )
        return _Attempt(
            request_id=f"{name}-{number}",
            key=name if scheduled.kind.key else "",
            entry=entries[(scheduled.number + number) % len(entries)],
            scheduled=scheduled,
        )

    def _attempt(self, attempt: _Attempt) -> tally.Result:
        fields = {
            "request": attempt.request_id,
            "kind": attempt.scheduled.kind.name,
            "entry": attempt.entry.rpartition("/")[2],
            "key": attempt.key,
        }
        if self._settings.log_all:
            self._log.emit("caller-sent", fields)
        result = self._send(attempt)
        if self._settings.log_all or result.outcome is not (
            tally.Outcome.ANSWER
        ):
            fields["outcome"] = result.outcome.value
            fields["status"] = str(result.status)
            fields["reason"] = result.reason
            fields["digest"] = result.digest
            self._log.emit("caller-got", fields)
        return result

    def _send(self, attempt: _Attempt) -> tally.Result:
        kind = attempt.scheduled.kind
        number = str(attempt.scheduled.number)
        headers = [
            *kind.headers.items(),
            (outbound.REQUEST_ID, attempt.request_id),
            (outbound.DEADLINE_MS, str(kind.deadline_ms)),
        ]
        if attempt.key:
            headers.append((_IDEMPOTENCY_KEY, attempt.key))
        request = http.Request(
            method=kind.method,
            url=attempt.entry + kind.path.replace("{n}", number),
            headers=tuple(headers),
            body=kind.body.replace("{n}", number).encode(),
            timeout_s=kind.deadline_ms / 1000 + _RESPONSE_GRACE_S,
        )
        try:
            response = http.send(request)
        except errors.ArbutusstallError as exc:
            return tally.Result(
                outcome=tally.Outcome.NONE, reason=f"{exc.step}: {exc.reason}"
            )
        return _classify(attempt, response)


def _classify(attempt: _Attempt, response: http.Response) -> tally.Result:
    headers = {name.lower(): value for name, value in response.headers}
    outcome_name = headers.get(outbound.OUTCOME.lower(), "")
    answered_id = headers.get(outbound.REQUEST_ID.lower(), "")
    # With a key, the answer may be that of an earlier attempt.
    expected = (
        f"{attempt.key}-" if attempt.key else attempt.request_id
    ).encode()
    if answered_id != attempt.request_id:
        outcome, reason = (
            tally.Outcome.WRONG,
            f"the answer has the request id {answered_id!r}",
        )
    elif outcome_name:
        outcome = tally.Outcome(outcome_name)
        reason = headers.get(outbound.REASON.lower(), "")
    elif attempt.scheduled.kind.echo and expected not in response.body:
        outcome, reason = tally.Outcome.WRONG, "the body lacks the request id"
    else:
        outcome, reason = tally.Outcome.ANSWER, ""
    return tally.Result(
        outcome=outcome,
        reason=reason,
        status=response.status,
        digest=xxhash.xxh3_64_hexdigest(response.body),
    )
