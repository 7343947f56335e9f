"""Checks that the scenario of each invariant detects its violation.

Usage: python tests/mutations.py [INVARIANT...]. Runs the scenario of
each invariant with nodes whose mechanism `mutant` disabled, and prints a
row of a table. The scenario must fail and name the invariant.
"""

import os
import subprocess
import sys

import mutant

_TIMEOUT_S = 240
_MAX_SHOWN_CHARS = 2_000
# The trials of these invariants wait for the outcome before they check
# the time line, so that a wait that runs out counts as a detection.
_WITH_WAIT = ("in-force-everywhere", "bad-version-contained")
_WAIT_FAILURE = "FAILURE in step 'the "
_CONFIGURATION = "invariant_configuration"
_CALLS = "invariant_calls"
_ROOTS = "root relays are killed and frozen"
_LINKS = "links to inbound proxies are cut"
_STOPS = "targets leave and nodes stop as planned"

SCENARIOS = {
    "never-older": (_CONFIGURATION, _ROOTS),
    "no-dangling-route": (_CONFIGURATION, "a release with a dangling route"),
    "never-in-part": (_CONFIGURATION, _ROOTS),
    "bad-version-contained": (
        "invariant_rollouts",
        "a version turns bad late",
    ),
    "own-whole-answer": (_CALLS, "answers of targets are cut"),
    "not-run-is-true": (_CALLS, "answers of targets are cut"),
    "at-most-once": (_CALLS, _LINKS),
    "leaving-gets-nothing": (_CALLS, _STOPS),
    "planned-stop-cuts-nothing": (_CALLS, _STOPS),
    "in-force-everywhere": (_CONFIGURATION, _ROOTS),
}


def main() -> int:
    """Run the mutants; return 1 if one was not detected, else 0."""
    names = sys.argv[1:] or list(mutant.MUTANTS)
    undetected = 0
    print("| invariant | scenario | found | violations named |")
    print("|---|---|---|---|")
    for name in names:
        feature, scenario = SCENARIOS[name]
        found, named = _run(name, feature, scenario)
        undetected += not found
        verdict = "yes" if found else "NOT FOUND"
        print(
            f"| {name} | {scenario} | {verdict} | {', '.join(named)} |",
            flush=True,
        )
    return 1 if undetected else 0


def _run(name: str, feature: str, scenario: str) -> tuple[bool, list[str]]:
    done = subprocess.run(
        [
            *(sys.executable, "-m", "behave", "--no-color"),
            *("--format", "progress3", "--name", scenario),
            f"features/{feature}.feature",
        ],
        env={**os.environ, "ARBUTUSSTALL_MUTANT": name},
        capture_output=True,
        text=True,
        timeout=_TIMEOUT_S,
        check=False,
    )
    output = done.stdout + done.stderr
    named = {item for item in mutant.MUTANTS if f"{item}: " in output}
    if done.returncode == 0:
        return False, ["none, the scenario passed"]
    wait_ran_out = name in _WITH_WAIT and _WAIT_FAILURE in output
    if name not in named and not wait_ran_out:
        print(output[-_MAX_SHOWN_CHARS:], file=sys.stderr)
    return name in named or wait_ran_out, sorted(named) or ["a wait ran out"]


if __name__ == "__main__":
    sys.exit(main())
