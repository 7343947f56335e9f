"""State of the distribution tree, root positions and member table."""

import dataclasses

from arbutusstall._tables import agreed
from arbutusstall._tables import members

ROOT_LABEL = 0
NO_LABEL = -1


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class VacantRoot:
    """A root position without a live holder.

    Attributes:
        position: Number of the position within the data centre.
        renewed: Log offset of its last claim or renewal; -1 if it was
            never claimed.
    """

    position: int
    renewed: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Invitation:
    """A planned invitation of a node that may have restarted.

    Attributes:
        node: The node to invite.
        due_s: Monotonic time of the next invitation.
        tries: Number of earlier invitations in this series.
    """

    node: str
    due_s: float
    tries: int = 0


@dataclasses.dataclass(kw_only=True, slots=True)
class RelayTable:
    """State of the tree and of the root positions.

    Fields that end in ``_s`` or contain ``_s_by_`` hold monotonic times
    in seconds, except for ``age_s_by_root``.

    Attributes:
        follows_log: Whether this node is reading the log.
        source_lost: Whether this node reads the external source and its
            last read failed.
        heartbeat_all: Whether the next run sends a heartbeat over every
            link without waiting for the heartbeat interval.
        label: Label in the tree: 0 at a root, and always higher than the
            parent's label; -1 until a parent is found, and again after
            all children were disconnected.
        attached: Whether the chain of parents reaches a root.
        detached_since_s: Time of the last change of ``attached``.
        leaving: Whether this node is stopping and hands its children over.
        moving_from: Parent that this node leaves once it has found
            another one; empty if there is none.
        candidate_addresses: Addresses to ask for admission, best first.
        asked_addresses: Addresses already asked in this round.
        invitations_by_address: Planned invitations of peers whose links
            were lost.
        invite_all_until_s: Until when all members are invited, if the log
            is out.
        next_invitations_s: When the next of these invitations are due.
        uninvited_nodes: Members that are still to be invited in the
            current round.
        invited_at_once: Number of members that are invited together.
        attach_rounds: Candidate lists made since this node last attached
            or learnt of a new root.
        attach_started_s: Start of the current attempt to attach.
        join_tokens: Joining nodes that may be admitted now (token bucket).
        join_tokens_updated_s: When ``join_tokens`` was last refilled.
        last_run_s: When the tree system last ran.
        next_heartbeat_s: When the next heartbeat is due.
        heartbeat_count: Heartbeat rounds that this node has sent.
        last_received_s_by_peer: When the last message of a peer arrived.
        retry_s_by_address: Until when an address is avoided: a root is not
            asked again, other candidates are asked last.
        snapshot_requested_s_by_peer: When a whole snapshot was last
            requested from a peer.
        local_size: Members of this node's data centre, as last reported by
            another node.
        roots: Roots of this node's data centre, as last sent by the parent
            or, at a root, to the children.
        vacant: Vacant root positions of this node's data centre, from the
            same messages as ``roots``.
        log_answered_s: When the log last answered; 0 after a failure.
        age_s_by_root: Seconds since the last renewal of each position,
            counted only while the log answers.
        renewed_by_root: Log offset of the renewal that each age counts
            from.
        claim_due_s: When to claim a vacant position; 0 if not planned.
        reading_to_claim: Whether this node reads the log only to claim a
            position.
        seen_claim_offsets: Log offsets of the root claims of this node's
            data centre that were known after the last read of the log.
        log_failed: Whether the last read of the log failed.
        claim_count: Claims and renewals that this process has sent.
    """

    follows_log: bool = True
    source_lost: bool = False
    heartbeat_all: bool = False
    label: int = NO_LABEL
    attached: bool = False
    detached_since_s: float = 0.0
    leaving: bool = False
    moving_from: str = ""
    candidate_addresses: list[str] = dataclasses.field(default_factory=list)
    asked_addresses: set[str] = dataclasses.field(default_factory=set)
    invitations_by_address: dict[str, Invitation] = dataclasses.field(
        default_factory=dict
    )
    invite_all_until_s: float = 0.0
    next_invitations_s: float = 0.0
    uninvited_nodes: list[str] = dataclasses.field(default_factory=list)
    invited_at_once: int = 0
    attach_rounds: int = 0
    attach_started_s: float = 0.0
    join_tokens: float = 0.0
    join_tokens_updated_s: float = 0.0
    last_run_s: float = 0.0
    next_heartbeat_s: float = 0.0
    heartbeat_count: int = 0
    last_received_s_by_peer: dict[str, float] = dataclasses.field(
        default_factory=dict
    )
    retry_s_by_address: dict[str, float] = dataclasses.field(
        default_factory=dict
    )
    snapshot_requested_s_by_peer: dict[str, float] = dataclasses.field(
        default_factory=dict
    )
    local_size: int = 1
    roots: tuple[agreed.Root, ...] = ()
    vacant: tuple[VacantRoot, ...] = ()
    log_answered_s: float = 0.0
    age_s_by_root: dict[str, float] = dataclasses.field(default_factory=dict)
    renewed_by_root: dict[str, int] = dataclasses.field(default_factory=dict)
    claim_due_s: float = 0.0
    reading_to_claim: bool = False
    seen_claim_offsets: frozenset[int] = frozenset()
    log_failed: bool = False
    claim_count: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Tombstone:
    """The last row of a dead node after its removal from the table.

    Attributes:
        row: The removed row.
        since_s: Monotonic time of the removal in seconds.
    """

    row: members.Member
    since_s: float


@dataclasses.dataclass(kw_only=True, slots=True)
class MembershipTable:
    """State of the membership and liveness systems.

    Fields that end in ``_s`` or contain ``_s_by_`` hold monotonic times
    in seconds.

    Attributes:
        local_live: Number of live rows of this node's data centre.
        bucket_checksums: XOR of the hashes of the live rows, by bucket;
            empty until a first row is stored.
        pending_rows_by_node: Changed rows that wait to be sent, and the
            peer that each came from; empty for changes made here.
        flush_due_s: When the pending rows are sent.
        gone_s_by_node: When a stored row ceased to be live.
        tombstones_by_node: Rows that were removed.
        last_alive_s_by_node: When a node was last reported alive.
        subtree_alive_s_by_node: The same, as reported by children.
        serving_by_service: Serving members by service and node.
        tuples_by_service: The same members in the form that the call path
            reads.
        view_due: Whether the call path needs a new view.
        next_refresh_s: When the next liveness report is due.
        next_sweep_s: When the member table is swept next.
        compared_s_by_peer: When the member tables were last compared with
            a peer.
        flap_penalty: Flap penalty of the local endpoint at the time
            ``flap_penalty_updated_s``. Each departure of the target adds
            1; the penalty decays exponentially.
        flap_penalty_updated_s: When ``flap_penalty`` was last raised.
        held_row: This node's row that is held back because of flapping.
        absent_by_node: Last rows of nodes that are recorded in the roster
            as gone.
        next_absence_s: When further ones are recorded at the earliest.
    """

    local_live: int = 0
    bucket_checksums: list[int] = dataclasses.field(default_factory=list)
    pending_rows_by_node: dict[str, tuple[members.Member, str]] = (
        dataclasses.field(default_factory=dict)
    )
    flush_due_s: float = 0.0
    gone_s_by_node: dict[str, float] = dataclasses.field(default_factory=dict)
    tombstones_by_node: dict[str, Tombstone] = dataclasses.field(
        default_factory=dict
    )
    last_alive_s_by_node: dict[str, float] = dataclasses.field(
        default_factory=dict
    )
    subtree_alive_s_by_node: dict[str, float] = dataclasses.field(
        default_factory=dict
    )
    serving_by_service: dict[str, dict[str, members.Member]] = (
        dataclasses.field(default_factory=dict)
    )
    tuples_by_service: dict[str, tuple[members.Member, ...]] = (
        dataclasses.field(default_factory=dict)
    )
    view_due: bool = False
    next_refresh_s: float = 0.0
    next_sweep_s: float = 0.0
    compared_s_by_peer: dict[str, float] = dataclasses.field(
        default_factory=dict
    )
    flap_penalty: float = 0.0
    flap_penalty_updated_s: float = 0.0
    held_row: members.Member | None = None
    absent_by_node: dict[str, members.Member] = dataclasses.field(
        default_factory=dict
    )
    next_absence_s: float = 0.0
