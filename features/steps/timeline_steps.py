"""Steps for arbutusstall-timeline, run over logs written here."""

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
    """Write a log with the lines of a table."""
    _write(
        context,
        name,
        [f"at=INFO ts={row['ts']} {row['line']}" for row in context.table],
    )


@behave.given('the log "{name}" with {items}')
def write_items(context, name, items):
    """Write a log from items of the form ``time event field=value ...``."""
    context.lines = []
    for index, item in enumerate(items.split("; ")):
        ts, event, *fields = item.split(" ")
        rest = " ".join(fields)
        node = "" if " node=" in f" {rest}" else " node=x"
        context.lines.append(
            f"ts={ts} seq={index + 1} event={event}{node} {rest}"
        )
    _write(context, name, context.lines)


@behave.then('the time line lists events of the nodes "{nodes}" in this order')
def lists_events(context, nodes):
    """Compare the nodes of the merged events, in order."""
    context.done = _timeline(context, "--format", "json")
    assert context.done.returncode == 0, context.done.stderr
    events = [
        msgspec.json.decode(line) for line in context.done.stdout.splitlines()
    ]
    assert [event["node"] for event in events] == nodes.split(), events


@behave.then(
    'it reports that the clock of "{node}" was moved forward by {seconds:d} '
    "seconds"
)
def reports_shift(context, node, seconds):
    """Check the clock remark on standard error."""
    assert f"#{node}#1 moved forward by {seconds}.000000 s" in (
        context.done.stderr
    ), context.done.stderr


def _violated_invariants(context):
    done = _timeline(context, "--check", "--format", "json")
    verdicts = msgspec.json.decode(done.stdout)
    found = {item["invariant"] for item in verdicts if item["violations"]}
    assert done.returncode == (1 if found else 0), done
    return found


@behave.then("the check finds violations of {invariant} only")
def finds_only(context, invariant):
    """Run the checks over the log."""
    assert _violated_invariants(context) == {invariant}, _timeline(
        context, "--check"
    )


@behave.then("the check finds no violation without the last line")
def finds_none_without_last(context):
    """Run the checks over the log without its last line."""
    _write(context, "one", context.lines[:-1])
    assert _violated_invariants(context) == set(), _timeline(
        context, "--check"
    )


@behave.then("the check finds no violation")
def finds_nothing(context):
    """Run the checks over the log."""
    assert _violated_invariants(context) == set(), _timeline(
        context, "--check"
    )
