"""Messages of the distribution tree.

They carry configurations, member rows, liveness and outcome counts
between parents and children, and between roots.
"""

from collections import abc
import dataclasses

import msgspec

from arbutusstall import _values
from arbutusstall._evacuation import register
from arbutusstall._tables import agreed
from arbutusstall._tables import comparisons
from arbutusstall._tables import members
from arbutusstall._tables import outcomes
from arbutusstall._tables import relay
from arbutusstall._tables import versions


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Hello:
    """First message of a child to the parent that it attaches to.

    Attributes:
        address: Relay address of the sender.
        version: Configuration version that the sender has in force.
        digest: Digest of that configuration.
        root: Whether the sender is a root that links to another root.
        label: Label in the tree if the sender has children, else -1. A
            parent must have a lower label than its child.
        tier: Tree level assigned to the sender; a root that has children
            admits only nodes of tier 1.
        invite: Whether the message is an invitation: the sender offers
            itself as a parent and doesn't ask for admission.
        reaches_root: In an invitation, whether the chain of the sender's
            parents reaches a root.
        evacuations: Evacuated data centres that the sender knows.
    """

    node: _values.Name
    data_centre: _values.Name
    address: _values.Address
    version: versions.Version
    digest: str
    root: bool = False
    label: int = -1
    tier: int = 1
    invite: bool = False
    reaches_root: bool = True
    evacuations: register.OptionalRegister = msgspec.UNSET


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Welcome:
    """Admits a child.

    Attributes:
        label: Label of the sender in the tree.
        local_size: Number of live members that the sender knows in its
            data centre.
        evacuations: As in `Hello`.
    """

    node: str
    data_centre: str = ""
    label: int = 0
    local_size: int = 1
    evacuations: register.OptionalRegister = msgspec.UNSET


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Refusal:
    """Refuses a child.

    Attributes:
        retry_after_s: Seconds to wait before asking this parent again.
        others: Relay addresses of other candidates.
        local_size: As in `Welcome`.
    """

    node: str
    retry_after_s: float
    others: tuple[_values.Address, ...] = ()
    local_size: int = 1


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SourceNews:
    """How long ago the external source had nothing newer.

    Attributes:
        age_s: Seconds since the source was last known to have nothing newer
            than the sender's configuration; infinite if that is unknown.
        position: Position at which a read of what is newer starts.
        era: Era of the store in which the position is valid.
    """

    age_s: float
    position: _values.Number = 0
    era: _values.Count = 0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Heartbeat:
    """Keeps a link alive and reports the sender's state.

    Attributes:
        attached: Whether the sender's chain of parents reaches a root
            that receives new configurations.
        label: Label of the sender in the tree.
        version: Configuration version that the sender has in force.
        members: XOR of the hashes of the sender's live member rows.
        reads_source: Whether the sender, a root, reads the external
            source itself.
        clock_s: The sender's monotonic clock.
        stamp_s: Newest ``clock_s`` of the receiver that the sender got.
        age_s: Age of the sender's evidence that ``version`` is the
            source's newest when that reading arrived; negative if the
            evidence is newer.
        news: What the sender knows of the external source; left out unless
            the time within which a configuration has to be in force has a
            bound.
        evacuations: As in `Hello`.

    The clocks and the age are left out unless the use of revoked API keys
    has a bound.
    """

    attached: bool
    label: int
    version: versions.Version
    members: int
    reads_source: bool = True
    clock_s: float | msgspec.UnsetType = msgspec.UNSET
    stamp_s: float | msgspec.UnsetType = msgspec.UNSET
    age_s: float | msgspec.UnsetType = msgspec.UNSET
    news: SourceNews | msgspec.UnsetType = msgspec.UNSET
    evacuations: register.OptionalRegister = msgspec.UNSET


def stamped(
    heartbeat: Heartbeat,
    *,
    clock_s: float,
    stamp_s: float | msgspec.UnsetType = msgspec.UNSET,
    age_s: float | msgspec.UnsetType = msgspec.UNSET,
) -> Heartbeat:
    """Return the heartbeat for one receiver; see `Heartbeat`."""
    return dataclasses.replace(
        heartbeat, clock_s=clock_s, stamp_s=stamp_s, age_s=age_s
    )


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RootsUpdate:
    """Root positions of the data centre, sent from parent to child."""

    roots: tuple[agreed.Root, ...]
    vacant: tuple[relay.VacantRoot, ...] = ()


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SnapshotDelta:
    """The difference between two configurations.

    Attributes:
        base: Version that the difference applies to.
        digest: Digest of the resulting configuration.
        changed: The resulting configuration, with its mappings reduced
            to the entries that are new or differ.
        removed: Keys of the entries to remove, by field name.
    """

    base: versions.Version
    digest: str
    changed: agreed.Snapshot
    removed: abc.Mapping[str, tuple[str, ...]]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SnapshotWanted:
    """Requests the configuration if it is newer than ``version``."""

    version: versions.Version


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class MemberDigest:
    """Checksums of the member table, one for each bucket of rows.

    Attributes:
        reply: Whether the receiver is to answer with its own digest.
    """

    buckets: tuple[int, ...]
    reply: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Alive:
    """Live nodes in the sender's subtree, sent towards the roots."""

    nodes: tuple[str, ...]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SnapshotUpdate:
    """A complete configuration and its digest.

    Attributes:
        evacuations: As in `Hello`; a node that gets its first configuration
            needs it before it serves.
    """

    digest: str
    snapshot: agreed.Snapshot
    evacuations: register.OptionalRegister = msgspec.UNSET


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class MemberUpdate:
    """Changed rows of the member table."""

    rows: tuple[members.Member, ...]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class InForce:
    """Progress of one configuration version in the sender's subtree.

    Attributes:
        known: Number of nodes in the subtree.
        in_force: Number of these that have ``version`` in force.
        minimum: Lowest version in force in the subtree, determined for
            each part of a version separately.
        lacking: Names of some nodes that lack ``version``.
    """

    version: versions.Version
    known: int
    in_force: int
    minimum: versions.Version = versions.NONE
    lacking: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class OutcomeRow:
    """One cumulative counter row of a report."""

    key: outcomes.OutcomeKey
    counts: outcomes.OutcomeCounts


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class OutcomeReport:
    """Outcome counts, sent towards the leader."""

    rows: tuple[OutcomeRow, ...]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RollbackNotice:
    """Versions that the sender sends no traffic to, with the evidence."""

    rows: tuple[comparisons.LocalRollback, ...]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Suspect:
    """A request that was in flight when a target crashed.

    Attributes:
        fingerprint: Digest of method, path, body and key.
        crash: Identifier of the crash; unique to one crash of one
            target.
        expires_s: Expiry of the suspicion, in seconds since the epoch.
    """

    fingerprint: str
    crash: str
    expires_s: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SuspectReport:
    """Suspects, distributed to all nodes."""

    rows: tuple[Suspect, ...]
