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
import msgspec

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
    description="JSON file with the log's url and timeouts.",
    flag=False,
)
_FORMAT = helpers.option(
    "format", description="text or json.", flag=False, default="text"
)
_WAIT = helpers.option(
    "wait", description="Wait until it is in force everywhere.", flag=True
)
_TIMEOUT = helpers.option(
    "timeout",
    description="Seconds to try for, and then to wait.",
    flag=False,
    default="30",
)
_SECONDS = helpers.option(
    "seconds", description="End after so many seconds.", flag=False
)
_FROM_START = helpers.option(
    "from-start", description="Print past events too.", flag=True
)


class _UsageError(Exception):
    """The command line cannot be used."""


class _Note(command.Command):  # type: ignore[misc]
    """What the subcommands share."""

    def handle(self) -> int:
        """Run the command and map errors to exit codes."""
        try:
            if self.option("format") not in ("text", "json"):
                raise _UsageError("--format is text or json")
            return self.work()
        except _UsageError as exc:
            print(f"arbutusstall-note: {exc}", file=sys.stderr)
            return program.EXIT_USAGE
        except errors.InvalidFile as exc:
            self.fail("invalid", f"{exc.peer}: {exc.reason}")
            return program.EXIT_REFUSED
        except errors.ReleaseRefused as exc:
            file = self.argument("file")
            self.fail("refused", f"{file}: refused: {exc.reason}")
            return program.EXIT_REFUSED
        except errors.LogUnavailable as exc:
            self.fail("unknown", f"outcome unknown: {exc}")
            return program.EXIT_UNKNOWN

    def work(self) -> int:
        """Return the exit code."""
        raise NotImplementedError

    def load(self) -> _notes.ReleaseNote:
        """Read the release file."""
        return _notes.load(pathlib.Path(self.argument("file")))

    def log_settings(self) -> _settings.LogSettings | None:
        """Return how to reach the log, if the command line says so."""
        name = self.option("settings")
        if name:
            return _settings_files.load_log(pathlib.Path(name))
        url = self.option("log")
        if not url:
            return None
        if not _settings_files.is_url(url):
            raise _UsageError("--log is no http:// or https:// URL")
        return _settings.LogSettings(url=url)

    def log(self) -> client.LogClient:
        """Return a client of the platform log."""
        return log_client.HttpLogClient(self.needed_log_settings())

    def needed_log_settings(self) -> _settings.LogSettings:
        """Return how to reach the log."""
        settings = self.log_settings()
        if settings is None:
            raise _UsageError("--log URL or --settings FILE is needed")
        return settings

    def seconds(self, name: str) -> float:
        """Return the value of an option that is a time in seconds."""
        try:
            value = float(self.option(name))
        except ValueError:
            value = math.nan
        if not 0 < value < math.inf:
            raise _UsageError(f"--{name} is no time in seconds")
        return value

    def publisher(self) -> publishing.Publisher:
        """Return a publisher that tries for --timeout seconds."""
        settings = self.needed_log_settings()
        return publishing.Publisher(
            log_client.HttpLogClient(settings),
            settings,
            self.seconds("timeout"),
        )

    def show(self, text: str, row: Any) -> None:
        """Print a result in the format that was asked for."""
        if self.option("format") == "json":
            text = msgspec.json.encode(row).decode()
        print(text, flush=True)

    def fail(self, result: str, text: str) -> None:
        """Print why the command did not do what was asked."""
        if self.option("format") == "json":
            row = {"result": result, "reason": text}
            print(msgspec.json.encode(row).decode(), flush=True)
        print(text, file=sys.stderr)


class CheckCommand(_Note):
    """Checks a release file."""

    name = "check"
    description = "Check a release file, with --log also against the state."
    arguments = [_FILE]
    options = [_LOG, _SETTINGS, _FORMAT, _TIMEOUT]

    def work(self) -> int:
        """Return the exit code."""
        note = self.load()
        _check_times(note, self.argument("file"))
        if self.log_settings() is not None:
            state = self.publisher().read()
            record = publishing.release_record(note, state)
            reason = releases.refusal(state, record)
            if reason and note.name not in state.releases_by_name:
                raise errors.InvalidFile(
                    step="release.check",
                    peer=self.argument("file"),
                    reason=reason,
                )
        self.show(
            f"{note.name}: the release is valid",
            {"release": note.name, "result": "valid"},
        )
        return program.EXIT_OK


class PublishCommand(_Note):
    """Publishes a release."""

    name = "publish"
    description = "Publish a release file."
    arguments = [_FILE]
    options = [_LOG, _SETTINGS, _WAIT, _TIMEOUT, _FORMAT]

    def work(self) -> int:
        """Return the exit code."""
        note = self.load()
        publisher = self.publisher()
        state = publisher.read()
        if note.name not in state.releases_by_name:
            _check_times(note, self.argument("file"))
        done = publisher.publish(note, state)
        if done.is_error():
            raise done.error
        publication = done.ok
        self._show(publication)
        if self.option("wait"):
            return self._wait(publication)
        return program.EXIT_OK

    def _show(self, publication: publishing.Publication) -> None:
        outcome = publication.outcome
        text = f"{outcome.name}: accepted at offset {outcome.offset}"
        if publication.repeated:
            text = f"{outcome.name}: already published, nothing changes"
        result = "unchanged" if publication.repeated else "accepted"
        self.show(
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
            self.show(progress.line(), progress)
        if progress.everywhere:
            return program.EXIT_OK
        self.fail("not-everywhere", progress.verdict())
        return program.EXIT_UNKNOWN


class StatusCommand(_Note):
    """Shows releases and rollouts."""

    name = "status"
    description = "Show releases, moves and their verdicts."
    options = [_LOG, _SETTINGS, _FORMAT, _TIMEOUT]

    def work(self) -> int:
        """Return the exit code."""
        view = status.of(self.publisher().read())
        self.show("\n".join(view.lines()), view)
        return program.EXIT_OK


class DiffCommand(_Note):
    """Shows what a release would change."""

    name = "diff"
    description = "Show what a release file would change."
    arguments = [_FILE]
    options = [_LOG, _SETTINGS, _FORMAT, _TIMEOUT]

    def work(self) -> int:
        """Return the exit code."""
        note = self.load()
        state = self.publisher().read()
        known = state.releases_by_name.get(note.name)
        if known is not None and known.state is agreed.ReleaseState.ACCEPTED:
            rows: tuple[differences.Difference, ...] = ()
        else:
            reason = releases.refusal(
                state, publishing.release_record(note, state)
            )
            if reason:
                raise errors.ReleaseRefused(
                    step="release.diff", peer=note.name, reason=reason
                )
            rows = differences.of(note, state.snapshot)
        text = "\n".join(row.line() for row in rows) or "nothing changes"
        self.show(text, rows)
        return program.EXIT_OK


class WatchCommand(_Note):
    """Prints what happens."""

    name = "watch"
    description = "Print releases, moves and verdicts as they come."
    options = [_LOG, _SETTINGS, _FORMAT, _SECONDS, _FROM_START]

    def work(self) -> int:
        """Return the exit code."""
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
        left_s = end_s - time.monotonic()
        try:
            events = watcher.poll(max(0.0, min(left_s, watching.LONG_POLL_S)))
        except errors.LogUnavailable as exc:
            print(f"waiting for the log: {exc}", file=sys.stderr)
            time.sleep(max(0.0, min(left_s, watching.RETRY_DELAY_S)))
            return
        for event in events:
            self.show(event.line(), dataclasses.asdict(event))


@contextlib.contextmanager
def _interruptible() -> abc.Iterator[None]:
    """Raise KeyboardInterrupt on SIGINT and SIGTERM.

    A program that a script starts in the background inherits that SIGINT
    is ignored; it must end all the same.
    """
    numbers = (signal.SIGINT, signal.SIGTERM)
    before = [
        signal.signal(number, signal.default_int_handler) for number in numbers
    ]
    try:
        yield
    finally:
        for number, handler in zip(numbers, before, strict=True):
            signal.signal(number, handler)


def _check_times(note: _notes.ReleaseNote, name: str) -> None:
    _notes.check_times(note, name, datetime.datetime.now(datetime.UTC))


def main() -> None:
    """Entry point."""
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
