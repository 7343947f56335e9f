"""Events that reach a node's decision logic and effects it asks for."""

from collections import abc
import dataclasses

from arbutusstall._log import records
from arbutusstall._tables import agreed
from arbutusstall._tables import members
from arbutusstall._tables import outcomes
from arbutusstall._wire import messages


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LogEntry:
    """One stored record."""

    offset: int
    data: bytes


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LogRead:
    """The log answered a read.

    Attributes:
        entries: Records in offset order, none twice.
        first_kept: Oldest offset that the log still has.
        next_offset: Offset that the next append will get.
    """

    entries: tuple[LogEntry, ...]
    first_kept: int
    next_offset: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LogFailed:
    """A read or an append got no answer."""

    reason: str
    record: records.Record | None = None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Appended:
    """The log stored a record of this node."""

    offset: int
    record: records.Record


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Received:
    """A message came over the link to ``peer``."""

    peer: str
    message: messages.Message


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LinkLost:
    """A stream ended, or a connection could not be opened.

    Attributes:
        peer: Node id if it is known, else the address.
    """

    peer: str
    reason: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Announced:
    """The target beside this node announced itself.

    Attributes:
        instance: Names one start of the target; empty if it has no name.
        cold_s: How much longer it is slow after its start, in seconds.
    """

    service: str
    version: str
    address: str
    slots: int
    instance: str = ""
    cold_s: float = 0.0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Left:
    """The target beside this node leaves, or the node itself stops.

    Attributes:
        stopping: Whether the whole node stops.
    """

    reason: str
    stopping: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Observed:
    """Outcome counts that the inbound proxy added since the last event."""

    key: outcomes.OutcomeKey
    added: outcomes.OutcomeCounts


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class TargetCrashed:
    """The target beside this node crashed with requests in flight."""

    suspects: tuple[messages.Suspect, ...]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Published:
    """An external source has published a whole configuration."""

    source_version: int
    services: tuple[agreed.Service, ...]
    routes: tuple[agreed.Route, ...]
    limits: agreed.CallerLimits = agreed.CallerLimits()


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Ordered:
    """An external source asks to move a service to one version.

    Attributes:
        order_id: Names the order; the same whoever reads it.
        duration_s: Time in which the move is to be done.
        outcome: Verdict that was reported of it before, if any.
    """

    order_id: str
    service: str
    version: str
    duration_s: float
    outcome: agreed.RolloutState = agreed.RolloutState.RUNNING


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RosterRead:
    """Rows of nodes that were kept beyond the life of processes."""

    rows: tuple[members.Member, ...]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SourceChanged:
    """An external source no longer answers, or does again."""

    available: bool
    reason: str = ""


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
    | SourceChanged
    | RosterRead
)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Append:
    """Append a record; repeated by the shell until answered."""

    record: records.Record


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class FollowLog:
    """Read the log from ``offset`` on, continuously."""

    offset: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class StopLog:
    """Read the log no longer."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ReportRollout:
    """Tell the external source how an ordered rollout stands."""

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
    """Close the stream to ``peer`` after what was sent before.

    Attributes:
        peer: Node id, or the address of an attempt without an answer.

    The other side gets `LinkLost`; this one does not.
    """

    peer: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Send:
    """Send a message over the link to ``peer``."""

    peer: str
    message: messages.Message


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class View:
    """What the call path routes by; replaced as a whole.

    Attributes:
        members_by_service: Members with an announced target.
        blocked: Versions that get no traffic, ``"service/version"``.
    """

    snapshot: agreed.Snapshot = dataclasses.field(
        default_factory=agreed.Snapshot
    )
    members_by_service: abc.Mapping[str, tuple[members.Member, ...]] = (
        dataclasses.field(default_factory=dict)
    )
    blocked: frozenset[str] = frozenset()


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PutInForce:
    """Use this view for all calls from now on."""

    view: View


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class UpdateSuspects:
    """Run these requests with care from now on."""

    rows: tuple[messages.Suspect, ...]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Emit:
    """Write an event line to the process log."""

    event: str
    fields: abc.Mapping[str, str | int | float] = dataclasses.field(
        default_factory=dict
    )


Effect = (
    Append
    | FollowLog
    | StopLog
    | ReportRollout
    | Connect
    | Disconnect
    | Send
    | PutInForce
    | UpdateSuspects
    | Emit
)
