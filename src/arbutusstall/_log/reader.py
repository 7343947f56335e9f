"""Folds the log up to its current end, for command-line tools."""

from arbutusstall import errors
from arbutusstall._log import client
from arbutusstall._log import follower
from arbutusstall._tables import agreed


def read_agreed(
    log: client.LogClient, state: agreed.Agreed | None = None
) -> agreed.Agreed:
    """Return the state after all records that the log currently holds.

    Args:
        log: The log to read.
        state: State to continue from; the empty state if None.

    Raises:
        LogUnavailable: The log did not answer, or its oldest records
            have expired and it holds no complete checkpoint.
    """
    following = follower.Follower(state)
    offset = following.state.offset
    while True:
        answer = log.read(offset, 0.0)
        following.read(answer)
        if answer.entries:
            offset = answer.entries[-1].offset + 1
        if answer.entries and offset < answer.next_offset:
            continue
        if following.awaiting_checkpoint:
            raise errors.LogUnavailable(
                step="log.fold",
                peer="log",
                reason="records have expired and no checkpoint is complete",
            )
        return following.state
