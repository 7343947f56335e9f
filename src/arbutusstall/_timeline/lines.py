"""Parses the event lines that processes write to their logs."""

from collections import abc
import dataclasses
import pathlib
import re

from arbutusstall import errors

_PAIR = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|\S*)')
_ESCAPE = re.compile(r"\\(.)")


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Line:
    """One event line.

    Attributes:
        ts_s: Wall clock of the writer, in seconds since the epoch.
        seq: Sequence number within the writer's process.
        node: Name of the writer.
        run: Identifier of the process: the file, the writer's name and
            how often the writer had started in that file.
        event: Name of the event.
        fields: All fields of the line by name, with quotes removed.
        text: The line as it was written.
        at_s: Time on the common time line, in seconds since the epoch;
            equal to ``ts_s`` unless the writer's clock was corrected or
            set back.
    """

    ts_s: float
    seq: int
    node: str
    run: str
    event: str
    fields: abc.Mapping[str, str]
    text: str
    at_s: float

    def get(self, name: str) -> str:
        """Return a field's value, or an empty string if it is missing."""
        return self.fields.get(name, "")


def parse(text: str, run: str = "") -> Line | None:
    """Return the event line in ``text``, or None if it isn't one.

    Args:
        text: One line of a log.
        run: Identifier of the process that wrote it.
    """
    fields = {name: _unquote(value) for name, value in _PAIR.findall(text)}
    try:
        ts_s = float(fields["ts"])
        return Line(
            ts_s=ts_s,
            seq=int(fields["seq"]),
            node=fields["node"],
            run=run,
            event=fields["event"],
            fields=fields,
            text=text.rstrip("\n"),
            at_s=ts_s,
        )
    except (KeyError, ValueError):
        return None


def read_runs(path: pathlib.Path) -> dict[str, list[Line]]:
    """Return the event lines in a file, by the process that wrote them.

    Sequence numbers start at 1 in each process, so a 1 marks the start of
    a new one. The lines of a process are ordered by sequence number.

    Raises:
        InvalidFile: The file cannot be read.
    """
    try:
        content = path.read_text(errors="replace")
    except OSError as exc:
        raise errors.InvalidFile(
            step="timeline.read", peer=str(path), reason=str(exc.strerror)
        ) from exc
    runs: dict[str, list[Line]] = {}
    starts_by_node: dict[str, int] = {}
    for text in content.splitlines():
        line = parse(text)
        if line is None:
            continue
        if line.seq == 1:
            starts_by_node[line.node] = starts_by_node.get(line.node, 0) + 1
        run = f"{path}#{line.node}#{starts_by_node.get(line.node, 0)}"
        line = dataclasses.replace(line, run=run)
        runs.setdefault(run, []).append(line)
    for lines in runs.values():
        lines.sort(key=lambda line: line.seq)
    return runs


def _unquote(value: str) -> str:
    if not value.startswith('"'):
        return value
    return _ESCAPE.sub(r"\1", value[1:-1])
