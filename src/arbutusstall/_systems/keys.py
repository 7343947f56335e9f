"""Grants each Idempotency-Key to one call at a time.

The owner of a key is a node, by rendezvous hash over the nodes beside a
service's endpoints. It remembers which call the key was granted to, for
as long as keys are honoured. It grants nothing that an earlier owner
might have granted without its knowledge.
"""

import collections
from collections import abc
import dataclasses
import enum

import xxhash

from arbutusstall import _effects
from arbutusstall._tables import members
from arbutusstall._wire import messages

_MAX_KEYS = 50_000
_LOST_MS = 3_600_000
_OWNING_STATES = frozenset(
    {members.MemberState.SERVING, members.MemberState.LEAVING}
)


class Ownership(enum.Enum):
    """Whether a node may grant keys that it does not know.

    Attributes:
        SETTLED: No other node can have granted the key.
        UNSETTLED: Another one may have, or this one before a restart.
        NOT_OWNER: Another node owns the key.
    """

    SETTLED = "settled"
    UNSETTLED = "unsettled"
    NOT_OWNER = "not owner"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _Owners:
    nodes_by_service: abc.Mapping[str, frozenset[str]]
    since_ms: int


def owner(service: str, key: str, nodes: abc.Iterable[str]) -> str:
    """Return the node that owns ``key``, empty if there is none."""
    seed = xxhash.xxh3_64_intdigest(f"{service}\0{key}".encode())
    return max(
        nodes,
        key=lambda node: xxhash.xxh3_64_intdigest(node.encode(), seed),
        default="",
    )


def owners(view: _effects.View, service: str) -> frozenset[str]:
    """Return the nodes that own the keys of ``service``."""
    return frozenset(
        row.node
        for row in view.members_by_service.get(service, ())
        if row.state in _OWNING_STATES
    )


class KeyTable:
    """Keys granted by one incarnation of a node; not thread-safe.

    Args:
        node: The own node.
        horizon_ms: For how long a key is honoured.
    """

    def __init__(self, node: str, horizon_ms: int) -> None:
        self._node = node
        self._horizon_ms = horizon_ms
        self._grants_by_key: collections.OrderedDict[
            tuple[str, str], messages.KeyGrant
        ] = collections.OrderedDict()
        self._history: collections.deque[_Owners] = collections.deque()
        self._lost_ms_by_node: dict[tuple[str, str], int] = {}
        self._leaving: frozenset[tuple[str, str]] = frozenset()

    def __len__(self) -> int:
        return len(self._grants_by_key)

    def update_owners(self, view: _effects.View, now_ms: int) -> None:
        """Note which nodes own keys from now on."""
        nodes = {
            service: owners(view, service)
            for service in view.members_by_service
        }
        self._note_lost(view, nodes, now_ms)
        if self._history and self._history[-1].nodes_by_service == nodes:
            return
        self._history.append(_Owners(nodes_by_service=nodes, since_ms=now_ms))
        limit_ms = now_ms - self._horizon_ms
        while len(self._history) > 1 and self._history[1].since_ms <= limit_ms:
            self._history.popleft()

    def ownership(self, service: str, key: str, now_ms: int) -> Ownership:
        """Return whether this node may grant a key it does not know."""
        if not self._history:
            return Ownership.UNSETTLED
        now = self._history[-1].nodes_by_service.get(service, frozenset())
        if owner(service, key, now) != self._node:
            return Ownership.NOT_OWNER
        if self._history[0].since_ms > now_ms - self._horizon_ms:
            return Ownership.UNSETTLED
        for entry in self._valid(now_ms):
            nodes = entry.nodes_by_service.get(service, frozenset())
            if owner(service, key, nodes) != self._node:
                return Ownership.UNSETTLED
        # Two sides of a cut cannot both hold a majority.
        if len(now) <= self._lost(service, now_ms):
            return Ownership.UNSETTLED
        return Ownership.SETTLED

    def claim(
        self, claim: messages.KeyClaim, now_ms: int
    ) -> messages.KeyClaimed:
        """Grant the key to the claiming call, or tell who has it."""
        self._expire(now_ms)
        name = (claim.service, claim.key)
        known = self._grants_by_key.get(name)
        if known is not None and known.call_id != claim.replaces:
            if known.fingerprint != claim.grant.fingerprint:
                return messages.KeyClaimed(state=messages.KeyState.MISUSED)
            return messages.KeyClaimed(
                state=messages.KeyState.TAKEN, grant=known
            )
        if known is None:
            ownership = self.ownership(claim.service, claim.key, now_ms)
            full = len(self._grants_by_key) >= _MAX_KEYS
            if ownership is not Ownership.SETTLED or full:
                return messages.KeyClaimed(state=messages.KeyState.UNSETTLED)
        self._grants_by_key[name] = dataclasses.replace(
            claim.grant, granted_ms=now_ms
        )
        self._grants_by_key.move_to_end(name)
        return messages.KeyClaimed(state=messages.KeyState.GRANTED)

    def _note_lost(
        self,
        view: _effects.View,
        nodes_by_service: abc.Mapping[str, frozenset[str]],
        now_ms: int,
    ) -> None:
        present = {
            (service, node)
            for service, nodes in nodes_by_service.items()
            for node in nodes
        }
        for name in present:
            self._lost_ms_by_node.pop(name, None)
        if self._history:
            for service, nodes in self._history[-1].nodes_by_service.items():
                gone = {(service, node) for node in nodes} - present
                for name in gone - self._leaving:
                    self._lost_ms_by_node[name] = now_ms
        self._leaving = frozenset(
            (service, row.node)
            for service, rows in view.members_by_service.items()
            for row in rows
            if row.state is members.MemberState.LEAVING
        )

    def _lost(self, service: str, now_ms: int) -> int:
        return sum(
            name[0] == service and lost_ms > now_ms - _LOST_MS
            for name, lost_ms in self._lost_ms_by_node.items()
        )

    def _valid(self, now_ms: int) -> abc.Iterator[_Owners]:
        limit_ms = now_ms - self._horizon_ms
        entries = list(self._history)
        for index, entry in enumerate(entries):
            ended = index + 1 < len(entries) and (
                entries[index + 1].since_ms <= limit_ms
            )
            if not ended:
                yield entry

    def _expire(self, now_ms: int) -> None:
        limit_ms = now_ms - self._horizon_ms
        while self._grants_by_key:
            grant = next(iter(self._grants_by_key.values()))
            if grant.granted_ms >= limit_ms:
                return
            self._grants_by_key.popitem(last=False)
