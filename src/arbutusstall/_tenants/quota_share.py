"""The side of a node: its share, and the tokens that servers grant to it."""

import collections
from collections import abc
import dataclasses
import math

from arbutusstall._tenants import quota
from arbutusstall._wire import messages

Done = abc.Callable[[int], None]
QuotaMessage = messages.QuotaPledge | messages.QuotaRequest

# Without an answer for this long, a node uses the next server instead.
_DOWN_AFTER_S = 2.0
# A server that was left out is used again once it has answered for this
# long. Each change of servers costs its tenants a part of a second.
_UP_HOLD_S = 3.0
# Time for which tokens are held ahead, by the requests of the last second.
_PREFETCH_S = 0.2
_USE_DECAY_S = 1.0
# Gap between two requests to one server, and the longer one that applies
# while the node sends more than `_MAX_ASKS_PER_S` to all of them.
_MIN_GAP_S = 0.01
_LONG_GAP_S = 0.06
_MAX_ASKS_PER_S = 20.0
# Least time between two pledges that follow a refused one at once.
_PROMPT_GAP_S = 0.2
_MAX_WAITING = 1_000
_IDLE_S = 30.0
_MAX_RETRY_MS = 5_000


@dataclasses.dataclass(kw_only=True, slots=True)
class Stats:
    """Counts since the start.

    Attributes:
        granted: Requests that were let through, those by the own share
            included.
        refused: Requests that were refused.
        unused: Granted tokens that ended before they were used.
        fallback: Requests that were let through by the own share.
    """

    granted: int = 0
    refused: int = 0
    unused: int = 0
    fallback: int = 0


@dataclasses.dataclass(kw_only=True, slots=True)
class _Link:
    """What is known of one quota server.

    Attributes:
        pledged_until_s: End of the newest pledge that may cover a tenant.
        before_until_s: End of the pledges from before the last change of
            servers.
        acknowledged: Number of the newest pledge that it holds.
        prompted_s: Time of the last pledge that followed a refused one.
        up: Whether it answers; requests wait for it only then.
    """

    answered_s: float
    up_since_s: float
    incarnation: int = 0
    stamp_ms: int = 0
    stamp_at_s: float = -math.inf
    nodes: int = 1
    pledged_until_s: float = -math.inf
    before_until_s: float = -math.inf
    acknowledged: int = 0
    up: bool = False
    prompted_s: float = -math.inf
    asked: int = 0
    asked_s: float = -math.inf
    asking: tuple[str, ...] = ()
    wants: dict[str, None] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(kw_only=True, slots=True)
class _Use:
    """State of one tenant at this node."""

    own_filled_s: float
    own_tokens: float = 0.0
    batches: collections.deque[list[float]] = dataclasses.field(
        default_factory=collections.deque
    )
    held: int = 0
    waiting: collections.deque[Done] = dataclasses.field(
        default_factory=collections.deque
    )
    dry_until_s: float = -math.inf
    level: float = 0.0
    level_at_s: float = 0.0
    last_s: float = 0.0


class QuotaShare:
    """Decides about the requests at one node.

    Pledges the node's share of each limit to the tenant's quota server and
    asks it for tokens. While no pledge can be in force, requests are let
    through by the own share. Times are seconds of boot time.

    Args:
        quiet_until_s: Time before which the share is neither used nor
            pledged: until then, pledges of an earlier process may be in
            force at servers that this process does not know.

    Attributes:
        sends: Messages to send, with the server; emptied by the caller.
        answers: Callbacks and their arguments; emptied by the caller.
    """

    def __init__(
        self,
        node: str,
        incarnation: int,
        bounds: quota.Bounds,
        now_s: float,
        quiet_until_s: float,
    ) -> None:
        self.sends: list[tuple[str, QuotaMessage]] = []
        self.answers: list[tuple[Done, int]] = []
        self.stats = Stats()
        self._node = node
        self._incarnation = incarnation
        self._bounds = bounds
        self._quiet_until_s = quiet_until_s
        self._is_quiet = True
        # The share is not used for any time before this.
        self._floor_s = quiet_until_s
        # Numbers of an earlier instance in this process are lower.
        self._number = int(now_s * 1_000)
        self._lists = self._number + 1
        self._nodes = 1
        self._limits: abc.Mapping[str, quota.Limit] = {}
        self._candidates: tuple[str, ...] = ()
        self._servers: tuple[str, ...] = ()
        self._previous: tuple[str, ...] = ()
        self._links: dict[str, _Link] = {}
        self._uses: dict[str, _Use] = {}
        self._asks = 0.0
        self._asks_at_s = now_s

    @property
    def wake_s(self) -> float:
        """Time at which `advance` is due; infinite if there is none."""
        due_s = self._quiet_until_s if self._is_quiet else math.inf
        for link in self._links.values():
            if link.asking:
                due_s = min(due_s, link.asked_s + self._bounds.token_life_s)
            elif link.wants:
                due_s = min(due_s, link.asked_s + self._gap_s())
        return due_s

    @property
    def own_share(self) -> float:
        """The fraction of each limit that this node is entitled to."""
        heard = max((link.nodes for link in self._links.values()), default=1)
        return 1.0 / max(self._nodes, heard)

    def configure(
        self, limits: abc.Mapping[str, quota.Limit], now_s: float
    ) -> None:
        """Apply new limits; requests of tenants without one proceed."""
        self._limits = limits
        for tenant in [item for item in self._uses if item not in limits]:
            use = self._uses.pop(tenant)
            self.answers += [(done, 0) for done in use.waiting]
        self.advance(now_s)

    def set_nodes(self, nodes: int, candidates: tuple[str, ...]) -> None:
        """Set the number of known nodes and the quota servers."""
        self._nodes = nodes
        self._candidates = candidates

    def request(self, tenant: str, done: Done, now_s: float) -> None:
        """Decide about one request, now or once tokens are granted."""
        limit = self._limits.get(tenant)
        if limit is None:
            self.answers.append((done, 0))
            return
        use = self._uses.get(tenant)
        if use is None:
            use = self._uses[tenant] = _Use(
                own_filled_s=max(now_s, self._floor_s)
            )
        use.last_s = now_s
        self._drop_ended(use, now_s)
        server = quota.pick(tenant, self._servers)
        link = self._links.get(server)
        if use.held:
            self._use_token(use, done, now_s)
            self._prefetch(tenant, use, link, now_s)
        elif use.dry_until_s > now_s:
            self._refuse(done, use.dry_until_s - now_s)
        elif link is not None and link.up:
            if len(use.waiting) >= _MAX_WAITING:
                self._refuse(done, self._bounds.token_life_s)
                return
            use.waiting.append(done)
            link.wants[tenant] = None
            self._ask(server, link, now_s)
        else:
            self._use_own(tenant, limit, use, done, now_s)

    def close(self) -> None:
        """Refuse the requests that wait."""
        for use in self._uses.values():
            while use.waiting:
                self._refuse(use.waiting.popleft(), quota.PLEDGE_S)

    def tick(self, now_s: float) -> None:
        """Choose servers and renew all pledges; called each second."""
        self._choose_servers(now_s)
        names = (*self._candidates, *self._servers, *self._previous)
        for server in dict.fromkeys(names):
            link = self._links.get(server)
            if link is None:
                link = self._links[server] = _Link(
                    answered_s=now_s, up_since_s=now_s
                )
            self._pledge(server, link, now_s)
        self._forget(now_s)
        self.advance(now_s)

    def advance(self, now_s: float) -> None:
        """Send the requests that are due, and end those without answer."""
        if self._is_quiet and now_s >= self._quiet_until_s:
            self._is_quiet = False
            self._pledge_to_servers(now_s)
        self._end_transition(now_s)
        for server, link in self._links.items():
            life_s = self._bounds.token_life_s
            if link.asking and now_s >= link.asked_s + life_s:
                link.up = False
                self._fail_waiting(link, now_s)
            self._ask(server, link, now_s)

    def on_pledged(
        self, server: str, message: messages.QuotaPledged, now_s: float
    ) -> None:
        """Note a stamp, and pledge with it if there is no pledge yet."""
        link = self._links.get(server)
        if link is None or message.node != server:
            return
        if message.incarnation < link.incarnation:
            return
        if message.incarnation > link.incarnation:
            # The earlier process, and with it the pledges it held, is gone.
            self._floor_s = max(self._floor_s, min(now_s, _end_s(link)))
            link.pledged_until_s = link.before_until_s = -math.inf
            link.incarnation = message.incarnation
            link.stamp_ms = 0
            link.acknowledged = 0
        if now_s - link.answered_s > _DOWN_AFTER_S:
            link.up_since_s = now_s
        link.answered_s = now_s
        link.up = True
        link.nodes = message.nodes
        if message.accepted:
            link.acknowledged = max(link.acknowledged, message.number)
        else:
            # It may hold no pledge any more, and so not know the lists.
            link.acknowledged = 0
        if message.stamp_ms > link.stamp_ms:
            link.stamp_ms = message.stamp_ms
            link.stamp_at_s = now_s
        is_due = now_s >= link.prompted_s + _PROMPT_GAP_S
        if not message.accepted and link.pledged_until_s <= now_s and is_due:
            link.prompted_s = now_s
            self._pledge(server, link, now_s, only_share=True)
        self.advance(now_s)

    def on_grant(
        self, server: str, message: messages.QuotaGrant, now_s: float
    ) -> None:
        """Use granted tokens for the requests that wait for them."""
        link = self._links.get(server)
        if link is None or message.node != server:
            return
        link.up = True
        if message.number != link.asked or not link.asking:
            self.stats.unused += sum(item[1] for item in message.grants)
            return
        ends_s = link.asked_s + self._bounds.token_life_s
        link.asking = ()
        for tenant, count, wait_ms in message.grants:
            use = self._uses.get(tenant)
            if use is None or now_s >= ends_s:
                self.stats.unused += max(0, count)
                if use is not None and use.waiting:
                    link.wants[tenant] = None
                continue
            self._take_grant(use, count, wait_ms, ends_s, now_s)
            if use.waiting:
                link.wants[tenant] = None
        self._ask(server, link, now_s)

    def _take_grant(
        self,
        use: _Use,
        count: int,
        wait_ms: int,
        ends_s: float,
        now_s: float,
    ) -> None:
        if count > 0:
            use.batches.append([ends_s, count])
            use.held += count
        if wait_ms:
            use.dry_until_s = now_s + wait_ms / 1_000
        while use.waiting and use.held:
            self._use_token(use, use.waiting.popleft(), now_s)
        if wait_ms:
            while use.waiting:
                self._refuse(use.waiting.popleft(), wait_ms / 1_000)

    def _choose_servers(self, now_s: float) -> None:
        """Leave out servers that do not answer, unless a change runs."""
        if self._previous:
            return
        chosen = tuple(
            server
            for server in self._candidates
            if self._is_usable(server, now_s)
        )
        if chosen == self._servers:
            return
        used = [self._links[item] for item in self._servers]
        if any(link.pledged_until_s > now_s for link in used):
            self._previous = self._servers
            for link in self._links.values():
                link.before_until_s = link.pledged_until_s
        elif used:
            self._floor_s = max(self._floor_s, now_s)
        self._servers = chosen
        self._lists = self._number + 1

    def _is_usable(self, server: str, now_s: float) -> bool:
        link = self._links.get(server)
        if link is None:
            # All servers are tried at first.
            return not self._servers
        if now_s - link.answered_s > _DOWN_AFTER_S:
            return False
        return server in self._servers or now_s - link.up_since_s >= _UP_HOLD_S

    def _end_transition(self, now_s: float) -> None:
        """End a change of servers once no earlier pledge is in force."""
        if not self._previous:
            return
        for server in self._previous:
            link = self._links[server]
            if link.acknowledged < self._lists and (
                link.before_until_s > now_s
            ):
                return
        self._previous = ()
        self._lists = self._number + 1
        self._floor_s = max(self._floor_s, now_s)
        self._pledge_to_servers(now_s)

    def _pledge_to_servers(self, now_s: float) -> None:
        for server in self._servers:
            if server in self._links:
                self._pledge(
                    server, self._links[server], now_s, only_share=True
                )

    def _pledge(
        self, server: str, link: _Link, now_s: float, only_share: bool = False
    ) -> None:
        may_pledge = (
            now_s >= self._quiet_until_s
            and link.stamp_at_s + quota.PLEDGE_S > now_s
            # Without any server in use, earlier pledges just end.
            and bool(self._servers)
            and (server in self._servers or server in self._previous)
        )
        if only_share and not may_pledge:
            return
        self._number += 1
        nodes = max(1, round(1.0 / self.own_share))
        message = messages.QuotaPledge(
            node=self._node,
            incarnation=self._incarnation,
            number=self._number,
            nodes=nodes,
        )
        if may_pledge:
            is_known = link.acknowledged >= self._lists
            message = messages.QuotaPledge(
                node=self._node,
                incarnation=self._incarnation,
                number=self._number,
                server_incarnation=link.incarnation,
                stamp_ms=link.stamp_ms,
                nodes=nodes,
                lists=self._lists,
                servers=() if is_known else self._servers,
                previous=() if is_known else self._previous,
            )
            if server in self._servers:
                link.pledged_until_s = max(
                    link.pledged_until_s, link.stamp_at_s + quota.PLEDGE_S
                )
        self.sends.append((server, message))

    def _forget(self, now_s: float) -> None:
        used = {*self._candidates, *self._servers, *self._previous}
        for server in [item for item in self._links if item not in used]:
            link = self._links[server]
            busy = link.asking or link.wants
            if _end_s(link) <= now_s and not busy:
                self._floor_s = max(self._floor_s, _end_s(link))
                del self._links[server]
        for tenant, use in list(self._uses.items()):
            self._drop_ended(use, now_s)
            idle = now_s - use.last_s > _IDLE_S
            if idle and not use.held and not use.waiting:
                del self._uses[tenant]

    def _pledged_until_s(self, tenant: str) -> float:
        """Return the time until which a server may hold the share."""
        server = quota.pick(tenant, self._servers)
        link = self._links.get(server)
        until_s = link.pledged_until_s if link is not None else -math.inf
        if self._previous:
            before = self._links.get(quota.pick(tenant, self._previous))
            if before is not None:
                until_s = max(until_s, before.before_until_s)
        return until_s

    def _use_own(
        self,
        tenant: str,
        limit: quota.Limit,
        use: _Use,
        done: Done,
        now_s: float,
    ) -> None:
        free_s = max(self._floor_s, self._pledged_until_s(tenant))
        if free_s > use.own_filled_s:
            # The share was at a server meanwhile.
            use.own_tokens = 0.0
            use.own_filled_s = free_s
        if now_s < free_s:
            self._refuse(done, free_s - now_s)
            return
        share = self.own_share
        rate_per_s = limit.rate_per_s * share
        use.own_tokens = min(
            (limit.burst + self._bounds.spare) * share,
            use.own_tokens + rate_per_s * max(0.0, now_s - use.own_filled_s),
        )
        use.own_filled_s = max(use.own_filled_s, now_s)
        if use.own_tokens >= 1.0:
            use.own_tokens -= 1.0
            self.stats.fallback += 1
            self._let_through(use, done, now_s)
        else:
            self._refuse(done, (1.0 - use.own_tokens) / rate_per_s)

    def _drop_ended(self, use: _Use, now_s: float) -> None:
        while use.batches and use.batches[0][0] <= now_s:
            count = int(use.batches.popleft()[1])
            use.held -= count
            self.stats.unused += count

    def _use_token(self, use: _Use, done: Done, now_s: float) -> None:
        batch = use.batches[0]
        batch[1] -= 1
        if batch[1] <= 0:
            use.batches.popleft()
        use.held -= 1
        self._let_through(use, done, now_s)

    def _let_through(self, use: _Use, done: Done, now_s: float) -> None:
        decay = math.exp((use.level_at_s - now_s) / _USE_DECAY_S)
        use.level = use.level * decay + 1.0
        use.level_at_s = now_s
        self.stats.granted += 1
        self.answers.append((done, 0))

    def _refuse(self, done: Done, wait_s: float) -> None:
        self.stats.refused += 1
        wait_ms = min(_MAX_RETRY_MS, math.ceil(wait_s * 1_000))
        self.answers.append((done, max(1, wait_ms)))

    def _aim(self, use: _Use, now_s: float) -> int:
        """Return the number of tokens to hold ahead."""
        decay = math.exp((use.level_at_s - now_s) / _USE_DECAY_S)
        return int(use.level * decay * _PREFETCH_S / _USE_DECAY_S)

    def _prefetch(
        self, tenant: str, use: _Use, link: _Link | None, now_s: float
    ) -> None:
        if link is None or not link.up or use.dry_until_s > now_s:
            return
        if use.held < self._aim(use, now_s) / 2:
            link.wants[tenant] = None
            server = quota.pick(tenant, self._servers)
            self._ask(server, link, now_s)

    def _gap_s(self) -> float:
        return _LONG_GAP_S if self._asks > _MAX_ASKS_PER_S else _MIN_GAP_S

    def _ask(self, server: str, link: _Link, now_s: float) -> None:
        """Send the wants of all tenants of a server, if it is time."""
        if not link.wants or link.asking or not link.up:
            return
        if now_s < link.asked_s + self._gap_s():
            return
        wants = []
        for tenant in link.wants:
            use = self._uses.get(tenant)
            if use is None:
                continue
            self._drop_ended(use, now_s)
            count = len(use.waiting) + self._aim(use, now_s) - use.held
            if count > 0:
                wants.append((tenant, count))
        link.wants.clear()
        if not wants:
            return
        decay = math.exp(self._asks_at_s - now_s)
        self._asks = self._asks * decay + 1.0
        self._asks_at_s = now_s
        self._number += 1
        link.asked = self._number
        link.asked_s = now_s
        link.asking = tuple(tenant for tenant, _ in wants)
        self.sends.append(
            (
                server,
                messages.QuotaRequest(number=link.asked, wants=tuple(wants)),
            )
        )

    def _fail_waiting(self, link: _Link, now_s: float) -> None:
        """Refuse the requests that wait for a server without answer."""
        for tenant in dict.fromkeys((*link.asking, *link.wants)):
            use = self._uses.get(tenant)
            limit = self._limits.get(tenant)
            while use is not None and limit is not None and use.waiting:
                done = use.waiting.popleft()
                self._use_own(tenant, limit, use, done, now_s)
        link.asking = ()
        link.wants.clear()


def _end_s(link: _Link) -> float:
    return max(link.pledged_until_s, link.before_until_s)
