"""Selects the route, the service and the version of a call."""

from collections import abc
import random
import re

from arbutusstall import _effects
from arbutusstall._tables import agreed


def match(
    view: _effects.View, path: str, host: str = ""
) -> agreed.Route | None:
    """Return the route with the longest prefix of ``path``.

    Routes of ``host`` take precedence over routes without a host.
    Prefixes end at path segments.
    """
    routes = view.snapshot.routes_by_prefix
    if host:
        route = _find_longest_prefix(routes, host, path)
        if route is not None:
            return route
    return _find_longest_prefix(routes, "", path)


def choose_service(route: agreed.Route, rng: random.Random) -> str:
    """Choose the service of one request at random by the route's weights.

    A route without positive weights uses its default service.
    """
    if not route.split:
        return route.service
    weights = [part.weight for part in route.split]
    if sum(weights) <= 0:
        return route.service
    return rng.choices(route.split, weights)[0].service


def choose_version(
    view: _effects.View, service: str, rng: random.Random
) -> str | None:
    """Choose a version of ``service`` at random by the current shares.

    Blocked versions and versions without an endpoint outside of evacuated
    data centres are left out. Until shares are agreed, the lowest present
    version gets all traffic, since a newer version may be waiting for its
    rollout.

    Returns:
        The version; None if no version with traffic is present.
    """
    members = view.members_by_service.get(service, ())
    present = {
        member.version
        for member in members
        if member.data_centre not in view.evacuated
    }
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
    """Return the lowest version, None if ``versions`` is empty.

    Digits in a version are compared as numbers.
    """
    return min(versions, key=_version_sort_key, default=None)


def _find_longest_prefix(
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


def _version_sort_key(version: str) -> tuple[tuple[int, str], ...]:
    parts = re.findall(r"\d+|\D+", version)
    return tuple(
        (int(part), "") if part.isdecimal() else (-1, part) for part in parts
    )
