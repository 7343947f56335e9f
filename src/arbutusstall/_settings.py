"""Settings of a node, decoded from JSON into frozen data classes."""

import dataclasses
import pathlib

from arbutusstall import _files


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class AddressSettings:
    """Where a node listens, each ``IP:PORT``.

    Attributes:
        callers: HTTP for callers (the outbound proxy).
        inbound: gRPC for calls from other nodes.
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
    """Shape and times of the distribution tree; times in seconds."""

    roots: int = 3
    fan_out: int = 16
    refresh_s: float = 30.0
    expire_s: float = 100.0
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
        min_calls: Calls on a route that are enough evidence for a step.
        few_calls: Calls that are enough after ``patience_s``.
        patience_s: Time after which less evidence is enough.
        warm_up_s: Time in which an endpoint's slow answers are ignored.
        error_ratio: Tolerated error rate as a multiple of the old
            version's.
        error_floor: Error rate that is tolerated in any case, 0 to 1.
        slow_ratio: As ``error_ratio``, for slow answers.
        slow_floor: As ``error_floor``, for slow answers.
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
    false_rollbacks: float = 0.01
    headroom: float = 0.8
    probe_percent: float = 20.0
    hold_s: float = 1.0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CallSettings:
    """Limits of the call path; times in milliseconds."""

    slots: int = 20
    connections: int = 130
    queue: int = 40
    default_deadline_ms: int = 5_000


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
