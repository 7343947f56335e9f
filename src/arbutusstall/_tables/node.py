"""The tables that hold all state of one node's decision logic."""

import collections
import dataclasses
import random

from arbutusstall import _settings
from arbutusstall._evacuation import register
from arbutusstall._log import follower as log_follower
from arbutusstall._log import records
from arbutusstall._staleness import news as news_tables
from arbutusstall._tables import agreed as agreed_tables
from arbutusstall._tables import comparisons
from arbutusstall._tables import evidence as evidence_tables
from arbutusstall._tables import links
from arbutusstall._tables import members
from arbutusstall._tables import outcomes
from arbutusstall._tables import publications as publication_tables
from arbutusstall._tables import relay as relay_tables


@dataclasses.dataclass(kw_only=True, slots=True)
class Tables:
    """The state that the systems of one node operate on.

    Rows are immutable; only the systems change the mappings.

    Attributes:
        member: The member row of this node.
        agreed: The agreed state folded from the log; current only at a
            root.
        snapshot: The configuration in force here.
        digest: Digest of ``snapshot``.
        is_root: Whether this node is a root: it reads the log and the
            external source for its data centre.
        caught_up: Whether the log was read to its end at least once.
        follower: Folds the log into ``agreed``.
        lease_seen_s: Monotonic time at which the newest lease claim or
            renewal was read. It is also reset after a log outage or a
            pause of this node.
        lease_seen_offset: Log offset of that claim or renewal.
        lease_held_from_s: Monotonic time at which that claim or renewal
            was sent; None unless this process sent it.
        log_failing: Whether the last log read failed.
        log_behind: Whether the log ends before an offset that was
            folded already.
        log_reset_due_s: Monotonic time at which to reset the log if there
            is no checkpoint by then; zero if none is awaited.
        log_stateful_offset: Offset of the newest record by a node with the
            agreed state when that time was set.
        store_era: Newest era of the store that was seen; 0 if it reports
            none.
        era_pending: Whether the agreed state of that era is not known yet;
            ``agreed`` is of an earlier one then.
        era_due_s: Monotonic time at which to append a reset; zero if none
            is due.
        era_settled_s: Monotonic time until which this node appends only
            resets, since others may still report earlier steps.
        carried: State of an earlier era that may have to be reported.
        checkpoint_chunks: Chunks of the newest checkpoint that this node
            began.
        blocked: Versions rolled back locally, as ``"service/version"``.
        unreported_outcomes: Keys of the outcome rows to send in the next
            report, with the peer that each row came from; the peer is
            empty for rows of this node's inbound proxy.
        outcome_synced_peers: Peers that have every outcome row except
            the unreported ones.
        rollout_index: Index of the running rollouts in ``snapshot``.
        watches_by_rollout: Outcome counts of running rollouts; filled
            only at roots.
        rollbacks_by_version: Local rollbacks, keyed by rollout id and
            version.
        rollback_synced_peers: Peers that were sent all local rollbacks.
        next_step_s_by_step_id: Earliest monotonic time at which to decide
            again, keyed by rollout id and step.
        attaching_to: Address of the running attempt to attach to a parent
            or, at a root, to another root; empty if there is none.
        suspect_expiry_s_by_key: Expiry of each suspect request, seconds
            since the epoch, keyed by fingerprint and crash.
        evacuations: Newest known register of evacuated data centres.
        snapshots_by_version: Recent earlier snapshots, the bases for
            deltas to children.
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
    log_reset_due_s: float = 0.0
    store_era: int = 0
    era_pending: bool = False
    era_due_s: float = 0.0
    era_settled_s: float = 0.0
    carried: agreed_tables.Agreed | None = None
    log_stateful_offset: int = agreed_tables.NO_OFFSET
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
    rollout_index: comparisons.RolloutIndex = dataclasses.field(
        default_factory=comparisons.RolloutIndex
    )
    watches_by_rollout: dict[str, comparisons.Watch] = dataclasses.field(
        default_factory=dict
    )
    rollbacks_by_version: dict[tuple[str, str], comparisons.LocalRollback] = (
        dataclasses.field(default_factory=dict)
    )
    rollback_synced_peers: set[str] = dataclasses.field(default_factory=set)
    next_rollback_s: float = 0.0
    next_step_s_by_step_id: dict[str, float] = dataclasses.field(
        default_factory=dict
    )
    attaching_to: str = ""
    suspect_expiry_s_by_key: dict[tuple[str, str], float] = dataclasses.field(
        default_factory=dict
    )
    relay: relay_tables.RelayTable = dataclasses.field(
        default_factory=relay_tables.RelayTable
    )
    membership: relay_tables.MembershipTable = dataclasses.field(
        default_factory=relay_tables.MembershipTable
    )
    publications: publication_tables.PublicationTable = dataclasses.field(
        default_factory=publication_tables.PublicationTable
    )
    evidence: evidence_tables.EvidenceTable = dataclasses.field(
        default_factory=evidence_tables.EvidenceTable
    )
    news: news_tables.SourceNews = dataclasses.field(
        default_factory=news_tables.SourceNews
    )
    evacuations: register.Register = register.Register()
    snapshots_by_version: collections.OrderedDict[
        int, agreed_tables.Snapshot
    ] = dataclasses.field(default_factory=collections.OrderedDict)
