"""The ten invariants, each a check over the history.

A check returns its violations and how many cases it judged; one that
judged none did not exercise its invariant.
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
    """What the check of one invariant found."""

    invariant: str
    judged: int
    violations: tuple[str, ...]


def run(
    timeline: history.History, limits: verdicts.Limits
) -> tuple[Verdict, ...]:
    """Run all checks in the order of the invariants."""
    result = []
    for name, check in _CHECKS.items():
        findings = check(timeline, limits)
        result.append(
            Verdict(
                invariant=name,
                judged=findings.judged,
                violations=tuple(findings.violations),
            )
        )
    return tuple(result)
