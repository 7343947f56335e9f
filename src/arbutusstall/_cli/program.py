"""Starts the console programs and defines their exit codes."""

from collections import abc
import importlib.metadata
import sys

from cleo import application
from cleo import exceptions
from cleo.commands import command
from cleo.io.inputs import argv_input

EXIT_OK = 0
# Invalid file, refused release, violated invariant or wrong answer.
EXIT_REFUSED = 1
EXIT_USAGE = 2
# The outcome is unknown, or a release is not in force everywhere in time.
EXIT_UNKNOWN = 3


def run(name: str, *commands: command.Command) -> None:
    """Run the program ``name`` with these subcommands and exit."""
    _run(name, commands, sys.argv)


def run_single(name: str, single_command: command.Command) -> None:
    """Run the program ``name``, which has no subcommands, and exit.

    The name of the command must be ``name``.
    """
    _run(name, (single_command,), [sys.argv[0], name, *sys.argv[1:]])


def _run(
    name: str, commands: abc.Iterable[command.Command], arguments: list[str]
) -> None:
    version = importlib.metadata.version("arbutusstall")
    program = application.Application(name, version)
    for item in commands:
        program.add(item)
    program.auto_exits(False)
    program.catch_exceptions(False)
    try:
        code = program.run(argv_input.ArgvInput(arguments))
    except exceptions.CleoError as exc:
        print(f"{name}: {exc}", file=sys.stderr)
        code = EXIT_USAGE
    sys.exit(code)
