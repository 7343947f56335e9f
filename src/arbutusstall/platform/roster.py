"""The roster of nodes as a keyed topic of the platform's store."""

from collections import abc
import logging

import msgspec

from arbutusstall import _values
from arbutusstall import errors
from arbutusstall._log import roster
from arbutusstall.platform import store as stores

LOG = logging.getLogger(__name__)

_TOPIC = "keyed.arbutusstall-roster"


class StoreRoster:
    """Implements `arbutusstall._log.roster.Roster`: one record per node."""

    def __init__(self, store: stores.Store) -> None:
        self._store = store

    def load(self) -> tuple[roster.RosterEntry, ...]:
        """Return the entries of all nodes.

        Entries that cannot be decoded are logged and left out.

        Raises:
            LogUnavailable: The store did not answer.
        """
        return _decode_all(self._store.read_newest(_TOPIC).records)

    def update(self, change: roster.Change) -> None:
        """Store the entries that ``change`` returns for all entries.

        Raises:
            LogUnavailable: The store did not confirm the entries, or
                other entries were stored meanwhile.
        """
        newest = self._store.read_newest(_TOPIC)
        entries = change(_decode_all(newest.records))
        if entries:
            values = [_encode(entry) for entry in entries]
            self._store.append_at(_TOPIC, values, newest)

    def save(self, entry: roster.RosterEntry) -> None:
        """Store an entry, replacing the previous one of the same node.

        Raises:
            LogUnavailable: The store did not confirm the entry, which
                may have been stored nevertheless.
        """
        self._store.append(_TOPIC, _encode(entry))


def _encode(entry: roster.RosterEntry) -> bytes:
    value = msgspec.json.encode(entry)
    return stores.encode_keyed(entry.member.node, value)


def _decode_all(
    records: abc.Iterable[stores.KeyedRecord],
) -> tuple[roster.RosterEntry, ...]:
    entries = []
    for record in records:
        try:
            entry = _values.decode_json(
                record.value, roster.RosterEntry, step="roster.decode"
            )
        except errors.WireError as exc:
            LOG.warning(
                {
                    "event": "record-skipped",
                    "key": record.key,
                    "reason": exc.reason,
                }
            )
            continue
        entries.append(entry)
    return tuple(entries)
