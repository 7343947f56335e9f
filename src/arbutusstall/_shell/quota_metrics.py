"""Metrics of the quotas of tenants."""

import prometheus_client

GRANTED = prometheus_client.Counter(
    "arbutusstall_quota_granted",
    "Requests of tenants with a limit that were let through.",
)
REFUSED = prometheus_client.Counter(
    "arbutusstall_quota_refused",
    "Requests of tenants that were refused, since their limit is used up.",
)
UNUSED = prometheus_client.Counter(
    "arbutusstall_quota_unused_tokens",
    "Tokens granted to this node that ended before they were used.",
)
FALLBACK = prometheus_client.Counter(
    "arbutusstall_quota_fallback",
    "Requests let through by this node's own share, without a server.",
)
PLEDGED = prometheus_client.Gauge(
    "arbutusstall_quota_pledges",
    "Nodes whose shares this node holds as a quota server.",
)
