"""Departures of targets in a keyed topic of the platform's store."""

import msgspec

from arbutusstall import errors
from arbutusstall._systems import announcements
from arbutusstall.platform import store as stores

_TOPIC = "keyed.arbutusstall-departures"


class StoreDepartures:
    """One record a node; see `arbutusstall._log.departures`."""

    def __init__(self, store: stores.Store, node: str) -> None:
        self._store = store
        self._node = node

    def load(self) -> tuple[announcements.Departure, ...]:
        """Return what was recorded for this node.

        Raises:
            LogUnavailable: No answer, or an unreadable record.
        """
        for record in self._store.newest(_TOPIC).records:
            if record.key == self._node:
                return (_decode(record.value),)
        return ()

    def record(self, departure: announcements.Departure) -> None:
        """Keep the newest departure of this node.

        Raises:
            LogUnavailable: No answer; it may be stored all the same.
        """
        value = msgspec.json.encode(departure)
        self._store.append(_TOPIC, stores.keyed_value(self._node, value))


def _decode(value: bytes) -> announcements.Departure:
    try:
        return msgspec.json.decode(value, type=announcements.Departure)
    except msgspec.MsgspecError as exc:
        raise errors.LogUnavailable(
            step="departures.decode", peer=_TOPIC, reason=str(exc)
        ) from exc
