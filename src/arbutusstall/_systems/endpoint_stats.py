"""What a proxy knows of an endpoint from its own calls."""

import dataclasses
import math

import msgspec


class EndpointStats(msgspec.Struct, frozen=True, kw_only=True):
    """Statistics of one endpoint, as observed by one caller's proxy.

    A `msgspec.Struct` because it is copied for each call.

    Attributes:
        outstanding: Number of this caller's calls without an answer.
        in_flight: Number of requests at the target and in its queue,
            according to its last answer.
        slots: Number of requests that the target runs concurrently,
            according to its last answer; 0 if unknown.
        reported_s: Monotonic time of the last answer.
        latency_ratio: Smoothed latency of its calls, divided by the usual
            latency of the same routes.
        error_rate: Smoothed share of its answers that report an error, 0
            to 1.
        failures: Number of lost calls since the last answer or
            ejection.
        ejections: Number of ejections since the last answer.
        ejected_until_s: Monotonic time at which the ejection ends.
        first_seen_s: Monotonic time at which the endpoint was first
            listed; minus infinity if it was listed from the start.
        limited_until_s: Monotonic time until which it is at the limit of
            its rate.
        limited_rank: Calls of this rank or a higher one are over the limit.
        shares_machine: Whether its target has told how long work takes on
            its machine, which it shares with others.
    """

    outstanding: int = 0
    in_flight: int = 0
    slots: int = 0
    reported_s: float = -math.inf
    latency_ratio: float = 1.0
    error_rate: float = 0.0
    failures: int = 0
    ejections: int = 0
    ejected_until_s: float = -math.inf
    first_seen_s: float = -math.inf
    limited_until_s: float = -math.inf
    limited_rank: int = 0
    shares_machine: bool = False

    def is_limited(self, rank: int, now_s: float) -> bool:
        """Return whether calls of ``rank`` are over the endpoint's limit."""
        return now_s < self.limited_until_s and rank >= self.limited_rank

    def with_limit(
        self, rank: int, until_s: float, now_s: float
    ) -> "EndpointStats":
        """Return the statistics after a refusal of a call of ``rank``.

        Args:
            until_s: Monotonic time until which the limit is reached.
        """
        if now_s < self.limited_until_s:
            rank = min(rank, self.limited_rank)
        return msgspec.structs.replace(
            self, limited_until_s=until_s, limited_rank=rank
        )


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class AnswerReport:
    """Load and latency of an endpoint, as reported with an answer.

    Attributes:
        in_flight: Number of requests at the target and in its queue.
        slots: Number of requests that the target runs concurrently.
        route: Route of the call. Latencies are compared within a route.
        taken_ms: Time that the target took; 0 if the call did not run.
        failed: Whether the answer reports an error.
        shares_machine: As in `EndpointStats`.
        route_ms: Recent mean of the target's run times on the route; 0 if
            it is not known.
    """

    in_flight: int
    slots: int
    route: str = ""
    taken_ms: float = 0.0
    failed: bool = False
    shares_machine: bool = False
    route_ms: float = 0.0
