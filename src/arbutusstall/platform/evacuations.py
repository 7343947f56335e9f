"""Decodes the operator's requests to evacuate data centres."""

from collections import abc
import logging

from arbutusstall import _effects
from arbutusstall import _values
from arbutusstall._evacuation import register
from arbutusstall.platform import store as stores

LOG = logging.getLogger(__name__)

_PREFIX = "evacuate/"


def is_request(record: stores.KeyedRecord) -> bool:
    """Return whether the record concerns the evacuation of a zone."""
    return record.key.startswith(_PREFIX)


def decode_all(
    newest: abc.Iterable[stores.KeyedRecord], next_offset: int, era: int = 0
) -> register.Register:
    """Return the register from the newest record of each key.

    Any value requests the evacuation, so that each reader comes to the same
    set from the same records. A record without a value takes it back.

    Args:
        next_offset: Offset from which later records are to be read.
        era: Era of the store in which they were read.
    """
    names = {
        _zone(record)
        for record in newest
        if is_request(record) and record.value
    }
    return register.Register(
        era=era,
        offset=next_offset,
        data_centres=tuple(sorted(name for name in names if name)),
    )


def decode(record: stores.KeyedRecord) -> _effects.EvacuationChanged | None:
    """Return the change that one record requests; None if it is invalid.

    Its era is that of the read, which the caller sets.
    """
    zone = _zone(record)
    if not zone:
        return None
    return _effects.EvacuationChanged(
        era=0,
        offset=record.offset,
        data_centre=zone,
        evacuated=bool(record.value),
    )


def _zone(record: stores.KeyedRecord) -> str:
    """Return the zone that a record names; empty if it is no name."""
    try:
        return _values.check_name(record.key.removeprefix(_PREFIX))
    except ValueError as exc:
        LOG.warning(
            {
                "event": "record-skipped",
                "key": record.key,
                "offset": record.offset,
                "reason": str(exc),
            }
        )
        return ""
