"""Settings of a node, decoded from JSON into frozen data classes."""

import dataclasses
import pathlib

from arbutusstall import _files


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class AddressSettings:
    """Where a node listens, each ``IP:PORT``.

    Attributes:
        callers: HTTP for callers (the outbound proxy).
        inbound: HTTP for calls from other nodes.
        relay: gRPC for configuration and membership streams.
        admin: HTTP for metrics, health, status and announcements.
    """

    callers: str
    inbound: str
    relay: str
    admin: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LogSettings:
    """How to reach the platform log; times in seconds."""

    url: str
    request_timeout_s: float = 2.0
    poll_s: float = 10.0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LeaseSettings:
    """Times of the leader's lease in seconds."""

    renew_s: float = 1.0
    expire_s: float = 4.0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RelaySettings:
    """Shape and times of the distribution tree; times in seconds.

    Attributes:
        roots: Root seats of each data centre.
        fan_out: Children that a node admits.
        heartbeat_s: Interval of the heartbeats on each link.
        silent_s: A link without any message for so long is replaced.
        seat_renew_s: Interval at which a root renews its seat.
        seat_expire_s: A seat that was not renewed for so long, while
            the log answered, is claimed by others.
        refresh_s: Interval at which a node is reported alive.
        expire_s: A node not reported alive for so long is taken for
            dead.
        forget_s: The row of a dead node is removed after this time.
        join_rate: Joiners that a node admits per second.
        rows_per_s: Member rows sent over one link per second.
    """

    roots: int = 3
    fan_out: int = 16
    heartbeat_s: float = 2.0
    silent_s: float = 6.0
    seat_renew_s: float = 5.0
    seat_expire_s: float = 16.0
    refresh_s: float = 30.0
    expire_s: float = 100.0
    forget_s: float = 600.0
    join_rate: float = 20.0
    rows_per_s: float = 100.0
    retry_base_s: float = 0.2
    retry_cap_s: float = 10.0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RolloutSettings:
    """Policy for moving traffic between versions."""

    first_percent: float = 5.0
    step_s: float = 0.5


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CallSettings:
    """Limits of the call path; times in milliseconds.

    Attributes:
        slots: Requests at the target at once until it announces others.
        connections: Most connections to one inbound proxy or target.
        queue: Most requests that wait for a slot.
        queue_ms: Longest wait for a slot.
        horizon_ms: Age from which a call is refused, and for how long
            its end is remembered.
        remembered: Most finished or revoked calls that are remembered.
        remembered_bytes: Most bytes of answers that are remembered.
        probe_share: Share of the deadline after which a call without an
            answer is asked for over a new connection.
        max_depth: Calls above a call in its chain from which it is
            refused.
        attempts: Most endpoints that one request is sent to.
        retry_share: Retries allowed for each request.
        key_horizon_ms: For how long an Idempotency-Key is honoured.
    """

    slots: int = 20
    connections: int = 130
    queue: int = 40
    queue_ms: int = 200
    default_deadline_ms: int = 5_000
    max_deadline_ms: int = 60_000
    horizon_ms: int = 30_000
    remembered: int = 20_000
    remembered_bytes: int = 16_000_000
    probe_share: float = 0.4
    max_depth: int = 12
    attempts: int = 3
    retry_share: float = 0.2
    key_horizon_ms: int = 60_000


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class NodeSettings:
    """Everything a node has to be told.

    Attributes:
        node: Unique id of the node.
        data_centre: Where it runs, such as ``"lipno"``.
        region: Region of the data centre.
        seeds: Relay addresses to ask when the log is out at start.
    """

    node: str
    data_centre: str
    addresses: AddressSettings
    log: LogSettings
    region: str = "main"
    seeds: tuple[str, ...] = ()
    lease: LeaseSettings = LeaseSettings()
    relay: RelaySettings = RelaySettings()
    rollout: RolloutSettings = RolloutSettings()
    calls: CallSettings = CallSettings()
    log_level: str = "INFO"
    tick_s: float = 0.1


def load(path: pathlib.Path) -> NodeSettings:
    """Read and check the settings file at ``path``.

    Raises:
        InvalidFile: The file is missing, malformed or fails a check.
    """
    return _files.load(path, NodeSettings)
