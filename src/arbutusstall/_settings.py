"""Settings of a node as frozen data classes.

The docstrings are also the descriptions in the JSON schema.
"""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class AddressSettings:
    """Addresses on which a node listens, each ``IP:PORT``.

    Attributes:
        callers: HTTP for callers (the outbound proxy).
        inbound: HTTP for calls from other nodes.
        relay: Frames for configuration and membership streams.
        admin: HTTP for metrics, health, status and announcements.
    """

    callers: str
    inbound: str
    relay: str
    admin: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class AdvertiseSettings:
    """Addresses at which other nodes reach this one, each ``IP:PORT``.

    An empty address defaults to the one in `AddressSettings`.
    """

    inbound: str = ""
    relay: str = ""
    admin: str = ""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LogSettings:
    """Access to the platform log; times in seconds.

    Attributes:
        poll_s: Maximum time that a read waits for the next record. A
            connection that is silent for this time plus the request
            timeout is considered lost.
        transfer_s: Maximum time that an answer takes after its first byte.
            It ends earlier if nothing arrives for the request timeout.
        read_gap_s: Minimum time between the starts of two reads. Records
            that arrive within it are read together.
        retry_base_s: Initial backoff between retries.
        retry_cap_s: Maximum backoff between retries.
        append_bound_s: Time for which a failed append is retried.
        pending_appends: Maximum number of records that wait to be
            appended.
        answer_bytes: Maximum size of one answer.
    """

    url: str
    request_timeout_s: float = 2.0
    poll_s: float = 1.5
    transfer_s: float = 10.0
    read_gap_s: float = 0.0
    retry_base_s: float = 0.05
    retry_cap_s: float = 2.0
    append_bound_s: float = 60.0
    pending_appends: int = 256
    answer_bytes: int = 16 * 1024 * 1024


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LeaseSettings:
    """Timing of the leader's lease, in seconds.

    Attributes:
        renew_s: Interval at which the leader renews the lease.
        expire_s: Age at which a lease that was not renewed may be
            claimed by another node.
    """

    renew_s: float = 1.0
    expire_s: float = 4.0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CheckpointSettings:
    """When and how the leader writes a checkpoint to the log.

    A checkpoint is due after ``every_s`` or ``every_records``, whichever
    comes first.

    Attributes:
        every_s: Age of the newest checkpoint, in seconds, at which the
            next one is due. It should be at most a third of the time
            for which the log keeps records.
        every_records: Number of records after the newest checkpoint at
            which the next one is due.
        chunk_bytes: Maximum size of the part of a checkpoint in one
            record.
        chunk_s: Time between two groups of chunks, in seconds.
        chunks_at_once: Number of chunks in one group.
    """

    every_s: float = 600.0
    every_records: int = 20_000
    chunk_bytes: int = 48 * 1024
    chunk_s: float = 0.5
    chunks_at_once: int = 4


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RelaySettings:
    """Shape and timing of the distribution tree; times in seconds.

    Attributes:
        roots: Number of root positions in each data centre.
        fan_out: Maximum number of children of a node.
        heartbeat_s: Interval of heartbeats from parent to child. From
            child to parent it is three times as long, and between roots
            unless ``apply_s`` is set.
        silent_s: Time without any message after which a parent is
            replaced. For children and other roots it is three times as
            long.
        root_renew_s: Interval at which a root renews its position.
        root_expire_s: Time without a renewal, while the log answers,
            after which other nodes claim a root position.
        refresh_s: Interval at which a node is reported alive.
        expire_s: Time without such a report after which a node is
            considered dead.
        forget_s: Time after which the row of a dead node is removed.
        join_rate: Number of joining nodes that a node admits per second.
        rows_per_s: Maximum number of member rows sent over one link per
            second.
        detached_readers: Maximum size of a data centre in which each
            node without a parent reads the log itself.
        apply_s: Time within which a configuration of an external source
            has to be in force at each node that reaches the source; 0 if
            there is no such bound.
        retry_base_s: Initial backoff between attempts to join the tree.
        retry_cap_s: Maximum backoff between attempts to join the tree.
    """

    roots: int = 3
    fan_out: int = 16
    heartbeat_s: float = 2.0
    silent_s: float = 6.0
    root_renew_s: float = 5.0
    root_expire_s: float = 16.0
    refresh_s: float = 30.0
    expire_s: float = 100.0
    forget_s: float = 600.0
    join_rate: float = 20.0
    rows_per_s: float = 100.0
    detached_readers: int = 0
    apply_s: float = 0.0
    retry_base_s: float = 0.2
    retry_cap_s: float = 10.0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RolloutSettings:
    """Policy for shifting traffic between versions.

    The defaults give equal weight to speed and safety; see
    docs/design/0030 for the settings of each mesh.

    Attributes:
        first_percent: Initial share of a new version.
        step_s: Minimum time between two steps, in seconds.
        growth: Factor by which a share grows from stage to stage.
        growth_max: Maximum factor, used if a rollout is behind its plan.
        control_percent: Share that the old versions keep for comparison
            until the goal is due.
        watch_s: Time for which a rollout is observed close to and at its
            goal, in seconds.
        look_s: Interval at which outcome counts are compared, in
            seconds.
        report_s: Interval at which outcome counts are reported, in
            seconds.
        min_calls: Number of calls on a route that suffices for a step.
        few_calls: Number of calls that suffices after ``patience_s``.
        patience_s: Time after which ``few_calls`` suffice, in seconds.
        warm_up_s: Time for which slow answers of a new endpoint are
            ignored, in seconds.
        error_ratio: Tolerated error rate as a multiple of the old
            version's.
        error_floor: Error rate that is always tolerated, 0 to 1.
        slow_ratio: Same as ``error_ratio``, for slow answers.
        slow_floor: Same as ``error_floor``, for slow answers.
        slow_least_ms: Answers within this time never count as slow.
        false_rollbacks: Probability of rolling back a good version.
        headroom: Fraction of the announced slots that a rollout plans to
            use, 0 to 1.
        probe_percent: Progress to return to if a version seems bad and
            the old one gets too few calls for a comparison.
        hold_s: Time behind the plan after which a rollout counts as
            held, in seconds.
    """

    first_percent: float = 5.0
    step_s: float = 0.5
    growth: float = 1.6
    growth_max: float = 4.0
    control_percent: float = 10.0
    watch_s: float = 8.0
    look_s: float = 0.5
    report_s: float = 0.5
    min_calls: int = 30
    few_calls: int = 5
    patience_s: float = 1.0
    warm_up_s: float = 2.0
    error_ratio: float = 1.5
    error_floor: float = 0.01
    slow_ratio: float = 2.0
    slow_floor: float = 0.1
    slow_least_ms: float = 10.0
    false_rollbacks: float = 0.01
    headroom: float = 0.8
    probe_percent: float = 20.0
    hold_s: float = 1.0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CallSettings:
    """Limits of the call path; times in milliseconds.

    Attributes:
        slots: Maximum number of concurrent requests at the target until
            it announces a number.
        connections: Maximum number of connections to one inbound proxy
            or target.
        queue: Maximum number of requests that wait for a slot.
        queue_ms: Maximum wait for a slot.
        default_deadline_ms: Has no effect. A request that states no
            deadline gets the timeout of its route.
        max_deadline_ms: Maximum deadline that a request can state.
        horizon_ms: Age from which a call is refused, and time for which
            its outcome is remembered.
        remembered: Maximum number of finished or revoked calls that are
            remembered.
        remembered_bytes: Maximum size of all remembered answers.
        probe_share: Fraction of the deadline after which the node asks
            for the state of an unanswered call over a new connection.
        max_depth: Number of calls above a call in its chain from which
            the call is refused.
        attempts: Maximum number of endpoints that one request is sent
            to.
        retry_share: Number of retries that each request adds to the
            retry budget of its service.
        retry_burst: Maximum number of retries that a node can save up in
            the retry budget of a service.
        key_horizon_ms: Time for which an Idempotency-Key is honoured.
        limit_concurrency: Whether the node lowers the number of slots of
            a target that runs fewer requests faster.
    """

    slots: int = 20
    connections: int = 130
    queue: int = 40
    queue_ms: int = 200
    default_deadline_ms: int = 5_000
    max_deadline_ms: int = 60_000
    horizon_ms: int = 60_000
    remembered: int = 20_000
    remembered_bytes: int = 16_000_000
    probe_share: float = 0.4
    max_depth: int = 12
    attempts: int = 3
    retry_share: float = 0.2
    retry_burst: float = 10.0
    key_horizon_ms: int = 60_000
    limit_concurrency: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ReadSettings:
    """Limits on the data that a node receives and buffers.

    Attributes:
        overhead_bytes: Maximum size of what a target sends in addition
            to the body of an answer: status line, header lines, interim
            answers and trailers.
        foreign_answers: Maximum number of answers to other requests that
            are dropped while the node waits for the answer to its own.
        answer_bytes: Maximum size of the body of a target's answer.
        frame_bytes: Maximum size of one message of another node.
        unsent_bytes: Maximum size of the messages that wait to be sent
            to another node.
        held_bytes: Maximum total size of the bodies that the process
            reads or forwards at the same time.
        head_bytes: Maximum memory that clients' request heads take at the
            same time, as much for frames of other nodes, and half of it
            for answers that clients have not taken.
        client_connections: Maximum number of clients' connections; other
            nodes may have half as many.
        bodies: Maximum number of bodies that other nodes send here at
            the same time. More of them would saturate the link and delay
            all other messages on it.
    """

    overhead_bytes: int = 64 * 1024
    foreign_answers: int = 4
    answer_bytes: int = 16 * 1024 * 1024
    frame_bytes: int = 24 * 1024 * 1024
    unsent_bytes: int = 8 * 1024 * 1024
    held_bytes: int = 64 * 1024 * 1024
    head_bytes: int = 32 * 1024 * 1024
    client_connections: int = 8_192
    bodies: int = 2


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class TenantSettings:
    """Bounds that hold for tenants over all nodes together.

    Attributes:
        revoke_s: Time in seconds after which no request with a revoked API
            key may be served by any node; 0 if there is no such bound.
        quota_window_s: Length in seconds of the window in which the
            requests of a tenant are counted.
        quota_overshoot: Fraction by which the requests in a window may
            exceed the tenant's limit.
        quota_slack: Requests in a window in addition to that.
    """

    revoke_s: float = 0.0
    quota_window_s: float = 5.0
    quota_overshoot: float = 0.1
    quota_slack: float = 20.0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ColdSettings:
    """Bounds on the requests that a cold target gets.

    Attributes:
        overshoot: Factor by which the requests in one second may exceed
            the rate that the service's cold targets take.
        slack: Requests in one second in addition to that.
        named: Whether the platform names these bounds. A node without a
            configuration then assumes that its target's service has one.
    """

    overshoot: float = 1.5
    slack: float = 8.0
    named: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class NodeSettings:
    """All settings of a node.

    Attributes:
        node: Unique id of the node.
        data_centre: Data centre of the node, such as ``"lipno"``.
        region: Region of the data centre.
        regions: Region of each data centre, by its name.
        seeds: Relay addresses of nodes to contact if the log is
            unavailable at start.
        advertise: Addresses announced to other nodes, such as those of a
            gateway that translates addresses in front of this node.
        log_level: ``DEBUG``, ``INFO``, ``WARNING`` or ``ERROR``.
        tick_s: Interval of periodic work, in seconds.
    """

    node: str
    data_centre: str
    addresses: AddressSettings
    log: LogSettings
    region: str = "main"
    regions: dict[str, str] = dataclasses.field(default_factory=dict)
    seeds: tuple[str, ...] = ()
    advertise: AdvertiseSettings = AdvertiseSettings()
    lease: LeaseSettings = LeaseSettings()
    checkpoint: CheckpointSettings = CheckpointSettings()
    relay: RelaySettings = RelaySettings()
    rollout: RolloutSettings = RolloutSettings()
    calls: CallSettings = CallSettings()
    reads: ReadSettings = ReadSettings()
    tenants: TenantSettings = TenantSettings()
    cold: ColdSettings = ColdSettings()
    log_level: str = "INFO"
    tick_s: float = 0.1
