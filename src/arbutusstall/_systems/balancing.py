"""Chooses an endpoint by locality, load, speed and recent failures.

Each endpoint has a cost: how long it is likely to take, as a multiple of
what its service usually takes, raised by its queue, its failures and the
way to another data centre. The cheapest of a few is chosen.
"""

from collections import abc
import dataclasses
import math
import random

import msgspec

from arbutusstall import _effects
from arbutusstall._tables import members

_FAILURES_TO_EJECT = 3
_EJECT_BASE_S = 0.5
_EJECT_CAP_S = 30.0
_STAYING_SHARE = 0.5
_SLOW_START_S = 5.0
_SLOW_START_SHARE = 0.1
_REPORT_FRESH_S = 1.0
# Cost of the way to another data centre, as a part of a usual call. It
# is paid for by the byte, so a call rather waits a little.
_FAR_COST = 0.6
# The same for a call that an endpoint has turned away already.
_FAR_COST_AGAIN = 0.1
# Endpoints of a service differ in speed; up to this they count as equal.
_USUAL_SLOWNESS = 2.0
_SMOOTHING = 0.15
_ROUTE_SMOOTHING = 0.05
# What was seen of an endpoint that gets no calls is believed less.
_MEMORY_S = 4.0
# A failed call costs its caller more than a slow one.
_FAILURE_POWER = 3.0
_MOST_FAILING = 0.9
_MOST_SLOWNESS = 30.0
# More candidates would make many callers choose the same endpoint.
_CANDIDATES = 4


class Endpoint(msgspec.Struct, frozen=True, kw_only=True):
    """What a caller's proxy knows of an endpoint.

    A `msgspec.Struct`, since each call copies it.

    Attributes:
        outstanding: Own calls without an answer.
        in_flight: Requests at the target by its last answer.
        slots: Requests the target runs at once by its last answer.
        reported_s: Monotonic time of the last answer.
        slowness: Time that its calls take, as a multiple of what calls
            of the same route usually take.
        failing: Recent part of its answers that tell of an error.
        failures: Failures since the last good answer.
        ejections: Ejections since the last good answer.
        ejected_until_s: Monotonic time until which it is avoided.
        first_seen_s: Monotonic time when it became known.
    """

    outstanding: int = 0
    in_flight: int = 0
    slots: int = 0
    reported_s: float = -math.inf
    slowness: float = 1.0
    failing: float = 0.0
    failures: int = 0
    ejections: int = 0
    ejected_until_s: float = -math.inf
    first_seen_s: float = -math.inf


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class AnswerReport:
    """What an answer tells of its endpoint.

    Attributes:
        in_flight: Requests at the target and in its queue.
        slots: Requests that the target runs at once.
        route: Route of the call; calls of one route are alike.
        taken_ms: How long the target took; zero if it did not run.
        failed: Whether the answer tells of an error.
    """

    in_flight: int
    slots: int
    route: str = ""
    taken_ms: float = 0.0
    failed: bool = False


_UNKNOWN = Endpoint()


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _Rows:
    """Serving endpoints of one version, as long as ``source`` stays."""

    source: tuple[members.Member, ...]
    near: list[members.Member]
    far: list[members.Member]


class Balancer:
    """Load and failures of the endpoints; not thread-safe."""

    def __init__(self, data_centre: str, rng: random.Random) -> None:
        self._data_centre = data_centre
        self._rng = rng
        self._endpoints_by_node: dict[str, Endpoint] = {}
        self._usual_ms_by_route: dict[str, float] = {}
        self._rows_by_version: dict[tuple[str, str], _Rows] = {}
        # From then on no endpoint is ejected or new.
        self._calm_from_s = -math.inf

    def update_endpoints(self, view: _effects.View, now_s: float) -> None:
        """Take over which endpoints there are."""
        nodes: set[str] = set()
        first = not self._endpoints_by_node
        for rows in view.members_by_service.values():
            nodes.update(row.node for row in rows)
        for node in nodes - self._endpoints_by_node.keys():
            self._endpoints_by_node[node] = Endpoint(
                first_seen_s=-math.inf if first else now_s
            )
            if not first:
                self._calm_from_s = max(
                    self._calm_from_s, now_s + _SLOW_START_S
                )
        for node in self._endpoints_by_node.keys() - nodes:
            if not self._endpoints_by_node[node].outstanding:
                del self._endpoints_by_node[node]
        for key in list(self._rows_by_version):
            if key[0] not in view.members_by_service:
                del self._rows_by_version[key]

    def choose(
        self,
        view: _effects.View,
        service: str,
        version: str,
        now_s: float,
        tried: abc.Set[str] = frozenset(),
    ) -> members.Member | None:
        """Return the endpoint to try next, none of those in ``tried``."""
        found = self.candidates(view, service, version, now_s, tried)
        return found[0] if found else None

    def candidates(
        self,
        view: _effects.View,
        service: str,
        version: str,
        now_s: float,
        tried: abc.Set[str] = frozenset(),
    ) -> list[members.Member]:
        """Return a few endpoints, the best to try next first.

        None of those in ``tried`` is among them.
        """
        found = self._rows(view, service, version)
        if not tried and now_s >= self._calm_from_s:
            drawn = self._draw(found.near) + self._draw(found.far)
            return self._by_cost(drawn, now_s, _FAR_COST)
        rows = [
            row
            for row in self._staying(found.near + found.far, now_s)
            if row.node not in tried
        ]
        near = [row for row in rows if row.data_centre == self._data_centre]
        far = [row for row in rows if row.data_centre != self._data_centre]
        drawn = self._some(near, now_s) + self._some(far, now_s)
        if not drawn:
            return rows[:1]
        far_cost = _FAR_COST_AGAIN if tried else _FAR_COST
        return self._by_cost(drawn, now_s, far_cost)

    def record_sent(self, node: str) -> None:
        """Note that a call was sent to ``node``."""
        old = self._get(node)
        self._endpoints_by_node[node] = msgspec.structs.replace(
            old, outstanding=old.outstanding + 1
        )

    def record_released(self, node: str) -> None:
        """Note that a call was given up, or was not sent after all."""
        old = self._get(node)
        self._endpoints_by_node[node] = msgspec.structs.replace(
            old, outstanding=max(0, old.outstanding - 1)
        )

    def record_answer(
        self, node: str, report: AnswerReport, now_s: float
    ) -> None:
        """Note an answer of ``node``, or a refusal to start a call."""
        old = self._get(node)
        slowness, failing = old.slowness, old.failing
        if report.taken_ms > 0.0:
            faded = self._faded(old, now_s)
            seen = min(self._relative(report), _MOST_SLOWNESS)
            slowness = faded + _SMOOTHING * (seen - faded)
            failing += _SMOOTHING * (float(report.failed) - failing)
        self._endpoints_by_node[node] = Endpoint(
            outstanding=max(0, old.outstanding - 1),
            in_flight=report.in_flight,
            slots=report.slots,
            reported_s=now_s,
            slowness=slowness,
            failing=failing,
            first_seen_s=old.first_seen_s,
        )

    def record_unreachable(self, node: str, now_s: float) -> None:
        """Eject an endpoint that no connection could be opened to."""
        outstanding = self._get(node).outstanding
        self.record_failure(node, now_s, unreachable=True)
        self._endpoints_by_node[node] = msgspec.structs.replace(
            self._get(node), outstanding=outstanding
        )

    def record_failure(
        self, node: str, now_s: float, unreachable: bool
    ) -> None:
        """Note a lost call; eject the endpoint after some in a row."""
        old = self._get(node)
        failures = old.failures + 1
        ejections, until_s = old.ejections, old.ejected_until_s
        if unreachable or failures >= _FAILURES_TO_EJECT:
            period_s = min(_EJECT_CAP_S, _EJECT_BASE_S * 2**ejections)
            until_s = now_s + period_s * self._rng.uniform(0.75, 1.25)
            self._calm_from_s = max(self._calm_from_s, until_s)
            ejections, failures = ejections + 1, 0
        self._endpoints_by_node[node] = msgspec.structs.replace(
            old,
            outstanding=max(0, old.outstanding - 1),
            failures=failures,
            ejections=min(ejections, 16),
            ejected_until_s=until_s,
        )

    def _rows(self, view: _effects.View, service: str, version: str) -> _Rows:
        """Return the endpoints of a version; kept while they stay."""
        key = (service, version)
        members_now = view.members_by_service.get(service, ())
        known = self._rows_by_version.get(key)
        if known is not None and known.source is members_now:
            return known
        serving = [
            row
            for row in members_now
            if row.version == version
            and row.state is members.MemberState.SERVING
        ]
        own = self._data_centre
        rows = _Rows(
            source=members_now,
            near=[row for row in serving if row.data_centre == own],
            far=[row for row in serving if row.data_centre != own],
        )
        self._rows_by_version[key] = rows
        return rows

    def _get(self, node: str) -> Endpoint:
        return self._endpoints_by_node.get(node, _UNKNOWN)

    def _staying(
        self, rows: list[members.Member], now_s: float
    ) -> list[members.Member]:
        # With too many ejected, the fault is likely on this side or
        # everywhere, and the few that stay would be overrun.
        def until_s(row: members.Member) -> float:
            return self._get(row.node).ejected_until_s

        staying = [row for row in rows if until_s(row) <= now_s]
        least = math.ceil(len(rows) * _STAYING_SHARE)
        if len(staying) < least:
            staying = sorted(rows, key=until_s)[:least]
        return staying

    def _some(
        self, rows: list[members.Member], now_s: float
    ) -> list[members.Member]:
        """Draw candidates; one that has just appeared is drawn rarely."""
        return self._draw(
            [row for row in rows if self._takes_part(row, now_s)]
        )

    def _draw(self, rows: list[members.Member]) -> list[members.Member]:
        return self._rng.sample(rows, min(_CANDIDATES, len(rows)))

    def _takes_part(self, row: members.Member, now_s: float) -> bool:
        age_s = now_s - self._get(row.node).first_seen_s
        if age_s >= _SLOW_START_S:
            return True
        share = max(_SLOW_START_SHARE, age_s / _SLOW_START_S)
        return self._rng.random() < share

    def _relative(self, report: AnswerReport) -> float:
        usual_ms = self._usual_ms_by_route.get(report.route, report.taken_ms)
        # Slow outliers must not become the measure of the others.
        seen_ms = min(report.taken_ms, 4.0 * usual_ms)
        usual_ms += _ROUTE_SMOOTHING * (seen_ms - usual_ms)
        self._usual_ms_by_route[report.route] = usual_ms
        return report.taken_ms / max(usual_ms, 1.0)

    def _faded(self, endpoint: Endpoint, now_s: float) -> float:
        age_s = max(0.0, now_s - endpoint.reported_s)
        return 1.0 + (endpoint.slowness - 1.0) * math.exp(-age_s / _MEMORY_S)

    def _by_cost(
        self, rows: list[members.Member], now_s: float, far_cost: float
    ) -> list[members.Member]:
        return sorted(rows, key=lambda row: self._cost(row, now_s, far_cost))

    def _cost(
        self, row: members.Member, now_s: float, far_cost: float
    ) -> float:
        endpoint = self._get(row.node)
        slots = max(1, endpoint.slots or row.slots)
        reported = endpoint.in_flight
        age_s = now_s - endpoint.reported_s
        if age_s > _REPORT_FRESH_S:
            reported = 0
        busy = max(reported, endpoint.outstanding)
        queued = max(0, busy + 1 - slots) / slots
        slowness = self._faded(endpoint, now_s)
        cost = max(1.0, slowness / _USUAL_SLOWNESS) + slowness * queued
        # Among idle endpoints the emptier one goes first.
        cost += 0.1 * min(1.0, busy / slots)
        failing = min(_MOST_FAILING, endpoint.failing)
        failing *= math.exp(-max(0.0, age_s) / _MEMORY_S)
        cost /= math.pow(1.0 - failing, _FAILURE_POWER)
        if row.data_centre != self._data_centre:
            cost += far_cost
        return cost
