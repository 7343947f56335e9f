"""HTTP headers that the proxies exchange with callers and targets."""

from collections import abc

REQUEST_ID = "Arbutusstall-Request-Id"
DEADLINE_MS = "Arbutusstall-Deadline-Ms"
DEPTH = "Arbutusstall-Depth"
OUTCOME = "Arbutusstall-Outcome"
REASON = "Arbutusstall-Reason"
VERSION = "Arbutusstall-Version"
IDEMPOTENCY_KEY = "Idempotency-Key"
RETRY_AFTER = "Retry-After"

NOT_RUN = "not-run"
UNKNOWN = "unknown"

_OWN_PREFIX = "arbutusstall-"
_HOP_BY_HOP_HEADERS = frozenset(
    {
        "connection",
        "content-length",
        "expect",
        "host",
        "keep-alive",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)

Headers = tuple[tuple[str, str], ...]


def end_to_end(pairs: abc.Iterable[tuple[str, str]]) -> Headers:
    """Return the headers that a proxy forwards unchanged."""
    kept = []
    for name, value in pairs:
        lower = name.lower()
        if lower in _HOP_BY_HOP_HEADERS or lower.startswith(_OWN_PREFIX):
            continue
        kept.append((name, value))
    return tuple(kept)


def get(pairs: Headers, wanted: str) -> str:
    """Return the first value of a header; empty if it is absent."""
    lower = wanted.lower()
    for name, value in pairs:
        if name.lower() == lower:
            return value
    return ""
