"""Keeps the register of evacuated data centres and spreads it."""

import msgspec

from arbutusstall import _clock
from arbutusstall import _effects
from arbutusstall._evacuation import register
from arbutusstall._systems import distribution
from arbutusstall._tables import node
from arbutusstall._wire import messages


def on_read(
    tables: node.Tables, event: _effects.EvacuationsRead, now: _clock.Instant
) -> list[_effects.Effect]:
    """Adopt the whole set, as it was read from the source."""
    return _adopt(tables, event.register)


def on_changed(
    tables: node.Tables,
    event: _effects.EvacuationChanged,
    now: _clock.Instant,
) -> list[_effects.Effect]:
    """Apply one record that followed a read of the whole set.

    Records that the register includes already are ignored. A change of
    another era is ignored as well: the whole set is read before it.
    """
    known = tables.evacuations
    if event.era != known.era or event.offset < known.offset:
        return []
    return _adopt(
        tables,
        known.with_change(event.data_centre, event.evacuated, event.offset),
    )


def on_message(
    tables: node.Tables, message: messages.Message
) -> list[_effects.Effect]:
    """Adopt the register that a message of another node carries."""
    found = getattr(message, "evacuations", msgspec.UNSET)
    if not isinstance(found, register.Register):
        return []
    return _adopt(tables, found)


def _adopt(
    tables: node.Tables, new: register.Register
) -> list[_effects.Effect]:
    old = tables.evacuations
    if not new.is_newer_than(old):
        return []
    tables.evacuations = new
    if new.data_centres == old.data_centres:
        return []
    # All peers get the register with the next tick, not only with their
    # next periodic heartbeat.
    tables.relay.heartbeat_all = True
    return [
        _effects.Emit(
            event="evacuation-changed",
            fields={
                "data_centres": ",".join(new.data_centres) or "-",
                "before": ",".join(old.data_centres) or "-",
                "era": new.era,
                "offset": new.offset,
            },
        ),
        distribution.publish_view(tables),
    ]
