"""Compares the outcomes that callers got with the executions at targets."""

from arbutusstall._timeline import history
from arbutusstall._timeline import verdicts

# Outcomes with a complete answer; a ``wrong`` one is to another request.
_ANSWER_OUTCOMES = frozenset({"answer", "wrong"})


def own_whole_answer(
    timeline: history.History, limits: verdicts.Limits
) -> verdicts.Findings:
    """Check that each answer is complete and to the caller's own request.

    The digest that the caller logged must be one that a target logged for
    the request. Requests with the same idempotency key count as one
    request, so a later one may get the answer to an earlier one.
    """
    findings = verdicts.Findings()
    requests_by_key: dict[str, list[str]] = {}
    for request, call in timeline.calls_by_request.items():
        key = call.sent.get("key")
        requests_by_key.setdefault(key, []).append(request)
    for request, call in timeline.calls_by_request.items():
        if call.got is None or call.outcome not in _ANSWER_OUTCOMES:
            continue
        key = call.sent.get("key")
        same_requests = requests_by_key[key] if key else [request]
        target_digests = {
            execution.finished.get("digest")
            for name in same_requests
            for execution in timeline.executions_by_request.get(name, ())
            if execution.finished is not None
        }
        findings.check(
            call.got.get("digest") in target_digests,
            f"request {request} got an answer that no target gave to it",
        )
    return findings


def not_run_is_true(
    timeline: history.History, limits: verdicts.Limits
) -> verdicts.Findings:
    """Check that a request reported as not run was executed nowhere."""
    findings = verdicts.Findings()
    for request, call in timeline.calls_by_request.items():
        if call.outcome != "not-run":
            continue
        executions = timeline.executions_by_request.get(request, [])
        targets = ",".join(execution.started.node for execution in executions)
        findings.check(
            not executions,
            f"request {request} was reported as not run but ran at {targets}",
        )
    return findings


def at_most_once(
    timeline: history.History, limits: verdicts.Limits
) -> verdicts.Findings:
    """Check that no non-idempotent request ran more than once.

    All methods except GET and HEAD count as non-idempotent. Requests
    with the same idempotency key count as one request.
    """
    findings = verdicts.Findings()
    targets_by_request: dict[str, list[str]] = {}
    for execution in timeline.executions:
        line = execution.started
        if line.get("method") in ("GET", "HEAD"):
            continue
        key = line.get("key")
        name = f"key {key}" if key else f"request {line.get('request')}"
        targets_by_request.setdefault(name, []).append(line.node)
    for name, targets in targets_by_request.items():
        findings.check(
            len(targets) == 1,
            f"{name} ran {len(targets)} times, at {','.join(targets)}",
        )
    return findings
