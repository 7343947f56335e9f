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
    """Sends requests at a fixed rate and reports the outcomes."""

    name = "run"
    description = "Send requests at a fixed rate and report the outcomes."
    arguments = [
        helpers.argument("file", "JSON file with the kinds of request."),
        helpers.argument(
            "entries", "Base URLs of nodes, http://IP:PORT.", multiple=True
        ),
    ]
    options = [
        _option("rate", "Calls per second.", "50"),
        _option("seconds", "Duration in seconds.", "5"),
        _option(
            "steps",
            "Successive rates, RATExSECONDS,...; replaces --rate, --seconds.",
        ),
        _option("seed", "Seed of the random choice of kinds.", "1"),
        _option("workers", "Maximum number of concurrent calls.", "64"),
        _option("events", "Calls logged on stderr: failed or all.", "failed"),
        _option("name", "Name in event lines and request ids.", "load"),
        _option("data-centre", "Data centre in event lines.", "-"),
        _option(
            "format", "Format of the report on stdout: text or json.", "text"
        ),
        _option("report", "File that the JSON report is written to."),
    ]

    def handle(self) -> int:
        """Run the load and return the exit code."""
        try:
            settings = self._settings()
            as_json = self._choice("format", ("text", "json")) == "json"
        except errors.InvalidFile as exc:
            return _print_error(exc, program.EXIT_USAGE)
        try:
            plan = kinds.load(pathlib.Path(self.argument("file")))
        except errors.InvalidFile as exc:
            return _print_error(exc, program.EXIT_REFUSED)
        events.configure("INFO")
        reports_by_kind = runner.Runner(plan, settings).run()
        result = report.build(settings, reports_by_kind)
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
                raise _invalid("entries", f"{entry!r} is not an http:// URL")
        return runner.RunSettings(
            entries=entries,
            steps=schedule.parse_steps(steps),
            seed=self._integer("seed", _MAX_SEED),
            workers=self._integer("workers", _MAX_WORKERS),
            log_all=self._choice("events", ("failed", "all")) == "all",
            node=self.option("name"),
            data_centre=self.option("data-centre"),
        )

    def _integer(self, name: str, maximum: int) -> int:
        text = self.option(name)
        if not text.isdecimal() or not 0 < int(text) <= maximum:
            raise _invalid(
                f"--{name}", f"{text!r} is not an integer in 1..{maximum}"
            )
        return int(text)

    def _choice(self, name: str, values: tuple[str, ...]) -> str:
        text = str(self.option(name))
        if text not in values:
            raise _invalid(f"--{name}", f"{text!r} is not one of {values}")
        return text


def _print_error(error: errors.InvalidFile, code: int) -> int:
    print(f"{error.peer}: {error.reason}", file=sys.stderr)
    return code


def _invalid(name: str, reason: str) -> errors.InvalidFile:
    return errors.InvalidFile(step="load.options", peer=name, reason=reason)


def main() -> None:
    """Run the program."""
    program.run("arbutusstall-load", RunCommand())


if __name__ == "__main__":
    main()
