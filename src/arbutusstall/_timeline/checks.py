"""The ten invariants and their checks.

Each check returns the violations that it found and the number of cases
it looked at. If there were no cases, the time line did not exercise the
invariant.
"""

from collections import abc
import dataclasses

from arbutusstall._timeline import call_checks
from arbutusstall._timeline import config_checks
from arbutusstall._timeline import history
from arbutusstall._timeline import rollout_checks
from arbutusstall._timeline import stop_checks
from arbutusstall._timeline import verdicts

_CHECKS: abc.Mapping[
    str, abc.Callable[[history.History, verdicts.Limits], verdicts.Findings]
] = {
    "never-older": config_checks.never_older,
    "no-dangling-route": config_checks.no_dangling_route,
    "never-in-part": config_checks.never_in_part,
    "bad-version-contained": rollout_checks.bad_version_contained,
    "own-whole-answer": call_checks.own_whole_answer,
    "not-run-is-true": call_checks.not_run_is_true,
    "at-most-once": call_checks.at_most_once,
    "leaving-gets-nothing": stop_checks.leaving_gets_nothing,
    "planned-stop-cuts-nothing": stop_checks.planned_stop_cuts_nothing,
    "in-force-everywhere": config_checks.in_force_everywhere,
}


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Verdict:
    """Result of the check of one invariant.

    Attributes:
        invariant: Name of the invariant.
        judged: Number of cases that were checked.
        violations: One text for each case that violates the invariant.
    """

    invariant: str
    judged: int
    violations: tuple[str, ...]


def run(
    timeline: history.History, limits: verdicts.Limits
) -> tuple[Verdict, ...]:
    """Run all checks and return their results, in a fixed order.

    Args:
        timeline: The history to check.
        limits: Limits for the invariants on times and shares.
    """
    results = []
    for name, check in _CHECKS.items():
        findings = check(timeline, limits)
        results.append(
            Verdict(
                invariant=name,
                judged=findings.judged,
                violations=tuple(findings.violations),
            )
        )
    return tuple(results)
