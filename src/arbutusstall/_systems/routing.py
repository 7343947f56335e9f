"""Finds the route of a call and chooses the version."""

import random

from arbutusstall import _effects
from arbutusstall._tables import agreed


def match(view: _effects.View, path: str) -> agreed.Route | None:
    """Return the route with the longest prefix of ``path``."""
    prefix = path
    routes = view.snapshot.routes_by_prefix
    while prefix:
        route = routes.get(prefix)
        if route is not None:
            return route
        parent = prefix.rstrip("/").rpartition("/")[0]
        prefix = parent if parent else ("/" if prefix != "/" else "")
    return None


def choose_version(
    view: _effects.View, service: str, rng: random.Random
) -> str | None:
    """Draw a version of ``service`` by the shares in force."""
    shares = view.snapshot.shares_by_service.get(service)
    if shares is None:
        return None
    present = {
        member.version for member in view.members_by_service.get(service, ())
    }
    weights = {
        version: percent
        for version, percent in shares.percent_by_version.items()
        if percent > 0
        and version in present
        and f"{service}/{version}" not in view.blocked
    }
    if not weights:
        return None
    return rng.choices(list(weights), list(weights.values()))[0]
