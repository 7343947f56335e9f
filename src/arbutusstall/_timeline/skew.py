"""Corrects clock skew between processes from causally ordered events.

A request is sent before it is executed, and executed before its answer
arrives. Where the wall clocks contradict such a pair of events, the clock
of the later event's process is moved forward by the smallest amount that
puts the pair in order.
"""

from collections import abc
import dataclasses
import heapq

from arbutusstall._timeline import lines

# Pairs of events of one request: the first one happens before the second.
_CAUSAL_PAIRS = (
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
    """Lines of all processes in a common order.

    Attributes:
        lines: The lines, by their corrected times.
        shift_s_by_run: Seconds by which the clock of a process was moved
            forward; processes with an uncorrected clock are left out.
        contradiction: Whether no correction puts all pairs in order.
    """

    lines: tuple[lines.Line, ...]
    shift_s_by_run: abc.Mapping[str, float]
    contradiction: bool


def merge(runs: abc.Mapping[str, list[lines.Line]]) -> MergedLines:
    """Merge the lines of all processes into a common order.

    The lines of one process keep their order, even if its clock was set
    back in between.

    Args:
        runs: Lines of each process, in the order of their sequence
            numbers.
    """
    bounds = _min_relative_shifts(runs)
    shifts, contradiction = _least_shifts(bounds)
    shifted = [
        _shift(run_lines, shifts.get(run, 0.0))
        for run, run_lines in runs.items()
    ]
    return MergedLines(
        lines=tuple(
            heapq.merge(*shifted, key=lambda line: (line.at_s, line.run))
        ),
        shift_s_by_run={
            run: shift for run, shift in sorted(shifts.items()) if shift
        },
        contradiction=contradiction,
    )


def _shift(run_lines: list[lines.Line], shift_s: float) -> list[lines.Line]:
    at_s = float("-inf")
    shifted = []
    for line in run_lines:
        at_s = max(at_s, line.ts_s + shift_s)
        shifted.append(dataclasses.replace(line, at_s=at_s))
    return shifted


def _min_relative_shifts(
    runs: abc.Mapping[str, list[lines.Line]],
) -> dict[tuple[str, str], float]:
    """Return lower bounds of the shifts between pairs of processes.

    A value is the number of seconds by which, at least, the clock of the
    second process must be moved forward relative to that of the first.
    It is negative if their events are in order already. Of events that a
    request has more than once, the first cause and the last effect count.
    """
    first_by_key: dict[tuple[str, str], lines.Line] = {}
    last_by_key: dict[tuple[str, str], lines.Line] = {}
    for run_lines in runs.values():
        for line in run_lines:
            if request := line.get("request"):
                key = (line.event, request)
                first_by_key.setdefault(key, line)
                last_by_key[key] = line
    bounds: dict[tuple[str, str], float] = {}
    for before_event, after_event in _CAUSAL_PAIRS:
        for (event, request), after in last_by_key.items():
            before = first_by_key.get((before_event, request))
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
    """Return the smallest shifts that satisfy all lower bounds.

    The bounds are relaxed as in the Bellman-Ford algorithm. Shifts that
    still change after one round per process show a cycle of bounds that
    can't be satisfied; then the second value is True.
    """
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
