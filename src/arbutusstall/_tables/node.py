"""All tables of one node."""

import collections
import dataclasses
import random

from arbutusstall import _settings
from arbutusstall._log import follower as log_follower
from arbutusstall._log import records
from arbutusstall._tables import agreed as agreed_tables
from arbutusstall._tables import comparisons
from arbutusstall._tables import links
from arbutusstall._tables import members
from arbutusstall._tables import outcomes
from arbutusstall._tables import publications as publication_tables
from arbutusstall._tables import relay as relay_tables


@dataclasses.dataclass(kw_only=True, slots=True)
class Tables:
    """The state that the systems of one node run over.

    Rows are immutable; the mappings are changed only by the systems.

    Attributes:
        member: The row of this node itself.
        agreed: The fold of the log; current only at a root.
        snapshot: The configuration in force here.
        digest: Digest of ``snapshot``.
        is_root: Whether this node reads the log for its data centre.
        caught_up: Whether the log was read to its end at least once.
        follower: Folds the log into ``agreed``.
        lease_seen_s: Monotonic time at which the last lease claim or
            renewal was read.
        lease_held_from_s: Monotonic time at which it was sent, if this
            process sent it.
        log_failing: Whether the last read got no answer.
        log_behind: Whether the log ends before what was folded.
        checkpoint_chunks: Of the last checkpoint begun here.
        blocked: Versions rolled back locally, ``"service/version"``.
        unreported_outcomes: Rows to report next and the peer they came from,
            empty for the own inbound proxy.
        outcome_synced_peers: Peers that have all rows but those.
        rollout_index: Index of what moves, see `_systems.moving`.
        watches_by_rollout: Outcome counts of running rollouts, at roots.
        rollbacks_by_version: Local rollbacks by rollout id and version.
        rollback_synced_peers: Peers that know of all local rollbacks.
    """

    settings: _settings.NodeSettings
    rng: random.Random
    member: members.Member
    agreed: agreed_tables.Agreed = dataclasses.field(
        default_factory=agreed_tables.Agreed
    )
    snapshot: agreed_tables.Snapshot = dataclasses.field(
        default_factory=agreed_tables.Snapshot
    )
    digest: str = ""
    is_root: bool = False
    caught_up: bool = False
    members_by_node: dict[str, members.Member] = dataclasses.field(
        default_factory=dict
    )
    links_by_peer: dict[str, links.Link] = dataclasses.field(
        default_factory=dict
    )
    outcomes_by_key: dict[outcomes.OutcomeKey, outcomes.OutcomeCounts] = (
        dataclasses.field(default_factory=dict)
    )
    blocked: set[str] = dataclasses.field(default_factory=set)
    follower: log_follower.Follower = dataclasses.field(
        default_factory=log_follower.Follower
    )
    lease_seen_s: float = 0.0
    lease_held_from_s: float | None = None
    lease_sequence: int = 0
    lease_sent_s_by_record_id: dict[str, float] = dataclasses.field(
        default_factory=dict
    )
    log_failing: bool = False
    log_behind: bool = False
    checkpoint_chunks: tuple[records.CheckpointChunk, ...] = ()
    next_checkpoint_s: float = 0.0
    lease_seen_offset: int = agreed_tables.NO_LEASE
    next_renewal_s: float = 0.0
    next_progress_report_s: float = 0.0
    next_attach_s: float = 0.0
    next_root_record_s: float = 0.0
    unreported_outcomes: dict[outcomes.OutcomeKey, str] = dataclasses.field(
        default_factory=dict
    )
    outcome_synced_peers: set[str] = dataclasses.field(default_factory=set)
    next_outcome_report_s: float = 0.0
    rollout_index: comparisons.Moving = dataclasses.field(
        default_factory=comparisons.Moving
    )
    watches_by_rollout: dict[str, comparisons.Watch] = dataclasses.field(
        default_factory=dict
    )
    rollbacks_by_version: dict[tuple[str, str], comparisons.LocalRollback] = (
        dataclasses.field(default_factory=dict)
    )
    rollback_synced_peers: set[str] = dataclasses.field(default_factory=set)
    next_rollback_s: float = 0.0
    next_step_s_by_rollout: dict[str, float] = dataclasses.field(
        default_factory=dict
    )
    attaching_to: str = ""
    suspect_expiry_s_by_key: dict[tuple[str, str], float] = dataclasses.field(
        default_factory=dict
    )
    relay: relay_tables.RelayTable = dataclasses.field(
        default_factory=relay_tables.RelayTable
    )
    membership: relay_tables.SpreadTable = dataclasses.field(
        default_factory=relay_tables.SpreadTable
    )
    publications: publication_tables.PublicationTable = dataclasses.field(
        default_factory=publication_tables.PublicationTable
    )
    snapshots_by_version: collections.OrderedDict[
        int, agreed_tables.Snapshot
    ] = dataclasses.field(default_factory=collections.OrderedDict)
