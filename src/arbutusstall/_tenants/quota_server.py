"""The side of a quota server: pledges, token buckets and grants."""

from collections import abc
import dataclasses
import heapq
import math

from arbutusstall._tenants import quota
from arbutusstall._wire import messages

_HOLD_S = quota.PLEDGE_S - quota.PLEDGE_MARGIN_S
# With more nodes, each asks less often, so that the requests of nodes whose
# tenant is over its limit do not add up.
_MIN_WAIT_MS = 100
_MAX_WAIT_MS = 1_000
# Pledges for a tenant usually arrive soon if there are none yet.
_NO_PLEDGE_WAIT_MS = 200

_Lists = tuple[tuple[str, ...], tuple[str, ...]]


@dataclasses.dataclass(kw_only=True, slots=True, eq=False)
class _Group:
    """Pledges of nodes that use the same quota servers.

    Attributes:
        key: The servers of these nodes, and the ones they used before.
        tenants: Tenants with a limit that the pledges cover.
        share: Sum of the shares, as a fraction of each limit.
        integral: Integral of ``share`` over time, up to ``at_s``.
    """

    key: _Lists
    tenants: tuple[str, ...]
    at_s: float
    share: float = 0.0
    integral: float = 0.0
    pledges: int = 0

    def advance(self, now_s: float) -> float:
        self.integral += self.share * max(0.0, now_s - self.at_s)
        self.at_s = max(self.at_s, now_s)
        return self.integral


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _Pledge:
    incarnation: int
    number: int
    lists: int
    share: float
    expires_s: float
    group: _Group


@dataclasses.dataclass(kw_only=True, slots=True)
class _Bucket:
    """Tokens of one tenant; ``integral`` is the part already credited."""

    limit: quota.Limit
    at_s: float
    integral: float = 0.0
    tokens: float = 0.0
    groups: list[_Group] = dataclasses.field(default_factory=list)


class QuotaServer:
    """Grants tokens for the shares that nodes have pledged to it.

    A bucket is filled at the sum of the shares pledged for its tenant and
    holds at most that part of the burst. It starts empty. Times are
    seconds of boot time.
    """

    def __init__(
        self, node: str, incarnation: int, bounds: quota.Bounds
    ) -> None:
        self._node = node
        self._incarnation = incarnation
        self._bounds = bounds
        self._nodes = 1
        self._limits: abc.Mapping[str, quota.Limit] = {}
        self._pledges_by_node: dict[str, _Pledge] = {}
        self._groups: dict[_Lists, _Group] = {}
        self._buckets: dict[str, _Bucket] = {}
        self._expiries: list[tuple[float, str]] = []

    @property
    def pledged(self) -> int:
        """Number of nodes whose pledges are held."""
        return len(self._pledges_by_node)

    def configure(
        self, limits: abc.Mapping[str, quota.Limit], now_s: float
    ) -> None:
        """Apply new limits; a lower one takes effect at once."""
        self._expire(now_s)
        for bucket in self._buckets.values():
            self._settle(bucket, now_s)
        self._limits = limits
        old, self._buckets = self._buckets, {}
        for group in self._groups.values():
            self._attach(group, now_s)
        for tenant, bucket in self._buckets.items():
            if tenant in old:
                bucket.tokens = old[tenant].tokens
                self._settle(bucket, now_s)

    def set_nodes(self, nodes: int) -> None:
        """Set the number of known nodes."""
        self._nodes = nodes

    def on_pledge(
        self, message: messages.QuotaPledge, now_s: float
    ) -> messages.QuotaPledged:
        """Hold a pledge, in place of the sender's earlier one."""
        self._expire(now_s)
        return messages.QuotaPledged(
            node=self._node,
            incarnation=self._incarnation,
            number=message.number,
            # Rounded down: a stamp may be too old, but not too new.
            stamp_ms=math.floor(now_s * 1_000),
            nodes=self._count(),
            accepted=self._accept(message, now_s),
        )

    def on_request(
        self, message: messages.QuotaRequest, now_s: float
    ) -> messages.QuotaGrant:
        """Grant as many of the wanted tokens as there are."""
        self._expire(now_s)
        return messages.QuotaGrant(
            node=self._node,
            number=message.number,
            grants=tuple(
                self._grant(tenant, count, now_s)
                for tenant, count in message.wants
            ),
        )

    def _count(self) -> int:
        return max(self._nodes, len(self._pledges_by_node))

    def _accept(self, message: messages.QuotaPledge, now_s: float) -> bool:
        stamp_s = message.stamp_ms / 1_000
        expires_s = stamp_s + _HOLD_S
        if message.server_incarnation != self._incarnation:
            return False
        if not stamp_s <= now_s < expires_s:
            return False
        old = self._pledges_by_node.get(message.node)
        rank = (message.incarnation, message.number)
        if old is not None and rank <= (old.incarnation, old.number):
            return False
        if message.servers:
            key = (message.servers, message.previous)
        elif old is not None and old.lists == message.lists:
            key = old.group.key
        else:
            return False
        share = 1.0 / max(message.nodes, self._count())
        group = self._groups.get(key)
        if group is None:
            group = _Group(key=key, tenants=(), at_s=now_s)
            self._groups[key] = group
            self._attach(group, now_s)
        if old is not None:
            self._remove(old, now_s)
        group.advance(now_s)
        group.share += share
        group.pledges += 1
        self._pledges_by_node[message.node] = _Pledge(
            incarnation=message.incarnation,
            number=message.number,
            lists=message.lists,
            share=share,
            expires_s=expires_s,
            group=group,
        )
        heapq.heappush(self._expiries, (expires_s, message.node))
        if old is not None and (old.group is not group or old.share > share):
            # The buckets hold less of the burst from now on.
            self._settle_group(old.group, now_s)
            if not old.group.pledges:
                self._detach(old.group)
        return True

    def _remove(self, pledge: _Pledge, end_s: float) -> None:
        group = pledge.group
        group.advance(end_s)
        group.share -= pledge.share
        group.pledges -= 1
        if not group.pledges:
            group.share = 0.0

    def _expire(self, now_s: float) -> None:
        """End the pledges that are due, in order of their ends.

        After a freeze of this process, nothing is credited for the time
        after a pledge's end.
        """
        ended: dict[_Lists, _Group] = {}
        while self._expiries and self._expiries[0][0] <= now_s:
            at_s, node = heapq.heappop(self._expiries)
            pledge = self._pledges_by_node.get(node)
            if pledge is not None and pledge.expires_s <= at_s:
                del self._pledges_by_node[node]
                # A group that was advanced beyond the end has been given
                # too much; it is taken back.
                excess_s = max(0.0, pledge.group.at_s - at_s)
                pledge.group.integral -= pledge.share * excess_s
                self._remove(pledge, at_s)
                ended[pledge.group.key] = pledge.group
        for group in ended.values():
            self._settle_group(group, now_s)
            if not group.pledges:
                self._detach(group)

    def _attach(self, group: _Group, now_s: float) -> None:
        """Let a group fill the buckets of the tenants that it covers."""
        group.advance(now_s)
        group.tenants = tuple(
            tenant
            for tenant in self._limits
            if quota.pick(tenant, group.key[0]) == self._node
            and (
                not group.key[1]
                or quota.pick(tenant, group.key[1]) == self._node
            )
        )
        for tenant in group.tenants:
            bucket = self._buckets.get(tenant)
            if bucket is None:
                bucket = self._buckets[tenant] = _Bucket(
                    limit=self._limits[tenant], at_s=now_s
                )
            bucket.groups.append(group)
            bucket.integral += group.integral

    def _detach(self, group: _Group) -> None:
        del self._groups[group.key]
        for tenant in group.tenants:
            bucket = self._buckets[tenant]
            bucket.groups.remove(group)
            bucket.integral -= group.integral
            if not bucket.groups:
                del self._buckets[tenant]

    def _settle_group(self, group: _Group, now_s: float) -> None:
        for tenant in group.tenants:
            self._settle(self._buckets[tenant], now_s)

    def _settle(self, bucket: _Bucket, now_s: float) -> None:
        integral = sum(group.advance(now_s) for group in bucket.groups)
        share = min(1.0, sum(group.share for group in bucket.groups))
        # Nodes that know too few others pledge too much: no more than the
        # whole limit is credited.
        elapsed_s = max(0.0, now_s - bucket.at_s)
        credit_s = min(integral - bucket.integral, elapsed_s)
        capacity = (bucket.limit.burst + self._bounds.spare) * share
        bucket.tokens = min(
            capacity, bucket.tokens + credit_s * bucket.limit.rate_per_s
        )
        bucket.integral = integral
        bucket.at_s = now_s

    def _grant(
        self, tenant: str, wanted: int, now_s: float
    ) -> tuple[str, int, int]:
        bucket = self._buckets.get(tenant)
        if bucket is None:
            return (tenant, 0, _NO_PLEDGE_WAIT_MS)
        self._settle(bucket, now_s)
        granted = max(0, min(wanted, math.floor(bucket.tokens)))
        bucket.tokens -= granted
        if granted == wanted:
            return (tenant, granted, 0)
        share = sum(group.share for group in bucket.groups)
        lacking = wanted - granted - bucket.tokens
        fill_per_s = max(1e-6, min(1.0, share) * bucket.limit.rate_per_s)
        wait_ms = min(_MAX_WAIT_MS, 1_000 * lacking / fill_per_s)
        least_ms = min(_MAX_WAIT_MS / 2, max(_MIN_WAIT_MS, self.pledged))
        return (tenant, granted, int(max(least_ms, wait_ms)))
