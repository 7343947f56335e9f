"""Grants each Idempotency-Key to one call at a time.

The owner of a key is one of the nodes that serve the service, chosen by
rendezvous hashing. It stores which call holds the key until the key
expires. It grants no key that an earlier owner may have granted without
its knowledge.
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
# A node that disappeared without announcing its departure may still own
# keys on the other side of a network partition. It counts as lost for this
# long.
_LOST_RETENTION_MS = 3_600_000
_OWNING_STATES = frozenset(
    {members.MemberState.SERVING, members.MemberState.LEAVING}
)


class Ownership(enum.Enum):
    """Whether a node may grant a key of which it has no record.

    Attributes:
        SETTLED: This node owns the key, and no other node can have
            granted it.
        UNSETTLED: Another node may have granted the key, or this node
            may have done so before a restart.
        NOT_OWNER: Another node owns the key.
    """

    SETTLED = "settled"
    UNSETTLED = "unsettled"
    NOT_OWNER = "not owner"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _OwnerSets:
    nodes_by_service: abc.Mapping[str, frozenset[str]]
    since_ms: int


def owner(service: str, key: str, nodes: abc.Iterable[str]) -> str:
    """Return the node that owns ``key``, empty if ``nodes`` is empty."""
    seed = xxhash.xxh3_64_intdigest(f"{service}\0{key}".encode())
    return max(
        nodes,
        key=lambda node: xxhash.xxh3_64_intdigest(node.encode(), seed),
        default="",
    )


def owners(view: _effects.View, service: str) -> frozenset[str]:
    """Return the nodes among which the keys of ``service`` are divided."""
    return frozenset(
        row.node
        for row in view.members_by_service.get(service, ())
        if row.state in _OWNING_STATES
    )


class KeyTable:
    """Keys granted by one incarnation of a node; not thread-safe.

    Args:
        node: Name of this node.
        horizon_ms: Time in milliseconds after which a granted key
            expires.
    """

    def __init__(self, node: str, horizon_ms: int) -> None:
        self._node = node
        self._horizon_ms = horizon_ms
        self._grants_by_key: collections.OrderedDict[
            tuple[str, str], messages.KeyGrant
        ] = collections.OrderedDict()
        self._history: collections.deque[_OwnerSets] = collections.deque()
        self._lost_ms_by_node: dict[tuple[str, str], int] = {}
        self._leaving: frozenset[tuple[str, str]] = frozenset()

    def __len__(self) -> int:
        return len(self._grants_by_key)

    def update_owners(self, view: _effects.View, now_ms: int) -> None:
        """Record which nodes own keys from ``now_ms`` on."""
        nodes = {
            service: owners(view, service)
            for service in view.members_by_service
        }
        self._record_lost(view, nodes, now_ms)
        if self._history and self._history[-1].nodes_by_service == nodes:
            return
        self._history.append(
            _OwnerSets(nodes_by_service=nodes, since_ms=now_ms)
        )
        limit_ms = now_ms - self._horizon_ms
        while len(self._history) > 1 and self._history[1].since_ms <= limit_ms:
            self._history.popleft()

    def ownership(self, service: str, key: str, now_ms: int) -> Ownership:
        """Return whether this node may grant a key without a record."""
        if not self._history:
            return Ownership.UNSETTLED
        nodes_now = self._history[-1].nodes_by_service.get(
            service, frozenset()
        )
        if owner(service, key, nodes_now) != self._node:
            return Ownership.NOT_OWNER
        if self._history[0].since_ms > now_ms - self._horizon_ms:
            return Ownership.UNSETTLED
        for entry in self._unexpired_history(now_ms):
            nodes = entry.nodes_by_service.get(service, frozenset())
            if owner(service, key, nodes) != self._node:
                return Ownership.UNSETTLED
        # Of two sides of a network partition, only one holds a majority.
        if len(nodes_now) <= self._count_lost(service, now_ms):
            return Ownership.UNSETTLED
        return Ownership.SETTLED

    def claim(
        self, claim: messages.KeyClaim, now_ms: int
    ) -> messages.KeyClaimed:
        """Grant the key to the claiming call, or return the current grant.

        A claim whose ``replaces`` is the call that holds the key takes it
        over. Any other claim with a different fingerprint than the current
        grant is a misuse of the key.
        """
        self._expire(now_ms)
        entry_key = (claim.service, claim.key)
        known = self._grants_by_key.get(entry_key)
        if known is not None and known.call_id != claim.replaces:
            if known.fingerprint != claim.grant.fingerprint:
                return messages.KeyClaimed(state=messages.KeyState.MISUSED)
            return messages.KeyClaimed(
                state=messages.KeyState.TAKEN, grant=known
            )
        if known is None:
            ownership = self.ownership(claim.service, claim.key, now_ms)
            is_full = len(self._grants_by_key) >= _MAX_KEYS
            if ownership is not Ownership.SETTLED or is_full:
                return messages.KeyClaimed(state=messages.KeyState.UNSETTLED)
        self._grants_by_key[entry_key] = dataclasses.replace(
            claim.grant, granted_ms=now_ms
        )
        self._grants_by_key.move_to_end(entry_key)
        return messages.KeyClaimed(state=messages.KeyState.GRANTED)

    def _record_lost(
        self,
        view: _effects.View,
        nodes_by_service: abc.Mapping[str, frozenset[str]],
        now_ms: int,
    ) -> None:
        """Record nodes that disappeared without announcing a leave."""
        present = {
            (service, node)
            for service, nodes in nodes_by_service.items()
            for node in nodes
        }
        for service_node in present:
            self._lost_ms_by_node.pop(service_node, None)
        if self._history:
            for service, nodes in self._history[-1].nodes_by_service.items():
                gone = {(service, node) for node in nodes} - present
                for service_node in gone - self._leaving:
                    self._lost_ms_by_node[service_node] = now_ms
        self._leaving = frozenset(
            (service, row.node)
            for service, rows in view.members_by_service.items()
            for row in rows
            if row.state is members.MemberState.LEAVING
        )

    def _count_lost(self, service: str, now_ms: int) -> int:
        """Return the number of recently lost nodes of ``service``."""
        return sum(
            service_node[0] == service
            and lost_ms > now_ms - _LOST_RETENTION_MS
            for service_node, lost_ms in self._lost_ms_by_node.items()
        )

    def _unexpired_history(self, now_ms: int) -> abc.Iterator[_OwnerSets]:
        """Yield the owner sets whose grants may not have expired."""
        limit_ms = now_ms - self._horizon_ms
        entries = list(self._history)
        for index, entry in enumerate(entries):
            is_expired = index + 1 < len(entries) and (
                entries[index + 1].since_ms <= limit_ms
            )
            if not is_expired:
                yield entry

    def _expire(self, now_ms: int) -> None:
        limit_ms = now_ms - self._horizon_ms
        while self._grants_by_key:
            grant = next(iter(self._grants_by_key.values()))
            if grant.granted_ms >= limit_ms:
                return
            self._grants_by_key.popitem(last=False)
