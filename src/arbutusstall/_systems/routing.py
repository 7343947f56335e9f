"""Finds the route of a call and chooses the version."""

from collections import abc
import random
import re

from arbutusstall import _effects
from arbutusstall._tables import agreed


def match(
    view: _effects.View, path: str, host: str = ""
) -> agreed.Route | None:
    """Return the route with the longest prefix of ``path``.

    A route of the host goes before one of any host.
    """
    routes = view.snapshot.routes_by_prefix
    if host:
        route = _longest(routes, host, path)
        if route is not None:
            return route
    return _longest(routes, "", path)


def choose_service(route: agreed.Route, rng: random.Random) -> str:
    """Draw the service of one request by the route's weights."""
    if not route.split:
        return route.service
    weights = [part.weight for part in route.split]
    if sum(weights) <= 0:
        return route.service
    return rng.choices(route.split, weights)[0].service


def choose_version(
    view: _effects.View, service: str, rng: random.Random
) -> str | None:
    """Draw a version of ``service`` by the shares in force.

    Until shares are agreed, the lowest version that is present gets all
    traffic: a newer one may wait for its rollout.
    """
    members = view.members_by_service.get(service, ())
    present = {member.version for member in members}
    if view.blocked:
        present = {
            version
            for version in present
            if f"{service}/{version}" not in view.blocked
        }
    shares = view.snapshot.shares_by_service.get(service)
    if shares is None:
        return lowest_version(present)
    weights = {
        version: percent
        for version, percent in shares.percent_by_version.items()
        if percent > 0 and version in present
    }
    if not weights:
        return None
    return rng.choices(list(weights), list(weights.values()))[0]


def lowest_version(versions: abc.Set[str]) -> str | None:
    """Return the version with the lowest numbers, None if there is none."""
    return min(versions, key=_version_order, default=None)


def _longest(
    routes: abc.Mapping[str, agreed.Route], host: str, path: str
) -> agreed.Route | None:
    prefix = path
    while prefix:
        route = routes.get(host + prefix)
        if route is not None:
            return route
        if prefix.endswith("/"):
            prefix = prefix[:-1]
        else:
            prefix = prefix[: prefix.rfind("/") + 1]
    return None


def _version_order(version: str) -> tuple[tuple[int, str], ...]:
    parts = re.findall(r"\d+|\D+", version)
    return tuple(
        (int(part), "") if part.isdecimal() else (-1, part) for part in parts
    )
