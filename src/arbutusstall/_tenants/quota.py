"""What quota servers and nodes have in common: limits, shares, servers."""

from collections import abc
import dataclasses
import functools

from arbutusstall import _settings
from arbutusstall._systems import rendezvous
from arbutusstall._tables import agreed
from arbutusstall._tables import members

# Time after the server's stamp at which a pledge ends. The server ends it
# a little earlier than the node, since their clocks may drift.
PLEDGE_S = 3.0
PLEDGE_MARGIN_S = 0.02
RENEW_S = 1.0
MAX_SERVERS = 8
# A node that does not answer may be partitioned and still use its share,
# so it is counted for longer than partitions usually last.
_SILENT_HOLD_S = 600.0
# A node that has left does not serve callers for longer than its grace.
_LEFT_HOLD_S = 30.0
_MAX_TOKEN_LIFE_S = 0.3
# A grant must arrive before its tokens end, whatever the settings allow.
_MIN_TOKEN_LIFE_S = 0.05


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Bounds:
    """Bounds of the sum of all nodes, derived from the settings.

    Attributes:
        token_life_s: Time after its request in which a token may be used.
            Tokens granted before a window can be used in it for that
            long, which takes up to 3/5 of the overshoot.
        spare: Tokens that all buckets hold together in addition to the
            burst; half of the slack. Without it, a tenant without a burst
            could not use its limit.
    """

    token_life_s: float = _MAX_TOKEN_LIFE_S
    spare: float = 10.0


def bounds(settings: _settings.TenantSettings) -> Bounds:
    """Return the bounds for the settings."""
    life_s = 0.6 * settings.quota_overshoot * settings.quota_window_s
    return Bounds(
        token_life_s=min(_MAX_TOKEN_LIFE_S, max(_MIN_TOKEN_LIFE_S, life_s)),
        spare=settings.quota_slack / 2,
    )


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Limit:
    """Requests a second of a tenant over all nodes, and its burst."""

    rate_per_s: float
    burst: float


def limits(tenants: abc.Mapping[str, agreed.Tenant]) -> dict[str, Limit]:
    """Return the limits of the tenants that have one."""
    return {
        name: Limit(rate_per_s=tenant.rate_per_s, burst=tenant.burst)
        for name, tenant in tenants.items()
        if tenant.rate_per_s > 0
    }


def choose_servers(serving: abc.Iterable[str]) -> tuple[str, ...]:
    """Return the quota servers among the serving nodes, sorted."""
    ordered = rendezvous.order("quota servers", serving)
    return tuple(sorted(ordered[:MAX_SERVERS]))


@functools.lru_cache(maxsize=16_384)
def pick(tenant: str, servers: tuple[str, ...]) -> str:
    """Return the quota server of a tenant; empty if there is none."""
    if not servers:
        return ""
    return max(
        servers, key=lambda item: (rendezvous.weight(tenant, item), item)
    )


class NodeCount:
    """Counts the nodes that may use a share of the limits.

    A node that is no longer known is counted for some time: it may be on
    the other side of a partition.
    """

    def __init__(self) -> None:
        self._until_s_by_node: dict[str, float] = {}

    def update(self, rows: abc.Iterable[members.Member], now_s: float) -> int:
        """Return the number of nodes for the rows that are known now."""
        known = self._until_s_by_node
        for row in rows:
            if row.live:
                known[row.node] = now_s + _SILENT_HOLD_S
            elif row.state is members.MemberState.LEAVING:
                until_s = known.get(row.node, now_s + _LEFT_HOLD_S)
                known[row.node] = min(until_s, now_s + _LEFT_HOLD_S)
            else:
                known.setdefault(row.node, now_s + _SILENT_HOLD_S)
        for node in [name for name, at_s in known.items() if at_s <= now_s]:
            del known[node]
        return max(1, len(known))
