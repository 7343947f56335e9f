"""Metrics of the call path."""

import prometheus_client

CALLS = prometheus_client.Counter(
    "arbutusstall_calls",
    "Requests of callers by outcome.",
    ("service", "version", "outcome"),
)
LATENCY = prometheus_client.Histogram(
    "arbutusstall_call_seconds",
    "Time from a caller's request to its answer, in seconds.",
    ("service",),
    buckets=(0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5),
)
REFUSALS = prometheus_client.Counter(
    "arbutusstall_refusals",
    "Calls that the inbound proxy refused before they ran, by reason.",
    ("service", "reason"),
)
ACCESS_REFUSALS = prometheus_client.Counter(
    "arbutusstall_access_refusals",
    "Requests that were refused before they were routed because of their API"
    " key, by reason.",
    ("reason",),
)
REJECTIONS = prometheus_client.Counter(
    "arbutusstall_client_rejections",
    "Requests that were rejected before they were complete, by status.",
    ("status",),
)
EVICTIONS = prometheus_client.Counter(
    "arbutusstall_client_evictions",
    "Waiting connections of clients that were closed to admit new ones.",
)
UNTAKEN = prometheus_client.Counter(
    "arbutusstall_untaken_answers",
    "Connections that were closed because of answers that nobody took.",
)
TARGET_REQUESTS = prometheus_client.Counter(
    "arbutusstall_target_requests",
    "Requests that the inbound proxy sent to its target.",
)
TARGET_LIMIT = prometheus_client.Gauge(
    "arbutusstall_target_limit",
    "Requests a second that the target takes; 0 if it sets no limit.",
)
TARGET_COLD = prometheus_client.Gauge(
    "arbutusstall_target_cold",
    "1 while requests to the target are limited since it may be cold.",
)
CONCURRENCY_LIMIT = prometheus_client.Gauge(
    "arbutusstall_concurrency_limit",
    "Requests that the target runs well at the same time; 0 until the limit"
    " differs from its slots.",
)
RETRIES = prometheus_client.Counter(
    "arbutusstall_retries",
    "Attempts after the first one of a request.",
    ("service",),
)
REVOCATIONS = prometheus_client.Counter(
    "arbutusstall_revocations",
    "Revocations that were requested, by the state in the answer.",
    ("state",),
)
IN_FLIGHT = prometheus_client.Gauge(
    "arbutusstall_in_flight", "Requests that the target is executing."
)
QUEUED = prometheus_client.Gauge(
    "arbutusstall_queued", "Requests that wait for a slot of the target."
)
REMEMBERED = prometheus_client.Gauge(
    "arbutusstall_remembered",
    "Entries of the call table, which detects repeated call ids.",
)
