"""What the console programs have in common."""

from collections import abc
import importlib.metadata
import sys

from cleo import application
from cleo import exceptions
from cleo.commands import command
from cleo.io.inputs import argv_input

EXIT_OK = 0
EXIT_REFUSED = 1
EXIT_USAGE = 2
EXIT_UNKNOWN = 3


def run(name: str, *commands: command.Command) -> None:
    """Run the program ``name`` with its commands and exit."""
    _run(name, commands, sys.argv)


def run_single(name: str, only: command.Command) -> None:
    """Run the program ``name`` that consists of one command and exit.

    The command must have the program's name.
    """
    _run(name, (only,), [sys.argv[0], name, *sys.argv[1:]])


def _run(
    name: str, commands: abc.Iterable[command.Command], words: list[str]
) -> None:
    version = importlib.metadata.version("arbutusstall")
    program = application.Application(name, version)
    for item in commands:
        program.add(item)
    program.auto_exits(False)
    program.catch_exceptions(False)
    try:
        code = program.run(argv_input.ArgvInput(words))
    except exceptions.CleoError as exc:
        print(f"{name}: {exc}", file=sys.stderr)
        code = EXIT_USAGE
    sys.exit(code)
