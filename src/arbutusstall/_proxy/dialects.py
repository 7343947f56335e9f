"""The interface of the HTTP dialects that a node can serve."""

import dataclasses
import enum
from typing import Protocol

from arbutusstall import _effects
from arbutusstall._proxy import http_messages
from arbutusstall._wire import messages


class FailureKind(enum.Enum):
    """How a request without a target's answer ended.

    Attributes:
        NO_ROUTE: The configuration has no route for it.
        INVALID: It is malformed.
        NOT_RUN: It was not executed and never will be.
        UNKNOWN: It may have been executed.
        TIMEOUT: No answer arrived in time; it may have been executed.
        UNAUTHORIZED: It has no valid API key and was not executed.
        OVER_QUOTA: It exceeds its tenant's quota, was not executed and
            never will be.
    """

    NO_ROUTE = "no-route"
    INVALID = "invalid"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
    TIMEOUT = "timeout"
    UNAUTHORIZED = "unauthorized"
    OVER_QUOTA = "over-quota"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Failure:
    """A failure that is reported to a caller instead of an answer.

    Attributes:
        retry_after_ms: Time after which a retry is likely to succeed;
            zero if unknown.
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
        headers: Headers that are forwarded to the target.
        deadline_ms: How long the caller waits; None if unknown.
        key: Idempotency key; empty if there is none.
        depth: Number of calls above this one in the chain of calls.
        parent_id: Request id that this request's id extends; empty if
            none. If the local target is running the request with that
            id, this request is nested in it.
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


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class TargetLoad:
    """What a target says about its load in a response.

    Attributes:
        slowness: How long work takes at the target now, with 1.0 as
            usual; None if it does not say.
    """

    slowness: float | None = None


class Dialect(Protocol):
    """Maps calls and outcomes to the headers and statuses of one dialect."""

    def read_request(self, request: http_messages.Request) -> IncomingRequest:
        """Decode a caller's request.

        Raises:
            WireError: The request is malformed.
        """
        ...

    def api_key(self, request: http_messages.Request) -> str:
        """Return the API key that a caller sent; empty if there is none."""
        ...

    def tenant_headers(
        self, headers: http_messages.Headers, tenant: str
    ) -> http_messages.Headers:
        """Return the headers to forward for a request of a tenant.

        They hold no API key, and name the tenant whatever the caller sent.

        Args:
            headers: `IncomingRequest.headers`.
            tenant: Name of the tenant; empty if there is none.
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
            left_ms: Time within which the target has to answer.
        """
        ...

    def answers_call(
        self, call: messages.CallRequest, response: http_messages.Response
    ) -> bool:
        """Return whether a target's response answers ``call``."""
        ...

    def read_answer(
        self, call: messages.CallRequest, response: http_messages.Response
    ) -> messages.CallAnswer:
        """Decode a target's response."""
        ...

    def target_state(
        self, target: _effects.Announced, response: http_messages.Response
    ) -> messages.TargetState:
        """Return what a target says about itself in a response."""
        ...

    def target_load(self, response: http_messages.Response) -> TargetLoad:
        """Return the load that a target reports in a response."""
        ...

    def answer(
        self, call: messages.CallRequest, answer: messages.CallAnswer
    ) -> http_messages.Response:
        """Encode a target's answer for the caller."""
        ...

    def failure(self, failure: Failure) -> http_messages.Response:
        """Return the response that reports a failure to the caller."""
        ...
