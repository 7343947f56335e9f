"""What the console programs have in common."""

import importlib.metadata
import sys

from cleo import application
from cleo.commands import command

EXIT_OK = 0
EXIT_REFUSED = 1
EXIT_USAGE = 2
EXIT_UNKNOWN = 3


def run(name: str, *commands: command.Command) -> None:
    """Run the program ``name`` with its commands and exit."""
    program = application.Application(
        name, importlib.metadata.version("arbutusstall")
    )
    for item in commands:
        program.add(item)
    program.auto_exits(False)
    sys.exit(program.run())
