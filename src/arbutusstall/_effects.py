"""Events that a node's decision logic handles and effects it returns."""

from collections import abc
import dataclasses

from arbutusstall._evacuation import register
from arbutusstall._log import records
from arbutusstall._tables import agreed
from arbutusstall._tables import members
from arbutusstall._tables import outcomes
from arbutusstall._tables import versions
from arbutusstall._wire import messages


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LogEntry:
    """One encoded record and its offset on the log."""

    offset: int
    data: bytes


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LogRead:
    """The log answered a read.

    Attributes:
        entries: Entries in offset order, without duplicates.
        first_kept: Oldest offset that the log still retains.
        next_offset: Offset that the next append will get.
        era: Era of the log's store; 0 if it does not report one.
    """

    entries: tuple[LogEntry, ...]
    first_kept: int
    next_offset: int
    era: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LogFailed:
    """A read or an append failed or got no answer.

    Attributes:
        record: The record of a failed append; None after a failed read.
    """

    reason: str
    record: records.Record | None = None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Appended:
    """The log stored a record that this node appended."""

    offset: int
    record: records.Record


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Received:
    """A message arrived over the link to ``peer``."""

    peer: str
    message: messages.Message


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LinkLost:
    """A stream ended, or a connection could not be opened.

    Attributes:
        peer: Node id if it is known, otherwise the address.
    """

    peer: str
    reason: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Announced:
    """The local target announced itself.

    Attributes:
        address: HTTP address of the target, ``IP:PORT``.
        slots: Number of requests that the target runs concurrently.
        instance: Name of the target instance; empty if it gave none.
        cold_s: Remaining time for which the target is cold, in seconds;
            None if it is unknown.
        born_ms: Start time of the target in milliseconds since the epoch;
            zero if unknown.
    """

    service: str
    version: str
    address: str
    slots: int
    instance: str = ""
    cold_s: float | None = 0.0
    born_ms: int = 0

    @property
    def start(self) -> str:
        """Text that identifies this start of the target."""
        return members.target_start(self.instance, self.born_ms)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Left:
    """The local target is leaving, or the node is stopping.

    Attributes:
        stopping: Whether the whole node is stopping.
        departed: Start of the target if it announced its departure, as in
            `members.Member`; empty otherwise.
    """

    reason: str
    stopping: bool = False
    departed: str = ""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Observed:
    """Outcome counts that the inbound proxy added since its last event."""

    key: outcomes.OutcomeKey
    added: outcomes.OutcomeCounts


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class TargetCrashed:
    """The local target crashed with requests in flight.

    Attributes:
        suspects: Requests that may have caused the crash.
    """

    suspects: tuple[messages.Suspect, ...]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Published:
    """An external source published a complete configuration.

    The fields are those of `agreed.Snapshot`, except for:

    Attributes:
        health_paths_by_service: Paths of the health checks of targets;
            services without one are missing. The core does not use them.
    """

    source_version: versions.Version
    services: tuple[agreed.Service, ...]
    routes: tuple[agreed.Route, ...]
    limits: agreed.CallerLimits = agreed.CallerLimits()
    tenants: tuple[agreed.Tenant, ...] = ()
    access_by_prefix: abc.Mapping[str, agreed.RouteAccess] = dataclasses.field(
        default_factory=dict
    )
    cold_rates_by_service: abc.Mapping[str, float] = dataclasses.field(
        default_factory=dict
    )
    health_paths_by_service: abc.Mapping[str, str] = dataclasses.field(
        default_factory=dict
    )


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class EvacuationsRead:
    """The whole set of evacuated data centres was read from the source."""

    register: register.Register


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class EvacuationChanged:
    """A record of the source begins or ends an evacuation.

    Attributes:
        era: Era of the store in which it was read.
        offset: Offset of the record.
    """

    era: int
    offset: int
    data_centre: str
    evacuated: bool


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Ordered:
    """An external source ordered the rollout of one version of a service.

    Attributes:
        order_id: Identifies the order; every node that reads it gets the
            same id.
        duration_s: Time for the rollout to complete, in seconds.
        outcome: Verdict already reported to the source for this order;
            ``RUNNING`` if there is none.
    """

    order_id: str
    service: str
    version: str
    duration_s: float
    outcome: agreed.RolloutState = agreed.RolloutState.RUNNING


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RosterRead:
    """Member rows were loaded from the roster, which outlives processes."""

    rows: tuple[members.Member, ...]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class AbsenceRecorded:
    """The rows of nodes that are gone were compared with the roster."""

    rows: tuple[members.Member, ...]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SourceChanged:
    """An external source stopped answering, or answers again."""

    available: bool
    reason: str = ""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SourceConfirmed:
    """All that an external source had published at a time was read.

    It follows the events of that read.

    Attributes:
        sent_s: Monotonic time at which the request was sent.
        checked_s: Time by which the source still had published nothing
            more; not before ``sent_s``.
        position: Position at which the next read starts.
        era: Era of the store that answered; 0 if it reported none.
    """

    sent_s: float
    checked_s: float = 0.0
    position: int = 0
    era: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class StoreEraChanged:
    """The store returned from an older copy; offsets are assigned again.

    The readers of the log and of the source each report it, before what
    they read in the new era.

    Attributes:
        before: The era that the reader knew.
    """

    era: int
    before: int


Event = (
    LogRead
    | LogFailed
    | Appended
    | Received
    | LinkLost
    | Announced
    | Left
    | Observed
    | TargetCrashed
    | Published
    | Ordered
    | EvacuationsRead
    | EvacuationChanged
    | SourceChanged
    | SourceConfirmed
    | StoreEraChanged
    | RosterRead
    | AbsenceRecorded
)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Append:
    """Append a record; the shell retries until the log answers.

    Attributes:
        era: Era of the store in which it was decided; 0 if there is none.
    """

    record: records.Record
    era: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class FollowLog:
    """Read the log continuously, starting at ``offset``.

    Attributes:
        era: Era of the store to which ``offset`` belongs; 0 if unknown.
    """

    offset: int
    era: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class StopLog:
    """Stop reading the log."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class StoreRewound:
    """Write this node's own entries in the store again."""

    era: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ReportRollout:
    """Report the state of an ordered rollout to the external source."""

    service: str
    version: str
    state: agreed.RolloutState


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Connect:
    """Open a stream to the node at ``address`` and send ``hello``."""

    address: str
    hello: messages.Hello


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Disconnect:
    """Close the stream to ``peer`` once all earlier messages are sent.

    The other side gets `LinkLost`; this one does not.

    Attributes:
        peer: Node id, or the address of an unanswered connection attempt.
    """

    peer: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Send:
    """Send a message over the link to ``peer``."""

    peer: str
    message: messages.Message


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class View:
    """The routing data of the call path; replaced atomically.

    Attributes:
        members_by_service: Members whose target has announced itself.
        blocked: Versions that get no traffic, as ``"service/version"``.
        evacuated: Data centres whose targets get no new requests.
    """

    snapshot: agreed.Snapshot = dataclasses.field(
        default_factory=agreed.Snapshot
    )
    members_by_service: abc.Mapping[str, tuple[members.Member, ...]] = (
        dataclasses.field(default_factory=dict)
    )
    blocked: frozenset[str] = frozenset()
    evacuated: frozenset[str] = frozenset()


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PutInForce:
    """Route all further calls by this view."""

    view: View


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class UpdateSuspects:
    """Quarantine requests that match these suspects from now on."""

    rows: tuple[messages.Suspect, ...]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Emit:
    """Write an event to the process log."""

    event: str
    fields: abc.Mapping[str, str | int | float] = dataclasses.field(
        default_factory=dict
    )


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RecordAbsence:
    """Record in the roster that nodes are gone, once.

    Attributes:
        rows: Last rows of these nodes.
    """

    rows: tuple[members.Member, ...]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class TargetDeparted:
    """The target left while an earlier process of this node ran.

    Attributes:
        start: Start of the target, as in `members.Member`.
    """

    start: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ReadSource:
    """Read the external source once, without following it.

    Attributes:
        position: Position from which to read; None to go on from the last
            such read, or to read everything if there was none.
        era: Era of the store in which the position is valid.
    """

    position: int | None = None
    era: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class KeysConfirmed:
    """No newer configuration existed at a time, so no key was removed.

    Attributes:
        source_version: Source version that was in force here.
        confirmed_s: Monotonic time of this node.
    """

    source_version: versions.Version
    confirmed_s: float


Effect = (
    Append
    | FollowLog
    | StopLog
    | StoreRewound
    | ReportRollout
    | Connect
    | Disconnect
    | Send
    | PutInForce
    | UpdateSuspects
    | Emit
    | RecordAbsence
    | TargetDeparted
    | ReadSource
    | KeysConfirmed
)
