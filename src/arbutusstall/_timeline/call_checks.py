"""Checks of what callers got against what targets ran."""

from arbutusstall._timeline import history
from arbutusstall._timeline import verdicts

# What the caller took for an answer, if only to another request.
_ANSWERED = frozenset({"answer", "wrong"})


def own_whole_answer(
    timeline: history.History, limits: verdicts.Limits
) -> verdicts.Findings:
    """Check that each answer is whole and of the caller's own request.

    Requests with the same idempotency key are one request, so a later
    one may get the answer to an earlier one.
    """
    findings = verdicts.Findings()
    requests_by_key: dict[str, list[str]] = {}
    for request, call in timeline.calls_by_request.items():
        key = call.sent.get("key")
        requests_by_key.setdefault(key, []).append(request)
    for request, call in timeline.calls_by_request.items():
        if call.got is None or call.outcome not in _ANSWERED:
            continue
        key = call.sent.get("key")
        same = requests_by_key[key] if key else [request]
        sent_digests = {
            execution.finished.get("digest")
            for name in same
            for execution in timeline.executions_by_request.get(name, ())
            if execution.finished is not None
        }
        findings.check(
            call.got.get("digest") in sent_digests,
            f"request {request} got an answer that no target gave to it",
        )
    return findings


def not_run_is_true(
    timeline: history.History, limits: verdicts.Limits
) -> verdicts.Findings:
    """Check that what was refused as not run ran nowhere."""
    findings = verdicts.Findings()
    for request, call in timeline.calls_by_request.items():
        if call.outcome != "not-run":
            continue
        runs = timeline.executions_by_request.get(request, [])
        targets = ",".join(run.started.node for run in runs)
        findings.check(
            not runs, f"request {request} was called not run, ran at {targets}"
        )
    return findings


def at_most_once(
    timeline: history.History, limits: verdicts.Limits
) -> verdicts.Findings:
    """Check that no non-idempotent request ran twice.

    Requests with the same idempotency key are one request.
    """
    findings = verdicts.Findings()
    runs_by_key: dict[str, list[str]] = {}
    for execution in timeline.executions:
        line = execution.started
        if line.get("method") in ("GET", "HEAD"):
            continue
        key = line.get("key")
        name = f"key {key}" if key else f"request {line.get('request')}"
        runs_by_key.setdefault(name, []).append(line.node)
    for name, targets in runs_by_key.items():
        findings.check(
            len(targets) == 1,
            f"{name} ran {len(targets)} times, at {','.join(targets)}",
        )
    return findings
