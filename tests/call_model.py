"""A model of one request, two inbound proxies and an unreliable network.

Messages may arrive late, repeatedly or never, in any order. But a call
that reached one incarnation of an inbound proxy never reaches a later
one, since its request is sent once, over one connection. The model uses
the decision functions of the product.
"""

from collections import abc
import dataclasses
import enum

from arbutusstall._systems import admission
from arbutusstall._systems import attempts
from arbutusstall._systems import estimate
from arbutusstall._systems import revocation
from arbutusstall._wire import messages

NODES = 2
HORIZON_MS = 1_000
ENTRIES = 1

_MAX_PACKETS = 8


class Action(enum.Enum):
    """A step of the model."""

    DELIVER = "deliver"
    FINISH = "finish"
    CRASH = "crash"
    GIVE_UP = "give up waiting"
    PASS_TIME = "pass time"
    OTHER_CALL = "other call"
    REACH_TARGET = "reach target"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Packet:
    """A message; ``to`` is the index of a node, or -1 for the caller."""

    to: int
    message: messages.Message


class Inbound:
    """One incarnation of an inbound proxy, and its target.

    Attributes:
        running: Ids of started calls; true once the target got the call.
    """

    def __init__(self, table_type: type, incarnation: int, now_ms: int):
        self._began_ms = now_ms
        self.incarnation = incarnation
        limits = revocation.Limits(
            horizon_ms=HORIZON_MS, max_entries=ENTRIES, max_answer_bytes=10
        )
        table = table_type(incarnation, limits)
        self.admission = admission.Admission(table, 1, 2, 100_000)
        self.running: dict[str, bool] = {}

    def clock_ms(self, now_ms: int) -> int:
        """Return milliseconds since the start of this incarnation."""
        return now_ms - self._began_ms


class Model:
    """Runs actions and records executions and the caller's result.

    Attributes:
        packets: All messages sent; any may be delivered at any time.
        executions: Ids of the calls that a target ran.
        reported: Step that reports the outcome to the caller; None until
            there is one.
    """

    def __init__(
        self, idempotent: bool, table_type: type = revocation.CallTable
    ) -> None:
        self._table_type = table_type
        self._idempotent = idempotent
        self.now_ms = 0
        self._incarnations = 1
        self.nodes = [Inbound(table_type, 1, 0) for _ in range(NODES)]
        self._clock_bounds = [
            estimate.ClockBound(incarnation=1, clock_ms=0, seen_s=0.0)
            for _ in range(NODES)
        ]
        self.packets: list[Packet] = []
        self._inbound_by_call_id: dict[str, Inbound] = {}
        self.executions: list[str] = []
        self.reported: attempts.Step | None = None
        self._call: messages.CallRequest | None = None
        self._node = 0
        self._revoking = False
        self._earlier_lost = False
        self._other_call_count = 0
        self._send()

    def step(self, action: Action, number: int) -> None:
        """Run an action on the object that ``number`` selects."""
        handlers: dict[Action, abc.Callable[[int], None]] = {
            Action.DELIVER: self._deliver,
            Action.FINISH: self._finish,
            Action.CRASH: self._crash,
            Action.GIVE_UP: self._give_up,
            Action.PASS_TIME: self._pass_time,
            Action.OTHER_CALL: self._other_call,
            Action.REACH_TARGET: self._reach_target,
        }
        handlers[action](number)

    def _send(self) -> None:
        self._revoking = False
        bound = self._clock_bounds[self._node]
        self._call = _request(
            f"call-{len(self.packets)}",
            bound.incarnation,
            bound.at(self.now_ms / 1000),
            self._idempotent,
        )
        self._add_packet(self._node, self._call)

    def _add_packet(self, to: int, message: messages.Message) -> None:
        self.packets.append(Packet(to=to, message=message))

    def _deliver(self, number: int) -> None:
        packet = self.packets[number % len(self.packets)]
        if packet.to < 0:
            self._receive_at_caller(packet.message)
        elif isinstance(packet.message, messages.CallRequest):
            self._receive_call(packet.to, packet.message)
        elif isinstance(packet.message, messages.CallRevoke):
            self._receive_revoke(packet.to, packet.message)

    def _receive_call(self, index: int, call: messages.CallRequest) -> None:
        node = self.nodes[index]
        inbound = self._inbound_by_call_id.setdefault(call.call_id, node)
        if inbound is not node:
            return
        attempt_id = revocation.AttemptId(
            call_id=call.call_id,
            incarnation=call.incarnation,
            sent_ms=call.sent_ms,
        )
        decision = node.admission.request_slot(
            attempt_id, node.clock_ms(self.now_ms), 100_000
        )
        if decision.verdict is admission.Verdict.START:
            node.running[call.call_id] = False
        elif decision.verdict is admission.Verdict.REFUSE:
            self._answer(index, call.call_id, refusal=decision.refusal)

    def _reach_target(self, number: int) -> None:
        node = self.nodes[number % NODES]
        for call_id, reached in node.running.items():
            if not reached:
                node.running[call_id] = True
                self.executions.append(call_id)
                return

    def _finish(self, number: int) -> None:
        index = number % NODES
        node = self.nodes[index]
        if not node.running:
            return
        call_id, reached = next(iter(node.running.items()))
        del node.running[call_id]
        now_ms = node.clock_ms(self.now_ms)
        if reached:
            answer = messages.CallAnswer(call_id=call_id, status=200)
            node.admission.table.finish(call_id, answer, now_ms)
            self._answer(index, call_id)
        else:
            node.admission.table.withdraw(call_id, now_ms)
            self._answer(index, call_id, refusal=admission.UNREACHABLE)
        for started in node.admission.release_slot(call_id, now_ms):
            node.running[started] = False

    def _answer(self, index: int, call_id: str, refusal: str = "") -> None:
        node = self.nodes[index]
        duplicate = refusal == revocation.DUPLICATE
        answer = messages.CallAnswer(
            call_id=call_id,
            status=0 if refusal else 200,
            not_run="" if duplicate else refusal,
            unknown=refusal if duplicate else "",
            incarnation=node.incarnation,
            clock_ms=node.clock_ms(self.now_ms),
        )
        self._add_packet(-1, answer)

    def _receive_revoke(self, index: int, revoke: messages.CallRevoke) -> None:
        node = self.nodes[index]
        attempt_id = revocation.AttemptId(
            call_id=revoke.call_id,
            incarnation=revoke.incarnation,
            sent_ms=revoke.sent_ms,
        )
        table = node.admission.table
        state = table.revoke(attempt_id, node.clock_ms(self.now_ms))
        entry = table.get(revoke.call_id)
        answer = entry.answer if entry else None
        self._add_packet(
            -1,
            messages.CallRevoked(
                call_id=revoke.call_id, state=state, answer=answer
            ),
        )

    def _crash(self, number: int) -> None:
        self._incarnations += 1
        self.nodes[number % NODES] = Inbound(
            self._table_type, self._incarnations, self.now_ms
        )

    def _pass_time(self, number: int) -> None:
        self.now_ms += (1, 30, 400, 1_100)[number % 4]
        for node in self.nodes:
            node.admission.table.expire(node.clock_ms(self.now_ms))

    def _other_call(self, number: int) -> None:
        index = number % NODES
        node = self.nodes[index]
        self._other_call_count += 1
        call = _request(
            f"other-{self._other_call_count}",
            node.incarnation,
            node.clock_ms(self.now_ms),
            True,
        )
        self._receive_call(index, call)

    def _give_up(self, _: int) -> None:
        if self.reported is not None:
            return
        if not self._revoking:
            self._revoking = True
            self._add_packet(
                self._node,
                messages.CallRevoke(
                    call_id=self._call.call_id,
                    incarnation=self._call.incarnation,
                    sent_ms=self._call.sent_ms,
                ),
            )
            return
        self._end_attempt(attempts.from_revocation(None, "silent"))

    def _receive_at_caller(self, message: messages.Message) -> None:
        if self.reported is not None or message.call_id != self._call.call_id:
            return
        if isinstance(message, messages.CallAnswer):
            if message.incarnation:
                self._clock_bounds[self._node] = estimate.tighten(
                    self._clock_bounds[self._node],
                    message.incarnation,
                    message.clock_ms,
                    self.now_ms / 1000,
                )
            self._end_attempt(attempts.from_answer(message))
        elif message.state is not messages.RevokeState.RUNNING:
            self._end_attempt(attempts.from_revocation(message, "silent"))

    def _end_attempt(self, attempt: attempts.Attempt) -> None:
        step = attempts.next_step(
            attempt,
            idempotent=self._idempotent,
            earlier_lost=self._earlier_lost,
        )
        self._earlier_lost |= attempt.state is attempts.AttemptState.LOST
        if step is not attempts.Step.RETRY:
            self.reported = step
            return
        if len(self.packets) > _MAX_PACKETS:
            self.reported = attempts.final_step(
                attempt, earlier_lost=self._earlier_lost
            )
            return
        self._node = (self._node + 1) % NODES
        self._send()


def _request(
    call_id: str, incarnation: int, sent_ms: int, idempotent: bool
) -> messages.CallRequest:
    return messages.CallRequest(
        call_id=call_id,
        request_id="request",
        incarnation=incarnation,
        sent_ms=sent_ms,
        service="vazeni",
        version="v1",
        route="/vazeni",
        method="POST",
        path="/vazeni",
        headers=(),
        body=b"",
        deadline_ms=100_000,
        idempotent=idempotent,
    )
