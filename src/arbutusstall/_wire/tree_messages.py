"""Messages of the distribution tree: configuration, members, outcomes."""

from collections import abc
import dataclasses

from arbutusstall._tables import agreed
from arbutusstall._tables import comparisons
from arbutusstall._tables import members
from arbutusstall._tables import outcomes
from arbutusstall._tables import relay


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Hello:
    """First message of a child to the parent it attaches to.

    Attributes:
        address: Relay address of the sender.
        version: Configuration that the sender has in force.
        digest: Its digest.
        root: Whether the sender is a root that links to another.
        label: Position in the tree if the sender has children, else -1.
        tier: Level that suits the sender; roots admit the first only.
        invite: Whether the sender only tells that it can be a parent.
    """

    node: str
    data_centre: str
    address: str
    version: int
    digest: str
    root: bool = False
    label: int = -1
    tier: int = 1
    invite: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Welcome:
    """Accepts a child.

    Attributes:
        label: Position of the sender in the tree.
        local_size: Members of the data centre that the sender knows.
    """

    node: str
    data_centre: str = ""
    label: int = 0
    local_size: int = 1


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Refusal:
    """Turns a child away.

    Attributes:
        retry_after_s: Earliest time to ask this parent again.
        others: Relay addresses of other candidates.
    """

    node: str
    retry_after_s: float
    others: tuple[str, ...] = ()
    local_size: int = 1


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Heartbeat:
    """Shows that the link works and what the sender's place is.

    Attributes:
        attached: Whether the sender's chain of parents reaches a root
            that learns of new configurations.
        members: XOR of the hashes of the sender's live member rows.
        reads_source: Whether the sender, a root, reads the external
            source itself.
    """

    attached: bool
    label: int
    version: int
    members: int
    reads_source: bool = True


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RootsUpdate:
    """The root positions of the data centre, on their way down."""

    roots: tuple[agreed.Root, ...]
    vacant: tuple[relay.VacantRoot, ...] = ()


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SnapshotDelta:
    """The difference between two configurations.

    Attributes:
        base: Version that the difference applies to.
        digest: Digest of the result.
        changed: The result, with only the entries that are new or
            differ in its mappings.
        removed: Keys of the entries to remove, by field.
    """

    base: int
    digest: str
    changed: agreed.Snapshot
    removed: abc.Mapping[str, tuple[str, ...]]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SnapshotWanted:
    """Asks for the configuration if it is newer than ``version``."""

    version: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class MemberDigest:
    """Hashes of the member table by bucket.

    Attributes:
        reply: Whether the receiver answers with its own digest.
    """

    buckets: tuple[int, ...]
    reply: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Alive:
    """Nodes at and below the sender, on their way to the roots."""

    nodes: tuple[str, ...]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SnapshotUpdate:
    """A whole configuration."""

    digest: str
    snapshot: agreed.Snapshot


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class MemberUpdate:
    """Changed rows of the member table."""

    rows: tuple[members.Member, ...]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class InForce:
    """Sums up which nodes at and below the sender have a version.

    Attributes:
        minimum: Oldest version that one of them has in force.
        lacking: Some of those that lack ``version``.
    """

    version: int
    known: int
    in_force: int
    minimum: int = 0
    lacking: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class OutcomeRow:
    """One cumulative counter row of a report."""

    key: outcomes.OutcomeKey
    counts: outcomes.OutcomeCounts


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class OutcomeReport:
    """Outcome counts on their way to the leader."""

    rows: tuple[OutcomeRow, ...]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RollbackNotice:
    """Versions that the sender gives no traffic, with the counts."""

    rows: tuple[comparisons.LocalRollback, ...]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Suspect:
    """A request that was in flight when a target crashed.

    Attributes:
        fingerprint: Digest of method, path, body and key.
        crash: Names one crash of one target.
        expires_s: Seconds since the epoch.
    """

    fingerprint: str
    crash: str
    expires_s: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SuspectReport:
    """Suspects on their way to all nodes."""

    rows: tuple[Suspect, ...]
