"""Finds requests that crash targets and keeps them from doing it again."""

import collections
from collections import abc
import dataclasses
import enum

import xxhash

from arbutusstall import _clock
from arbutusstall import _effects
from arbutusstall._tables import node
from arbutusstall._wire import messages

POISON = "crashed targets before"

_SUSPECT_S = 60.0
_REFUSED_CRASHES = 2
_MAX_SUSPECTS = 1_000
_MAX_PROVEN = 2_000
_PROVEN_S = 60.0


class Treatment(enum.Enum):
    """How a request is to be run."""

    NORMAL = "normal"
    SOLO = "solo"
    REFUSE = "refuse"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _Crashes:
    ids: frozenset[str]
    expires_s: float


def fingerprint(method: str, path: str, body: bytes, key: str) -> str:
    """Return the digest that names a request."""
    digest = xxhash.xxh3_128(body)
    digest.update(f"\0{method}\0{path}\0{key}".encode())
    return str(digest.hexdigest())


class Suspects:
    """Requests in flight at a crash; not thread-safe, wall-clock times."""

    def __init__(self) -> None:
        self._crashes_by_print: collections.OrderedDict[str, _Crashes] = (
            collections.OrderedDict()
        )
        self._proven_s_by_print: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )

    def treatment(self, name: str, now_s: float) -> Treatment:
        """Return how the request with fingerprint ``name`` may run."""
        crashes = self._crashes_by_print.get(name)
        if crashes is None:
            return Treatment.NORMAL
        if crashes.expires_s < now_s:
            del self._crashes_by_print[name]
            return Treatment.NORMAL
        if len(crashes.ids) >= _REFUSED_CRASHES:
            return Treatment.REFUSE
        return Treatment.SOLO

    def ran_well(self, name: str, now_s: float) -> None:
        """Clear a request: it has run and the target lives."""
        self._crashes_by_print.pop(name, None)
        self._proven_s_by_print[name] = now_s
        self._proven_s_by_print.move_to_end(name)
        while len(self._proven_s_by_print) > _MAX_PROVEN:
            self._proven_s_by_print.popitem(last=False)

    def crashed(
        self, names: abc.Iterable[str], crash: str, now_s: float
    ) -> tuple[messages.Suspect, ...]:
        """Mark what was in flight at a crash; return the new marks.

        A request that has run well here lately is not marked, so that
        a frequent request does not suffer for its neighbour.
        """
        found = tuple(names)
        rows = tuple(
            messages.Suspect(
                fingerprint=name,
                crash=crash,
                expires_s=now_s + _SUSPECT_S,
            )
            for name in found
            if len(found) == 1 or not self._is_proven(name, now_s)
        )
        self.merge(rows)
        return rows

    def merge(
        self, rows: abc.Iterable[messages.Suspect]
    ) -> tuple[messages.Suspect, ...]:
        """Take in marks; return those that were news."""
        return tuple(row for row in rows if self._add(row))

    def _add(self, row: messages.Suspect) -> bool:
        old = self._crashes_by_print.get(row.fingerprint)
        if old is not None and row.crash in old.ids:
            return False
        ids = old.ids if old else frozenset()
        self._crashes_by_print[row.fingerprint] = _Crashes(
            ids=ids | {row.crash},
            expires_s=max(row.expires_s, old.expires_s if old else 0.0),
        )
        while len(self._crashes_by_print) > _MAX_SUSPECTS:
            self._crashes_by_print.popitem(last=False)
        return True

    def _is_proven(self, name: str, now_s: float) -> bool:
        proven_s = self._proven_s_by_print.get(name)
        return proven_s is not None and now_s - proven_s < _PROVEN_S


def on_crashed(
    tables: node.Tables, event: _effects.TargetCrashed, now: _clock.Instant
) -> list[_effects.Effect]:
    """Spread the marks of a crash beside this node."""
    return _spread(tables, event.suspects, skip="")


def on_report(
    tables: node.Tables,
    peer: str,
    message: messages.SuspectReport,
    now: _clock.Instant,
) -> list[_effects.Effect]:
    """Use a neighbour's marks and pass on those that were news."""
    news = tuple(
        row
        for row in message.rows
        if row.expires_s > now.wall_s and not _is_known(tables, row)
    )
    if not news:
        return []
    return [
        _effects.UpdateSuspects(rows=news),
        *_spread(tables, news, skip=peer),
    ]


def _is_known(tables: node.Tables, row: messages.Suspect) -> bool:
    return (row.fingerprint, row.crash) in tables.suspect_expiry_s_by_key


def _spread(
    tables: node.Tables, rows: tuple[messages.Suspect, ...], skip: str
) -> list[_effects.Effect]:
    marks = tables.suspect_expiry_s_by_key
    for row in rows:
        marks[row.fingerprint, row.crash] = row.expires_s
    while len(marks) > _MAX_SUSPECTS:
        del marks[next(iter(marks))]
    report = messages.SuspectReport(rows=rows)
    return [
        _effects.Send(peer=peer, message=report)
        for peer in tables.links_by_peer
        if peer != skip
    ]
