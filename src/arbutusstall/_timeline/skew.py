"""Corrects the clocks of processes by what must have come first.

Some events cause others: a request is sent before it is executed, and
executed before its answer arrives. Where the wall clocks contradict
such a pair, the clock of the later event's process is moved forward by
the least amount that puts the pair in order.
"""

from collections import abc
import dataclasses
import heapq

from arbutusstall._timeline import lines

# Each pair: the event before and the event after it of one request.
_CAUSES = (
    ("caller-sent", "target-executed"),
    ("caller-sent", "call-not-run"),
    ("caller-sent", "call-unknown"),
    ("target-executed", "target-finished"),
    ("call-not-run", "caller-got"),
    ("call-unknown", "caller-got"),
)
_TOLERANCE_S = 1e-6


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class MergedLines:
    """Lines of all processes in one order.

    Attributes:
        shift_s_by_run: Corrections of clocks, only those not zero.
        contradiction: Whether no correction satisfies all pairs.
    """

    lines: tuple[lines.Line, ...]
    shift_s_by_run: abc.Mapping[str, float]
    contradiction: bool


def merge(runs: abc.Mapping[str, list[lines.Line]]) -> MergedLines:
    """Order the lines of all processes.

    The lines of one process keep their order, whatever its clock did.
    """
    bounds = _bounds(runs)
    shifts, contradiction = _least_shifts(bounds)
    placed = [
        _place(run_lines, shifts.get(run, 0.0))
        for run, run_lines in runs.items()
    ]
    return MergedLines(
        lines=tuple(
            heapq.merge(*placed, key=lambda line: (line.at_s, line.run))
        ),
        shift_s_by_run={
            run: shift for run, shift in sorted(shifts.items()) if shift
        },
        contradiction=contradiction,
    )


def _place(run_lines: list[lines.Line], shift_s: float) -> list[lines.Line]:
    at_s = float("-inf")
    placed = []
    for line in run_lines:
        at_s = max(at_s, line.ts_s + shift_s)
        placed.append(dataclasses.replace(line, at_s=at_s))
    return placed


def _bounds(
    runs: abc.Mapping[str, list[lines.Line]],
) -> dict[tuple[str, str], float]:
    """Return by how much one clock is ahead of another at least."""
    first: dict[tuple[str, str], lines.Line] = {}
    last: dict[tuple[str, str], lines.Line] = {}
    for run_lines in runs.values():
        for line in run_lines:
            if request := line.get("request"):
                key = (line.event, request)
                first.setdefault(key, line)
                last[key] = line
    bounds: dict[tuple[str, str], float] = {}
    for before_event, after_event in _CAUSES:
        for (event, request), after in last.items():
            before = first.get((before_event, request))
            if event != after_event or before is None:
                continue
            ahead_s = before.ts_s - after.ts_s
            pair = (before.run, after.run)
            if before.run != after.run:
                bounds[pair] = max(bounds.get(pair, ahead_s), ahead_s)
    return bounds


def _least_shifts(
    bounds: abc.Mapping[tuple[str, str], float],
) -> tuple[dict[str, float], bool]:
    """Relax the bounds; a cycle that cannot be met ends it."""
    shifts: dict[str, float] = {}
    processes = len({run for pair in bounds for run in pair})
    for _ in range(processes + 1):
        changed = False
        for (before, after), ahead_s in bounds.items():
            needed_s = shifts.get(before, 0.0) + ahead_s
            if needed_s > shifts.get(after, 0.0) + _TOLERANCE_S:
                shifts[after] = needed_s
                changed = True
        if not changed:
            return shifts, False
    return shifts, True
