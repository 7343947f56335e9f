"""The agreed state: a pure function of the log's prefix."""

from collections import abc
import dataclasses
import enum

NO_OFFSET = -1
NO_LEASE = -1


class RolloutState(enum.Enum):
    """Where a rollout stands."""

    RUNNING = "running"
    DONE = "done"
    ROLLED_BACK = "rolled-back"


class ReleaseState(enum.Enum):
    """What the fold decided about a release."""

    ACCEPTED = "accepted"
    REFUSED = "refused"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Service:
    """A named back end that targets announce themselves for.

    Attributes:
        max_connections: Connections that a target accepts; 0 if the
            node's own settings apply.
    """

    name: str
    max_connections: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ServiceWeight:
    """One part of a route's traffic; weights are relative."""

    service: str
    weight: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Route:
    """Maps a path prefix to a service.

    Attributes:
        prefix: Path prefix; the longest match wins. With a host name
            before the first slash it matches that host only.
        service: Name of the service that answers.
        timeout_ms: Deadline of a request that names none itself; no
            request is kept waiting for longer.
        idempotent: Whether every method may be executed twice; if not,
            only GET and HEAD may.
        strict: Whether ``idempotent`` decides alone, whatever the
            method.
        split: Services that share the route's traffic by weight; if
            empty, all goes to ``service``.
        max_attempts: Most targets that one request is sent to; 0 if the
            node's own settings apply.
        target_latency_ms: Latency objective; 0 if there is none.
        priority: Rank under pressure, 0 is the highest.
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
        """Every service that may answer."""
        if not self.split:
            return (self.service,)
        return tuple(part.service for part in self.split)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CallerLimits:
    """What a caller may send, and for how long it may take or stay idle.

    Times are in milliseconds, sizes in bytes.
    """

    header_bytes: int = 64 * 1024
    body_bytes: int = 16 * 1024 * 1024
    header_timeout_ms: int = 10_000
    idle_timeout_ms: int = 60_000


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Shares:
    """Percent of a service's traffic by version; sums to 100."""

    service: str
    percent_by_version: abc.Mapping[str, float]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Rollout:
    """One planned change of shares.

    Attributes:
        rollout_id: Release name and service, ``"release/service"``.
        release: Name of the release that asked for it.
        service: The service whose traffic moves.
        start: Shares when the release was accepted.
        goal: Shares to reach.
        started_s: Publication time, seconds since the epoch.
        by_s: Time to reach the goal, seconds since the epoch.
        state: Running, done or rolled back.
        reason: Why the verdict was given, empty while running.
        step: Number of share decisions so far.
        progress: Part of the way from start to goal, 0 to 1.
        held_by: What keeps a running rollout behind its plan:
            ``outcomes``, ``capacity``, ``endpoints`` or empty, followed
            by ``late`` once its time has passed. While the log is out
            nothing can be agreed; nodes then say ``log`` in their
            events.
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
        offset: Log offset of the accepted claim, the fencing token.
        holder: Node id of the leader.
        renewed: Log offset of the newest claim or renewal.
        renewed_by: Record id of the newest claim or renewal.
        sequence: Number of the newest renewal; zero for the claim.
    """

    offset: int = NO_LEASE
    holder: str = ""
    renewed: int = NO_LEASE
    renewed_by: str = ""
    sequence: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Checkpoint:
    """An encoding of the agreed state that the leader put on the log.

    Attributes:
        through: Offset of the first record that the state lacks.
        digest: Hash of the encoded state.
        lease: Lease under which it was begun.
        made_s: When it was begun, seconds since the epoch.
        count: Number of its chunks; zero until the first was folded.
        accepted: One bit for each chunk that was folded.
    """

    through: int
    digest: str
    lease: int
    made_s: float
    count: int = 0
    accepted: int = 0

    @property
    def is_complete(self) -> bool:
        """Whether all chunks are on the log."""
        return self.count > 0 and self.accepted == (1 << self.count) - 1


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Root:
    """A root relay that reads the log for its data centre.

    Attributes:
        incarnation: Of the node process that claimed the position.
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
    """Return the key of a root position."""
    return f"{data_centre}/{position}"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ReleaseOutcome:
    """What became of a published release."""

    name: str
    digest: str
    state: ReleaseState
    reason: str
    offset: int
    record_id: str = ""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Snapshot:
    """The configuration that a node puts in force as a whole.

    Attributes:
        version: Log offset of the newest record that changed it, plus
            one, with ``source_version`` in its upper part, see
            `versions`; zero for the empty configuration.
        rollouts_by_id: Running rollouts and, for each service, the
            newest that ended.
        blocked: Versions that the newest verdicts of each service
            rolled back, as ``"service/version"``; they get no traffic
            until a release names them again.
        source_version: Version of the newest whole configuration that
            an external source has published; zero if there is none.
        limits: What callers may send.
    """

    version: int = 0
    source_version: int = 0
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


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Agreed:
    """Everything that follows from the log up to ``offset``.

    Attributes:
        offset: Offset of the next record to fold.
        snapshot: The configuration in force.
        item_offsets_by_key: For each configuration item
            (``service/NAME``, ``route/PREFIX``, ``shares/SERVICE``) the
            offset of the record that changed it last.
        ended_rollouts_by_id: Rollouts that ended and left the snapshot,
            bounded.
        releases_by_name: Outcomes of the newest releases.
        forgotten_to: Offset of the newest release whose outcome is no
            longer kept; a release that was written earlier is refused.
        forgotten_names: Hashes of the names of such releases, in batches,
            the newest last.
        begun: The checkpoint whose chunks are still awaited.
        checkpoint: The newest whole checkpoint.
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
