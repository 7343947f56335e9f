"""Checks of the configuration that the nodes have in force.

The checks read three kinds of lines: the nodes' own; ``config-seen``
lines, in which an observer records the configuration that a node's admin
server shows; and ``release-published`` lines, which the publishing side
writes.
"""

from collections import abc

from arbutusstall._timeline import history
from arbutusstall._timeline import lines
from arbutusstall._timeline import verdicts


def never_older(
    timeline: history.History, limits: verdicts.Limits
) -> verdicts.Findings:
    """Check that no process of a node returns to an older version."""
    findings = verdicts.Findings()
    for run in timeline.runs_by_id.values():
        _check_never_decreases(findings, run.node, run.in_force)
    seen: dict[tuple[str, str], list[lines.Line]] = {}
    for line in timeline.lines_of("config-seen"):
        key = (line.get("seen"), line.get("incarnation"))
        seen.setdefault(key, []).append(line)
    for (node, _), group in seen.items():
        _check_never_decreases(findings, node, group)
    return findings


def no_dangling_route(
    timeline: history.History, limits: verdicts.Limits
) -> verdicts.Findings:
    """Check that a node with a route also has the route's service."""
    findings = verdicts.Findings()
    for line in timeline.lines_of("config-seen"):
        services = _items(line, "services")
        for route in _items(line, "routes"):
            service = route.rpartition(">")[2]
            findings.check(
                service in services,
                f"{line.get('seen')} has route {route} in version "
                f"{line.get('version')} without its service",
            )
    return findings


def never_in_part(
    timeline: history.History, limits: verdicts.Limits
) -> verdicts.Findings:
    """Check that versions are equal everywhere and no release is partial.

    Two nodes that show the same version must show the same content. A
    release is partial if a node shows some of its routes but not all.
    """
    findings = verdicts.Findings()
    content_by_version: dict[str, str] = {}
    for line in timeline.lines_of("config-seen"):
        version = line.get("version")
        content = line.get("content")
        first_content = content_by_version.setdefault(version, content)
        findings.check(
            content == first_content,
            f"{line.get('seen')} shows content of version {version} that "
            "differs from the content seen first",
        )
    for release in timeline.lines_of("release-published"):
        _check_not_partial(findings, timeline, release)
    return findings


def in_force_everywhere(
    timeline: history.History, limits: verdicts.Limits
) -> verdicts.Findings:
    """Check that each accepted release is in force in time on live nodes.

    The time limit restarts at the end of each fault that affects the
    node, except for faults of targets.
    """
    findings = verdicts.Findings()
    accepted_by_release: dict[str, lines.Line] = {}
    for line in timeline.lines_of("release-accepted"):
        accepted_by_release.setdefault(line.get("release"), line)
    for name, line in accepted_by_release.items():
        version = int(line.get("offset")) + 1
        for run in timeline.runs_by_id.values():
            _check_in_force(
                findings, timeline, limits, name, line, version, run
            )
    return findings


def _check_never_decreases(
    findings: verdicts.Findings, node: str, group: abc.Iterable[lines.Line]
) -> None:
    newest = -1
    for line in group:
        version = int(line.get("version"))
        findings.check(
            version >= newest,
            f"{node} went back from version {newest} to {version}",
        )
        newest = max(newest, version)


def _check_not_partial(
    findings: verdicts.Findings, timeline: history.History, release: lines.Line
) -> None:
    release_routes = _items(release, "routes")
    if len(release_routes) < 2:
        return
    for line in timeline.lines_of("config-seen"):
        present = release_routes & _items(line, "routes")
        findings.check(
            present in (set(), release_routes),
            f"{line.get('seen')} shows only {','.join(sorted(present))} of "
            f"release {release.get('release')} in version "
            f"{line.get('version')}",
        )


def _check_in_force(
    findings: verdicts.Findings,
    timeline: history.History,
    limits: verdicts.Limits,
    release: str,
    accepted: lines.Line,
    version: int,
    run: history.NodeRun,
) -> None:
    from_s = max(accepted.at_s, run.started_s)
    due_s = _due_s(timeline, run.node, from_s, limits.in_force_s)
    if due_s is None or due_s > timeline.end_s:
        return
    if run.ended_s is not None and run.ended_s <= due_s:
        return
    reached_s = min(
        (
            line.at_s
            for line in run.in_force
            if int(line.get("version")) >= version
        ),
        default=None,
    )
    findings.check(
        reached_s is not None and reached_s <= due_s,
        f"{run.node} had release {release} in force "
        + (
            f"{reached_s - from_s:.3f} s after acceptance and node start"
            if reached_s is not None
            else "never"
        ),
    )


def _due_s(
    timeline: history.History, node: str, from_s: float, limit_s: float
) -> float | None:
    """Return when a node must have a release in force.

    None if a fault that affects the node never ended.
    """
    due_s = from_s + limit_s
    for fault in timeline.faults:
        if not fault.affects(node) or fault.began.at_s > due_s:
            continue
        if fault.kind in _TARGET_FAULTS:
            continue
        if fault.ended_s is None:
            return None
        if fault.ended_s > from_s:
            due_s = max(due_s, fault.ended_s + limit_s)
    return due_s


# Faults of targets, which do not delay the distribution of configurations.
_TARGET_FAULTS = frozenset({"bad-version", "target-crash", "target-slow"})


def _items(line: lines.Line, name: str) -> set[str]:
    return {item for item in line.get(name).split(",") if item}
