"""What differs between the HTTP interfaces that a node can serve."""

import dataclasses
import enum
from typing import Protocol

from arbutusstall import _effects
from arbutusstall._proxy import http_messages
from arbutusstall._wire import messages


class FailureKind(enum.Enum):
    """How a request ended without a target's answer.

    Attributes:
        NO_ROUTE: The configuration has no route for it.
        INVALID: It cannot be understood.
        NOT_RUN: It was not executed and never will be.
        UNKNOWN: It may have been executed.
        TIMEOUT: No answer came in time; it may have been executed.
    """

    NO_ROUTE = "no-route"
    INVALID = "invalid"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
    TIMEOUT = "timeout"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Failure:
    """What a caller is told when there is no answer.

    Attributes:
        retry_after_ms: When a new attempt is likely to succeed; zero if
            nothing is known.
    """

    kind: FailureKind
    request_id: str
    reason: str
    retry_after_ms: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class IncomingRequest:
    """A caller's request, decoded.

    Attributes:
        path: Path without the query.
        target: Path and query as they were sent.
        headers: Headers that are passed on to the target.
        deadline_ms: How long the caller waits; None if it does not say.
        key: Idempotency key, empty if there is none.
        depth: Number of calls above this one in the chain.
        parent_id: Id that this request's id extends, empty if none: the
            request is part of that one if the target here runs it.
    """

    request_id: str
    method: str
    host: str
    path: str
    target: str
    headers: http_messages.Headers
    body: bytes
    deadline_ms: int | None = None
    key: str = ""
    depth: int = 0
    parent_id: str = ""


class Dialect(Protocol):
    """Headers and statuses of one HTTP interface."""

    def read_request(self, request: http_messages.Request) -> IncomingRequest:
        """Decode a caller's request.

        Raises:
            WireError: It cannot be understood.
        """
        ...

    def target_request(
        self,
        call: messages.CallRequest,
        target: _effects.Announced,
        left_ms: int,
    ) -> http_messages.Request:
        """Return the request to the target.

        Args:
            left_ms: Time in which the target has to answer.
        """
        ...

    def answers_call(
        self, call: messages.CallRequest, response: http_messages.Response
    ) -> bool:
        """Tell whether a target's response answers ``call``."""
        ...

    def read_answer(
        self, call: messages.CallRequest, response: http_messages.Response
    ) -> messages.CallAnswer:
        """Decode a target's response."""
        ...

    def answer(
        self, call: messages.CallRequest, answer: messages.CallAnswer
    ) -> http_messages.Response:
        """Return a target's answer as the caller gets it."""
        ...

    def failure(self, failure: Failure) -> http_messages.Response:
        """Return the response that tells a caller of a failure."""
        ...
