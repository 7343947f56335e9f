"""Counts outcomes and latencies of calls by kind."""

from collections import abc
import dataclasses
import enum
import threading

from hdrh import histogram

_MAX_LATENCY_US = 3_600_000_000
_SIGNIFICANT_DIGITS = 3
_US_PER_S = 1e6
_US_PER_MS = 1e3
_PERCENTILES = {"p50": 50.0, "p90": 90.0, "p99": 99.0, "p99.9": 99.9}


class Outcome(enum.Enum):
    """What the caller learned from an attempt.

    Attributes:
        ANSWER: The complete answer to its own request.
        NOT_RUN: A refusal, which states that the request did not run.
        UNKNOWN: The mesh cannot tell whether the request ran.
        NONE: No complete answer from the mesh.
        WRONG: An answer to another request.
    """

    ANSWER = "answer"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
    NONE = "none"
    WRONG = "wrong"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Result:
    """Result of one attempt.

    Attributes:
        outcome: What the caller learned.
        reason: Why there was no answer, else empty.
        status: HTTP status; 0 if there was no answer.
        digest: Hash of the answer's body.
    """

    outcome: Outcome
    reason: str = ""
    status: int = 0
    digest: str = ""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class KindReport:
    """Results of the calls of one kind.

    Attributes:
        counts: Number of calls by outcome.
        not_run: Number of refused calls by reason.
        failed_answers: Complete answers with a status of 500 or more.
        latency_ms: Percentiles over the complete answers, from the
            scheduled time of the call, in milliseconds.
    """

    counts: abc.Mapping[str, int]
    not_run: abc.Mapping[str, int]
    failed_answers: int
    latency_ms: abc.Mapping[str, float]


class Tally:
    """Counts the results by kind; safe to use from many threads."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._rows_by_kind: dict[str, _KindCounts] = {}

    def add(self, kind: str, result: Result, latency_s: float) -> None:
        """Count a call by the result of its last attempt."""
        with self._lock:
            row = self._rows_by_kind.setdefault(kind, _KindCounts())
            row.add(result, latency_s)

    def report(self) -> dict[str, KindReport]:
        """Return the results by kind."""
        with self._lock:
            return {
                kind: row.report()
                for kind, row in sorted(self._rows_by_kind.items())
            }


class _KindCounts:
    def __init__(self) -> None:
        self.counts = {outcome.value: 0 for outcome in Outcome}
        self.not_run: dict[str, int] = {}
        self.failed_answers = 0
        self.latency = histogram.HdrHistogram(
            1, _MAX_LATENCY_US, _SIGNIFICANT_DIGITS
        )

    def add(self, result: Result, latency_s: float) -> None:
        self.counts[result.outcome.value] += 1
        if result.outcome is Outcome.NOT_RUN:
            count = self.not_run.get(result.reason, 0)
            self.not_run[result.reason] = count + 1
        if result.outcome is Outcome.ANSWER:
            self.latency.record_value(max(1, int(latency_s * _US_PER_S)))
            self.failed_answers += result.status >= 500

    def report(self) -> KindReport:
        latency_ms = {
            name: self.latency.get_value_at_percentile(percentile) / _US_PER_MS
            for name, percentile in _PERCENTILES.items()
        }
        latency_ms["max"] = self.latency.get_max_value() / _US_PER_MS
        return KindReport(
            counts=dict(self.counts),
            not_run=dict(self.not_run),
            failed_answers=self.failed_answers,
            latency_ms=latency_ms,
        )
