"""Model of callers and of endpoints that limit their rate, in virtual time.

It drives admission, the states of targets and balancing without a network.
"""

import collections
import random

import calls

from arbutusstall import _effects
from arbutusstall._proxy import target_states
from arbutusstall._systems import admission
from arbutusstall._systems import balancing
from arbutusstall._systems import endpoint_stats
from arbutusstall._systems import revocation
from arbutusstall._tables import members
from arbutusstall._wire import messages

_STEP_MS = 5
_RUN_MS = 40
_SLOTS = 16
_MAX_REFUSALS = 3
_SERVICE = "kvoty"


class _NoLog:
    """Takes the place of `target_log.TargetLog`."""

    def state_changed(self, target, before, after, sent):
        """Ignore the change."""


class Endpoint:
    """A target that names a limit, and the inbound proxy beside it.

    Attributes:
        limit_per_s: Limit that it names at present.
        started_ms: Times at which it got requests.
    """

    def __init__(self, name: str) -> None:
        self.target = _effects.Announced(
            service=_SERVICE,
            version="v1",
            address=name,
            slots=_SLOTS,
            instance=name,
        )
        self.limit_per_s: float | None = None
        self.started_ms: list[int] = []
        self._ends_ms: list[tuple[int, str]] = []
        self.restart(0)

    def restart(self, now_ms: int) -> None:
        """Replace the proxy by one that knows nothing."""
        limits = revocation.Limits(
            horizon_ms=60_000, max_entries=10_000, max_answer_bytes=1_000_000
        )
        table = revocation.CallTable(1, limits)
        self.admission = admission.Admission(table, _SLOTS, 256, 1_500)
        self.state = target_states.LocalTargetState(
            self.admission.limit, _NoLog()
        )
        self.state.set_target(self.target, now_ms)
        self._ends_ms = []

    def submit(self, call, now_ms: int) -> messages.CallAnswer:
        """Return the answer to a call, at once."""
        self.state.learn_from_caller(call.target_state, 0, now_ms)
        attempt = revocation.AttemptId(
            call_id=call.call_id, incarnation=1, sent_ms=now_ms
        )
        decision = self.admission.request_slot(
            attempt, now_ms, 1_000, rank=call.rank, aim_ms=100
        )
        answer = messages.CallAnswer(call_id=call.call_id, status=200)
        if decision.verdict is admission.Verdict.REFUSE:
            answer = admission.refusal(
                call, decision.refusal, decision.retry_after_ms
            )
        elif decision.verdict is admission.Verdict.START:
            self._start(call.call_id, now_ms)
        return self.state.annotate(answer, call)

    def advance(self, now_ms: int) -> None:
        """End the requests that are due; each answer names the limit."""
        due = [item for item in self._ends_ms if item[0] <= now_ms]
        self._ends_ms = [item for item in self._ends_ms if item[0] > now_ms]
        for _, call_id in due:
            state = messages.TargetState(
                start=self.target.start, limit_per_s=self.limit_per_s
            )
            self.state.learn_from_answer(state, 0, now_ms)
            self.admission.remove_excess(now_ms)
            for other in self.admission.release_slot(call_id, now_ms):
                self._start(other, now_ms)

    def _start(self, call_id: str, now_ms: int) -> None:
        self.started_ms.append(now_ms)
        self._ends_ms.append((now_ms + _RUN_MS, call_id))


class Caller:
    """An outbound proxy: its balancer and the states that it was told."""

    def __init__(self, seed: int) -> None:
        self.balancer = balancing.Balancer("lipno", random.Random(seed))
        self.states = target_states.RemoteTargetStates()


class LimitModel:
    """Callers that send requests at a constant rate to all endpoints.

    Attributes:
        sent: Number of requests by rank.
        answered: Number of those that were accepted by an endpoint.
        refusals: Number of refusals by endpoints.
    """

    def __init__(self, callers: int, endpoints: int) -> None:
        self.endpoints = [Endpoint(f"n{n}") for n in range(endpoints)]
        self.callers = [Caller(seed) for seed in range(callers)]
        self.now_ms = 0
        self.sent: collections.Counter[int] = collections.Counter()
        self.answered: collections.Counter[int] = collections.Counter()
        self.refusals = 0
        self._rng = random.Random(1)
        self._view = _effects.View(
            members_by_service={_SERVICE: tuple(map(_row, self.endpoints))}
        )
        for caller in self.callers:
            caller.balancer.update_endpoints(self._view, 0.0)

    def run(self, seconds: float, rate: float, ranks=(1,)) -> None:
        """Send ``rate`` requests a second for a time, with random ranks."""
        for _ in range(int(seconds * 1_000 / _STEP_MS)):
            self.now_ms += _STEP_MS
            for endpoint in self.endpoints:
                endpoint.advance(self.now_ms)
            due = rate * _STEP_MS / 1_000
            for _ in range(int(due) + (self._rng.random() < due % 1.0)):
                caller = self._rng.choice(self.callers)
                self._send(caller, self._rng.choice(ranks))

    def _send(self, caller: Caller, rank: int) -> None:
        self.sent[rank] += 1
        tried: set[str] = set()
        while len(tried) <= _MAX_REFUSALS:
            member = caller.balancer.choose(
                self._view, _SERVICE, "v1", self.now_ms / 1_000, tried, rank
            )
            if member is None:
                return
            tried.add(member.node)
            answer = self._call(caller, member.node, rank)
            if not answer.not_run:
                self.answered[rank] += 1
                return
            self.refusals += 1

    def _call(self, caller: Caller, node: str, rank: int):
        call = calls.booking(
            call_id=f"c{sum(self.sent.values())}-{node}",
            sent_ms=self.now_ms,
            rank=rank,
            target_state=caller.states.get(node),
        )
        endpoint = self.endpoints[int(node[1:])]
        answer = endpoint.submit(call, self.now_ms)
        now_s = self.now_ms / 1_000
        caller.states.record(node, answer.target_state)
        report = endpoint_stats.AnswerReport(
            in_flight=endpoint.admission.load,
            slots=_SLOTS,
            taken_ms=0 if answer.not_run else _RUN_MS,
        )
        caller.balancer.record_sent(node)
        caller.balancer.record_answer(node, report, now_s)
        if answer.not_run == admission.OVER_LIMIT:
            caller.balancer.record_limited(
                node, rank, answer.retry_after_ms / 1_000, now_s
            )
        return answer


def _row(endpoint: Endpoint) -> members.Member:
    return members.Member(
        node=endpoint.target.instance,
        data_centre="lipno",
        incarnation=1,
        state=members.MemberState.SERVING,
        service=_SERVICE,
        version="v1",
        slots=_SLOTS,
    )
