"""Runs all checks; the last line is ``N passed, N failed``.

A scenario that is listed in KNOWN-RED.txt and fails is printed, but
counts neither as passed nor as failed. Everything else that does not
pass counts as a failure: a crash of the runner, a run without any
scenario, an error in a hook, an undefined or skipped step, and an entry
of the list that is malformed or names no scenario.
"""

from collections import abc
import dataclasses
import json
import pathlib
import subprocess
import sys
import tempfile

ROOT = pathlib.Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"
FIELDS = ("scenario", "command", "seed", "seen", "issue")
SLOWEST = 10

CHECKS = {
    "ruff format": ("ruff", "format", "--check", "."),
    "ruff": ("ruff", "check", "."),
    "hacking": ("flake8", "."),
    "mypy": ("mypy",),
}


@dataclasses.dataclass(frozen=True, kw_only=True)
class Scenario:
    """Result of one scenario; ``status`` as behave reports it."""

    name: str
    status: str
    seconds: float = 0.0


@dataclasses.dataclass(kw_only=True)
class Verdict:
    """Counts of a run, and lines for each failed or listed scenario."""

    passed: int = 0
    failed: int = 0
    known_red: int = 0
    lines: list[str] = dataclasses.field(default_factory=list)

    def fail(self, line: str) -> None:
        """Count a failure and keep its line."""
        self.failed += 1
        self.lines.append(line)


def judge(
    scenarios: abc.Sequence[Scenario], exit_code: int, known: abc.Sequence[str]
) -> Verdict:
    """Return the verdict on a run of the scenarios.

    Args:
        scenarios: All scenarios of the run.
        exit_code: Exit code of the runner.
        known: Lines of KNOWN-RED.txt.
    """
    verdict = Verdict()
    names = {scenario.name for scenario in scenarios}
    listed = _parse_known(verdict, known, names)
    for scenario in scenarios:
        _judge_one(verdict, scenario, listed)
    if not scenarios:
        verdict.fail("FAILED: no scenario ran")
    all_passed = all(scenario.status == "passed" for scenario in scenarios)
    if exit_code != 0 and all_passed:
        verdict.fail(f"FAILED: the runner ended with code {exit_code}")
    return verdict


def _parse_known(
    verdict: Verdict, known: abc.Sequence[str], names: set[str]
) -> set[str]:
    listed: set[str] = set()
    for line in known:
        if not line.strip() or line.startswith("#"):
            continue
        fields = [field.strip() for field in line.split("|")]
        if len(fields) != len(FIELDS) or not all(fields):
            verdict.fail(f"FAILED: KNOWN-RED.txt, malformed: {line}")
        elif fields[0] not in names:
            verdict.fail(f"FAILED: KNOWN-RED.txt, no scenario: {fields[0]}")
        else:
            listed.add(fields[0])
    return listed


def _judge_one(verdict: Verdict, scenario: Scenario, listed: set[str]) -> None:
    known = scenario.name in listed
    if scenario.status == "passed":
        verdict.passed += 1
        if known:
            verdict.lines.append(f"known red passes: {scenario.name}")
    elif known and scenario.status in ("failed", "error"):
        verdict.known_red += 1
        verdict.lines.append(f"known red: {scenario.name}")
    else:
        verdict.fail(f"FAILED ({scenario.status}): {scenario.name}")


def main() -> int:
    """Run all checks and return the exit code."""
    passed, failed = 0, 0
    for name, arguments in CHECKS.items():
        code = _run(*arguments)
        print(f"check {name}: {'passed' if code == 0 else 'FAILED'}")
        passed, failed = passed + (code == 0), failed + (code != 0)
    scenarios, code = run_scenarios(sys.argv[1:] or ["features"])
    verdict = judge(scenarios, code, KNOWN_RED.read_text().splitlines())
    _print_slowest(scenarios)
    for line in verdict.lines:
        print(line)
    print(f"{verdict.known_red} known red")
    passed, failed = passed + verdict.passed, failed + verdict.failed
    print(f"{passed} passed, {failed} failed", flush=True)
    return 1 if failed else 0


def run_scenarios(
    paths: abc.Sequence[str], output: int | None = None
) -> tuple[list[Scenario], int]:
    """Run feature files; return the scenarios and the exit code.

    Args:
        paths: Files or directories.
        output: File descriptor for the output of the runner, as for
            `subprocess.run`; inherited by default.
    """
    with tempfile.TemporaryDirectory() as directory:
        report = pathlib.Path(directory, "report.json")
        code = _run(
            *("behave", "--no-color", "--no-skipped", "--no-summary"),
            *("--format", "json", "--outfile", str(report)),
            *("--format", "progress3"),
            *paths,
            output=output,
        )
        return read_report(report), code


def read_report(path: pathlib.Path) -> list[Scenario]:
    """Return the scenarios of a JSON report; none if it is unreadable."""
    try:
        features = json.loads(path.read_text())
    except (OSError, ValueError):
        return []
    return [
        _read_scenario(element)
        for feature in features
        for element in feature.get("elements", ())
        if element["type"] == "scenario"
    ]


def _read_scenario(element: dict) -> Scenario:
    results = [step.get("result", {}) for step in element["steps"]]
    status = element.get("status", "unknown")
    if any(result.get("status") == "undefined" for result in results):
        status = "undefined"
    return Scenario(
        # behave appends the row number to the name of an outline.
        name=element["name"].partition(" -- @")[0],
        status=status,
        seconds=sum(result.get("duration", 0.0) for result in results),
    )


def _run(*arguments: str, output: int | None = None) -> int:
    done = subprocess.run(
        [sys.executable, "-m", *arguments],
        cwd=ROOT,
        check=False,
        stdout=output,
        stderr=output,
    )
    return done.returncode


def _print_slowest(scenarios: abc.Sequence[Scenario]) -> None:
    total_s = sum(scenario.seconds for scenario in scenarios)
    print(f"{len(scenarios)} scenarios took {total_s:.0f} s; the slowest:")
    ranked = sorted(scenarios, key=lambda scenario: -scenario.seconds)
    for scenario in ranked[:SLOWEST]:
        print(f"{scenario.seconds:6.1f} s  {scenario.name}")


if __name__ == "__main__":
    sys.exit(main())
