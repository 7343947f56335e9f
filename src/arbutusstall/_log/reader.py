"""Reads the whole log into the agreed state, for tools."""

from arbutusstall import errors
from arbutusstall._log import client
from arbutusstall._log import fold
from arbutusstall._log import records
from arbutusstall._tables import agreed


def read_agreed(
    log: client.LogClient, state: agreed.Agreed | None = None
) -> agreed.Agreed:
    """Return the state after all records that the log has now.

    Args:
        log: The log to read.
        state: A state to go on from; the empty one if None.

    Raises:
        LogUnavailable: The log did not answer.
    """
    state = state or agreed.Agreed()
    while True:
        answer = log.read(state.offset, 0.0)
        for entry in answer.entries:
            try:
                record = records.decode(entry.data)
            except errors.WireError:
                state = fold.skip(state, entry.offset)
                continue
            state = fold.apply(state, entry.offset, record)
        if not answer.entries or state.offset >= answer.next_offset:
            return state
