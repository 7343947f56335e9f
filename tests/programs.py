"""Runs the console programs inside the test process."""

import contextlib
import dataclasses
import importlib
import io
import sys
from unittest import mock


@dataclasses.dataclass(frozen=True, kw_only=True)
class CompletedProgram:
    """Output and exit code of a program."""

    returncode: int
    stdout: str
    stderr: str


def run(module: str, *arguments: str) -> CompletedProgram:
    """Run ``arbutusstall-MODULE``; uncaught exceptions are raised."""
    out, err = io.StringIO(), io.StringIO()
    main = importlib.import_module(f"arbutusstall._cli.{module}").main
    code = 0
    with (
        mock.patch.object(sys, "argv", [f"arbutusstall-{module}", *arguments]),
        contextlib.redirect_stdout(out),
        contextlib.redirect_stderr(err),
    ):
        try:
            main()
        except SystemExit as exc:
            code = int(exc.code or 0)
    return CompletedProgram(
        returncode=code, stdout=out.getvalue(), stderr=err.getvalue()
    )
