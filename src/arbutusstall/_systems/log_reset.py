"""Resets the log if its records have expired and nobody has the state.

A checkpoint is written by a leader, and only a node with the agreed state
becomes leader. If all processes have ended and the newest checkpoint has
expired, no node could ever lead. A node that has read the whole log in vain
then appends a `records.LogReset`, with which all readers begin anew.
"""

from arbutusstall import _clock
from arbutusstall import _effects
from arbutusstall._log import eras
from arbutusstall._log import records
from arbutusstall._tables import node

# Spreads the appends of nodes that start together; the first one to be read
# makes the others unnecessary.
_SPREAD_S = 1.0


def on_read(
    tables: node.Tables, event: _effects.LogRead, now: _clock.Instant
) -> None:
    """Set the time of the reset while a checkpoint is awaited.

    The time starts again whenever a node that has the state shows itself,
    since that node can write a checkpoint.
    """
    follower = tables.follower
    if (
        not follower.awaiting_checkpoint
        or follower.next_offset < event.next_offset
    ):
        tables.log_reset_due_s = 0.0
        return
    seen = follower.stateful_offset
    if tables.log_reset_due_s and seen == tables.log_stateful_offset:
        return
    tables.log_stateful_offset = seen
    # A root with the state would have claimed an expired lease by then.
    policy = tables.settings.lease
    wait_s = policy.expire_s + policy.renew_s
    tables.log_reset_due_s = (
        now.mono_s + wait_s + _SPREAD_S * tables.rng.random()
    )


def run(tables: node.Tables, now: _clock.Instant) -> list[_effects.Effect]:
    """Append a reset that is due; repeat it until the log was reset."""
    due_s = tables.log_reset_due_s
    if tables.log_failing or not tables.relay.follows_log:
        # Nodes with the state could not show themselves in an outage.
        tables.log_reset_due_s = 0.0
        return []
    if tables.relay.leaving or not due_s or now.mono_s < due_s:
        return []
    if tables.era_pending and tables.era_due_s:
        # `store_eras` appends one with the state of the earlier era.
        return []
    read_to = tables.follower.next_offset
    tables.log_reset_due_s = now.mono_s + _SPREAD_S * (
        1.0 + tables.rng.random()
    )
    return [
        _effects.Emit(event="log-reset-due", fields={"offset": read_to}),
        _effects.Append(record=make_record(tables, read_to)),
    ]


def make_record(tables: node.Tables, read_to: int) -> records.LogReset:
    """Return a reset with what this node knows of an earlier era."""
    member = tables.member
    carried = tables.carried
    # The position is part of the id since an append that is repeated by the
    # queue counts at that position only.
    name = f"{member.node}/{member.incarnation}/{tables.store_era}/{read_to}"
    return records.LogReset(
        record_id=f"reset/{name}",
        read_to=read_to,
        era=tables.store_era,
        state=eras.encode(carried) if carried is not None else b"",
    )
