"""Limits and findings that the checks share."""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Limits:
    """Bounds of the invariants that speak of time or share.

    Attributes:
        in_force_s: From acceptance, or the end of the last fault, to
            being in force on every node.
        leaving_s: From a target's leaving to its last new request.
        blocked_s: From the decision against a version to its last new
            request.
        decision_s: From the first bad answer to the decision.
        bad_share: Largest share of a service's requests that a version
            may get which was bad from its start.
        bad_calls: Requests that a bad version may get whatever their
            share.
    """

    in_force_s: float = 4.0
    leaving_s: float = 3.0
    blocked_s: float = 2.0
    decision_s: float = 10.0
    bad_share: float = 0.1
    bad_calls: int = 20


@dataclasses.dataclass(kw_only=True, slots=True)
class Findings:
    """What one check found so far."""

    judged: int = 0
    violations: list[str] = dataclasses.field(default_factory=list)

    def check(self, holds: bool, violation: str) -> None:
        """Count a case; keep ``violation`` unless it holds."""
        self.judged += 1
        if not holds:
            self.violations.append(violation)
