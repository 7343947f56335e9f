"""Chooses an endpoint by locality, load and recent failures."""

from collections import abc
import dataclasses
import math
import random

from arbutusstall import _effects
from arbutusstall._tables import members

_SPILL_LOAD = 0.8
_FAILURES_TO_EJECT = 3
_EJECT_BASE_S = 0.5
_EJECT_CAP_S = 30.0
_STAYING_SHARE = 0.5
_SLOW_START_S = 5.0
_SLOW_START_WEIGHT = 0.1
_REPORT_FRESH_S = 1.0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Endpoint:
    """What a caller's proxy knows of an endpoint.

    Attributes:
        outstanding: Own calls without an answer.
        in_flight: Requests at the target by its last answer.
        slots: Requests the target runs at once by its last answer.
        reported_s: Monotonic time of the last answer.
        failures: Failures since the last good answer.
        ejections: Ejections since the last good answer.
        ejected_until_s: Monotonic time until which it is avoided.
        first_seen_s: Monotonic time when it became known.
    """

    outstanding: int = 0
    in_flight: int = 0
    slots: int = 0
    reported_s: float = -math.inf
    failures: int = 0
    ejections: int = 0
    ejected_until_s: float = -math.inf
    first_seen_s: float = -math.inf


class Balancer:
    """Load and failures of the endpoints; not thread-safe."""

    def __init__(self, data_centre: str, rng: random.Random) -> None:
        self._data_centre = data_centre
        self._rng = rng
        self._endpoints_by_node: dict[str, Endpoint] = {}

    def put_in_force(self, view: _effects.View, now_s: float) -> None:
        """Take over which endpoints there are."""
        nodes: set[str] = set()
        first = not self._endpoints_by_node
        for rows in view.members_by_service.values():
            nodes.update(row.node for row in rows)
        for node in nodes - self._endpoints_by_node.keys():
            self._endpoints_by_node[node] = Endpoint(
                first_seen_s=-math.inf if first else now_s
            )
        for node in self._endpoints_by_node.keys() - nodes:
            if not self._endpoints_by_node[node].outstanding:
                del self._endpoints_by_node[node]

    def choose(
        self,
        view: _effects.View,
        service: str,
        version: str,
        now_s: float,
        tried: abc.Set[str] = frozenset(),
    ) -> members.Member | None:
        """Return the endpoint to try next, none of those in ``tried``."""
        rows = [
            row
            for row in view.members_by_service.get(service, ())
            if row.version == version
            and row.state is members.MemberState.SERVING
        ]
        rows = [
            row for row in self._staying(rows, now_s) if row.node not in tried
        ]
        near = [row for row in rows if row.data_centre == self._data_centre]
        if not near:
            return self._pick(rows, now_s)
        best = self._pick(near, now_s)
        far = [row for row in rows if row.data_centre != self._data_centre]
        if best is None or not far or self._load(best, now_s) < _SPILL_LOAD:
            return best
        other = self._pick(far, now_s)
        if other and self._load(other, now_s) < self._load(best, now_s):
            return other
        return best

    def sent(self, node: str) -> None:
        """Note that a call was sent to ``node``."""
        old = self._get(node)
        self._endpoints_by_node[node] = dataclasses.replace(
            old, outstanding=old.outstanding + 1
        )

    def released(self, node: str) -> None:
        """Note that a call was not sent to ``node`` after all."""
        old = self._get(node)
        self._endpoints_by_node[node] = dataclasses.replace(
            old, outstanding=max(0, old.outstanding - 1)
        )

    def loaded(
        self, node: str, in_flight: int, slots: int, now_s: float
    ) -> None:
        """Note the load that a refusal of ``node`` carried."""
        old = self._get(node)
        self._endpoints_by_node[node] = dataclasses.replace(
            old,
            outstanding=max(0, old.outstanding - 1),
            in_flight=in_flight,
            slots=slots,
            reported_s=now_s,
        )

    def answered(
        self, node: str, in_flight: int, slots: int, now_s: float
    ) -> None:
        """Note a good answer of ``node`` and the load it carried."""
        old = self._get(node)
        self._endpoints_by_node[node] = Endpoint(
            outstanding=max(0, old.outstanding - 1),
            in_flight=in_flight,
            slots=slots,
            reported_s=now_s,
            first_seen_s=old.first_seen_s,
        )

    def failed(self, node: str, now_s: float, unreachable: bool) -> None:
        """Note a failed call; eject the endpoint after some in a row."""
        old = self._get(node)
        failures = old.failures + 1
        ejections, until_s = old.ejections, old.ejected_until_s
        if unreachable or failures >= _FAILURES_TO_EJECT:
            period_s = min(_EJECT_CAP_S, _EJECT_BASE_S * 2**ejections)
            until_s = now_s + period_s * self._rng.uniform(0.75, 1.25)
            ejections, failures = ejections + 1, 0
        self._endpoints_by_node[node] = dataclasses.replace(
            old,
            outstanding=max(0, old.outstanding - 1),
            failures=failures,
            ejections=min(ejections, 16),
            ejected_until_s=until_s,
        )

    def _get(self, node: str) -> Endpoint:
        return self._endpoints_by_node.get(node, Endpoint())

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

    def _pick(
        self, rows: list[members.Member], now_s: float
    ) -> members.Member | None:
        if len(rows) < 2:
            return rows[0] if rows else None
        weights = [self._weight(row.node, now_s) for row in rows]
        one, two = self._rng.choices(rows, weights, k=2)
        return min(one, two, key=lambda row: self._load(row, now_s))

    def _weight(self, node: str, now_s: float) -> float:
        age_s = now_s - self._get(node).first_seen_s
        if age_s >= _SLOW_START_S:
            return 1.0
        return max(_SLOW_START_WEIGHT, age_s / _SLOW_START_S)

    def _load(self, row: members.Member, now_s: float) -> float:
        endpoint = self._get(row.node)
        reported = endpoint.in_flight
        if now_s - endpoint.reported_s > _REPORT_FRESH_S:
            reported = 0
        busy = max(reported, endpoint.outstanding)
        return busy / max(1, endpoint.slots or row.slots)
