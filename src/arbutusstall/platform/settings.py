"""The platform's settings file, decoded into a node's settings."""

import dataclasses
import pathlib

import msgspec

from arbutusstall import _files
from arbutusstall import _settings
from arbutusstall import errors
from arbutusstall.platform import durations

VARIABLE = "ARBUTUSSTALL_NODE_FILE"

_DEFAULT_KEEP = "20s"
_RESERVED_DESCRIPTORS = 400
_SILENT_HEARTBEATS = 4.0
# Checkpoints of the log per time for which the store keeps records.
_CHECKPOINTS_PER_KEEP = 4.0
_READY_QUESTIONS_S = 2.2
_GRACE_MARGIN_S = 0.6
_RETRY_BUDGET_PART = 0.75
# All nodes share one allowance beside the ratio.
_RETRY_BURST = 2.0
_METRICS_PORT = 9464
# Parts of the machine's memory.
_HELD_PART = 0.25
_ANSWER_PART = 0.06
_FRAME_PART = 0.09
_BYTES_PER_MB = 1_000_000
# Each call to the store is paid for, and a configuration has seconds.
_READ_GAP_S = 0.6


class _Listen(msgspec.Struct, frozen=True):
    # Where the clients and the target of this machine send requests.
    outbound: str
    ready: str
    # Where the target of this machine sends its heartbeats.
    control: str


class _Limits(msgspec.Struct, frozen=True, rename="camel"):
    max_fds: int = 4_096
    memory_mb: int = 300


class _Store(msgspec.Struct, frozen=True, rename="camel"):
    address: str
    keep: str = _DEFAULT_KEEP


class _File(msgspec.Struct, frozen=True, rename="camel"):
    node_id: str
    ip: str
    zone: str
    region: str
    # First and last of the ports for traffic between nodes.
    internal_ports: tuple[int, int]
    heartbeat: str
    # Service of the target on this machine.
    service: str
    listen: _Listen
    platform: _Store
    limits: _Limits = _Limits()
    metrics_port: int = _METRICS_PORT
    # Texts of the form ``name=value``.
    bounds: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PlatformSettings:
    """A node's settings and what the adapter needs beside them.

    Attributes:
        service: Service of the target beside the node.
        ready: Where the platform asks whether the node is ready.
        control: Where the target sends its heartbeats.
        target_silent_s: Time without a heartbeat after which the target
            is taken for dead.
        notice_s: Time in which the platform learns that a node is no
            longer ready.
        grace_s: Time within which a node that stops has to end.
    """

    node: _settings.NodeSettings
    service: str
    ready: str
    control: str
    target_silent_s: float
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
        found = msgspec.toml.decode(data, type=_File)
        return _settings_of(found)
    except (msgspec.MsgspecError, ValueError) as exc:
        raise errors.InvalidFile(
            step="settings.decode", peer=name, reason=str(exc)
        ) from exc


def _settings_of(found: _File) -> PlatformSettings:
    bounds = dict(text.split("=", 1) for text in found.bounds)
    grace_s = durations.seconds(bounds.get("grace", "6s"))
    return PlatformSettings(
        node=_node(found, bounds),
        service=found.service,
        ready=found.listen.ready,
        control=found.listen.control,
        target_silent_s=durations.seconds(found.heartbeat)
        * _SILENT_HEARTBEATS,
        notice_s=min(_READY_QUESTIONS_S, grace_s / 2),
        grace_s=grace_s - _GRACE_MARGIN_S,
    )


def _node(found: _File, bounds: dict[str, str]) -> _settings.NodeSettings:
    first = found.internal_ports[0]
    between_nodes = f"{found.ip}:{first}"
    keep_s = durations.seconds(found.platform.keep)
    retry_ratio = float(bounds.get("retryBudgetRatio", "0.2"))
    return _settings.NodeSettings(
        node=found.node_id,
        data_centre=found.zone,
        region=found.region,
        addresses=_settings.AddressSettings(
            callers=found.listen.outbound,
            inbound=between_nodes,
            relay=between_nodes,
            admin=f"{found.ip}:{found.metrics_port}",
        ),
        log=_settings.LogSettings(
            url=f"http://{found.platform.address}",
            request_timeout_s=1.0,
            poll_s=2.5,
            read_gap_s=_READ_GAP_S,
            retry_cap_s=0.5,
        ),
        lease=_settings.LeaseSettings(renew_s=2.0, expire_s=5.0),
        checkpoint=_settings.CheckpointSettings(
            every_s=keep_s / _CHECKPOINTS_PER_KEEP
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
        ),
        rollout=_settings.RolloutSettings(watch_s=2.0),
        reads=_reads(found.limits.memory_mb * _BYTES_PER_MB),
        calls=_settings.CallSettings(
            slots=1,
            connections=max(64, found.limits.max_fds - _RESERVED_DESCRIPTORS),
            queue=256,
            queue_ms=1_500,
            horizon_ms=10_000,
            remembered=2_000,
            remembered_bytes=1_500_000,
            retry_burst=_RETRY_BURST,
            retry_share=retry_ratio * _RETRY_BUDGET_PART,
        ),
    )


def _reads(memory_bytes: int) -> _settings.ReadSettings:
    return _settings.ReadSettings(
        answer_bytes=int(memory_bytes * _ANSWER_PART),
        frame_bytes=int(memory_bytes * _FRAME_PART),
        held_bytes=int(memory_bytes * _HELD_PART),
    )
