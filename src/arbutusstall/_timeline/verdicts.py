"""Limits and findings, which all checks share."""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Limits:
    """Limits of the invariants on times and shares.

    Attributes:
        in_force_s: Maximum time from a release's acceptance, the node's
            start or the end of the last fault until the release is in
            force on a node.
        leaving_s: Maximum time from the start of a target's leaving to
            its last new request.
        blocked_s: Maximum time from the decision against a version to
            its last new request.
        decision_s: Maximum time from a bad version's first bad answer to
            the decision against it.
        bad_share: Maximum share of a service's requests for a version
            that was bad from its start.
        bad_calls: Number of requests that such a version may get
            whatever their share.
    """

    in_force_s: float = 4.0
    leaving_s: float = 3.0
    blocked_s: float = 2.0
    decision_s: float = 10.0
    bad_share: float = 0.1
    bad_calls: int = 20


@dataclasses.dataclass(kw_only=True, slots=True)
class Findings:
    """Results that one check collects.

    Attributes:
        judged: Number of cases checked so far.
        violations: One text for each violation found so far.
    """

    judged: int = 0
    violations: list[str] = dataclasses.field(default_factory=list)

    def check(self, holds: bool, violation: str) -> None:
        """Count one case and record a violation if it doesn't hold.

        Args:
            holds: Whether the invariant holds in this case.
            violation: Description of the violation if it doesn't.
        """
        self.judged += 1
        if not holds:
            self.violations.append(violation)
