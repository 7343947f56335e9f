"""Metrics of configuration, membership and the distribution tree."""

import prometheus_client

from arbutusstall import _clock
from arbutusstall._staleness import decisions as staleness
from arbutusstall._systems import progress
from arbutusstall._tables import links
from arbutusstall._tables import members
from arbutusstall._tables import node
from arbutusstall._tenants import freshness

VERSION = prometheus_client.Gauge(
    "arbutusstall_config_version",
    "Configuration version in force at this node.",
)
BLOCKED = prometheus_client.Gauge(
    "arbutusstall_local_rollbacks",
    "Service versions that this node has rolled back locally.",
)
ENDPOINTS = prometheus_client.Gauge(
    "arbutusstall_endpoints",
    "Endpoints in the member table, by state.",
    ("state",),
)
LINKS = prometheus_client.Gauge(
    "arbutusstall_links", "Open streams to other nodes, by role.", ("role",)
)
EVACUATED = prometheus_client.Gauge(
    "arbutusstall_evacuated_data_centres",
    "Data centres whose targets get no new requests, as this node knows.",
)
ROOT = prometheus_client.Gauge(
    "arbutusstall_root", "1 if this node is a root relay, else 0."
)
LEADER = prometheus_client.Gauge(
    "arbutusstall_leader",
    "1 if this node is a root and holds the lease as read from the log.",
)
LACKING = prometheus_client.Gauge(
    "arbutusstall_nodes_lacking",
    "Known nodes that lack the version in force: of the whole mesh at a"
    " root, of the subtree elsewhere.",
)
EVIDENCE_AGE = prometheus_client.Gauge(
    "arbutusstall_key_evidence_age_seconds",
    "Age of the evidence that no API key was removed; infinite without any.",
)
NEWS_AGE = prometheus_client.Gauge(
    "arbutusstall_source_news_age_seconds",
    "Time since the external source is known to have had nothing newer than"
    " the configuration in force; infinite if that is unknown.",
)


def refresh(tables: node.Tables) -> None:
    """Set the gauges from the tables; called before each scrape."""
    VERSION.set(tables.snapshot.version)
    BLOCKED.set(len(tables.blocked))
    EVACUATED.set(len(tables.evacuations.data_centres))
    ROOT.set(tables.is_root)
    holder = tables.agreed.lease.holder
    LEADER.set(tables.is_root and holder == tables.member.node)
    rows = list(tables.members_by_node.values())
    for state in members.MemberState:
        count = sum(row.state is state for row in rows)
        ENDPOINTS.labels(state.value).set(count)
    open_links = list(tables.links_by_peer.values())
    for role in links.LinkRole:
        count = sum(link.role is role for link in open_links)
        LINKS.labels(role.value).set(count)
    report = (
        progress.mesh(tables) if tables.is_root else progress.summary(tables)
    )
    LACKING.set(report.known - report.in_force)
    now_s = _clock.steady_s()
    EVIDENCE_AGE.set(freshness.age_s(tables.evidence, now_s))
    NEWS_AGE.set(staleness.age_s(tables.news, now_s))
