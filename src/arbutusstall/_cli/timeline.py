"""The program arbutusstall-timeline."""

import pathlib
import sys

from cleo import helpers
from cleo.commands import command

from arbutusstall import errors
from arbutusstall._cli import program
from arbutusstall._timeline import lines


class MergeCommand(command.Command):  # type: ignore[misc]
    """Merges the logs of many processes."""

    name = "merge"
    description = "Merge key=value logs into one ordered time line."
    arguments = [
        helpers.argument("files", description="Log files.", multiple=True)
    ]
    options = [
        helpers.option("request", description="Only this id.", flag=False),
        helpers.option("move", description="Only this move.", flag=False),
    ]

    def handle(self) -> int:
        """Return the exit code."""
        try:
            paths = [pathlib.Path(name) for name in self.argument("files")]
            merged = lines.merge(paths)
        except errors.InvalidFile as exc:
            print(f"{exc.peer}: {exc.reason}", file=sys.stderr)
            return program.EXIT_REFUSED
        for event in merged:
            if self._wanted(event):
                print(event.text)
        return program.EXIT_OK

    def _wanted(self, event: lines.Line) -> bool:
        request = self.option("request")
        move = self.option("move")
        if request and event.fields.get("request") != request:
            return False
        return not move or event.fields.get("rollout") == move


def main() -> None:
    """Entry point."""
    program.run("arbutusstall-timeline", MergeCommand())


if __name__ == "__main__":
    main()
