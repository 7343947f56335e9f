"""Runs all benchmarks and holds their figures against their bounds.

Usage: python benchmarks/run.py [--short] [--write FILE]. Exits with 1
if a bound is missed or a benchmark breaks off.
"""

import argparse
import importlib
import importlib.util
import os
import pathlib
import platform
import sys
import traceback

import report

_MODULES = (
    "convergence",
    "convergence_processes",
    "moves",
    "move_slopes",
    "calls",
    "loop_calls",
    "fencing",
    "fold",
    "slopes",
)

_PAGE_HEADER = """\
# Measurements

Written by `{command}`. Each table names the command that gives
it; figures include their spread over seeds or repetitions. Bounds come
from the stated target, not from what was measured.

Machine: {cores} cores, Python {python}; clients, nodes and stand-ins
share it, so figures are relative: compare them within one table.
"""


def main() -> int:
    """Run all benchmarks and return the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--short", action="store_true")
    parser.add_argument("--write", type=pathlib.Path)
    arguments = parser.parse_args()
    sections = [
        _PAGE_HEADER.format(
            command=" ".join(["benchmarks/run.py", *sys.argv[1:]]),
            cores=os.cpu_count(),
            python=platform.python_version(),
        )
    ]
    missed = 0
    for name in _MODULES:
        section, holds = _run(name, arguments.short)
        print(section, flush=True)
        sections.append(section)
        missed += not holds
        # Written after each benchmark, so that an aborted run leaves the
        # sections measured so far.
        if arguments.write:
            arguments.write.write_text("\n".join(sections))
    print(f"{len(_MODULES) - missed} benchmarks hold, {missed} do not")
    return 1 if missed else 0


def _run(name: str, short: bool) -> tuple[str, bool]:
    if importlib.util.find_spec(name) is None:
        return f"## {name}\n\nNot there yet, not run.\n", True
    try:
        result: report.Report = importlib.import_module(name).report(short)
    except Exception:
        reason = traceback.format_exc()
        return f"## {name}\n\nBroke off:\n\n```\n{reason}```\n", False
    load = f"\nLoad average at the end: {os.getloadavg()[0]:.1f}.\n"
    return result.markdown() + load, result.ok


if __name__ == "__main__":
    sys.exit(main())
