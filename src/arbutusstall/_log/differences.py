"""Lists the changes that a release would make to a configuration."""

import dataclasses

from arbutusstall import _notes
from arbutusstall._log import status
from arbutusstall._tables import agreed


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Difference:
    """A change of one configuration item.

    Attributes:
        sign: ``+`` for added, ``-`` for withdrawn, ``~`` for changed.
        key: ``service/NAME``, ``route/PREFIX`` or ``shares/SERVICE``.
        before: Current value as text; empty if the item does not exist.
        after: New value as text; empty if the item is withdrawn.
    """

    sign: str
    key: str
    before: str = ""
    after: str = ""

    def line(self) -> str:
        """Return the difference as one line."""
        text = f"{self.sign} {self.key}"
        if self.before and self.after:
            return f"{text}: {self.before} -> {self.after}"
        return f"{text}: {self.before or self.after}".rstrip(": ")


def list_changes(
    note: _notes.ReleaseNote, old: agreed.Snapshot
) -> tuple[Difference, ...]:
    """Return the changes that ``note`` makes to ``old``, sorted by key."""
    rows = (
        _service_differences(note)
        + _route_differences(note, old)
        + _share_differences(note, old)
    )
    return tuple(sorted(rows, key=lambda row: (row.key, row.sign)))


def _service_differences(note: _notes.ReleaseNote) -> list[Difference]:
    added = [
        Difference(sign="+", key=f"service/{item.name}")
        for item in note.add.services
    ]
    return added + [
        Difference(sign="-", key=f"service/{name}")
        for name in note.withdraw.services
    ]


def _route_differences(
    note: _notes.ReleaseNote, old: agreed.Snapshot
) -> list[Difference]:
    rows = []
    for item in note.add.routes + note.change.routes:
        known = old.routes_by_prefix.get(item.prefix)
        before, after = _route_text(known), _route_text(item)
        if before != after:
            rows.append(
                Difference(
                    sign="~" if known else "+",
                    key=f"route/{item.prefix}",
                    before=before,
                    after=after,
                )
            )
    for prefix in note.withdraw.routes:
        known = old.routes_by_prefix.get(prefix)
        rows.append(
            Difference(
                sign="-", key=f"route/{prefix}", before=_route_text(known)
            )
        )
    return rows


def _route_text(route: agreed.Route | _notes.RouteItem | None) -> str:
    if route is None:
        return ""
    kind = "idempotent" if route.idempotent else "not idempotent"
    return f"{route.service}, {route.timeout_ms} ms, {kind}"


def _share_differences(
    note: _notes.ReleaseNote, old: agreed.Snapshot
) -> list[Difference]:
    rows = []
    for item in note.shares:
        known = old.shares_by_service.get(item.service)
        before = (
            status.format_percents(known.percent_by_version) if known else ""
        )
        after = status.format_percents(item.percent_by_version)
        if before != after:
            when = f" by {item.by.isoformat()}" if item.by else ""
            rows.append(
                Difference(
                    sign="~" if known else "+",
                    key=f"shares/{item.service}",
                    before=before,
                    after=after + when,
                )
            )
    for name in note.withdraw.services:
        known = old.shares_by_service.get(name)
        if known is not None:
            before = status.format_percents(known.percent_by_version)
            rows.append(
                Difference(sign="-", key=f"shares/{name}", before=before)
            )
    return rows
