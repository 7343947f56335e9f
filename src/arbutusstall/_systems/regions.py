"""Keeps requests in the regions that their route and tenant allow."""

from collections import abc
import dataclasses

from arbutusstall import _effects


def restrict(
    view: _effects.View,
    service: str,
    regions_by_data_centre: abc.Mapping[str, str],
    *limits: tuple[str, ...],
) -> _effects.View:
    """Return the view by which a request of limited regions is routed.

    Data centres in other regions are left out as evacuated ones are. A data
    centre whose region is not known is left out as well.

    Args:
        view: View in force.
        service: Service of the request.
        regions_by_data_centre: Region of each data centre.
        limits: Allowed regions, one tuple for each that sets a limit, such
            as the route and the tenant; all of them apply, and an empty
            one allows every region.
    """
    named = [frozenset(names) for names in limits if names]
    if not named:
        return view
    allowed = frozenset.intersection(*named)
    rows = view.members_by_service.get(service, ())
    excluded = {
        name
        for name in {row.data_centre for row in rows}
        if regions_by_data_centre.get(name, "") not in allowed
    }
    return dataclasses.replace(view, evacuated=view.evacuated | excluded)
