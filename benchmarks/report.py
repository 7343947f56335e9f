"""The form in which every benchmark returns its figures.

Each module with figures offers ``report(short: bool) -> Report`` and,
run as a program, prints the report as markdown.
"""

from collections import abc
import dataclasses
import math
import statistics
import sys


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Bound:
    """A figure that must not pass its limit.

    Attributes:
        name: What was measured, with its unit.
        figure: The measured value.
        limit: The value it is held against, from the stated target.
        ok: Whether the bound holds.
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
        command: Shell command that gave the figures.
        header: Names of the columns.
        rows: Cells of the table, as they are printed.
        bounds: Figures with their limits.
        remarks: Lines below the table: spread, seeds, what was not run.
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
    """Return the bound that ``figure`` is not above ``limit``."""
    return Bound(name=name, figure=figure, limit=limit, ok=figure <= limit)


def quantile(values: abc.Iterable[float], share: float) -> float:
    """Return the value that ``share`` of the values do not exceed.

    Returns NaN, which passes no bound, if there are no values.
    """
    ordered = sorted(values)
    if not ordered:
        return math.nan
    return ordered[max(0, math.ceil(share * len(ordered)) - 1)]


def spread(values: abc.Sequence[float], digits: int = 2) -> str:
    """Return the median with the smallest and largest value."""
    return (
        f"{statistics.median(values):.{digits}f}"
        f" ({min(values):.{digits}f}-{max(values):.{digits}f})"
    )


def run_main(report: abc.Callable[[bool], Report]) -> int:
    """Print a module's report; ``--short`` asks for the short form.

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
