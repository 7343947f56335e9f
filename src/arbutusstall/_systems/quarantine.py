"""Detects requests that crash targets and quarantines them.

Requests in flight at a crash become suspects, identified by fingerprint.
Suspects are shared with the other nodes.
"""

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

_SUSPECT_TTL_S = 60.0
_MIN_CRASHES_TO_REFUSE = 2
_MAX_SUSPECTS = 1_000
_MAX_SUCCEEDED = 2_000
_SUCCESS_VALID_S = 60.0


class Treatment(enum.Enum):
    """How a request may run.

    Attributes:
        NORMAL: The request runs without restriction.
        EXCLUSIVE: It is suspected of one crash and runs only while no
            other request is at the target.
        REFUSE: It is suspected of several crashes and does not run.
    """

    NORMAL = "normal"
    EXCLUSIVE = "solo"
    REFUSE = "refuse"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _Crashes:
    ids: frozenset[str]
    expires_s: float


def fingerprint(method: str, path: str, body: bytes, key: str) -> str:
    """Return the digest that identifies equal requests."""
    digest = xxhash.xxh3_128(body)
    digest.update(f"\0{method}\0{path}\0{key}".encode())
    return str(digest.hexdigest())


class Suspects:
    """Requests that are suspected of crashing targets.

    Not thread-safe. Times are wall-clock seconds, since entries are
    exchanged with other nodes.
    """

    def __init__(self) -> None:
        self._crashes_by_fingerprint: collections.OrderedDict[
            str, _Crashes
        ] = collections.OrderedDict()
        self._succeeded_s_by_fingerprint: collections.OrderedDict[
            str, float
        ] = collections.OrderedDict()

    def treatment(self, request_fingerprint: str, now_s: float) -> Treatment:
        """Return how the request with this fingerprint may run."""
        crashes = self._crashes_by_fingerprint.get(request_fingerprint)
        if crashes is None:
            return Treatment.NORMAL
        if crashes.expires_s < now_s:
            del self._crashes_by_fingerprint[request_fingerprint]
            return Treatment.NORMAL
        if len(crashes.ids) >= _MIN_CRASHES_TO_REFUSE:
            return Treatment.REFUSE
        return Treatment.EXCLUSIVE

    def record_success(self, request_fingerprint: str, now_s: float) -> None:
        """Clear a request that has run without crashing the target."""
        self._crashes_by_fingerprint.pop(request_fingerprint, None)
        self._succeeded_s_by_fingerprint[request_fingerprint] = now_s
        self._succeeded_s_by_fingerprint.move_to_end(request_fingerprint)
        while len(self._succeeded_s_by_fingerprint) > _MAX_SUCCEEDED:
            self._succeeded_s_by_fingerprint.popitem(last=False)

    def record_crash(
        self, fingerprints: abc.Iterable[str], crash: str, now_s: float
    ) -> tuple[messages.Suspect, ...]:
        """Add the requests in flight at a crash as suspects.

        A request that has recently run without a crash is not added, so
        that a frequent request is not blamed for another one. If only
        one request was in flight, it is always added.

        Args:
            fingerprints: Fingerprints of the requests in flight.
            crash: Id of the crash.
            now_s: Wall-clock time.

        Returns:
            The suspects to share with other nodes.
        """
        in_flight = tuple(fingerprints)
        rows = tuple(
            messages.Suspect(
                fingerprint=request_fingerprint,
                crash=crash,
                expires_s=now_s + _SUSPECT_TTL_S,
            )
            for request_fingerprint in in_flight
            if len(in_flight) == 1
            or not self._succeeded_recently(request_fingerprint, now_s)
        )
        self.merge(rows)
        return rows

    def merge(
        self, rows: abc.Iterable[messages.Suspect]
    ) -> tuple[messages.Suspect, ...]:
        """Add suspects of other nodes; return those not known before."""
        return tuple(row for row in rows if self._add(row))

    def _add(self, row: messages.Suspect) -> bool:
        old = self._crashes_by_fingerprint.get(row.fingerprint)
        if old is not None and row.crash in old.ids:
            return False
        ids = old.ids if old else frozenset()
        self._crashes_by_fingerprint[row.fingerprint] = _Crashes(
            ids=ids | {row.crash},
            expires_s=max(row.expires_s, old.expires_s if old else 0.0),
        )
        while len(self._crashes_by_fingerprint) > _MAX_SUSPECTS:
            self._crashes_by_fingerprint.popitem(last=False)
        return True

    def _succeeded_recently(
        self, request_fingerprint: str, now_s: float
    ) -> bool:
        succeeded_s = self._succeeded_s_by_fingerprint.get(request_fingerprint)
        return (
            succeeded_s is not None and now_s - succeeded_s < _SUCCESS_VALID_S
        )


def on_crashed(
    tables: node.Tables, event: _effects.TargetCrashed, now: _clock.Instant
) -> list[_effects.Effect]:
    """Send the suspects of a crash of the local target to all peers."""
    return _send_to_peers(tables, event.suspects, skip="")


def on_report(
    tables: node.Tables,
    peer: str,
    message: messages.SuspectReport,
    now: _clock.Instant,
) -> list[_effects.Effect]:
    """Apply a peer's suspects and forward the new ones to other peers."""
    new_rows = tuple(
        row
        for row in message.rows
        if row.expires_s > now.wall_s and not _is_known(tables, row)
    )
    if not new_rows:
        return []
    return [
        _effects.UpdateSuspects(rows=new_rows),
        *_send_to_peers(tables, new_rows, skip=peer),
    ]


def _is_known(tables: node.Tables, row: messages.Suspect) -> bool:
    return (row.fingerprint, row.crash) in tables.suspect_expiry_s_by_key


def _send_to_peers(
    tables: node.Tables, rows: tuple[messages.Suspect, ...], skip: str
) -> list[_effects.Effect]:
    known_expiry_s = tables.suspect_expiry_s_by_key
    for row in rows:
        known_expiry_s[row.fingerprint, row.crash] = row.expires_s
    while len(known_expiry_s) > _MAX_SUSPECTS:
        del known_expiry_s[next(iter(known_expiry_s))]
    report = messages.SuspectReport(rows=rows)
    return [
        _effects.Send(peer=peer, message=report)
        for peer in tables.links_by_peer
        if peer != skip
    ]
