"""Counts outcomes and latencies of calls by kind."""

from collections import abc
import dataclasses
import enum
import threading

from hdrh import histogram

_MAX_US = 3_600_000_000
_DIGITS = 3
_US = 1e6
_MS = 1e3
_QUANTILES = {"p50": 50.0, "p90": 90.0, "p99": 99.0, "p99.9": 99.9}


class Outcome(enum.Enum):
    """What a caller got.

    Attributes:
        ANSWER: The whole answer to its own request.
        NOT_RUN: A refusal that says that the request did not run.
        UNKNOWN: The mesh does not know whether it ran.
        NONE: No whole answer from the mesh at all.
        WRONG: An answer to another request.
    """

    ANSWER = "answer"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
    NONE = "none"
    WRONG = "wrong"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Result:
    """The end of one attempt.

    Attributes:
        reason: Why there was no answer, else empty.
        status: HTTP status, zero if there was none.
        digest: Hash of the answer's body.
    """

    outcome: Outcome
    reason: str = ""
    status: int = 0
    digest: str = ""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class KindReport:
    """Figures of one kind; latencies from the due time.

    Attributes:
        counts: Calls by outcome.
        not_run: Refused calls by reason.
        failed_answers: Whole answers with a status of 500 or more.
        latency_ms: Quantiles over the whole answers.
    """

    counts: abc.Mapping[str, int]
    not_run: abc.Mapping[str, int]
    failed_answers: int
    latency_ms: abc.Mapping[str, float]


class Tally:
    """Collects results from many threads."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._rows_by_kind: dict[str, _Row] = {}

    def add(self, kind: str, result: Result, latency_s: float) -> None:
        """Count the last result of one call."""
        with self._lock:
            row = self._rows_by_kind.setdefault(kind, _Row())
            row.add(result, latency_s)

    def report(self) -> dict[str, KindReport]:
        """Return the figures by kind."""
        with self._lock:
            return {
                kind: row.report()
                for kind, row in sorted(self._rows_by_kind.items())
            }


class _Row:
    def __init__(self) -> None:
        self.counts = {outcome.value: 0 for outcome in Outcome}
        self.not_run: dict[str, int] = {}
        self.failed_answers = 0
        self.latency = histogram.HdrHistogram(1, _MAX_US, _DIGITS)

    def add(self, result: Result, latency_s: float) -> None:
        self.counts[result.outcome.value] += 1
        if result.outcome is Outcome.NOT_RUN:
            count = self.not_run.get(result.reason, 0)
            self.not_run[result.reason] = count + 1
        if result.outcome is Outcome.ANSWER:
            self.latency.record_value(max(1, int(latency_s * _US)))
            self.failed_answers += result.status >= 500

    def report(self) -> KindReport:
        latency_ms = {
            name: self.latency.get_value_at_percentile(quantile) / _MS
            for name, quantile in _QUANTILES.items()
        }
        latency_ms["max"] = self.latency.get_max_value() / _MS
        return KindReport(
            counts=dict(self.counts),
            not_run=dict(self.not_run),
            failed_answers=self.failed_answers,
            latency_ms=latency_ms,
        )
