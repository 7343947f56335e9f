"""The program arbutusstall-node."""

import pathlib
import sys

from cleo import helpers
from cleo.commands import command

from arbutusstall import _settings
from arbutusstall import _settings_files
from arbutusstall import errors
from arbutusstall._bounds import allocator
from arbutusstall._cli import program
from arbutusstall._shell import events
from arbutusstall._shell import node

_SETTINGS = helpers.option(
    "settings", description="Settings file (JSON).", flag=False
)


class _SettingsCommand(command.Command):  # type: ignore[misc]
    options = [_SETTINGS]

    def load(self) -> _settings.NodeSettings | None:
        """Return the settings; print the problem if they are invalid."""
        name = self.option("settings")
        if not name:
            print("error: --settings FILE is required", file=sys.stderr)
            return None
        try:
            return _settings_files.load(pathlib.Path(name))
        except errors.InvalidFile as exc:
            print(f"{exc.peer}: {exc.reason}", file=sys.stderr)
            return None


class CheckCommand(_SettingsCommand):
    """Checks a settings file without starting a node."""

    name = "check"
    description = "Check a settings file."

    def handle(self) -> int:
        """Check the file and return the exit code."""
        settings = self.load()
        if settings is None:
            return program.EXIT_REFUSED
        print(f"{settings.node}: the settings are valid")
        return program.EXIT_OK


class RunCommand(_SettingsCommand):
    """Runs a node until SIGTERM or SIGINT."""

    name = "run"
    description = "Run a node until SIGTERM or SIGINT."

    def handle(self) -> int:
        """Run the node and return the exit code."""
        settings = self.load()
        if settings is None:
            return program.EXIT_REFUSED
        events.configure(settings.log_level)
        allocator.return_large_blocks()
        node.Node(settings).run()
        return program.EXIT_OK


def main() -> None:
    """Run the program."""
    program.run("arbutusstall-node", RunCommand(), CheckCommand())


if __name__ == "__main__":
    main()
