"""The program arbutusstall-load."""

import pathlib
import sys

from cleo import helpers
from cleo.commands import command

from arbutusstall import errors
from arbutusstall._cli import program
from arbutusstall._load import kinds
from arbutusstall._load import report
from arbutusstall._load import runner
from arbutusstall._load import schedule
from arbutusstall._shell import events

_MAX_WORKERS = 1_000
_MAX_SEED = 2**32


def _option(name: str, text: str, default: str | None = None) -> object:
    return helpers.option(name, None, text, flag=False, default=default)


class RunCommand(command.Command):  # type: ignore[misc]
    """Sends requests at a fixed rate."""

    name = "run"
    description = "Send requests at a fixed rate and report."
    arguments = [
        helpers.argument("file", "Kinds of request (JSON)."),
        helpers.argument(
            "entries", "URLs of nodes to call, http://IP:PORT.", multiple=True
        ),
    ]
    options = [
        _option("rate", "Calls a second.", "50"),
        _option("seconds", "Length in seconds.", "5"),
        _option("steps", "Rates in turn, RATExSECONDS,...; replaces both."),
        _option("seed", "Seed of the choice of kinds.", "1"),
        _option("workers", "Calls that may be open at once.", "64"),
        _option("events", "Event lines on stderr: failed or all.", "failed"),
        _option("name", "Name in event lines and request ids.", "load"),
        _option("data-centre", "Data centre in event lines.", "-"),
        _option("format", "Report on stdout: text or json.", "text"),
        _option("report", "File to write the JSON report to."),
    ]

    def handle(self) -> int:
        """Return the exit code."""
        try:
            settings = self._settings()
            as_json = self._choice("format", ("text", "json")) == "json"
        except errors.InvalidFile as exc:
            return _refuse(exc, program.EXIT_USAGE)
        try:
            plan = kinds.load(pathlib.Path(self.argument("file")))
        except errors.InvalidFile as exc:
            return _refuse(exc, program.EXIT_REFUSED)
        events.configure("INFO")
        figures = runner.Runner(plan, settings).run()
        result = report.build(settings, figures)
        render = report.render_json if as_json else report.render_text
        print(render(result))
        if self.option("report"):
            path = pathlib.Path(self.option("report"))
            path.write_text(report.render_json(result) + "\n")
        return program.EXIT_REFUSED if result.wrong else program.EXIT_OK

    def _settings(self) -> runner.RunSettings:
        steps = self.option("steps") or (
            f"{self.option('rate')}x{self.option('seconds')}"
        )
        entries = tuple(
            entry.rstrip("/") for entry in self.argument("entries")
        )
        for entry in entries:
            if not entry.startswith("http://"):
                raise _invalid("entries", f"{entry!r} is no http:// URL")
        return runner.RunSettings(
            entries=entries,
            steps=schedule.parse_steps(steps),
            seed=self._count("seed", _MAX_SEED),
            workers=self._count("workers", _MAX_WORKERS),
            log_all=self._choice("events", ("failed", "all")) == "all",
            node=self.option("name"),
            data_centre=self.option("data-centre"),
        )

    def _count(self, name: str, most: int) -> int:
        text = self.option(name)
        if not text.isdecimal() or not 0 < int(text) <= most:
            raise _invalid(f"--{name}", f"{text!r} is not in 1..{most}")
        return int(text)

    def _choice(self, name: str, values: tuple[str, ...]) -> str:
        text = str(self.option(name))
        if text not in values:
            raise _invalid(f"--{name}", f"{text!r} is none of {values}")
        return text


def _refuse(error: errors.InvalidFile, code: int) -> int:
    print(f"{error.peer}: {error.reason}", file=sys.stderr)
    return code


def _invalid(name: str, reason: str) -> errors.InvalidFile:
    return errors.InvalidFile(step="load.options", peer=name, reason=reason)


def main() -> None:
    """Entry point."""
    program.run("arbutusstall-load", RunCommand())


if __name__ == "__main__":
    main()
