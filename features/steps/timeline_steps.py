"""Steps for the time line program over given logs."""

import subprocess
import sys

import behave
import msgspec


def _timeline(context, *options):
    return subprocess.run(
        [
            sys.executable,
            "-m",
            "arbutusstall._cli.timeline",
            *options,
            *map(str, sorted(context.directory.glob("*.log"))),
        ],
        capture_output=True,
        text=True,
        check=False,
        timeout=30,
    )


def _write(context, name, lines):
    path = context.directory / f"{name}.log"
    path.write_text("".join(f"{line}\n" for line in lines))


@behave.given('the log "{name}" with the lines')
def write_table(context, name):
    """Write a log from a table."""
    _write(
        context,
        name,
        [f"at=INFO ts={row['ts']} {row['line']}" for row in context.table],
    )


@behave.given('the log "{name}" with {items}')
def write_items(context, name, items):
    """Write a log from short lines: time, event, fields."""
    context.lines = []
    for index, item in enumerate(items.split("; ")):
        ts, event, *fields = item.split(" ")
        rest = " ".join(fields)
        node = "" if " node=" in f" {rest}" else " node=x"
        context.lines.append(
            f"ts={ts} seq={index + 1} event={event}{node} {rest}"
        )
    _write(context, name, context.lines)


@behave.then('the time line shows the events of "{nodes}"')
def shows(context, nodes):
    """Compare the order of the writers."""
    context.done = _timeline(context, "--format", "json")
    assert context.done.returncode == 0, context.done.stderr
    events = [
        msgspec.json.decode(line) for line in context.done.stdout.splitlines()
    ]
    assert [event["node"] for event in events] == nodes.split(), events


@behave.then(
    'it says that the clock of "{node}" was moved by {seconds:d} seconds'
)
def says_shift(context, node, seconds):
    """Look for the remark."""
    assert f"#{node}#1 moved forward by {seconds}.000000 s" in (
        context.done.stderr
    ), context.done.stderr


def _violated(context):
    done = _timeline(context, "--check", "--format", "json")
    verdicts = msgspec.json.decode(done.stdout)
    found = {item["invariant"] for item in verdicts if item["violations"]}
    assert done.returncode == (1 if found else 0), done
    return found


@behave.then("the check finds only {invariant} violated")
def finds(context, invariant):
    """Run the checks over the log."""
    assert _violated(context) == {invariant}, _timeline(context, "--check")


@behave.then("without the last line it does not")
def finds_not(context):
    """Run the checks over the log less its last line."""
    _write(context, "one", context.lines[:-1])
    assert _violated(context) == set(), _timeline(context, "--check")


@behave.then("the check finds nothing violated")
def finds_nothing(context):
    """Run the checks over the log."""
    assert _violated(context) == set(), _timeline(context, "--check")
