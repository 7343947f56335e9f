"""Checks of leaving targets and planned stops."""

from collections import abc

from arbutusstall._timeline import history
from arbutusstall._timeline import verdicts

_CUT = frozenset({"", "none", "partial", "unknown"})
# A fault this long before a call may still be the reason of its end.
_FAULT_REACH_S = 10.0
# A call that has no end this long after it was sent never ended.
_CALL_LIMIT_S = 10.0


def leaving_gets_nothing(
    timeline: history.History, limits: verdicts.Limits
) -> verdicts.Findings:
    """Check that a leaving target gets nothing new after a while."""
    findings = verdicts.Findings()
    for leaving in timeline.lines_of("target-leaving"):
        late = [
            execution.started
            for execution in timeline.executions
            if execution.started.run == leaving.run
            and execution.started.at_s > leaving.at_s + limits.leaving_s
        ]
        findings.check(
            not late,
            f"{leaving.node} got {len(late)} new requests more than "
            f"{limits.leaving_s:g} s after it left",
        )
    return findings


def planned_stop_cuts_nothing(
    timeline: history.History, limits: verdicts.Limits
) -> verdicts.Findings:
    """Check the calls that were in flight when something stopped.

    A stop is a node's own, or that of the target beside it. Calls that
    an unplanned fault may have cut as well are not judged.
    """
    findings = verdicts.Findings()
    for node, from_s, until_s in _stops(timeline):
        for request, call in timeline.calls_by_request.items():
            if not _overlaps(timeline, call, node, from_s, until_s):
                continue
            findings.check(
                call.outcome not in _CUT,
                f"request {request} in flight at the stop of {node} "
                f"ended as {call.outcome or 'never'}",
            )
    return findings


def _stops(
    timeline: history.History,
) -> abc.Iterator[tuple[str, float, float]]:
    for run in timeline.runs_by_id.values():
        if run.stopping_s is not None:
            until_s = run.stopped_s or timeline.end_s
            yield run.node, run.stopping_s, until_s
    for leaving in timeline.lines_of("target-leaving"):
        yield leaving.get("beside"), leaving.at_s, timeline.end_s


def _overlaps(
    timeline: history.History,
    call: history.Call,
    node: str,
    from_s: float,
    until_s: float,
) -> bool:
    sent = call.sent
    got_s = call.got.at_s if call.got else timeline.end_s
    if sent.at_s > from_s or got_s < from_s:
        return False
    if call.got is None and timeline.end_s < sent.at_s + _CALL_LIMIT_S:
        return False
    request = sent.get("request")
    places = {
        execution.started.get("beside")
        for execution in timeline.executions_by_request.get(request, ())
    }
    entry = sent.get("entry")
    places.add(timeline.nodes_by_address.get(entry, entry))
    if node not in places:
        return False
    return not any(
        fault.began.at_s <= got_s
        and (fault.ended_s or got_s) >= sent.at_s - _FAULT_REACH_S
        for fault in timeline.faults
    )
