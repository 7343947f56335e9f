"""Checks that each invariant's scenario fails without its mechanism.

Usage: python tests/mutations.py [INVARIANT...]. Runs the scenario of
each invariant over nodes that `mutant` patched and prints a row of a
table: the scenario must fail, and name the invariant as violated.
"""

import os
import subprocess
import sys

import mutant

_LIMIT_S = 240
_SHOWN = 2_000
# These trials wait for the outcome before they check the time line.
_WAITED = ("in-force-everywhere", "bad-version-contained")
_RAN_OUT = "FAILURE in step 'the "
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
    """Return the exit code."""
    names = sys.argv[1:] or list(mutant.MUTANTS)
    survivors = 0
    print("| invariant | scenario | found | violations named |")
    print("|---|---|---|---|")
    for name in names:
        feature, scenario = SCENARIOS[name]
        found, named = _run(name, feature, scenario)
        survivors += not found
        verdict = "yes" if found else "NOT FOUND"
        print(
            f"| {name} | {scenario} | {verdict} | {', '.join(named)} |",
            flush=True,
        )
    return 1 if survivors else 0


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
        timeout=_LIMIT_S,
        check=False,
    )
    output = done.stdout + done.stderr
    named = {item for item in mutant.MUTANTS if f"{item}: " in output}
    if done.returncode == 0:
        return False, ["none, the scenario passed"]
    waited = name in _WAITED and _RAN_OUT in output
    if name not in named and not waited:
        print(output[-_SHOWN:], file=sys.stderr)
    return name in named or waited, sorted(named) or ["a wait ran out"]


if __name__ == "__main__":
    sys.exit(main())
