"""The platform's settings file, decoded into a node's settings."""

import dataclasses
import pathlib

import msgspec

from arbutusstall import _files
from arbutusstall import _settings
from arbutusstall import errors
from arbutusstall.platform import durations

FILE_VARIABLE = "ARBUTUSSTALL_NODE_FILE"

_DEFAULT_RETENTION = "20s"
_RESERVED_DESCRIPTORS = 400
# Fraction of the descriptors that clients' connections may take.
_CLIENT_FRACTION = 0.5
_MIN_CLIENT_CONNECTIONS = 64
_MAX_MISSED_HEARTBEATS = 4.0
# Checkpoints written within the store's retention time of a record; see
# `_settings.CheckpointSettings`.
_CHECKPOINTS_PER_RETENTION = 4.0
# Time within which the platform's readiness checks notice a stopping node.
_MAX_NOTICE_S = 2.2
# Part of the platform's grace period that is reserved for the process to exit.
_GRACE_MARGIN_S = 0.6
_RETRY_BUDGET_FRACTION = 0.75
# In addition to the ratio, all nodes together share one allowance of retries.
_RETRY_BURST = 2.0
_METRICS_PORT = 9464
# Fractions of the machine's memory.
_HELD_FRACTION = 0.25
_HEAD_FRACTION = 0.125
_ANSWER_FRACTION = 0.06
_FRAME_FRACTION = 0.09
_BYTES_PER_MB = 1_000_000
# Each call to the store is charged for, and a new configuration has several
# seconds to come into force.
_MIN_READ_INTERVAL_S = 0.6


class _Listen(msgspec.Struct, frozen=True):
    # For requests of the clients and of the target on this machine.
    outbound: str
    # For the platform's readiness checks.
    ready: str
    # For heartbeats of the target on this machine.
    control: str


class _Limits(msgspec.Struct, frozen=True, rename="camel"):
    max_fds: int = 4_096
    memory_mb: int = 300


class _Store(msgspec.Struct, frozen=True, rename="camel"):
    address: str
    keep: str = _DEFAULT_RETENTION


class _File(msgspec.Struct, frozen=True, rename="camel"):
    node_id: str
    ip: str
    zone: str
    region: str
    # First and last port of the range for traffic between nodes.
    internal_ports: tuple[int, int]
    heartbeat: str
    # Service of the target on this machine.
    service: str
    listen: _Listen
    platform: _Store
    limits: _Limits = _Limits()
    metrics_port: int = _METRICS_PORT
    # Whether the whole system starts for the first time.
    first_start: bool = False
    # Region of each zone.
    zones: dict[str, str] = {}
    # Further limits, each as ``name=value``.
    bounds: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PlatformSettings:
    """A node's settings and those of the platform's adapter.

    Attributes:
        service: Service of the local target.
        ready_address: Listen address for the platform's readiness checks.
        control_address: Listen address for heartbeats of the target.
        target_silent_s: Time without a heartbeat after which the target
            is considered dead.
        first_process: Whether no earlier process of the node existed.
        notice_s: Time within which the platform notices that a node is
            no longer ready. A stopping node still accepts requests for
            this time.
        grace_s: Time from the start of the stop until the node has to
            have stopped.
    """

    node: _settings.NodeSettings
    service: str
    ready_address: str
    control_address: str
    target_silent_s: float
    first_process: bool
    notice_s: float
    grace_s: float


def load(path: pathlib.Path) -> PlatformSettings:
    """Read and check the settings file at ``path``.

    Raises:
        InvalidFile: The file is missing, malformed or fails a check.
    """
    return decode(_files.read(path), str(path))


def decode(data: bytes, name: str) -> PlatformSettings:
    """Decode the content of the settings file ``name``.

    Raises:
        InvalidFile: As for `load`.
    """
    try:
        file = msgspec.toml.decode(data, type=_File)
        return _platform_settings(file)
    except (msgspec.MsgspecError, ValueError) as exc:
        raise errors.InvalidFile(
            step="settings.decode", peer=name, reason=str(exc)
        ) from exc


def _platform_settings(file: _File) -> PlatformSettings:
    bounds = dict(text.split("=", 1) for text in file.bounds)
    grace_s = durations.seconds(bounds.get("grace", "6s"))
    return PlatformSettings(
        node=_node_settings(file, bounds),
        service=file.service,
        ready_address=file.listen.ready,
        control_address=file.listen.control,
        target_silent_s=durations.seconds(file.heartbeat)
        * _MAX_MISSED_HEARTBEATS,
        first_process=file.first_start,
        notice_s=min(_MAX_NOTICE_S, grace_s / 2),
        grace_s=grace_s - _GRACE_MARGIN_S,
    )


def _node_settings(
    file: _File, bounds: dict[str, str]
) -> _settings.NodeSettings:
    first_port = file.internal_ports[0]
    node_address = f"{file.ip}:{first_port}"
    retention_s = durations.seconds(file.platform.keep)
    retry_ratio = float(bounds.get("retryBudgetRatio", "0.2"))
    return _settings.NodeSettings(
        node=file.node_id,
        data_centre=file.zone,
        region=file.region,
        regions={**file.zones, file.zone: file.region},
        addresses=_settings.AddressSettings(
            callers=file.listen.outbound,
            inbound=node_address,
            relay=node_address,
            admin=f"{file.ip}:{file.metrics_port}",
        ),
        log=_settings.LogSettings(
            url=f"http://{file.platform.address}",
            request_timeout_s=1.0,
            poll_s=2.5,
            read_gap_s=_MIN_READ_INTERVAL_S,
            retry_cap_s=0.5,
        ),
        lease=_settings.LeaseSettings(renew_s=2.0, expire_s=5.0),
        checkpoint=_settings.CheckpointSettings(
            every_s=retention_s / _CHECKPOINTS_PER_RETENTION
        ),
        relay=_settings.RelaySettings(
            roots=1,
            heartbeat_s=0.5,
            silent_s=1.5,
            root_renew_s=3.0,
            root_expire_s=7.5,
            refresh_s=2.0,
            expire_s=6.0,
            forget_s=20.0,
            retry_cap_s=1.0,
            detached_readers=64,
            apply_s=durations.seconds(bounds.get("configApply", "0ms")),
        ),
        rollout=_settings.RolloutSettings(watch_s=2.0),
        reads=_read_settings(file.limits),
        tenants=_tenant_settings(bounds),
        calls=_settings.CallSettings(
            slots=1,
            connections=max(64, file.limits.max_fds - _RESERVED_DESCRIPTORS),
            queue=256,
            queue_ms=1_500,
            horizon_ms=10_000,
            remembered=2_000,
            remembered_bytes=1_500_000,
            retry_burst=_RETRY_BURST,
            retry_share=retry_ratio * _RETRY_BUDGET_FRACTION,
            limit_concurrency=bounds.get("concurrencyLimit", "on") != "off",
        ),
        cold=_cold_settings(bounds),
    )


def _cold_settings(bounds: dict[str, str]) -> _settings.ColdSettings:
    known = _settings.ColdSettings()
    return _settings.ColdSettings(
        overshoot=float(bounds.get("coldOvershoot", known.overshoot)),
        slack=float(bounds.get("coldSlack", known.slack)),
        named="coldOvershoot" in bounds or "coldSlack" in bounds,
    )


def _tenant_settings(bounds: dict[str, str]) -> _settings.TenantSettings:
    is_strict = bounds.get("strictRevoke", "false") == "true"
    return _settings.TenantSettings(
        revoke_s=durations.seconds(bounds.get("revoke", "5000ms"))
        if is_strict
        else 0.0,
        quota_window_s=durations.seconds(bounds.get("quotaWindow", "5s")),
        quota_overshoot=float(bounds.get("quotaOvershoot", "0.1")),
        quota_slack=float(bounds.get("quotaSlack", "20")),
    )


def _read_settings(limits: _Limits) -> _settings.ReadSettings:
    memory_bytes = limits.memory_mb * _BYTES_PER_MB
    return _settings.ReadSettings(
        answer_bytes=int(memory_bytes * _ANSWER_FRACTION),
        frame_bytes=int(memory_bytes * _FRAME_FRACTION),
        held_bytes=int(memory_bytes * _HELD_FRACTION),
        head_bytes=int(memory_bytes * _HEAD_FRACTION),
        client_connections=max(
            _MIN_CLIENT_CONNECTIONS, int(limits.max_fds * _CLIENT_FRACTION)
        ),
    )
