"""Checks of leaving targets and of planned stops."""

from collections import abc

from arbutusstall._timeline import history
from arbutusstall._timeline import verdicts

# Outcomes of calls that were cut off; the empty one is that of a call
# without an end.
_CUT_OUTCOMES = frozenset({"", "none", "partial", "unknown"})
# A fault that ended at most this long before a call was sent may still
# have caused the call's outcome.
_FAULT_EFFECT_S = 10.0
# A call without an end counts as cut off only if the time line continues for
# this long after it was sent.
_MAX_CALL_S = 10.0


def leaving_gets_nothing(
    timeline: history.History, limits: verdicts.Limits
) -> verdicts.Findings:
    """Check that a leaving target soon gets no more new requests."""
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
            f"{limits.leaving_s:g} s after it began to leave",
        )
    return findings


def planned_stop_cuts_nothing(
    timeline: history.History, limits: verdicts.Limits
) -> verdicts.Findings:
    """Check that a planned stop cuts off no call in flight.

    The stops of nodes and of their targets are checked. Calls that an
    injected fault may have cut off are not.
    """
    findings = verdicts.Findings()
    for node, from_s, until_s in _stops(timeline):
        for request, call in timeline.calls_by_request.items():
            if not _is_checked(timeline, call, node, from_s, until_s):
                continue
            findings.check(
                call.outcome not in _CUT_OUTCOMES,
                f"request {request} in flight at the stop of {node} "
                f"ended with outcome {call.outcome or 'missing'}",
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


def _is_checked(
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
    if call.got is None and timeline.end_s < sent.at_s + _MAX_CALL_S:
        return False
    request = sent.get("request")
    nodes = {
        execution.started.get("beside")
        for execution in timeline.executions_by_request.get(request, ())
    }
    entry = sent.get("entry")
    nodes.add(timeline.nodes_by_address.get(entry, entry))
    if node not in nodes:
        return False
    return not any(
        fault.began.at_s <= got_s
        and (fault.ended_s or got_s) >= sent.at_s - _FAULT_EFFECT_S
        for fault in timeline.faults
    )
