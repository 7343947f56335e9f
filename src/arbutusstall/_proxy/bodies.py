"""Receives large bodies of calls from other nodes, a few at a time.

A call with a large body arrives without it. The body is requested once
the call would be admitted and a transfer slot is free. A refused call thus
uses none of the link's bandwidth, and small messages are not delayed.
"""

import asyncio
from collections import abc
import dataclasses

import msgspec

from arbutusstall import _settings
from arbutusstall._proxy import byte_budget
from arbutusstall._proxy import call_memory
from arbutusstall._proxy import inbound
from arbutusstall._proxy import request_limits
from arbutusstall._systems import admission
from arbutusstall._systems import revocation
from arbutusstall._systems import transfers
from arbutusstall._wire import messages

LENGTH_MISMATCH = "the body is not as long as announced"
NO_ROOM = call_memory.NO_BODY_ROOM

# Fraction of a call's remaining time that its body may wait to be requested.
_MAX_WAIT_FRACTION = 0.25


@dataclasses.dataclass(kw_only=True, slots=True)
class _PendingBody:
    """A call whose body has not arrived completely.

    Attributes:
        head: Bytes of the budget of heads that the call takes.
        reservation: Bytes of the budget that the received part takes.
        timer: Refuses the call when its body is not requested, or does
            not arrive, in time.
        body: The part received so far.
    """

    call: messages.CallRequest
    done: inbound.AnswerCallback
    request_body: transfers.RequestBody
    head: byte_budget.Reservation
    reservation: byte_budget.Reservation
    arrived_s: float
    timer: asyncio.TimerHandle
    body: bytearray = dataclasses.field(default_factory=bytearray)


class BodyReceiver:
    """Holds calls of other nodes until their bodies have arrived.

    Args:
        budget: Bounds the bodies that the process holds.
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
        self._pending_by_id: dict[str, _PendingBody] = {}

    def announce(
        self,
        call: messages.CallRequest,
        request_body: transfers.RequestBody,
        done: inbound.AnswerCallback,
    ) -> None:
        """Refuse a call at once, or request its body when a slot is free.

        Args:
            request_body: Asks the sender for the body of the call with
                the given id.
            done: Called once with the answer.
        """
        refusal = self._proxy.refusal_reason(call)
        if call.call_id in self._pending_by_id:
            # At most one of two calls with the same id may run. The second
            # is refused here and the refusal keeps the first from running.
            refusal = revocation.DUPLICATE
        head = byte_budget.Reservation(self._proxy.heads)
        if not refusal and not head.reserve(
            request_limits.head_bytes(call.headers)
        ):
            refusal = admission.NO_HEAD_ROOM
        if refusal:
            self._proxy.refuse(call, refusal, done)
            return
        left_ms = call.aim_ms or call.deadline_ms
        wait_ms = self._transfers.wait_ms(call.rank)
        if wait_ms > left_ms * _MAX_WAIT_FRACTION:
            reason = admission.OVERLOAD
            head.release()
            self._proxy.refuse(call, reason, done, wait_ms)
            return
        self._pending_by_id[call.call_id] = _PendingBody(
            call=call,
            done=done,
            request_body=request_body,
            head=head,
            reservation=byte_budget.Reservation(self._budget),
            arrived_s=self._loop.time(),
            timer=self._loop.call_later(
                left_ms * _MAX_WAIT_FRACTION / 1000,
                self._on_wait_timeout,
                call.call_id,
            ),
        )
        body = transfers.Body(
            call_id=call.call_id, rank=call.rank, size=call.body_bytes
        )
        self._request_bodies(self._transfers.offer(body, self._proxy.now_ms()))
        self._update_pending_bodies()

    def add_part(self, part: messages.CallBody) -> None:
        """Add a part of a body; the last one submits the call."""
        pending = self._pending_by_id.get(part.call_id)
        if pending is None:
            return
        pending.body += part.data
        if self._proxy.admission.draining:
            self._refuse(part.call_id, admission.DRAINING)
        elif not pending.reservation.reserve(len(part.data)):
            self._refuse(part.call_id, NO_ROOM)
        elif len(pending.body) > pending.call.body_bytes:
            self._refuse(part.call_id, LENGTH_MISMATCH)
        elif part.last:
            self._complete(pending)

    def drop(self, call_id: str, *, complete: bool = False) -> bool:
        """Discard a call and its body; false if the call is unknown.

        Args:
            complete: Whether the body has arrived completely.
        """
        pending = self._pending_by_id.pop(call_id, None)
        if pending is None:
            return False
        pending.timer.cancel()
        pending.head.release()
        pending.reservation.release()
        now_ms = self._proxy.now_ms()
        self._request_bodies(
            self._transfers.end(call_id, now_ms, complete=complete)
        )
        self._update_pending_bodies()
        return True

    def _update_pending_bodies(self) -> None:
        self._proxy.admission.pending_bodies = self._transfers.pending

    def _request_bodies(self, call_ids: abc.Iterable[str]) -> None:
        for call_id in call_ids:
            pending = self._pending_by_id[call_id]
            pending.timer.cancel()
            left_s = pending.call.deadline_ms / 1000
            pending.timer = self._loop.call_at(
                pending.arrived_s + left_s,
                self._refuse,
                call_id,
                admission.LATE,
            )
            pending.request_body(call_id)

    def _complete(self, pending: _PendingBody) -> None:
        call = pending.call
        if len(pending.body) != call.body_bytes:
            self._refuse(call.call_id, LENGTH_MISMATCH)
            return
        self.drop(call.call_id, complete=True)
        elapsed_ms = int((self._loop.time() - pending.arrived_s) * 1000)
        complete_call = msgspec.structs.replace(
            call,
            body=bytes(pending.body),
            body_bytes=0,
            sent_ms=call.sent_ms + elapsed_ms,
            deadline_ms=call.deadline_ms - elapsed_ms,
            aim_ms=max(1, call.aim_ms - elapsed_ms) if call.aim_ms else 0,
        )
        self._proxy.submit(complete_call, pending.done)

    def _on_wait_timeout(self, call_id: str) -> None:
        self._refuse(call_id, admission.OVERLOAD)

    def _refuse(self, call_id: str, reason: str) -> None:
        pending = self._pending_by_id[call_id]
        self.drop(call_id)
        self._proxy.refuse(pending.call, reason, pending.done)
