"""HTTP handlers for readiness checks and for heartbeats of the target."""

import logging
from typing import Protocol
import urllib.parse

import msgspec

from arbutusstall import _values
from arbutusstall import errors
from arbutusstall._proxy import background
from arbutusstall._proxy import http_messages
from arbutusstall._proxy import http_server
from arbutusstall._shell import failures
from arbutusstall._systems import announcements
from arbutusstall.platform import durations

LOG = logging.getLogger(__name__)

_OK = 200
_UNAVAILABLE = 503
_BAD_REQUEST = 400
_NOT_FOUND = 404
_INSTANCES_PATH = "/instances/"
_DRAINING = "draining"
_TARGET_STATES = frozenset({"ready", _DRAINING})
_JSON_HEADERS = (("Content-Type", "application/json"),)


class Node(Protocol):
    """The parts of `arbutusstall._proxy.node.Node` that are used here."""

    @property
    def is_ready(self) -> bool:
        """Whether callers may be sent here."""
        ...

    async def announce(self, announcement: announcements.Announcement) -> None:
        """Process a heartbeat of the target."""
        ...

    async def leave(self, instance: str) -> None:
        """Record that the target is leaving."""
        ...


class _Info(msgspec.Struct, frozen=True, rename="camel"):
    service: _values.Name
    version: _values.Name
    slots: _values.Slots


class _Status(msgspec.Struct, frozen=True, rename="camel"):
    state: str
    sequence: _values.Number
    cold_remaining: str = "0ms"


class _Heartbeat(msgspec.Struct, frozen=True, rename="camel"):
    address: _values.Address
    info: _Info
    status: _Status
    # Start time of the target in milliseconds since the epoch.
    born: _values.Number = 0


class ReadinessHandler:
    """Tells the platform whether the node accepts callers' requests."""

    def __init__(self, node: Node) -> None:
        self._node = node

    def handle(self, exchange: http_server.Exchange) -> None:
        """Answer one readiness check: 200 if ready, otherwise 503."""
        status = _OK if self._node.is_ready else _UNAVAILABLE
        exchange.answer(http_messages.Response(status=status))


class HeartbeatHandler:
    """Receives heartbeats of the target and the notice that it leaves.

    Args:
        service: Service of the target; a heartbeat for another service is
            refused, since it comes from another writer.
    """

    def __init__(self, node: Node, service: str) -> None:
        self._node = node
        self._service = service
        self._tasks = background.Tasks()

    def handle(self, exchange: http_server.Exchange) -> None:
        """Answer one heartbeat (PUT) or departure (DELETE)."""
        self._tasks.spawn(self._answer(exchange))

    async def _answer(self, exchange: http_server.Exchange) -> None:
        request = exchange.request
        path = request.target.partition("?")[0]
        status = _UNAVAILABLE
        with failures.Logged("heartbeat"):
            status = await self._process(request, path)
        body = b"{}" if status == _OK else b""
        exchange.answer(
            http_messages.Response(
                status=status, headers=_JSON_HEADERS, body=body
            )
        )

    async def _process(self, request: http_messages.Request, path: str) -> int:
        """Process a heartbeat or a departure; return the status."""
        instance = urllib.parse.unquote(path.removeprefix(_INSTANCES_PATH))
        if not path.startswith(_INSTANCES_PATH) or not instance:
            return _NOT_FOUND
        if request.method == "PUT":
            return await self._announce(instance, request.body)
        if request.method == "DELETE":
            return await self._leave(instance)
        return _NOT_FOUND

    async def _leave(self, instance: str) -> int:
        try:
            _values.check_name(instance)
        except ValueError as exc:
            _log_refused(instance, str(exc))
            return _BAD_REQUEST
        await self._node.leave(instance)
        return _OK

    async def _announce(self, instance: str, body: bytes) -> int:
        try:
            announcement = _decode(instance, body)
            self._check_service(announcement)
        except errors.WireError as exc:
            _log_refused(instance, exc.reason)
            return _BAD_REQUEST
        except ValueError as exc:
            _log_refused(instance, str(exc))
            return _BAD_REQUEST
        await self._node.announce(announcement)
        return _OK

    def _check_service(self, announcement: announcements.Announcement) -> None:
        if announcement.service != self._service:
            raise ValueError(f"service {announcement.service!r}")


def _log_refused(instance: str, reason: str) -> None:
    LOG.warning(
        {"event": "heartbeat-refused", "target": instance, "reason": reason}
    )


def _decode(instance: str, body: bytes) -> announcements.Announcement:
    heartbeat = _values.decode_json(body, _Heartbeat, step="heartbeat.decode")
    if heartbeat.status.state not in _TARGET_STATES:
        raise ValueError(f"unknown state {heartbeat.status.state!r}")
    return announcements.Announcement(
        instance=_values.check_name(instance),
        service=heartbeat.info.service,
        version=heartbeat.info.version,
        address=heartbeat.address,
        slots=heartbeat.info.slots,
        sequence=heartbeat.status.sequence,
        draining=heartbeat.status.state == _DRAINING,
        born_ms=heartbeat.born,
        cold_s=durations.seconds(heartbeat.status.cold_remaining),
    )
