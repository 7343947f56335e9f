"""The program arbutusstall-timeline."""

import pathlib
import sys

from cleo import helpers
from cleo.commands import command

from arbutusstall import errors
from arbutusstall._cli import program
from arbutusstall._timeline import checks
from arbutusstall._timeline import history
from arbutusstall._timeline import lines
from arbutusstall._timeline import report
from arbutusstall._timeline import skew
from arbutusstall._timeline import verdicts

_FORMATS = ("text", "json")


class TimelineCommand(command.Command):  # type: ignore[misc]
    """Merges the logs of many processes, or checks the invariants."""

    name = "arbutusstall-timeline"
    description = "Merge key=value logs into one ordered time line."
    arguments = [
        helpers.argument("files", description="Log files.", multiple=True)
    ]
    options = [
        helpers.option(
            "request", description="Only lines of this request id.", flag=False
        ),
        helpers.option(
            "move", description="Only lines of this move.", flag=False
        ),
        helpers.option(
            "node", description="Only lines of this node.", flag=False
        ),
        helpers.option(
            "event", description="Only lines of this event.", flag=False
        ),
        helpers.option(
            "since",
            description="Only lines from this time on, in epoch seconds.",
            flag=False,
        ),
        helpers.option(
            "check",
            description="Check the invariants instead of printing lines.",
            flag=True,
        ),
        helpers.option(
            "format",
            description="Output format: text or json.",
            flag=False,
            default="text",
        ),
    ]

    def handle(self) -> int:
        """Print the lines or verdicts and return the exit code."""
        if self.option("format") not in _FORMATS:
            print("--format: must be text or json", file=sys.stderr)
            return program.EXIT_USAGE
        try:
            since_s = float(self.option("since") or "-inf")
        except ValueError:
            print("--since: not a number of seconds", file=sys.stderr)
            return program.EXIT_USAGE
        try:
            merged = skew.merge(self._runs())
        except errors.InvalidFile as exc:
            print(f"{exc.peer}: {exc.reason}", file=sys.stderr)
            return program.EXIT_REFUSED
        for warning in report.render_skew(merged):
            print(warning, file=sys.stderr)
        if self.option("check"):
            return self._check(merged)
        for line in merged.lines:
            if line.at_s >= since_s and self._is_selected(line):
                print(report.render_line(line, self._as_json()))
        return program.EXIT_OK

    def _runs(self) -> dict[str, list[lines.Line]]:
        runs: dict[str, list[lines.Line]] = {}
        for name in self.argument("files"):
            runs.update(lines.read_runs(pathlib.Path(name)))
        return runs

    def _check(self, merged: skew.MergedLines) -> int:
        results = checks.run(history.build(merged.lines), verdicts.Limits())
        print(report.render_verdicts(results, self._as_json()))
        if any(verdict.violations for verdict in results):
            return program.EXIT_REFUSED
        return program.EXIT_OK

    def _as_json(self) -> bool:
        return bool(self.option("format") == "json")

    def _is_selected(self, line: lines.Line) -> bool:
        filters = {
            "request": self.option("request"),
            "rollout": self.option("move"),
            "node": self.option("node"),
            "event": self.option("event"),
        }
        return all(
            line.get(name) == value for name, value in filters.items() if value
        )


def main() -> None:
    """Run the program."""
    program.run_single("arbutusstall-timeline", TimelineCommand())


if __name__ == "__main__":
    main()
