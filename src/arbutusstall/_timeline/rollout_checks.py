"""Checks of what bad versions got.

A ``fault-began`` line of kind ``bad-version`` says which version the
test made bad; badness shows with its first bad answer after that.
"""

from arbutusstall._timeline import history
from arbutusstall._timeline import lines
from arbutusstall._timeline import verdicts

_SERVER_ERROR = 500
_DECISIONS = ("rollout-rolled-back", "local-rollback")


def bad_version_contained(
    timeline: history.History, limits: verdicts.Limits
) -> verdicts.Findings:
    """Check the share of each bad version and that it soon gets nothing."""
    findings = verdicts.Findings()
    judged: set[tuple[str, str]] = set()
    for fault in timeline.faults:
        service = fault.began.get("service")
        version = fault.began.get("version")
        if fault.kind != "bad-version" or (service, version) in judged:
            continue
        judged.add((service, version))
        shown = _first_bad(timeline, fault.began)
        if shown is not None:
            _check_contained(findings, timeline, limits, fault.began, shown)
    return findings


def _first_bad(
    timeline: history.History, began: lines.Line
) -> lines.Line | None:
    slow_s = float(began.get("delay_s") or "inf")
    for execution in _of_version(timeline, began):
        finished = execution.finished
        if finished is None or execution.started.at_s < began.at_s:
            continue
        took_s = finished.at_s - execution.started.at_s
        failed = int(finished.get("status") or 0) >= _SERVER_ERROR
        if failed or took_s >= slow_s:
            return finished
    return None


def _check_contained(
    findings: verdicts.Findings,
    timeline: history.History,
    limits: verdicts.Limits,
    began: lines.Line,
    shown: lines.Line,
) -> None:
    name = f"{began.get('service')}/{began.get('version')}"
    decided_s = _decided_s(timeline, began, shown)
    if decided_s is None or decided_s > shown.at_s + limits.decision_s:
        findings.check(
            timeline.end_s < shown.at_s + limits.decision_s,
            f"nothing was decided on {name} within "
            f"{limits.decision_s:g} s of its first bad answer",
        )
        if decided_s is None:
            return
    end_s = decided_s + limits.blocked_s
    late = [
        execution
        for execution in _of_version(timeline, began)
        if execution.started.at_s > end_s
    ]
    findings.check(
        not late,
        f"{name} got {len(late)} requests more than {limits.blocked_s:g} s "
        "after the decision",
    )
    if began.get("from") == "start":
        _check_share(findings, timeline, limits, began, end_s)


def _check_share(
    findings: verdicts.Findings,
    timeline: history.History,
    limits: verdicts.Limits,
    began: lines.Line,
    end_s: float,
) -> None:
    service = began.get("service")
    window = [
        execution.started
        for execution in timeline.executions
        if execution.started.get("service") == service
        and began.at_s <= execution.started.at_s <= end_s
    ]
    bad = sum(line.get("version") == began.get("version") for line in window)
    allowed = max(limits.bad_calls, limits.bad_share * len(window))
    findings.check(
        bad <= allowed,
        f"{service}/{began.get('version')} got {bad} of {len(window)} "
        "requests while it was bad",
    )


def _decided_s(
    timeline: history.History, began: lines.Line, shown: lines.Line
) -> float | None:
    service = began.get("service")
    times = [
        line.at_s
        for event in _DECISIONS
        for line in timeline.lines_of(event)
        if line.at_s >= began.at_s
        and line.get("rollout").rpartition("/")[2] == service
    ]
    return min(times, default=None)


def _of_version(
    timeline: history.History, began: lines.Line
) -> list[history.Execution]:
    return [
        execution
        for execution in timeline.executions
        if execution.started.get("service") == began.get("service")
        and execution.started.get("version") == began.get("version")
    ]
