"""State of this node's place in the distribution tree."""

import dataclasses

from arbutusstall._tables import agreed
from arbutusstall._tables import members

ROOT_LABEL = 0
NO_LABEL = -1


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class VacantRoot:
    """A root position whose holder is gone.

    Attributes:
        position: Number of the position within the data centre.
        renewed: Log offset of its last claim or renewal, -1 if none.
    """

    position: int
    renewed: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Invitation:
    """A node that may have started again.

    Attributes:
        due_s: Monotonic time at which it is invited next.
        tries: Invitations that were sent.
    """

    node: str
    due_s: float
    tries: int = 0


@dataclasses.dataclass(kw_only=True, slots=True)
class RelayTable:
    """What the tree and position systems keep; changed only by them.

    Attributes:
        follows_log: Whether this node reads the log now.
        label: Position in the tree: 0 at a root, and always above the
            parent's label; -1 while there is neither parent nor child.
        attached: Whether the chain of parents reaches a root.
        detached_since_s: Monotonic time since when it does not.
        leaving: Whether this node stops and hands its children over.
        moving_from: Parent that asked this node to move away.
        candidate_addresses: Addresses to ask for admission, best first.
        asked_addresses: Addresses that were asked since the list was made.
        invitations_by_address: Nodes whose links were lost lately.
        attach_rounds: Candidate lists that were used up without success.
        attach_started_s: When the running attempt to attach began.
        join_tokens: Joiners that may be admitted now.
        heard_s_by_peer: When something came over a link last.
        retry_s_by_address: Earliest time to ask a root again.
        snapshot_requested_s_by_peer: When a whole snapshot was last asked for.
        local_size: Members of the own data centre, as last heard.
        roots: Root relays of the own data centre, told by the parent.
        vacant: Vacant positions of the own data centre, told by the parent.
        log_answered_s: When the log last answered; 0 after a failure.
        age_s_by_root: Observed time since each position's last renewal.
        renewed_by_root: The renewal that each age counts from.
        claim_due_s: When to claim a vacant position; 0 if none is planned.
        reading_to_claim: Whether this node reads the log only to claim a
            position.
        seen_claim_offsets: Log offsets of the claims of the own data centre
            that were in the agreed state at the last read.
        log_failed: Whether the log's last answer was a failure.
        claim_count: Claims and renewals that this process has sent.
        heartbeat_all: Whether all neighbours get a heartbeat at once.
        source_lost: Whether this node reads the external source and its
            last read failed.
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
    attach_rounds: int = 0
    attach_started_s: float = 0.0
    join_tokens: float = 0.0
    join_tokens_updated_s: float = 0.0
    last_run_s: float = 0.0
    next_heartbeat_s: float = 0.0
    heartbeat_count: int = 0
    heard_s_by_peer: dict[str, float] = dataclasses.field(default_factory=dict)
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
    """The last row of a dead node, and when it was removed."""

    row: members.Member
    since_s: float


@dataclasses.dataclass(kw_only=True, slots=True)
class MembershipTable:
    """What the membership systems keep; changed only by them.

    Attributes:
        bucket_checksums: XOR of the hashes of the live rows, by bucket.
        local_live: Live rows of the own data centre.
        pending_rows_by_node: Changed rows and the peer that each came from.
        gone_s_by_node: When a row was learnt to be dead.
        tombstones_by_node: Rows that were removed.
        last_alive_s_by_node: When a node was last reported alive; at roots.
        subtree_alive_s_by_node: The same, for nodes below this one only.
        serving_by_service: Serving members by service and node.
        tuples_by_service: The same as the call path reads it.
        view_due: Whether the call path has to be told.
        flap_penalty: Flap penalty of the own endpoint, decays with time.
        held_row: Own row that is held back because of flapping.
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
