"""The roster of nodes as a keyed topic of the platform's store."""

import logging

import msgspec

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
        entries = []
        for record in self._store.read_newest(_TOPIC).records:
            try:
                entry = msgspec.json.decode(
                    record.value, type=roster.RosterEntry
                )
            except msgspec.MsgspecError as exc:
                LOG.warning(
                    {
                        "event": "record-skipped",
                        "key": record.key,
                        "reason": str(exc),
                    }
                )
                continue
            entries.append(entry)
        return tuple(entries)

    def save(self, entry: roster.RosterEntry) -> None:
        """Store an entry, replacing the previous one of the same node.

        Raises:
            LogUnavailable: The store did not confirm the entry, which
                may have been stored nevertheless.
        """
        value = msgspec.json.encode(entry)
        key = entry.member.node
        self._store.append(_TOPIC, stores.encode_keyed(key, value))
