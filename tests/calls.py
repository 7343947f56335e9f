"""A call between nodes, for tests to vary."""

import msgspec

from arbutusstall._wire import messages

BOOKING = messages.CallRequest(
    call_id="c",
    request_id="r",
    incarnation=1,
    sent_ms=0,
    service="kvoty",
    version="v1",
    route="a.example/x/",
    method="POST",
    path="/x/1",
    headers=(),
    body=b"",
    deadline_ms=2_000,
    idempotent=False,
)


def booking(**fields: object) -> messages.CallRequest:
    """Return the booking with other values for some fields."""
    return msgspec.structs.replace(BOOKING, **fields)
