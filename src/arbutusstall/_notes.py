"""Release files: their form, decoding and checks."""

import dataclasses
import datetime
import pathlib

import msgspec
import xxhash

from arbutusstall import _files


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ServiceItem:
    """A service that the release adds or changes."""

    name: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RouteItem:
    """A route that the release adds or changes; times in milliseconds."""

    prefix: str
    service: str
    timeout_ms: int = 5_000
    idempotent: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ShareItem:
    """The share that each version carries by a given time."""

    service: str
    percent_by_version: dict[str, float]
    by: datetime.datetime | None = None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Items:
    """Services and routes that a release adds or changes."""

    services: tuple[ServiceItem, ...] = ()
    routes: tuple[RouteItem, ...] = ()


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Withdrawals:
    """Names of the services and prefixes of the routes to remove."""

    services: tuple[str, ...] = ()
    routes: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ReleaseNote:
    """What one release adds, changes and withdraws.

    Attributes:
        name: Unique name; publishing the same name and content again
            has no effect.
    """

    name: str
    add: Items = Items()
    change: Items = Items()
    withdraw: Withdrawals = Withdrawals()
    shares: tuple[ShareItem, ...] = ()


_MAX_SUM_ERROR = 1e-6
_FULL_PERCENT = 100.0


def load(path: pathlib.Path) -> ReleaseNote:
    """Read and check the release file at ``path``.

    Raises:
        InvalidFile: The file is missing, malformed or fails a check.
    """
    note = _files.load(path, ReleaseNote)
    _check(note, str(path))
    return note


def digest(note: ReleaseNote) -> str:
    """Return a hash of the release's content."""
    return xxhash.xxh3_128_hexdigest(msgspec.json.encode(note, order="sorted"))


def check_times(note: ReleaseNote, name: str, now: datetime.datetime) -> None:
    """Check that no share is planned for the past.

    Raises:
        InvalidFile: A time lies before ``now``.
    """
    for index, item in enumerate(note.shares):
        if item.by is not None and item.by <= now:
            raise _files.invalid(
                name, f"$.shares[{index}].by", "the time has passed"
            )


def _check(note: ReleaseNote, name: str) -> None:
    if not note.name:
        raise _files.invalid(name, "$.name", "the name is empty")
    for index, item in enumerate(note.shares):
        _check_share(item, name, f"$.shares[{index}]")


def _check_share(item: ShareItem, name: str, path: str) -> None:
    where = f"{path}.percent_by_version"
    for version, percent in item.percent_by_version.items():
        if not 0 <= percent <= _FULL_PERCENT:
            raise _files.invalid(
                name, f"{where}.{version}", f"{percent} is not in 0..100"
            )
    total = sum(item.percent_by_version.values())
    if abs(total - _FULL_PERCENT) > _MAX_SUM_ERROR:
        raise _files.invalid(name, where, f"the sum is {total}, not 100")
    if item.by is not None and item.by.tzinfo is None:
        raise _files.invalid(name, f"{path}.by", "the time has no zone")
