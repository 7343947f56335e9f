"""What the platform and the target ask a node for."""

import asyncio
import logging
from typing import Protocol
import urllib.parse

import msgspec

from arbutusstall._proxy import http_messages
from arbutusstall._proxy import http_server
from arbutusstall._systems import announcements
from arbutusstall.platform import durations

LOG = logging.getLogger(__name__)

_OK = 200
_UNAVAILABLE = 503
_INVALID = 400
_NOT_FOUND = 404
_INSTANCES = "/instances/"
_DRAINING = "draining"
_STATES = frozenset({"ready", _DRAINING})
_JSON = (("Content-Type", "application/json"),)


class Node(Protocol):
    """The parts of a node that are used here."""

    @property
    def is_ready(self) -> bool:
        """Whether callers may be sent here."""
        ...

    async def announce(self, announcement: announcements.Announcement) -> None:
        """Take a heartbeat of the target in."""
        ...

    async def leave(self, instance: str) -> None:
        """Note that the target ends."""
        ...


class _Info(msgspec.Struct, frozen=True, rename="camel"):
    service: str
    version: str
    slots: int


class _Status(msgspec.Struct, frozen=True, rename="camel"):
    state: str
    sequence: int
    cold_remaining: str = "0ms"


class _Heartbeat(msgspec.Struct, frozen=True, rename="camel"):
    address: str
    info: _Info
    status: _Status
    # Start of the target, milliseconds since the epoch.
    born: int = 0


class Ready:
    """Tells the platform whether the node takes callers."""

    def __init__(self, node: Node) -> None:
        self._node = node

    def handle(self, exchange: http_server.Exchange) -> None:
        """Answer one question."""
        status = _OK if self._node.is_ready else _UNAVAILABLE
        exchange.answer(http_messages.Response(status=status))


class Heartbeats:
    """Takes the target's heartbeats and its leave."""

    def __init__(self, node: Node) -> None:
        self._node = node
        self._tasks: set[asyncio.Task[None]] = set()

    def handle(self, exchange: http_server.Exchange) -> None:
        """Answer one heartbeat."""
        task = asyncio.get_running_loop().create_task(self._answer(exchange))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _answer(self, exchange: http_server.Exchange) -> None:
        request = exchange.request
        path = request.target.partition("?")[0]
        instance = urllib.parse.unquote(path.removeprefix(_INSTANCES))
        status = _NOT_FOUND
        if path.startswith(_INSTANCES) and instance:
            if request.method == "PUT":
                status = await self._announce(instance, request.body)
            elif request.method == "DELETE":
                await self._node.leave(instance)
                status = _OK
        body = b"{}" if status == _OK else b""
        exchange.answer(
            http_messages.Response(status=status, headers=_JSON, body=body)
        )

    async def _announce(self, instance: str, body: bytes) -> int:
        try:
            announcement = _decode(instance, body)
        except (msgspec.MsgspecError, UnicodeDecodeError, ValueError) as exc:
            LOG.warning(
                {
                    "event": "heartbeat-refused",
                    "target": instance,
                    "reason": str(exc),
                }
            )
            return _INVALID
        await self._node.announce(announcement)
        return _OK


def _decode(instance: str, body: bytes) -> announcements.Announcement:
    found = msgspec.json.decode(body, type=_Heartbeat)
    if found.status.state not in _STATES:
        raise ValueError(f"state {found.status.state!r}")
    return announcements.Announcement(
        instance=instance,
        service=found.info.service,
        version=found.info.version,
        address=found.address,
        slots=found.info.slots,
        sequence=found.status.sequence,
        draining=found.status.state == _DRAINING,
        born_ms=found.born,
        cold_s=durations.seconds(found.status.cold_remaining),
    )
