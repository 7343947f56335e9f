"""Event lines and their order over all processes."""

from collections import abc
import dataclasses
import pathlib
import re

from arbutusstall import errors

_PAIR = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|\S*)')


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Line:
    """One event line.

    Attributes:
        ts_s: Wall clock of the writer, seconds since the epoch.
        seq: Sequence number within the writer's process.
    """

    ts_s: float
    seq: int
    node: str
    event: str
    fields: abc.Mapping[str, str]
    text: str


def parse(text: str) -> Line | None:
    """Return the event line in ``text``, or None if it holds none."""
    fields = {name: value.strip('"') for name, value in _PAIR.findall(text)}
    try:
        return Line(
            ts_s=float(fields["ts"]),
            seq=int(fields["seq"]),
            node=fields["node"],
            event=fields["event"],
            fields=fields,
            text=text.rstrip("\n"),
        )
    except (KeyError, ValueError):
        return None


def merge(paths: abc.Iterable[pathlib.Path]) -> list[Line]:
    """Return the lines of all files by wall clock, then sequence.

    Raises:
        InvalidFile: A file cannot be read.
    """
    found = []
    for path in paths:
        try:
            content = path.read_text(errors="replace")
        except OSError as exc:
            raise errors.InvalidFile(
                step="timeline.read", peer=str(path), reason=str(exc)
            ) from exc
        parsed = (parse(text) for text in content.splitlines())
        found += [line for line in parsed if line is not None]
    return sorted(found, key=lambda line: (line.ts_s, line.node, line.seq))
