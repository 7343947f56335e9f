"""Takes large bodies of calls from other nodes, a few at a time.

A call with a large body comes without it. The body is asked for when the
call would be admitted and its turn has come, so that a refusal costs the
link nothing and small messages find it free.
"""

import asyncio
from collections import abc
import dataclasses

import msgspec

from arbutusstall import _settings
from arbutusstall._proxy import byte_budget
from arbutusstall._proxy import inbound
from arbutusstall._systems import admission
from arbutusstall._systems import revocation
from arbutusstall._systems import transfers
from arbutusstall._wire import messages

INCOMPLETE = "the body is not as long as announced"
NO_ROOM = "no room for the body"

# Part of the time left that a body may wait for its turn.
_WAIT_PART = 0.25


@dataclasses.dataclass(kw_only=True, slots=True)
class _Offer:
    call: messages.CallRequest
    done: inbound.AnswerCallback
    want: transfers.Wanted
    reservation: byte_budget.Reservation
    arrived_s: float
    timer: asyncio.TimerHandle
    body: bytearray = dataclasses.field(default_factory=bytearray)


class BodyReceiver:
    """Calls of other nodes whose bodies are still to come.

    Args:
        budget: Counts the bodies that the process holds.
    """

    def __init__(
        self,
        proxy: inbound.Inbound,
        reads: _settings.ReadSettings,
        budget: byte_budget.ByteBudget,
    ) -> None:
        self._proxy = proxy
        self._budget = budget
        self._loop = asyncio.get_running_loop()
        self._transfers = transfers.Transfers(reads.bodies)
        self._offers_by_id: dict[str, _Offer] = {}

    def offer(
        self,
        call: messages.CallRequest,
        want: transfers.Wanted,
        done: inbound.AnswerCallback,
    ) -> None:
        """Refuse a call at once, or ask for its body in its turn.

        Args:
            want: Asks the sender for the body.
            done: Called once with the answer.
        """
        refusal = self._proxy.refusal_reason(call)
        if call.call_id in self._offers_by_id:
            # Of the two at most one may run; neither does.
            refusal = revocation.DUPLICATE
        if refusal:
            self._proxy.refuse(call, refusal, done)
            return
        left_ms = call.aim_ms or call.deadline_ms
        wait_ms = self._transfers.wait_ms(call.rank)
        if wait_ms > left_ms * _WAIT_PART:
            reason = admission.OVERLOAD
            self._proxy.refuse(call, reason, done, wait_ms)
            return
        self._offers_by_id[call.call_id] = _Offer(
            call=call,
            done=done,
            want=want,
            reservation=byte_budget.Reservation(self._budget),
            arrived_s=self._loop.time(),
            timer=self._loop.call_later(
                left_ms * _WAIT_PART / 1000, self._waited, call.call_id
            ),
        )
        body = transfers.Body(
            call_id=call.call_id, rank=call.rank, size=call.body_bytes
        )
        self._ask(self._transfers.offer(body, self._proxy.now_ms()))
        self._note_known()

    def take(self, part: messages.CallBody) -> None:
        """Add a part of a body; the call is submitted with the last."""
        offer = self._offers_by_id.get(part.call_id)
        if offer is None:
            return
        offer.body += part.data
        if self._proxy.admission.draining:
            self._refuse(part.call_id, admission.DRAINING)
        elif not offer.reservation.reserve(len(part.data)):
            self._refuse(part.call_id, NO_ROOM)
        elif len(offer.body) > offer.call.body_bytes:
            self._refuse(part.call_id, INCOMPLETE)
        elif part.last:
            self._complete(offer)

    def drop(self, call_id: str, *, come: bool = False) -> bool:
        """Forget a call with its body; false if there is none.

        Args:
            come: Whether all of the body has come.
        """
        offer = self._offers_by_id.pop(call_id, None)
        if offer is None:
            return False
        offer.timer.cancel()
        offer.reservation.release()
        now_ms = self._proxy.now_ms()
        self._ask(self._transfers.end(call_id, now_ms, come=come))
        self._note_known()
        return True

    def _note_known(self) -> None:
        self._proxy.admission.announced = self._transfers.known

    def _ask(self, call_ids: abc.Iterable[str]) -> None:
        for call_id in call_ids:
            offer = self._offers_by_id[call_id]
            offer.timer.cancel()
            left_s = offer.call.deadline_ms / 1000
            offer.timer = self._loop.call_at(
                offer.arrived_s + left_s, self._refuse, call_id, admission.LATE
            )
            offer.want(call_id)

    def _complete(self, offer: _Offer) -> None:
        call = offer.call
        if len(offer.body) != call.body_bytes:
            self._refuse(call.call_id, INCOMPLETE)
            return
        self.drop(call.call_id, come=True)
        spent_ms = int((self._loop.time() - offer.arrived_s) * 1000)
        whole = msgspec.structs.replace(
            call,
            body=bytes(offer.body),
            body_bytes=0,
            sent_ms=call.sent_ms + spent_ms,
            deadline_ms=call.deadline_ms - spent_ms,
            aim_ms=max(1, call.aim_ms - spent_ms) if call.aim_ms else 0,
        )
        self._proxy.submit(whole, offer.done)

    def _waited(self, call_id: str) -> None:
        self._refuse(call_id, admission.OVERLOAD)

    def _refuse(self, call_id: str, reason: str) -> None:
        offer = self._offers_by_id[call_id]
        self.drop(call_id)
        self._proxy.refuse(offer.call, reason, offer.done)
