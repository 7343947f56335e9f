"""Steps for the verdict of the check run."""

import pathlib
import subprocess

import behave
import run_checks

behave.use_step_matcher("re")


@behave.given('the runner ended with code (\\d+) and the scenarios "(.*)"')
def give_scenarios(context, code, scenarios):
    """Store the exit code and scenario statuses of a simulated run."""
    context.code = int(code)
    context.scenarios = [
        run_checks.Scenario(name=name, status=status)
        for name, status in (
            item.split() for item in scenarios.split(";") if item
        )
    ]


@behave.given('KNOWN-RED.txt has the lines "(.*)"')
def give_known(context, known):
    """Store the list; a slash in the table stands for a vertical bar."""
    context.known = [known.replace("/", "|")]


@behave.then("the verdict is (\\d+) passed, (\\d+) failed, (\\d+) known red")
def compare(context, passed, failed, red):
    """Compute the verdict and compare its counts."""
    verdict = run_checks.judge(context.scenarios, context.code, context.known)
    found = (verdict.passed, verdict.failed, verdict.known_red)
    assert found == (int(passed), int(failed), int(red)), verdict


@behave.given(
    "a feature file with a passing, a failing and an undefined scenario"
)
def write_feature(context):
    """Write a feature file and its step module."""
    steps = context.directory / "steps"
    steps.mkdir()
    steps.joinpath("steps.py").write_text(
        "import behave\n"
        "@behave.given('it holds')\ndef holds(context): pass\n"
        "@behave.given('it breaks')\ndef breaks(context): assert False\n"
    )
    context.feature = pathlib.Path(context.directory, "x.feature")
    context.feature.write_text(
        "Feature: x\n"
        "  Scenario: one\n    Given it holds\n"
        "  Scenario: two\n    Given it breaks\n"
        "  Scenario: three\n    Given it is unknown\n"
    )


@behave.then("its scenarios are read as passed, failed and undefined")
def read(context):
    """Run the feature and compare the reported statuses."""
    scenarios, code = run_checks.run_scenarios(
        [str(context.feature)], output=subprocess.DEVNULL
    )
    found = [scenario.status for scenario in scenarios]
    assert code != 0
    assert found == ["passed", "failed", "undefined"], scenarios


behave.use_step_matcher("parse")
