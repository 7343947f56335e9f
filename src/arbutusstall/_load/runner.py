"""Sends calls when they are due, however late the answers are."""

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

# Time that an answer may take beyond the deadline it was given.
_GRACE_S = 1.0
_KEY = "Idempotency-Key"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RunSettings:
    """How to run.

    Attributes:
        entries: Base URLs of the nodes that calls enter through.
        seed: Makes the order of kinds and the ids repeatable.
        workers: Calls that may be open at once.
        log_all: Write event lines for all calls, not just failed ones.
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
    due: schedule.Due


class Runner:
    """Carries out one plan."""

    def __init__(self, plan: kinds.Plan, settings: RunSettings) -> None:
        self._plan = plan
        self._settings = settings
        self._log = events.EventLog(settings)
        self._tally = tally.Tally()
        self._started_s = 0.0

    def run(self) -> dict[str, tally.KindReport]:
        """Make all calls and return the figures by kind."""
        rng = random.Random(self._settings.seed)
        calls = schedule.plan_calls(self._plan, self._settings.steps, rng)
        self._log.emit("load-started", {"seed": self._settings.seed})
        self._started_s = time.monotonic()
        with futures.ThreadPoolExecutor(self._settings.workers) as pool:
            jobs = [pool.submit(self._call, due) for due in self._paced(calls)]
        for job in jobs:
            job.result()
        self._log.emit("load-ended")
        return self._tally.report()

    def _paced(
        self, calls: abc.Iterable[schedule.Due]
    ) -> abc.Iterator[schedule.Due]:
        for due in calls:
            left_s = self._started_s + due.due_s - time.monotonic()
            if left_s > 0:
                time.sleep(left_s)
            yield due

    def _call(self, due: schedule.Due) -> None:
        result = tally.Result(outcome=tally.Outcome.NONE)
        for number in range(due.kind.resend + 1):
            result = self._attempt(self._prepare(due, number))
            if result.outcome not in (
                tally.Outcome.UNKNOWN,
                tally.Outcome.NONE,
            ):
                break
        latency_s = time.monotonic() - self._started_s - due.due_s
        self._tally.add(due.kind.name, result, latency_s)

    def _prepare(self, due: schedule.Due, number: int) -> _Attempt:
        entries = self._settings.entries
        name = f"{self._settings.node}-{self._settings.seed}-{due.number}"
        return _Attempt(
            request_id=f"{name}-{number}",
            key=name if due.kind.key else "",
            entry=entries[(due.number + number) % len(entries)],
            due=due,
        )

    def _attempt(self, attempt: _Attempt) -> tally.Result:
        fields = {
            "request": attempt.request_id,
            "kind": attempt.due.kind.name,
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
        kind = attempt.due.kind
        number = str(attempt.due.number)
        headers = [
            *kind.headers.items(),
            (outbound.REQUEST_ID, attempt.request_id),
            (outbound.DEADLINE_MS, str(kind.deadline_ms)),
        ]
        if attempt.key:
            headers.append((_KEY, attempt.key))
        request = http.Request(
            method=kind.method,
            url=attempt.entry + kind.path.replace("{n}", number),
            headers=tuple(headers),
            body=kind.body.replace("{n}", number).encode(),
            timeout_s=kind.deadline_ms / 1000 + _GRACE_S,
        )
        try:
            response = http.send(request)
        except errors.ArbutusstallError as exc:
            return tally.Result(
                outcome=tally.Outcome.NONE, reason=f"{exc.step}: {exc.reason}"
            )
        return _judge(attempt, response)


def _judge(attempt: _Attempt, response: http.Response) -> tally.Result:
    headers = {name.lower(): value for name, value in response.headers}
    named = headers.get(outbound.OUTCOME.lower(), "")
    echoed = headers.get(outbound.REQUEST_ID.lower(), "")
    # With a key, the answer may be the one to an earlier attempt.
    own = (f"{attempt.key}-" if attempt.key else attempt.request_id).encode()
    if echoed != attempt.request_id:
        outcome, reason = tally.Outcome.WRONG, f"the answer names {echoed!r}"
    elif named:
        outcome = tally.Outcome(named)
        reason = headers.get(outbound.REASON.lower(), "")
    elif attempt.due.kind.echo and own not in response.body:
        outcome, reason = tally.Outcome.WRONG, "the body lacks the id"
    else:
        outcome, reason = tally.Outcome.ANSWER, ""
    return tally.Result(
        outcome=outcome,
        reason=reason,
        status=response.status,
        digest=xxhash.xxh3_64_hexdigest(response.body),
    )
