"""Settings of a node as frozen data classes."""

import dataclasses


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
class AdvertiseSettings:
    """Addresses that others use, ``IP:PORT``, where they differ.

    An empty one is the same as in `AddressSettings`.
    """

    inbound: str = ""
    relay: str = ""
    admin: str = ""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LogSettings:
    """How to reach the platform log; times in seconds.

    Attributes:
        poll_s: Longest wait of a read for the next record. A silent
            connection is found after this and the request timeout.
        read_gap_s: Least time between the starts of two reads. Records
            that arrive within it are read together.
        append_bound_s: How long an append is repeated.
        pending_appends: Records that wait to be appended at most.
        answer_bytes: Most bytes of one answer.
    """

    url: str
    request_timeout_s: float = 2.0
    poll_s: float = 1.5
    read_gap_s: float = 0.0
    retry_base_s: float = 0.05
    retry_cap_s: float = 2.0
    append_bound_s: float = 60.0
    pending_appends: int = 256
    answer_bytes: int = 16 * 1024 * 1024


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LeaseSettings:
    """Times of the leader's lease in seconds."""

    renew_s: float = 1.0
    expire_s: float = 4.0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CheckpointSettings:
    """When the leader puts a checkpoint on the log.

    Attributes:
        every_s: Age of the newest one in seconds; at most a third of
            the time for which the log keeps records.
        every_records: Records after the newest one.
        chunk_bytes: Largest part of a checkpoint in one record.
        chunk_s: Time between groups of chunks in seconds.
        chunks_at_once: Chunks in one group.
    """

    every_s: float = 600.0
    every_records: int = 20_000
    chunk_bytes: int = 48 * 1024
    chunk_s: float = 0.5
    chunks_at_once: int = 4


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RelaySettings:
    """Shape and times of the distribution tree; times in seconds.

    Attributes:
        roots: Root positions of each data centre.
        fan_out: Children that a node admits.
        heartbeat_s: Interval of the heartbeats from parent to child;
            upwards and between roots it is three times as long.
        silent_s: A parent without any message for so long is replaced;
            for children and other roots it is three times as long.
        root_renew_s: Interval at which a root renews its position.
        root_expire_s: A position that was not renewed for so long, while
            the log answered, is claimed by others.
        refresh_s: Interval at which a node is reported alive.
        expire_s: A node not reported alive for so long is taken for
            dead.
        forget_s: The row of a dead node is removed after this time.
        join_rate: Joiners that a node admits per second.
        rows_per_s: Member rows sent over one link per second.
        detached_readers: Size of a data centre up to which each node
            reads the log itself while it has no parent.
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
    retry_base_s: float = 0.2
    retry_cap_s: float = 10.0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RolloutSettings:
    """Policy for moving traffic between versions.

    The defaults weigh speed and safety alike; see docs/design/0030 for
    the settings of each mesh.

    Attributes:
        first_percent: First share of a new version.
        step_s: Least time between two steps.
        growth: Factor by which a share grows from stage to stage.
        growth_max: Highest factor, when a rollout is behind its plan.
        control_percent: Share that the old versions keep, to compare
            with, until the goal is due.
        watch_s: Time that a rollout is watched near and at its goal.
        look_s: Interval at which outcome counts are compared.
        report_s: Interval at which outcome counts are reported.
        min_calls: Calls on a route that are enough for a step.
        few_calls: Calls that are enough after ``patience_s``.
        patience_s: Time after which fewer are enough.
        warm_up_s: Time in which an endpoint's slow answers are ignored.
        error_ratio: Tolerated error rate as a multiple of the old
            version's.
        error_floor: Error rate that is tolerated in any case, 0 to 1.
        slow_ratio: As ``error_ratio``, for slow answers.
        slow_floor: As ``error_floor``, for slow answers.
        slow_least_ms: An answer within this time is never slow.
        false_rollbacks: Chance to roll a good version back.
        headroom: Part of the announced slots to plan with, 0 to 1.
        probe_percent: Progress to fall back to when a version seems bad
            and the old one gets too few calls to compare.
        hold_s: Time behind the plan after which a rollout counts as held.
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
        retry_burst: Retries that a node can save up for a service.
        key_horizon_ms: For how long an Idempotency-Key is honoured.
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


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ReadSettings:
    """Most bytes that a node takes from others.

    Attributes:
        overhead_bytes: What a target sends beside the body of an answer:
            status line, header lines, interim answers, trailers.
        foreign_answers: Answers to other requests that are dropped before
            the own one.
        answer_bytes: Body of a target's answer.
        frame_bytes: One message of another node.
        unsent_bytes: Messages that wait to be sent to another node.
        held_bytes: Bodies that the whole process reads or passes on at
            the same time.
        bodies: Bodies that other nodes send here at the same time. More
            would fill the link and delay everything else on it.
    """

    overhead_bytes: int = 64 * 1024
    foreign_answers: int = 4
    answer_bytes: int = 16 * 1024 * 1024
    frame_bytes: int = 24 * 1024 * 1024
    unsent_bytes: int = 8 * 1024 * 1024
    held_bytes: int = 64 * 1024 * 1024
    bodies: int = 2


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class NodeSettings:
    """Everything a node has to be told.

    Attributes:
        node: Unique id of the node.
        data_centre: Where it runs, such as ``"lipno"``.
        region: Region of the data centre.
        seeds: Relay addresses to ask when the log is out at start.
        advertise: Addresses told to others, such as those of a
            translating gateway before this node.
    """

    node: str
    data_centre: str
    addresses: AddressSettings
    log: LogSettings
    region: str = "main"
    seeds: tuple[str, ...] = ()
    advertise: AdvertiseSettings = AdvertiseSettings()
    lease: LeaseSettings = LeaseSettings()
    checkpoint: CheckpointSettings = CheckpointSettings()
    relay: RelaySettings = RelaySettings()
    rollout: RolloutSettings = RolloutSettings()
    calls: CallSettings = CallSettings()
    reads: ReadSettings = ReadSettings()
    log_level: str = "INFO"
    tick_s: float = 0.1
