"""The agreed state, which is a pure function of a prefix of the log.

Nodes compare digests of the encoded state, so field names, their order
and every text that is stored in a field are part of its format.
"""

from collections import abc
import dataclasses
import enum
from typing import TypeVar

import msgspec

from arbutusstall._tables import versions

NO_OFFSET = -1
NO_LEASE = -1

T = TypeVar("T")
OptionalMapping = abc.Mapping[str, T] | msgspec.UnsetType
"""A mapping by key that is left out of the encoding if it is unset."""


class RolloutState(enum.Enum):
    """State of a rollout."""

    RUNNING = "running"
    DONE = "done"
    ROLLED_BACK = "rolled-back"


class ReleaseState(enum.Enum):
    """Whether the fold accepted a release."""

    ACCEPTED = "accepted"
    REFUSED = "refused"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Service:
    """A named service whose endpoints are announced by targets.

    Attributes:
        max_connections: Maximum number of connections that a target
            accepts; 0 if the node's own settings apply.
    """

    name: str
    max_connections: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ServiceWeight:
    """Relative weight of a service in the traffic of a route."""

    service: str
    weight: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Route:
    """Maps a path prefix to a service.

    Attributes:
        prefix: Path prefix; the longest match wins. With a host name
            before the first slash it matches that host only.
        service: Name of the service that answers.
        timeout_ms: Deadline of requests that do not set one, and upper
            bound of the deadlines of those that do.
        idempotent: Whether requests of every method may be executed
            more than once; otherwise only GET and HEAD may.
        strict: Whether ``idempotent`` applies to GET and HEAD as well,
            which may otherwise always be executed more than once.
        split: Services that share the route's traffic by weight; if
            empty, all traffic goes to ``service``.
        max_attempts: Maximum number of targets that one request is sent
            to; 0 if the node's own settings apply.
        target_latency_ms: Latency objective; 0 if there is none.
        priority: Priority under overload; 0 is the highest.
    """

    prefix: str
    service: str
    timeout_ms: int = 5_000
    idempotent: bool = False
    strict: bool = False
    split: tuple[ServiceWeight, ...] = ()
    max_attempts: int = 0
    target_latency_ms: int = 0
    priority: int = 0

    @property
    def services(self) -> tuple[str, ...]:
        """Names of all services that the route may send requests to."""
        if not self.split:
            return (self.service,)
        return tuple(part.service for part in self.split)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RouteAccess:
    """Restrictions of a route that most routes do not have.

    Attributes:
        auth_exempt: Whether requests need no API key even if the
            configuration holds tenants.
        regions: Regions whose targets may run the route's requests; empty
            if all may.
    """

    auth_exempt: bool = False
    regions: tuple[str, ...] = ()


NO_RESTRICTIONS = RouteAccess()


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Tenant:
    """A tenant whose requests are recognized by their API keys.

    Attributes:
        key_digests: Digests of the API keys; the keys are not kept.
        priority: Priority of its requests under overload, in place of
            that of their routes; None if the routes' applies.
        rate_per_s: Requests a second over all nodes; 0 for no limit.
        burst: Requests in addition to the rate after a pause.
        regions: Regions whose targets may run its requests; empty if all
            may.
    """

    name: str
    key_digests: tuple[str, ...] = ()
    priority: int | None = None
    rate_per_s: float = 0.0
    burst: float = 0.0
    regions: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CallerLimits:
    """Limits on the size of callers' requests and on their timing.

    Times are in milliseconds, sizes in bytes.
    """

    header_bytes: int = 64 * 1024
    body_bytes: int = 16 * 1024 * 1024
    header_timeout_ms: int = 10_000
    idle_timeout_ms: int = 60_000


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Shares:
    """Percentages of a service's traffic by version; they sum to 100."""

    service: str
    percent_by_version: abc.Mapping[str, float]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Rollout:
    """One planned change of a service's traffic shares.

    Attributes:
        rollout_id: Release name or order id, and service, as
            ``"release/service"``.
        release: Name of the release, or id of the order, that requested it.
        service: Name of the service whose traffic is shifted.
        start: Shares at the time the release was accepted.
        goal: Shares to reach.
        started_s: Publication time, seconds since the epoch.
        by_s: Time by which to reach the goal, seconds since the epoch.
        state: Running, done or rolled back.
        reason: Reason for the verdict; empty while running.
        step: Number of share decisions so far.
        progress: Fraction of the change from start to goal, 0 to 1.
        held_by: What keeps a running rollout behind its schedule:
            ``outcomes``, ``capacity``, ``endpoints`` or empty, followed
            by ``late`` once ``by_s`` has passed. During a log outage
            this field cannot change; nodes then report ``log`` in their
            events instead.
        rejected: Versions that the verdict blocked.
        offset: Log offset of the release record.
    """

    rollout_id: str
    release: str
    service: str
    start: abc.Mapping[str, float]
    goal: abc.Mapping[str, float]
    started_s: float
    by_s: float
    state: RolloutState = RolloutState.RUNNING
    reason: str = ""
    step: int = 0
    progress: float = 0.0
    held_by: str = ""
    rejected: tuple[str, ...] = ()
    offset: int = NO_OFFSET


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Lease:
    """The leader's lease.

    Attributes:
        offset: Log offset of the accepted claim; serves as the fencing
            token.
        holder: Node id of the leader.
        renewed: Log offset of the newest claim or renewal.
        renewed_by: Record id of the newest claim or renewal.
        sequence: Sequence number of the newest renewal; zero for the claim.
    """

    offset: int = NO_LEASE
    holder: str = ""
    renewed: int = NO_LEASE
    renewed_by: str = ""
    sequence: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Checkpoint:
    """An encoded agreed state that the leader appends to the log.

    Attributes:
        through: Offset of the first record that the state does not
            include.
        digest: Hash of the encoded state.
        lease: Offset of the lease claim under which it was begun.
        made_s: Time at which it was begun, seconds since the epoch.
        count: Number of its chunks; zero until one was folded.
        accepted: Bit set of the chunks that were folded.
    """

    through: int
    digest: str
    lease: int
    made_s: float
    count: int = 0
    accepted: int = 0

    @property
    def is_complete(self) -> bool:
        """Whether all chunks have been folded."""
        return self.count > 0 and self.accepted == (1 << self.count) - 1


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Root:
    """A root relay that reads the log for its data centre.

    Attributes:
        incarnation: Incarnation of the node process that claimed the
            position.
        admin: Admin address of the node.
        position: Number of the position within the data centre.
        offset: Log offset of the accepted claim.
        renewed: Log offset of the newest claim or renewal.
    """

    node: str
    data_centre: str
    address: str
    admin: str
    incarnation: int
    position: int
    offset: int
    renewed: int


def root_key(data_centre: str, position: int) -> str:
    """Return the key of a root position in `Agreed.roots_by_key`."""
    return f"{data_centre}/{position}"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ReleaseOutcome:
    """Decision about a published release, as kept in the agreed state."""

    name: str
    digest: str
    state: ReleaseState
    reason: str
    offset: int
    record_id: str = ""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Snapshot:
    """The configuration that a node puts in force atomically.

    Attributes:
        version: Offset of the newest log record that changed it, plus
            one, combined with ``source_version`` in the upper bits, see
            `versions`; zero for the empty configuration.
        rollouts_by_id: Running rollouts and the most recently ended
            ones of each service.
        blocked: Versions that the newest verdicts of each service
            rolled back, as ``"service/version"``; they get no traffic
            until a release names them again.
        source_version: Version of the newest complete configuration
            published by an external source; zero if there is none.
        limits: Limits on callers' requests.
        tenants_by_name: Tenants; a request needs one of their API keys.
        access_by_prefix: Restrictions of the routes that have any.
        cold_rates_by_service: Requests a second that a cold target of the
            service takes; services without a bound are missing.

    A mapping that is unset is not encoded, so nodes that do not know the
    field compute the same digest.
    """

    version: versions.Version = versions.NONE
    source_version: versions.Version = versions.NONE
    limits: CallerLimits = CallerLimits()
    services_by_name: abc.Mapping[str, Service] = dataclasses.field(
        default_factory=dict
    )
    routes_by_prefix: abc.Mapping[str, Route] = dataclasses.field(
        default_factory=dict
    )
    shares_by_service: abc.Mapping[str, Shares] = dataclasses.field(
        default_factory=dict
    )
    rollouts_by_id: abc.Mapping[str, Rollout] = dataclasses.field(
        default_factory=dict
    )
    blocked: frozenset[str] = frozenset()
    tenants_by_name: OptionalMapping[Tenant] = msgspec.UNSET
    access_by_prefix: OptionalMapping[RouteAccess] = msgspec.UNSET
    cold_rates_by_service: OptionalMapping[float] = msgspec.UNSET

    @property
    def tenants(self) -> abc.Mapping[str, Tenant]:
        """Tenants by name; empty if the configuration holds none."""
        return self.tenants_by_name or {}

    def access(self, prefix: str) -> RouteAccess:
        """Return the restrictions of the route with ``prefix``."""
        return (self.access_by_prefix or {}).get(prefix, NO_RESTRICTIONS)

    def cold_rate_per_s(self, service: str) -> float:
        """Return the rate that a cold target takes; 0 for no bound."""
        return (self.cold_rates_by_service or {}).get(service, 0.0)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Era:
    """The era of the store to which the agreed state belongs.

    Attributes:
        began: Offset of the reset that began it; rollouts up to this
            offset were carried over from an earlier era.
        floor: Highest log part of a version that was carried over.
        base: Number added to the offsets in versions, so that they exceed
            those of earlier eras.
    """

    number: int
    began: int = NO_OFFSET
    floor: int = 0
    base: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Agreed:
    """The state after folding all log records before ``offset``.

    Attributes:
        offset: Offset of the next record to fold.
        snapshot: The configuration in force.
        item_offsets_by_key: Offset of the record that last changed each
            configuration item, keyed by ``service/NAME``,
            ``route/PREFIX`` or ``shares/SERVICE``.
        ended_rollouts_by_id: Ended rollouts that were evicted from the
            snapshot; bounded.
        releases_by_name: Outcomes of the newest releases.
        forgotten_to: Offset of the newest release whose outcome was
            evicted; a release based on a state up to this offset is
            refused.
        forgotten_names: Hashes of the names of evicted releases, in
            batches, the newest last.
        begun: The checkpoint whose chunks are not complete yet.
        checkpoint: The newest complete checkpoint.
        era: Unset if the store reports no era.
    """

    offset: int = 0
    snapshot: Snapshot = dataclasses.field(default_factory=Snapshot)
    item_offsets_by_key: abc.Mapping[str, int] = dataclasses.field(
        default_factory=dict
    )
    releases_by_name: abc.Mapping[str, ReleaseOutcome] = dataclasses.field(
        default_factory=dict
    )
    lease: Lease = dataclasses.field(default_factory=Lease)
    roots_by_key: abc.Mapping[str, Root] = dataclasses.field(
        default_factory=dict
    )
    forgotten_to: int = NO_OFFSET
    forgotten_names: tuple[frozenset[int], ...] = ()
    begun: Checkpoint | None = None
    checkpoint: Checkpoint | None = None
    ended_rollouts_by_id: abc.Mapping[str, Rollout] = dataclasses.field(
        default_factory=dict
    )
    era: Era | msgspec.UnsetType = msgspec.UNSET

    @property
    def era_number(self) -> int:
        """The number of the era; 0 if the store reports none."""
        return self.era.number if isinstance(self.era, Era) else 0

    def version_at(self, offset: int) -> versions.Version:
        """Return the version of a configuration changed at ``offset``."""
        base = self.era.base if isinstance(self.era, Era) else 0
        return versions.from_log(base + offset + 1)
