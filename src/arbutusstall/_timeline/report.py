"""Renders time lines and check results as text or JSON."""

from collections import abc

import msgspec

from arbutusstall._timeline import checks
from arbutusstall._timeline import lines
from arbutusstall._timeline import skew


def render_line(line: lines.Line, as_json: bool) -> str:
    """Return one event of the time line as text or JSON."""
    if not as_json:
        return line.text
    body = {"at": line.at_s, "run": line.run, **line.fields}
    return msgspec.json.encode(body).decode()


def render_skew(merged: skew.MergedLines) -> list[str]:
    """Return a remark for each corrected clock, for people to read."""
    remarks = [
        f"# clock of {run} moved forward by {shift_s:.6f} s"
        for run, shift_s in merged.shift_s_by_run.items()
    ]
    if merged.contradiction:
        remarks.append("# the clocks contradict the order of requests")
    return remarks


def render_verdicts(
    verdicts: abc.Sequence[checks.Verdict], as_json: bool
) -> str:
    """Return the results of all checks.

    As text, each violation has a line of its own; two further lines list
    the invariants that held and those that were not exercised.
    """
    if as_json:
        return msgspec.json.encode(verdicts).decode()
    rendered = [
        f"violated {verdict.invariant}: {violation}"
        for verdict in verdicts
        for violation in verdict.violations
    ]
    held = [
        f"{verdict.invariant} ({verdict.judged})"
        for verdict in verdicts
        if verdict.judged and not verdict.violations
    ]
    not_exercised = [
        verdict.invariant for verdict in verdicts if verdict.judged == 0
    ]
    rendered.append("held: " + (", ".join(held) or "none"))
    rendered.append("not exercised: " + (", ".join(not_exercised) or "none"))
    return "\n".join(rendered)
