"""The program arbutusstall-node."""

import pathlib
import sys

from cleo import helpers
from cleo.commands import command

from arbutusstall import _settings
from arbutusstall import _settings_files
from arbutusstall import errors
from arbutusstall._cli import program
from arbutusstall._shell import events
from arbutusstall._shell import node

_SETTINGS = helpers.option(
    "settings", description="Settings file (JSON).", flag=False
)


class _Settings(command.Command):  # type: ignore[misc]
    options = [_SETTINGS]

    def load(self) -> _settings.NodeSettings | None:
        """Read the settings, or print why they cannot be used."""
        name = self.option("settings")
        if not name:
            print("error: --settings FILE is needed", file=sys.stderr)
            return None
        try:
            return _settings_files.load(pathlib.Path(name))
        except errors.InvalidFile as exc:
            print(f"{exc.peer}: {exc.reason}", file=sys.stderr)
            return None


class CheckCommand(_Settings):
    """Checks a settings file."""

    name = "check"
    description = "Check a settings file."

    def handle(self) -> int:
        """Return the exit code."""
        settings = self.load()
        if settings is None:
            return program.EXIT_REFUSED
        print(f"{settings.node}: the settings are valid")
        return program.EXIT_OK


class RunCommand(_Settings):
    """Runs a node."""

    name = "run"
    description = "Run a node until it is told to stop."

    def handle(self) -> int:
        """Return the exit code."""
        settings = self.load()
        if settings is None:
            return program.EXIT_REFUSED
        events.configure(settings.log_level)
        node.Node(settings).run()
        return program.EXIT_OK


def main() -> None:
    """Entry point."""
    program.run("arbutusstall-node", RunCommand(), CheckCommand())


if __name__ == "__main__":
    main()
