"""Reads what the platform's operator publishes and reports rollouts."""

from collections import abc
import dataclasses
import logging
import threading
from typing import Annotated
from typing import TypeVar

import msgspec

from arbutusstall import _clock
from arbutusstall import _effects
from arbutusstall import _values
from arbutusstall import errors
from arbutusstall._log import source as sources
from arbutusstall._tables import agreed
from arbutusstall._tables import versions
from arbutusstall._tenants import directory
from arbutusstall.platform import durations
from arbutusstall.platform import evacuations
from arbutusstall.platform import store as stores

LOG = logging.getLogger(__name__)

_OPERATOR_TOPIC = "keyed.op"
_STATUS_TOPIC = "keyed.status"
_CONFIGURATION_KEY = "config"
_ROLLOUT_PREFIX = "rollout/"
_IDEMPOTENT_ROUTE = "idempotent"
# A node that reads the topic has the answer by then.
_FIRST_READ_WAIT_S = 0.2

_NAMES_BY_STATE = {
    agreed.RolloutState.RUNNING: "running",
    agreed.RolloutState.DONE: "completed",
    agreed.RolloutState.ROLLED_BACK: "rolled_back",
}
_STATES_BY_NAME = {name: state for state, name in _NAMES_BY_STATE.items()}

_Path = Annotated[str, msgspec.Meta(pattern=r"\A[\x21-\x7e]*\Z")]
# Keys are sent in a header; msgspec's errors do not quote the value.
_ApiKey = Annotated[str, msgspec.Meta(pattern=r"\A[\x21-\x7e]+\Z")]

T = TypeVar("T")
_SourceEvent = (
    _effects.Published | _effects.Ordered | _effects.EvacuationChanged
)


class _SplitPart(msgspec.Struct, frozen=True, rename="camel"):
    service: _values.Name
    weight: _values.Weight


class _Route(msgspec.Struct, frozen=True, rename="camel"):
    host: _values.Name
    path_prefix: str
    route_type: str
    timeout: str
    target_latency: str = "0ms"
    priority: _values.Count = 0
    service: _values.Name = ""
    traffic_split: tuple[_SplitPart, ...] = ()
    max_attempts: _values.Count = 0
    auth_exempt: bool = False
    allowed_regions: tuple[_values.Name, ...] = ()


class _Service(msgspec.Struct, frozen=True, rename="camel"):
    max_connections: _values.Count = 0
    health_path: _Path = ""
    # Requests a second that a cold target takes; 0 for no bound.
    cold_per_s: _values.Weight = 0.0


class _Tenant(msgspec.Struct, frozen=True, rename="camel"):
    api_keys: tuple[_ApiKey, ...] = ()
    priority: _values.Count | None = None
    rate_per_s: _values.Weight = 0.0
    burst_size: _values.Weight = 0.0
    allowed_regions: tuple[_values.Name, ...] = ()


class _Limits(msgspec.Struct, frozen=True, rename="camel"):
    max_header_bytes: _values.Number = 16_384
    max_body_bytes: _values.Number = 67_108_864
    header_timeout: str = "3000ms"
    idle_timeout: str = "15000ms"


class _Configuration(msgspec.Struct, frozen=True, rename="camel"):
    version: int
    routes: dict[str, _Route] = {}
    services: dict[_values.Name, _Service] = {}
    limits: _Limits = _Limits()
    tenants: dict[_values.Token, _Tenant] = {}


class _Order(msgspec.Struct, frozen=True, rename="camel"):
    service: _values.Name
    target_version: _values.Name
    # Time from the order until all traffic is to be on the version.
    duration: str


class _Status(msgspec.Struct, frozen=True, rename="camel"):
    state: str
    target_version: _values.Name


class OperatorSource:
    """Implements `sources.Source` on the topics of the operator."""

    def __init__(self, store: stores.Store) -> None:
        self._store = store
        self._changed = threading.Condition()
        # None until a configuration has been looked for.
        self._health_paths: abc.Mapping[str, str] | None = None

    def read_all(self) -> sources.SourceRead:
        """Return the newest configuration and all orders.

        An order whose rollout was reported as ended carries its outcome.

        Raises:
            LogUnavailable: The store did not answer.
        """
        sent_s = _clock.steady_s()
        newest = self._store.read_newest(_OPERATOR_TOPIC)
        has_orders = any(
            record.key.startswith(_ROLLOUT_PREFIX) for record in newest.records
        )
        statuses = self._read_statuses(newest.era) if has_orders else {}
        decoded = [
            _decode_event(record, statuses)
            for record in newest.records
            if not evacuations.is_request(record)
        ]
        self._keep_health_paths(decoded, otherwise={})
        return sources.SourceRead(
            events=_in_era(decoded, newest.era),
            position=newest.next_offset,
            sent_s=sent_s,
            era=newest.era,
            evacuations=evacuations.decode_all(
                newest.records, newest.next_offset, newest.era
            ),
        )

    def read_from(self, position: int, wait_s: float) -> sources.SourceRead:
        """Return what was published from ``position`` on.

        Args:
            wait_s: Maximum time to wait for something new, in seconds.

        Raises:
            LogUnavailable: The store did not answer.
            PositionLost: The records at the position have expired.
        """
        sent_s = _clock.steady_s()
        records = self._store.read(_OPERATOR_TOPIC, position, wait_s)
        if records.offset != position:
            raise errors.PositionLost(
                step="source.read", peer=_OPERATOR_TOPIC, reason="expired"
            )
        decoded = []
        for index, value in enumerate(records.values):
            record = stores.decode_keyed(value, records.offset + index)
            if record is not None:
                decoded.append(_decode_event(record, {}))
        self._keep_health_paths(decoded)
        end = position + len(records.values)
        return sources.SourceRead(
            events=_in_era(decoded, records.era),
            position=end,
            era=records.era,
            # An answer may hold only a part of the records.
            sent_s=sent_s if end >= records.next_offset else None,
        )

    def health_path(self, service: str) -> str:
        """Return the path of the health check of a service's targets.

        It is empty if the configuration that was read last names none. A
        short wait for the first read comes before a read of its own: a node
        that gets its configuration from others does not read the topic.

        Raises:
            LogUnavailable: The store did not answer.
        """
        with self._changed:
            self._changed.wait_for(
                lambda: self._health_paths is not None, _FIRST_READ_WAIT_S
            )
            known = self._health_paths
        if known is None:
            self.read_all()
            known = self._health_paths
        return known.get(service, "") if known is not None else ""

    def report(self, report: _effects.ReportRollout) -> None:
        """Store the state of a rollout for the operator.

        The state is stored only if the topic is as it was read before. So
        a call without an answer cannot take effect after a newer report.

        Raises:
            LogUnavailable: The store did not answer, or the topic has
                changed; the state may have been stored nevertheless.
        """
        status = _Status(
            state=_NAMES_BY_STATE[report.state], target_version=report.version
        )
        key = f"{_ROLLOUT_PREFIX}{report.service}"
        value = stores.encode_keyed(key, msgspec.json.encode(status))
        newest = self._store.read_newest(_STATUS_TOPIC)
        self._store.append_at(_STATUS_TOPIC, [value], newest)

    def _keep_health_paths(
        self,
        decoded: abc.Iterable[object],
        otherwise: abc.Mapping[str, str] | None = None,
    ) -> None:
        """Keep the paths of the newest configuration that was decoded."""
        paths = otherwise
        for event in decoded:
            if isinstance(event, _effects.Published):
                paths = event.health_paths_by_service
        if paths is not None:
            with self._changed:
                self._health_paths = paths
                self._changed.notify_all()

    def _read_statuses(self, era: int) -> dict[str, _Status]:
        statuses = {}
        newest = self._store.read_newest(_STATUS_TOPIC)
        if newest.era != era:
            raise errors.LogUnavailable(
                step="source.read",
                peer=_STATUS_TOPIC,
                reason=f"era {newest.era} after a read in {era}",
            )
        for record in newest.records:
            try:
                status = _decode(record, _Status)
            except errors.WireError as exc:
                _log_skipped(record, exc.reason)
                continue
            statuses[record.key] = status
        return statuses


def _in_era(
    decoded: abc.Iterable[_SourceEvent | None], era: int
) -> tuple[_SourceEvent, ...]:
    """Return the events; offsets are valid in the store's era only."""
    events = []
    for event in decoded:
        if isinstance(event, _effects.Ordered) and era:
            order_id = f"{event.order_id}-{era}"
            event = dataclasses.replace(event, order_id=order_id)
        elif isinstance(event, _effects.EvacuationChanged):
            event = dataclasses.replace(event, era=era)
        if event is not None:
            events.append(event)
    return tuple(events)


def _decode_event(
    record: stores.KeyedRecord, statuses: dict[str, _Status]
) -> _SourceEvent | None:
    if evacuations.is_request(record):
        return evacuations.decode(record)
    if not record.value:
        return None
    try:
        if record.key == _CONFIGURATION_KEY:
            return _decode_configuration(record)
        if record.key.startswith(_ROLLOUT_PREFIX):
            return _decode_order(record, statuses.get(record.key))
    except errors.WireError as exc:
        _log_skipped(record, exc.reason)
    except ValueError as exc:
        _log_skipped(record, str(exc))
    return None


def _log_skipped(record: stores.KeyedRecord, reason: str) -> None:
    LOG.warning(
        {
            "event": "record-skipped",
            "key": record.key,
            "offset": record.offset,
            "reason": reason,
        }
    )


def _decode(record: stores.KeyedRecord, kind: type[T]) -> T:
    return _values.decode_json(record.value, kind, step="operator.decode")


def _decode_configuration(record: stores.KeyedRecord) -> _effects.Published:
    configuration = _decode(record, _Configuration)
    return _effects.Published(
        source_version=versions.checked_source(configuration.version),
        services=tuple(
            agreed.Service(name=name, max_connections=item.max_connections)
            for name, item in configuration.services.items()
        ),
        routes=tuple(
            _decode_route(item) for item in configuration.routes.values()
        ),
        limits=agreed.CallerLimits(
            header_bytes=configuration.limits.max_header_bytes,
            body_bytes=configuration.limits.max_body_bytes,
            header_timeout_ms=durations.milliseconds(
                configuration.limits.header_timeout
            ),
            idle_timeout_ms=durations.milliseconds(
                configuration.limits.idle_timeout
            ),
        ),
        tenants=_decode_tenants(configuration.tenants),
        access_by_prefix=_decode_access(configuration.routes.values()),
        cold_rates_by_service={
            name: item.cold_per_s
            for name, item in configuration.services.items()
            if item.cold_per_s
        },
        health_paths_by_service={
            name: item.health_path
            for name, item in configuration.services.items()
            if item.health_path
        },
    )


def _decode_access(
    items: abc.Iterable[_Route],
) -> dict[str, agreed.RouteAccess]:
    # Of two routes with the same prefix the last one is used, so a
    # restriction of the first, or its exemption, must not remain.
    access_by_prefix = {
        _route_prefix(item): agreed.RouteAccess(
            auth_exempt=item.auth_exempt, regions=item.allowed_regions
        )
        for item in items
    }
    return {
        prefix: access
        for prefix, access in access_by_prefix.items()
        if access != agreed.NO_RESTRICTIONS
    }


def _decode_tenants(
    items: abc.Mapping[str, _Tenant],
) -> tuple[agreed.Tenant, ...]:
    """Return the tenants with digests of their keys.

    Raises:
        ValueError: Two tenants share a key.
    """
    tenants = tuple(
        agreed.Tenant(
            name=name,
            key_digests=tuple(
                directory.key_digest(key) for key in item.api_keys
            ),
            priority=item.priority,
            rate_per_s=item.rate_per_s,
            burst=item.burst_size,
            regions=item.allowed_regions,
        )
        for name, item in items.items()
    )
    shared = directory.find_shared_key(tenants)
    if shared is not None:
        raise ValueError(f"tenants {shared[0]} and {shared[1]} share a key")
    return tenants


def _route_prefix(item: _Route) -> str:
    return item.host.lower() + item.path_prefix


def _decode_route(item: _Route) -> agreed.Route:
    split = tuple(
        agreed.ServiceWeight(service=part.service, weight=part.weight)
        for part in item.traffic_split
    )
    if not item.service and not split:
        raise ValueError(
            f"route {item.host}{item.path_prefix} names no service"
        )
    return agreed.Route(
        prefix=_route_prefix(item),
        service=item.service or split[0].service,
        timeout_ms=durations.milliseconds(item.timeout),
        idempotent=item.route_type == _IDEMPOTENT_ROUTE,
        strict=True,
        split=split,
        max_attempts=item.max_attempts,
        target_latency_ms=durations.milliseconds(item.target_latency),
        priority=item.priority,
    )


def _decode_order(
    record: stores.KeyedRecord, status: _Status | None
) -> _effects.Ordered:
    order = _decode(record, _Order)
    if record.key != f"{_ROLLOUT_PREFIX}{order.service}":
        raise ValueError(f"order for service {order.service!r}")
    outcome = agreed.RolloutState.RUNNING
    if status is not None and status.target_version == order.target_version:
        outcome = _STATES_BY_NAME.get(status.state, outcome)
    return _effects.Ordered(
        order_id=f"order-{record.offset}",
        service=order.service,
        version=order.target_version,
        duration_s=durations.seconds(order.duration),
        outcome=outcome,
    )
