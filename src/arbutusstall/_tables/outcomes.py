"""Counts of call outcomes at the inbound proxies."""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class OutcomeKey:
    """Names one cumulative counter row."""

    reporter: str
    incarnation: int
    service: str
    version: str
    route: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class OutcomeCounts:
    """Cumulative counts since the reporter started.

    Attributes:
        calls: Finished calls.
        failures: Calls that ended in an error of the target.
        slow: Answers slower than the threshold of the policy.
    """

    calls: int = 0
    failures: int = 0
    slow: int = 0
