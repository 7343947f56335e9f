"""The memory that one call takes beside its target."""

from arbutusstall._proxy import byte_budget
from arbutusstall._proxy import request_limits
from arbutusstall._systems import admission
from arbutusstall._wire import messages

NO_BODY_ROOM = "no room for the body"


class CallMemory:
    """What a call has reserved of the budgets of heads and bodies."""

    __slots__ = ("_body", "_head")

    def __init__(
        self, heads: byte_budget.ByteBudget, bodies: byte_budget.ByteBudget
    ) -> None:
        self._head = byte_budget.Reservation(heads)
        self._body = byte_budget.Reservation(bodies)

    def reserve(
        self, call: messages.CallRequest, *, with_body: bool = True
    ) -> str:
        """Reserve what a call takes until it ends.

        Args:
            with_body: Whether the body is counted as well.

        Returns:
            Why there is no room for it; empty if there is.
        """
        if not self._head.reserve(request_limits.head_bytes(call.headers)):
            return admission.NO_HEAD_ROOM
        if with_body and not self._body.reserve(len(call.body)):
            return NO_BODY_ROOM
        return ""

    def release(self) -> None:
        """Return everything to the budgets."""
        self._head.release()
        self._body.release()
