"""Client-side load balancing across the endpoints of a service version.

Each endpoint has a cost: its expected latency as a multiple of the usual
latency of the same route, increased by its queue length, its error rate
and the distance to another data centre. Of a few randomly drawn
endpoints, the one with the lowest cost is chosen. Among those of one data
centre, the measured speed and the share of the slots in use count as well
if their targets share machines with others.
"""

from collections import abc
import dataclasses
import math
import random

import msgspec

from arbutusstall import _effects
from arbutusstall._systems import endpoint_stats
from arbutusstall._tables import members

_FAILURES_TO_EJECT = 3
_BASE_EJECTION_S = 0.5
_MAX_EJECTION_S = 30.0
_MIN_AVAILABLE_SHARE = 0.5
_SLOW_START_S = 5.0
_MIN_SLOW_START_SHARE = 0.1
_MAX_REPORT_AGE_S = 1.0
# Cost of a call to another data centre, as a multiple of the usual
# latency. Traffic between data centres is billed by volume, so a short
# wait at a local endpoint is preferred.
_REMOTE_COST = 0.6
# The same for a call that was already tried at another endpoint.
_REMOTE_RETRY_COST = 0.1
# Endpoints of a service differ in speed. Latency ratios up to this value
# are treated as equal in the choice between data centres.
_TOLERATED_LATENCY_RATIO = 2.0
# Weights of the latency ratio, up to the tolerated one, and of the squared
# share of the slots in use, within a data centre. The share outweighs the
# speed of an endpoint that is nearly full: by speed alone, work gathers at
# the fast endpoints and is refused there (docs/LOAD.md, round F1).
_SPEED_WEIGHT = 0.5
# Smaller deviations of the latency ratio do not count, so that an endpoint
# is tried again while an old observation of it decays.
_MIN_SPEED_DEVIATION = 0.25
_USE_WEIGHT = 1.0
_SMOOTHING = 0.15
# Smoothing of ratios that a target has averaged over its own runs already.
# A caller of many endpoints calls each of them less than once a second.
_MEAN_SMOOTHING = 0.6
_ROUTE_SMOOTHING = 0.05
# Time constant in which observations of an endpoint without calls decay.
_DECAY_S = 4.0
# The same for a latency that the target has averaged itself.
_MEAN_DECAY_S = 12.0
# Exponent of the success rate in the cost: a failed call costs its caller
# more than a slow one.
_SUCCESS_EXPONENT = 3.0
_MAX_ERROR_RATE = 0.9
_MAX_LATENCY_RATIO = 30.0
# With more candidates, many callers would choose the same endpoint.
_MAX_CANDIDATES = 4


_NO_STATS = endpoint_stats.EndpointStats()


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _CachedEndpoints:
    """Cached serving endpoints of one version.

    Attributes:
        source: Member list from which the entry was computed; the entry
            is valid while the view holds the same list.
        local: Endpoints in this node's data centre.
        remote: Endpoints in other data centres.
    """

    source: tuple[members.Member, ...]
    local: list[members.Member]
    remote: list[members.Member]


class Balancer:
    """Chooses endpoints and tracks their load, latency and failures.

    Not thread-safe. Times are monotonic seconds.

    Args:
        data_centre: Data centre of this node.
        rng: Source of the random draws.
    """

    def __init__(self, data_centre: str, rng: random.Random) -> None:
        self._data_centre = data_centre
        self._rng = rng
        self._stats_by_node: dict[str, endpoint_stats.EndpointStats] = {}
        self._usual_ms_by_route: dict[str, float] = {}
        # The views of requests that are restricted to some regions name
        # other evacuated data centres than the one in force.
        self._cache_by_version: dict[
            tuple[str, str, frozenset[str]], _CachedEndpoints
        ] = {}
        # Time from which no endpoint is ejected or in slow start.
        self._settled_from_s = -math.inf

    def update_endpoints(self, view: _effects.View, now_s: float) -> None:
        """Adopt the endpoints of ``view``.

        Endpoints that join already known ones start with a reduced
        share of the calls (slow start), as do those of a data centre that
        is no longer evacuated.
        """
        nodes: set[str] = set()
        is_first = not self._stats_by_node
        for rows in view.members_by_service.values():
            nodes.update(
                row.node
                for row in rows
                if row.data_centre not in view.evacuated
            )
        for node in nodes - self._stats_by_node.keys():
            self._stats_by_node[node] = endpoint_stats.EndpointStats(
                first_seen_s=-math.inf if is_first else now_s
            )
            if not is_first:
                self._settled_from_s = max(
                    self._settled_from_s, now_s + _SLOW_START_S
                )
        for node in self._stats_by_node.keys() - nodes:
            if not self._stats_by_node[node].outstanding:
                del self._stats_by_node[node]
        for key, entry in list(self._cache_by_version.items()):
            if entry.source is not view.members_by_service.get(key[0]):
                del self._cache_by_version[key]

    def choose(
        self,
        view: _effects.View,
        service: str,
        version: str,
        now_s: float,
        tried: abc.Set[str] = frozenset(),
        rank: int = 0,
    ) -> members.Member | None:
        """Return the endpoint with the lowest cost, or None.

        The arguments are those of `candidates`.
        """
        found = self.candidates(view, service, version, now_s, tried, rank)
        return found[0] if found else None

    def candidates(
        self,
        view: _effects.View,
        service: str,
        version: str,
        now_s: float,
        tried: abc.Set[str] = frozenset(),
        rank: int = 0,
    ) -> list[members.Member]:
        """Return a random selection of endpoints, lowest cost first.

        Nodes in ``tried`` are excluded. Ejected endpoints are excluded
        as well, unless too many are ejected, and so are those that are at
        their limit for calls of ``rank``. A nested call gets the one whose
        limit ends first if there is no other: refusing it would waste the
        work of the request above it.
        """
        found = self._endpoints(view, service, version)
        if not tried and now_s >= self._settled_from_s:
            drawn = self._draw(found.local) + self._draw(found.remote)
            return self._sort_by_cost(drawn, now_s, _REMOTE_COST)
        rows = [
            row
            for row in self._available(found.local + found.remote, now_s)
            if row.node not in tried
        ]
        within_limit = [
            row for row in rows if not self._is_limited(row, rank, now_s)
        ]
        if rows and not within_limit:
            return self._first_to_leave_limit(rows) if rank < 0 else []
        rows = within_limit
        local = [row for row in rows if row.data_centre == self._data_centre]
        remote = [row for row in rows if row.data_centre != self._data_centre]
        drawn = self._draw_with_slow_start(
            local, now_s
        ) + self._draw_with_slow_start(remote, now_s)
        if not drawn:
            return rows[:1]
        remote_cost = _REMOTE_RETRY_COST if tried else _REMOTE_COST
        return self._sort_by_cost(drawn, now_s, remote_cost)

    def limited_s(
        self,
        view: _effects.View,
        service: str,
        version: str,
        now_s: float,
        rank: int,
    ) -> float:
        """Return the time until a limited endpoint may be chosen again.

        The result is in seconds. It is 0 if no endpoint is at its limit
        for calls of ``rank``.
        """
        found = self._endpoints(view, service, version)
        return min(
            (
                self._get(row.node).limited_until_s - now_s
                for row in found.local + found.remote
                if self._is_limited(row, rank, now_s)
            ),
            default=0.0,
        )

    def record_limited(
        self, node: str, rank: int, wait_s: float, now_s: float
    ) -> None:
        """Record that an endpoint is at its limit for calls of ``rank``.

        Args:
            wait_s: Retry delay of the refusal, in seconds. It is
                randomized, so that callers do not retry at the same time.
        """
        until_s = now_s + wait_s * self._rng.uniform(0.75, 1.25)
        self._stats_by_node[node] = self._get(node).with_limit(
            rank, until_s, now_s
        )
        self._settled_from_s = max(self._settled_from_s, until_s)

    def record_sent(self, node: str) -> None:
        """Record that a call was sent to ``node``."""
        old = self._get(node)
        self._stats_by_node[node] = msgspec.structs.replace(
            old, outstanding=old.outstanding + 1
        )

    def record_released(self, node: str) -> None:
        """Record that a call was abandoned or not sent after all."""
        old = self._get(node)
        self._stats_by_node[node] = msgspec.structs.replace(
            old, outstanding=max(0, old.outstanding - 1)
        )

    def record_answer(
        self, node: str, report: endpoint_stats.AnswerReport, now_s: float
    ) -> None:
        """Record an answer of ``node``, which may be a refusal.

        Any answer ends the ejection of the endpoint.
        """
        old = self._get(node)
        latency_ratio, error_rate = old.latency_ratio, old.error_rate
        if report.taken_ms > 0.0:
            decayed = self._decayed_latency_ratio(old, now_s)
            seen = self._latency_ratio(report)
            smoothing = _SMOOTHING
            if report.shares_machine and report.route_ms:
                seen = self._mean_latency_ratio(report)
                smoothing = _MEAN_SMOOTHING
            seen = min(seen, _MAX_LATENCY_RATIO)
            latency_ratio = decayed + smoothing * (seen - decayed)
            error_rate += _SMOOTHING * (float(report.failed) - error_rate)
        self._stats_by_node[node] = endpoint_stats.EndpointStats(
            outstanding=max(0, old.outstanding - 1),
            in_flight=report.in_flight,
            slots=report.slots,
            reported_s=now_s,
            latency_ratio=latency_ratio,
            error_rate=error_rate,
            first_seen_s=old.first_seen_s,
            limited_until_s=old.limited_until_s,
            limited_rank=old.limited_rank,
            shares_machine=old.shares_machine or report.shares_machine,
        )

    def record_unreachable(self, node: str, now_s: float) -> None:
        """Eject an endpoint to which no connection could be opened.

        The number of outstanding calls stays, since no call was sent.
        """
        outstanding = self._get(node).outstanding
        self.record_failure(node, now_s, unreachable=True)
        self._stats_by_node[node] = msgspec.structs.replace(
            self._get(node), outstanding=outstanding
        )

    def record_failure(
        self, node: str, now_s: float, unreachable: bool
    ) -> None:
        """Record a lost call; eject the endpoint after 3 in a row.

        Each lost call raises the cost of the endpoint as an error does,
        since one that loses only a part of its calls is never ejected. An
        unreachable endpoint is ejected at once. The ejection time
        doubles with each ejection and is randomized by up to 25 %.
        """
        old = self._get(node)
        failures = old.failures + 1
        ejections, until_s = old.ejections, old.ejected_until_s
        if unreachable or failures >= _FAILURES_TO_EJECT:
            period_s = min(_MAX_EJECTION_S, _BASE_EJECTION_S * 2**ejections)
            until_s = now_s + period_s * self._rng.uniform(0.75, 1.25)
            self._settled_from_s = max(self._settled_from_s, until_s)
            ejections, failures = ejections + 1, 0
        if not unreachable:
            old = self._aged(old, now_s)
        error_rate = old.error_rate
        if not unreachable:
            error_rate += _SMOOTHING * (1.0 - error_rate)
        self._stats_by_node[node] = msgspec.structs.replace(
            old,
            error_rate=error_rate,
            outstanding=max(0, old.outstanding - 1),
            failures=failures,
            ejections=min(ejections, 16),
            ejected_until_s=until_s,
        )

    def _endpoints(
        self, view: _effects.View, service: str, version: str
    ) -> _CachedEndpoints:
        """Return the serving endpoints of a version, from a cache."""
        key = (service, version, view.evacuated)
        members_now = view.members_by_service.get(service, ())
        known = self._cache_by_version.get(key)
        if known is not None and known.source is members_now:
            return known
        serving = [
            row
            for row in members_now
            if row.version == version
            and row.state is members.MemberState.SERVING
            and row.data_centre not in view.evacuated
        ]
        own = self._data_centre
        rows = _CachedEndpoints(
            source=members_now,
            local=[row for row in serving if row.data_centre == own],
            remote=[row for row in serving if row.data_centre != own],
        )
        self._cache_by_version[key] = rows
        return rows

    def _get(self, node: str) -> endpoint_stats.EndpointStats:
        return self._stats_by_node.get(node, _NO_STATS)

    def _available(
        self, rows: list[members.Member], now_s: float
    ) -> list[members.Member]:
        """Return the endpoints that are not ejected, at least half."""

        # If too many endpoints are ejected, the fault is probably local
        # or affects all of them, and the few left would be overloaded.
        def until_s(row: members.Member) -> float:
            return self._get(row.node).ejected_until_s

        available = [row for row in rows if until_s(row) <= now_s]
        min_count = math.ceil(len(rows) * _MIN_AVAILABLE_SHARE)
        if len(available) < min_count:
            available = sorted(rows, key=until_s)[:min_count]
        return available

    def _is_limited(
        self, row: members.Member, rank: int, now_s: float
    ) -> bool:
        return self._get(row.node).is_limited(rank, now_s)

    def _first_to_leave_limit(
        self, rows: list[members.Member]
    ) -> list[members.Member]:
        return [min(rows, key=lambda row: self._get(row.node).limited_until_s)]

    def _draw_with_slow_start(
        self, rows: list[members.Member], now_s: float
    ) -> list[members.Member]:
        """Draw candidates; endpoints in slow start are drawn rarely."""
        return self._draw(
            [row for row in rows if self._passes_slow_start(row, now_s)]
        )

    def _draw(self, rows: list[members.Member]) -> list[members.Member]:
        return self._rng.sample(rows, min(_MAX_CANDIDATES, len(rows)))

    def _passes_slow_start(self, row: members.Member, now_s: float) -> bool:
        age_s = now_s - self._get(row.node).first_seen_s
        if age_s >= _SLOW_START_S:
            return True
        share = max(_MIN_SLOW_START_SHARE, age_s / _SLOW_START_S)
        return self._rng.random() < share

    def _latency_ratio(self, report: endpoint_stats.AnswerReport) -> float:
        usual_ms = self._usual_ms_by_route.get(report.route, report.taken_ms)
        # Limits the effect of slow outliers on the usual latency.
        seen_ms = min(report.taken_ms, 4.0 * usual_ms)
        usual_ms += _ROUTE_SMOOTHING * (seen_ms - usual_ms)
        self._usual_ms_by_route[report.route] = usual_ms
        return report.taken_ms / max(usual_ms, 1.0)

    def _aged(
        self, stats: endpoint_stats.EndpointStats, now_s: float
    ) -> endpoint_stats.EndpointStats:
        """Return the statistics as they count at ``now_s``."""
        age_s = max(0.0, now_s - stats.reported_s)
        return msgspec.structs.replace(
            stats,
            in_flight=stats.in_flight if age_s <= _MAX_REPORT_AGE_S else 0,
            latency_ratio=self._decayed_latency_ratio(stats, now_s),
            error_rate=stats.error_rate * math.exp(-age_s / _DECAY_S),
            reported_s=now_s,
        )

    def _mean_latency_ratio(
        self, report: endpoint_stats.AnswerReport
    ) -> float:
        usual_ms = self._usual_ms_by_route.get(report.route, report.route_ms)
        return report.route_ms / max(usual_ms, 1.0)

    def _decayed_latency_ratio(
        self, stats: endpoint_stats.EndpointStats, now_s: float
    ) -> float:
        age_s = max(0.0, now_s - stats.reported_s)
        decay_s = _MEAN_DECAY_S if stats.shares_machine else _DECAY_S
        return 1.0 + (stats.latency_ratio - 1.0) * math.exp(-age_s / decay_s)

    def _sort_by_cost(
        self, rows: list[members.Member], now_s: float, remote_cost: float
    ) -> list[members.Member]:
        """Return endpoints in the order in which they should be tried.

        The endpoints of a data centre take its costs in the order of
        their local costs, so that speed and use do not move calls to
        another one.
        """
        scored = []
        for index, row in enumerate(rows):
            cost, local_cost = self._costs(row, now_s, remote_cost)
            scored.append((local_cost, index, cost))
        scored.sort()
        centres = [rows[index].data_centre for _, index, _ in scored]
        own = self._data_centre
        if centres.count(own) in (0, len(centres)):
            return [rows[index] for _, index, _ in scored]
        ranked = []
        for is_local in (True, False):
            group = [
                item
                for item, centre in zip(scored, centres, strict=True)
                if (centre == own) is is_local
            ]
            costs = sorted([cost for _, _, cost in group])
            ranked += [
                (cost, index)
                for cost, (_, index, _) in zip(costs, group, strict=True)
            ]
        ranked.sort()
        return [rows[index] for _, index in ranked]

    def _costs(
        self, row: members.Member, now_s: float, remote_cost: float
    ) -> tuple[float, float]:
        """Return the cost of a call, and the one within a data centre.

        The latter contains speed and use.
        """
        stats = self._get(row.node)
        slots = max(1, stats.slots or row.slots)
        reported = stats.in_flight
        age_s = now_s - stats.reported_s
        if age_s > _MAX_REPORT_AGE_S:
            reported = 0
        busy = max(reported, stats.outstanding)
        queued = max(0, busy + 1 - slots) / slots
        latency_ratio = self._decayed_latency_ratio(stats, now_s)
        cost = (
            max(1.0, latency_ratio / _TOLERATED_LATENCY_RATIO)
            + latency_ratio * queued
        )
        # Prefers the less loaded one of several endpoints with free slots.
        cost += 0.1 * min(1.0, busy / slots)
        local_cost = 0.0
        if stats.shares_machine:
            local_cost = _speed_and_use(latency_ratio, (busy + 1) / slots)
        error_rate = min(_MAX_ERROR_RATE, stats.error_rate)
        error_rate *= math.exp(-max(0.0, age_s) / _DECAY_S)
        penalty = math.pow(1.0 - error_rate, -_SUCCESS_EXPONENT)
        cost *= penalty
        local_cost = cost + local_cost * penalty
        if row.data_centre != self._data_centre:
            cost += remote_cost
        return cost, local_cost


def _speed_and_use(latency_ratio: float, use: float) -> float:
    """Return the part of a cost that speed and use add.

    Args:
        latency_ratio: Latency as a multiple of the usual one.
        use: Share of the slots that a further call would use.
    """
    cost = _USE_WEIGHT * min(1.0, use * use)
    speed = min(latency_ratio, _TOLERATED_LATENCY_RATIO) - 1.0
    if not -_MIN_SPEED_DEVIATION < speed < _MIN_SPEED_DEVIATION:
        cost += _SPEED_WEIGHT * speed
    return cost
