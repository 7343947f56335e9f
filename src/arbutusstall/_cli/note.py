"""The program arbutusstall-note."""

import datetime
import pathlib
import sys
import time
import uuid

from cleo import helpers
from cleo.commands import command
import msgspec

from arbutusstall import _notes
from arbutusstall import _settings
from arbutusstall import errors
from arbutusstall._cli import program
from arbutusstall._log import client
from arbutusstall._log import fold
from arbutusstall._log import reader
from arbutusstall._log import records
from arbutusstall._shell import http
from arbutusstall._shell import log_client
from arbutusstall._tables import agreed

_POLL_S = 0.1

_FILE = helpers.argument("file", description="Release file (JSON).")
_LOG = helpers.option(
    "log", description="URL of the platform log.", flag=False
)
_WAIT = helpers.option(
    "wait", description="Wait until it is in force everywhere.", flag=True
)
_TIMEOUT = helpers.option(
    "timeout", description="Seconds to wait.", flag=False, default="30"
)


class _Note(command.Command):  # type: ignore[misc]
    def load(self) -> _notes.ReleaseNote:
        """Read the release file."""
        return _notes.load(pathlib.Path(self.argument("file")))

    def log(self) -> client.LogClient:
        """Return a client of the log that --log names."""
        url = self.option("log")
        if not url:
            raise errors.InvalidFile(
                step="note.options", peer="--log", reason="URL is needed"
            )
        return log_client.HttpLogClient(_settings.LogSettings(url=url))

    def handle(self) -> int:
        """Run the command and map errors to exit codes."""
        try:
            return self.work()
        except errors.InvalidFile as exc:
            print(f"{exc.peer}: {exc.reason}", file=sys.stderr)
            return program.EXIT_REFUSED
        except errors.LogUnavailable as exc:
            print(f"outcome unknown: {exc}", file=sys.stderr)
            return program.EXIT_UNKNOWN

    def work(self) -> int:
        """Return the exit code."""
        raise NotImplementedError


class CheckCommand(_Note):
    """Checks a release file."""

    name = "check"
    description = "Check a release file."
    arguments = [_FILE]

    def work(self) -> int:
        """Return the exit code."""
        note = self.load()
        print(f"{note.name}: the release is valid")
        return program.EXIT_OK


class PublishCommand(_Note):
    """Publishes a release."""

    name = "publish"
    description = "Publish a release file."
    arguments = [_FILE]
    options = [_LOG, _WAIT, _TIMEOUT]

    def work(self) -> int:
        """Return the exit code."""
        note = self.load()
        log = self.log()
        state = reader.read_agreed(log)
        known = state.releases_by_name.get(note.name)
        if known is not None and known.digest == _notes.digest(note):
            print(f"{note.name}: already published, nothing changes")
            return program.EXIT_OK
        now = datetime.datetime.now(datetime.UTC)
        _notes.check_times(note, self.argument("file"), now)
        log.append(records.encode(_record(note, state)))
        state = reader.read_agreed(log, state)
        outcome = state.releases_by_name[note.name]
        if outcome.state is agreed.ReleaseState.REFUSED:
            print(f"{note.name}: refused: {outcome.reason}")
            return program.EXIT_REFUSED
        print(f"{note.name}: accepted at offset {outcome.offset}")
        if self.option("wait"):
            return self._wait(state, outcome.offset + 1)
        return program.EXIT_OK

    def _wait(self, state: agreed.Agreed, version: int) -> int:
        end_s = time.monotonic() + float(self.option("timeout"))
        progress = (0, 0)
        while time.monotonic() < end_s:
            now = _in_force(state, version)
            if now != progress:
                print(f"in force on {now[0]} of {now[1]} nodes")
            progress = now
            if now[0] == now[1] > 0:
                return program.EXIT_OK
            time.sleep(_POLL_S)
        print("not in force everywhere in time", file=sys.stderr)
        return program.EXIT_UNKNOWN


class StatusCommand(_Note):
    """Shows releases and rollouts."""

    name = "status"
    description = "Show releases, rollouts and their verdicts."
    options = [_LOG]

    def work(self) -> int:
        """Return the exit code."""
        state = reader.read_agreed(self.log())
        for outcome in state.releases_by_name.values():
            print(
                f"release {outcome.name}: {outcome.state.value}"
                f" {outcome.reason}".rstrip()
            )
        for rollout in state.snapshot.rollouts_by_id.values():
            print(
                f"move {rollout.rollout_id}: {rollout.state.value}"
                f" {rollout.reason}".rstrip()
            )
        return program.EXIT_OK


def _record(
    note: _notes.ReleaseNote, state: agreed.Agreed
) -> records.ReleaseRecord:
    return records.ReleaseRecord(
        record_id=f"release/{note.name}/{uuid.uuid4().hex}",
        note=note,
        digest=_notes.digest(note),
        published_s=time.time(),
        seen={
            key: state.item_offsets_by_key.get(key, agreed.NO_OFFSET)
            for key in fold.item_keys(note)
        },
    )


class _Status(msgspec.Struct):
    version: int
    known: int
    in_force: int
    scope: str


def _in_force(state: agreed.Agreed, version: int) -> tuple[int, int]:
    # Every root sums up the whole mesh; the first that answers will do.
    for root in state.roots_by_seat.values():
        request = http.Request(
            method="GET", url=f"http://{root.admin}/v1/status"
        )
        try:
            body = http.send(request).body
        except errors.ArbutusstallError:
            continue
        status = msgspec.json.decode(body, type=_Status)
        if status.scope == "mesh":
            having = status.in_force if status.version >= version else 0
            return having, status.known
    return 0, 0


def main() -> None:
    """Entry point."""
    program.run(
        "arbutusstall-note",
        CheckCommand(),
        PublishCommand(),
        StatusCommand(),
    )


if __name__ == "__main__":
    main()
