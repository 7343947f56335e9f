"""The program arbutusstall-note."""

from collections import abc
import contextlib
import dataclasses
import datetime
import math
import pathlib
import signal
import sys
import time
from typing import Any

from cleo import helpers
from cleo.commands import command

from arbutusstall import _codec
from arbutusstall import _notes
from arbutusstall import _settings
from arbutusstall import _settings_files
from arbutusstall import errors
from arbutusstall._cli import program
from arbutusstall._cli import waiting
from arbutusstall._log import client
from arbutusstall._log import differences
from arbutusstall._log import publishing
from arbutusstall._log import releases
from arbutusstall._log import status
from arbutusstall._log import watching
from arbutusstall._shell import log_client
from arbutusstall._tables import agreed

_FILE = helpers.argument("file", description="Release file (JSON).")
_LOG = helpers.option(
    "log", description="URL of the platform log.", flag=False
)
_SETTINGS = helpers.option(
    "settings",
    description="JSON file with the URL and timeouts of the log.",
    flag=False,
)
_FORMAT = helpers.option(
    "format",
    description="Output format: text or json.",
    flag=False,
    default="text",
)
_WAIT = helpers.option(
    "wait",
    description="Wait until the release is in force on all nodes.",
    flag=True,
)
_TIMEOUT = helpers.option(
    "timeout",
    description="Limit in seconds, for retries and again for --wait.",
    flag=False,
    default="30",
)
_SECONDS = helpers.option(
    "seconds", description="Stop after this number of seconds.", flag=False
)
_FROM_START = helpers.option(
    "from-start",
    description="Print the past events of the log too.",
    flag=True,
)


class _UsageError(Exception):
    """An option is missing or has an invalid value."""


class _ReleaseCommand(command.Command):  # type: ignore[misc]
    """Base of the commands: options, output and exit codes."""

    def handle(self) -> int:
        """Run the command; return the exit code, also of errors."""
        try:
            if self.option("format") not in ("text", "json"):
                raise _UsageError("--format must be text or json")
            return self.run_command()
        except _UsageError as exc:
            print(f"arbutusstall-note: {exc}", file=sys.stderr)
            return program.EXIT_USAGE
        except errors.InvalidFile as exc:
            self.print_failure("invalid", f"{exc.peer}: {exc.reason}")
            return program.EXIT_REFUSED
        except errors.ReleaseRefused as exc:
            file = self.argument("file")
            self.print_failure("refused", f"{file}: refused: {exc.reason}")
            return program.EXIT_REFUSED
        except errors.LogUnavailable as exc:
            self.print_failure("unknown", f"outcome unknown: {exc}")
            return program.EXIT_UNKNOWN

    def run_command(self) -> int:
        """Run the command and return the exit code."""
        raise NotImplementedError

    def load(self) -> _notes.ReleaseNote:
        """Read the release file."""
        return _notes.load(pathlib.Path(self.argument("file")))

    def log_settings(self) -> _settings.LogSettings | None:
        """Return the settings of the log, if an option gives them."""
        name = self.option("settings")
        if name:
            return _settings_files.load_log(pathlib.Path(name))
        url = self.option("log")
        if not url:
            return None
        if not _settings_files.is_url(url):
            raise _UsageError("--log must be an http:// or https:// URL")
        return _settings.LogSettings(url=url)

    def log(self) -> client.LogClient:
        """Return a client of the platform log."""
        return log_client.HttpLogClient(self.required_log_settings())

    def required_log_settings(self) -> _settings.LogSettings:
        """Return the settings of the log.

        Raises:
            _UsageError: Neither --log nor --settings is given.
        """
        settings = self.log_settings()
        if settings is None:
            raise _UsageError("--log URL or --settings FILE is required")
        return settings

    def seconds(self, name: str) -> float:
        """Return the value of an option in seconds.

        Raises:
            _UsageError: The value is not a positive finite number.
        """
        try:
            value = float(self.option(name))
        except ValueError:
            value = math.nan
        if not 0 < value < math.inf:
            raise _UsageError(f"--{name} must be a positive number of seconds")
        return value

    def publisher(self) -> publishing.Publisher:
        """Return a publisher that retries for --timeout seconds."""
        settings = self.required_log_settings()
        return publishing.Publisher(
            log_client.HttpLogClient(settings),
            settings,
            self.seconds("timeout"),
        )

    def print_result(self, text: str, row: Any) -> None:
        """Print ``text``, or ``row`` as JSON with --format json."""
        if self.option("format") == "json":
            text = _codec.json_encode(row).decode()
        print(text, flush=True)

    def print_failure(self, result: str, text: str) -> None:
        """Print the reason of a failure to stderr.

        With --format json it is also printed to stdout, as an object.
        """
        if self.option("format") == "json":
            row = {"result": result, "reason": text}
            print(_codec.json_encode(row).decode(), flush=True)
        print(text, file=sys.stderr)


class CheckCommand(_ReleaseCommand):
    """Checks a release file, and against the log if one is given."""

    name = "check"
    description = (
        "Check a release file, with --log also against the agreed state."
    )
    arguments = [_FILE]
    options = [_LOG, _SETTINGS, _FORMAT, _TIMEOUT]

    def run_command(self) -> int:
        """Run the command and return the exit code."""
        note = self.load()
        _check_times(note, self.argument("file"))
        if self.log_settings() is not None:
            state = self.publisher().read()
            record = publishing.release_record(note, state)
            reason = releases.refusal_reason(state, record)
            if reason and note.name not in state.releases_by_name:
                raise errors.InvalidFile(
                    step="release.check",
                    peer=self.argument("file"),
                    reason=reason,
                )
        self.print_result(
            f"{note.name}: the release is valid",
            {"release": note.name, "result": "valid"},
        )
        return program.EXIT_OK


class PublishCommand(_ReleaseCommand):
    """Appends a release to the log."""

    name = "publish"
    description = "Publish a release file."
    arguments = [_FILE]
    options = [_LOG, _SETTINGS, _WAIT, _TIMEOUT, _FORMAT]

    def run_command(self) -> int:
        """Run the command and return the exit code."""
        note = self.load()
        publisher = self.publisher()
        state = publisher.read()
        if note.name not in state.releases_by_name:
            _check_times(note, self.argument("file"))
        published = publisher.publish(note, state)
        if published.is_error():
            raise published.error
        publication = published.ok
        self._print_publication(publication)
        if self.option("wait"):
            return self._wait(publication)
        return program.EXIT_OK

    def _print_publication(self, publication: publishing.Publication) -> None:
        outcome = publication.outcome
        text = f"{outcome.name}: accepted at offset {outcome.offset}"
        if publication.repeated:
            text = f"{outcome.name}: already published, nothing changes"
        result = "unchanged" if publication.repeated else "accepted"
        self.print_result(
            text,
            {
                "release": outcome.name,
                "result": result,
                "offset": outcome.offset,
                "version": outcome.offset + 1,
            },
        )

    def _wait(self, publication: publishing.Publication) -> int:
        progress = waiting.Progress()
        version = publication.outcome.offset + 1
        for progress in waiting.watch(
            self.log(), publication.state, version, self.seconds("timeout")
        ):
            self.print_result(progress.line(), progress)
        if progress.is_complete:
            return program.EXIT_OK
        self.print_failure("not-everywhere", progress.failure_line())
        return program.EXIT_UNKNOWN


class StatusCommand(_ReleaseCommand):
    """Shows releases, rollouts and their verdicts."""

    name = "status"
    description = "Show releases, moves and their verdicts."
    options = [_LOG, _SETTINGS, _FORMAT, _TIMEOUT]

    def run_command(self) -> int:
        """Run the command and return the exit code."""
        view = status.from_agreed(self.publisher().read())
        self.print_result("\n".join(view.lines()), view)
        return program.EXIT_OK


class DiffCommand(_ReleaseCommand):
    """Shows how a release file differs from the agreed state."""

    name = "diff"
    description = "Show what a release file would change."
    arguments = [_FILE]
    options = [_LOG, _SETTINGS, _FORMAT, _TIMEOUT]

    def run_command(self) -> int:
        """Run the command and return the exit code."""
        note = self.load()
        state = self.publisher().read()
        earlier = state.releases_by_name.get(note.name)
        if (
            earlier is not None
            and earlier.state is agreed.ReleaseState.ACCEPTED
        ):
            rows: tuple[differences.Difference, ...] = ()
        else:
            reason = releases.refusal_reason(
                state, publishing.release_record(note, state)
            )
            if reason:
                raise errors.ReleaseRefused(
                    step="release.diff", peer=note.name, reason=reason
                )
            rows = differences.list_changes(note, state.snapshot)
        text = "\n".join(row.line() for row in rows) or "nothing changes"
        self.print_result(text, rows)
        return program.EXIT_OK


class WatchCommand(_ReleaseCommand):
    """Prints releases, rollouts and verdicts as the log gets them."""

    name = "watch"
    description = "Print releases, moves and verdicts as they happen."
    options = [_LOG, _SETTINGS, _FORMAT, _SECONDS, _FROM_START]

    def run_command(self) -> int:
        """Run the command and return the exit code."""
        end_s = math.inf
        if self.option("seconds"):
            end_s = time.monotonic() + self.seconds("seconds")
        watcher = watching.Watcher(
            self.log(), from_start=self.option("from-start")
        )
        try:
            with _interruptible():
                while time.monotonic() < end_s:
                    self._poll(watcher, end_s)
        except KeyboardInterrupt:
            return program.EXIT_OK
        return program.EXIT_OK

    def _poll(self, watcher: watching.Watcher, end_s: float) -> None:
        remaining_s = end_s - time.monotonic()
        try:
            events = watcher.poll(
                max(0.0, min(remaining_s, watching.LONG_POLL_S))
            )
        except errors.LogUnavailable as exc:
            print(f"waiting for the log: {exc}", file=sys.stderr)
            time.sleep(max(0.0, min(remaining_s, watching.RETRY_DELAY_S)))
            return
        for event in events:
            self.print_result(event.line(), dataclasses.asdict(event))


@contextlib.contextmanager
def _interruptible() -> abc.Iterator[None]:
    """Raise KeyboardInterrupt on SIGINT and SIGTERM.

    A shell script starts background programs with SIGINT ignored; without
    an explicit handler they could not be interrupted.
    """
    numbers = (signal.SIGINT, signal.SIGTERM)
    previous = [
        signal.signal(number, signal.default_int_handler) for number in numbers
    ]
    try:
        yield
    finally:
        for number, handler in zip(numbers, previous, strict=True):
            signal.signal(number, handler)


def _check_times(note: _notes.ReleaseNote, name: str) -> None:
    _notes.check_times(note, name, datetime.datetime.now(datetime.UTC))


def main() -> None:
    """Run the program."""
    program.run(
        "arbutusstall-note",
        CheckCommand(),
        PublishCommand(),
        StatusCommand(),
        DiffCommand(),
        WatchCommand(),
    )


if __name__ == "__main__":
    main()
