"""Checks that a bad version gets little traffic and soon none.

A ``fault-began`` line of kind ``bad-version`` names the version that the
test made bad. The time limit for the decision counts from the version's
first bad answer after that line: one with a server error, or one that
took at least the injected delay.
"""

from arbutusstall._timeline import history
from arbutusstall._timeline import lines
from arbutusstall._timeline import verdicts

_MIN_SERVER_ERROR_STATUS = 500
_DECISION_EVENTS = ("rollout-rolled-back", "local-rollback")


def bad_version_contained(
    timeline: history.History, limits: verdicts.Limits
) -> verdicts.Findings:
    """Check that each bad version gets few requests and soon none.

    The share of requests is checked only for a version that was bad from
    its start.
    """
    findings = verdicts.Findings()
    checked: set[tuple[str, str]] = set()
    for fault in timeline.faults:
        service = fault.began.get("service")
        version = fault.began.get("version")
        if fault.kind != "bad-version" or (service, version) in checked:
            continue
        checked.add((service, version))
        first_bad = _first_bad_answer(timeline, fault.began)
        if first_bad is not None:
            _check_contained(
                findings, timeline, limits, fault.began, first_bad
            )
    return findings


def _first_bad_answer(
    timeline: history.History, began: lines.Line
) -> lines.Line | None:
    slow_s = float(began.get("delay_s") or "inf")
    for execution in _executions_of(timeline, began):
        finished = execution.finished
        if finished is None or execution.started.at_s < began.at_s:
            continue
        took_s = finished.at_s - execution.started.at_s
        failed = int(finished.get("status") or 0) >= _MIN_SERVER_ERROR_STATUS
        if failed or took_s >= slow_s:
            return finished
    return None


def _check_contained(
    findings: verdicts.Findings,
    timeline: history.History,
    limits: verdicts.Limits,
    began: lines.Line,
    first_bad: lines.Line,
) -> None:
    name = f"{began.get('service')}/{began.get('version')}"
    decided_s = _decided_s(timeline, began, first_bad)
    if decided_s is None or decided_s > first_bad.at_s + limits.decision_s:
        findings.check(
            timeline.end_s < first_bad.at_s + limits.decision_s,
            f"no decision against {name} within "
            f"{limits.decision_s:g} s of its first bad answer",
        )
        if decided_s is None:
            return
    end_s = decided_s + limits.blocked_s
    late = [
        execution
        for execution in _executions_of(timeline, began)
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
    requests = [
        execution.started
        for execution in timeline.executions
        if execution.started.get("service") == service
        and began.at_s <= execution.started.at_s <= end_s
    ]
    bad_count = sum(
        line.get("version") == began.get("version") for line in requests
    )
    allowed = max(limits.bad_calls, limits.bad_share * len(requests))
    findings.check(
        bad_count <= allowed,
        f"{service}/{began.get('version')} got {bad_count} of {len(requests)} "
        "requests while it was bad",
    )


def _decided_s(
    timeline: history.History, began: lines.Line, first_bad: lines.Line
) -> float | None:
    service = began.get("service")
    times = [
        line.at_s
        for event in _DECISION_EVENTS
        for line in timeline.lines_of(event)
        if line.at_s >= began.at_s
        and line.get("rollout").rpartition("/")[2] == service
    ]
    return min(times, default=None)


def _executions_of(
    timeline: history.History, began: lines.Line
) -> list[history.Execution]:
    return [
        execution
        for execution in timeline.executions
        if execution.started.get("service") == began.get("service")
        and execution.started.get("version") == began.get("version")
    ]
