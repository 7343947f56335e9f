"""Report format of the benchmarks.

Each benchmark module but ``hop`` has a function ``report(short: bool) ->
Report`` and, run as a program, prints the report as markdown.
"""

from collections import abc
import dataclasses
import math
import statistics
import sys


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Bound:
    """A figure with its upper limit.

    Attributes:
        name: What was measured, with its unit.
        figure: The measured value.
        limit: Upper limit, from the stated target.
        ok: Whether the figure is within the limit.
    """

    name: str
    figure: float
    limit: float
    ok: bool


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Report:
    """The result of one benchmark.

    Attributes:
        title: Heading of the table.
        command: Shell command that produced the figures.
        header: Names of the columns.
        rows: Cells of the table, as printed.
        bounds: Figures with their limits.
        remarks: Paragraphs below the table, such as seeds or skipped cases.
    """

    title: str
    command: str
    header: tuple[str, ...]
    rows: tuple[tuple[str, ...], ...]
    bounds: tuple[Bound, ...] = ()
    remarks: tuple[str, ...] = ()

    @property
    def ok(self) -> bool:
        """Whether all bounds hold."""
        return all(bound.ok for bound in self.bounds)

    def markdown(self) -> str:
        """Return the report as a markdown section."""
        lines = [f"## {self.title}", "", f"`{self.command}`", ""]
        lines += _table(self.header, self.rows)
        if self.bounds:
            rows = tuple(
                (
                    bound.name,
                    f"{bound.figure:.4g}",
                    f"{bound.limit:.4g}",
                    "holds" if bound.ok else "MISSED",
                )
                for bound in self.bounds
            )
            lines += ["", *_table(("bound", "figure", "limit", ""), rows)]
        for remark in self.remarks:
            lines += ["", remark]
        return "\n".join(lines) + "\n"


def at_most(name: str, figure: float, limit: float) -> Bound:
    """Return a bound that holds if ``figure <= limit``."""
    return Bound(name=name, figure=figure, limit=limit, ok=figure <= limit)


def quantile(values: abc.Iterable[float], share: float) -> float:
    """Return the smallest value that ``share`` of the values do not exceed.

    Without values the result is NaN, for which no bound holds.
    """
    ordered = sorted(values)
    if not ordered:
        return math.nan
    return ordered[max(0, math.ceil(share * len(ordered)) - 1)]


def spread(values: abc.Sequence[float], digits: int = 2) -> str:
    """Return the median and range as text, such as ``2.00 (1.00-4.00)``."""
    return (
        f"{statistics.median(values):.{digits}f}"
        f" ({min(values):.{digits}f}-{max(values):.{digits}f})"
    )


def run_main(report: abc.Callable[[bool], Report]) -> int:
    """Print a module's report; the argument ``--short`` is passed on.

    Returns:
        The exit code: 1 if a bound was missed.
    """
    result = report("--short" in sys.argv[1:])
    print(result.markdown(), flush=True)
    return 0 if result.ok else 1


def _table(
    header: tuple[str, ...], rows: tuple[tuple[str, ...], ...]
) -> list[str]:
    lines = [
        "| " + " | ".join(header) + " |",
        "|" + " --- |" * len(header),
    ]
    return lines + ["| " + " | ".join(row) + " |" for row in rows]
