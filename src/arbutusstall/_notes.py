"""Release files: their data classes, decoding and validation."""

from collections import abc
import dataclasses
import datetime
import pathlib
import re

import msgspec
import xxhash

from arbutusstall import _files


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ServiceItem:
    """A service that the release adds or changes."""

    name: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RouteItem:
    """A route that the release adds or changes.

    Attributes:
        prefix: Path prefix of the requests that take this route.
        service: Name of the service that the requests go to.
        timeout_ms: Deadline of calls that set none, and upper bound of
            the deadlines of those that do.
        idempotent: Whether requests of every method may be executed
            more than once; otherwise only GET and HEAD may.
    """

    prefix: str
    service: str
    timeout_ms: int = 5_000
    idempotent: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ShareItem:
    """Target shares of a service's versions.

    Attributes:
        percent_by_version: Percentage of the calls for each version; the
            sum is 100.
        by: Time by which to reach the shares, with a time zone; None for
            the time of publication.
    """

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
        name: Unique name. Publishing a release with the same name and
            content again has no effect.
        add: Items that must not exist yet.
        change: Items that must exist.
        withdraw: Items to remove.
        shares: Target shares of versions, at most one item per service.
    """

    name: str
    add: Items = Items()
    change: Items = Items()
    withdraw: Withdrawals = Withdrawals()
    shares: tuple[ShareItem, ...] = ()


_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,99}")
_NAME_RULE = (
    "a name has 1 to 100 letters, digits, dots, dashes and underscores"
)
_PREFIX = re.compile(r"/[!-~]{0,199}")
_PREFIX_RULE = "a prefix is / and up to 199 printable ASCII characters"
_MAX_TIMEOUT_MS = 3_600_000
_MAX_SUM_ERROR_PERCENT = 1e-6
_FULL_PERCENT = 100.0


def load(path: pathlib.Path) -> ReleaseNote:
    """Read and validate the release file at ``path``.

    Raises:
        InvalidFile: The file is missing, malformed or fails a check.
    """
    return decode(_files.read(path), str(path))


def decode(data: bytes, name: str) -> ReleaseNote:
    """Decode and validate the content of a release file.

    Args:
        data: Content of the file.
        name: Name of the file, for error messages.

    Raises:
        InvalidFile: As for `load`.
    """
    note = _files.decode(data, ReleaseNote, name)
    for problem in problems(note):
        raise _files.invalid(name, problem.path, problem.reason)
    return note


def digest(note: ReleaseNote) -> str:
    """Return a 128-bit hash of the release's content, in hexadecimal.

    It doesn't depend on the order of fields and keys in the file.
    """
    return xxhash.xxh3_128_hexdigest(msgspec.json.encode(note, order="sorted"))


def check_times(note: ReleaseNote, name: str, now: datetime.datetime) -> None:
    """Check that no share has a target time in the past.

    Args:
        note: The release.
        name: Name of the release file, for error messages.
        now: Current time, with a time zone.

    Raises:
        InvalidFile: A target time is not after ``now``.
    """
    for index, item in enumerate(note.shares):
        if item.by is not None and item.by <= now:
            raise _files.invalid(
                name, f"$.shares[{index}].by", "the time has passed"
            )


def problems(note: ReleaseNote) -> abc.Iterator[_files.Problem]:
    """Yield the problems that show without the agreed state.

    The reasons are stored with refused releases and all nodes compare
    digests of them, so their texts must not change.
    """
    if not _NAME.fullmatch(note.name):
        yield _files.Problem(path="$.name", reason=_NAME_RULE)
    if note == ReleaseNote(name=note.name):
        yield _files.Problem(path="$", reason="the release changes nothing")
    yield from _item_problems(note)
    yield from _duplicate_problems(note)
    for index, share in enumerate(note.shares):
        yield from _share_problems(share, f"$.shares[{index}]")


def _item_problems(note: ReleaseNote) -> abc.Iterator[_files.Problem]:
    for part, items in (("add", note.add), ("change", note.change)):
        for index, service in enumerate(items.services):
            if not _NAME.fullmatch(service.name):
                path = f"$.{part}.services[{index}].name"
                yield _files.Problem(path=path, reason=_NAME_RULE)
        for index, route in enumerate(items.routes):
            yield from _route_problems(route, f"$.{part}.routes[{index}]")


def _route_problems(
    route: RouteItem, path: str
) -> abc.Iterator[_files.Problem]:
    if not _PREFIX.fullmatch(route.prefix):
        yield _files.Problem(path=f"{path}.prefix", reason=_PREFIX_RULE)
    if not _NAME.fullmatch(route.service):
        yield _files.Problem(path=f"{path}.service", reason=_NAME_RULE)
    if not 0 < route.timeout_ms <= _MAX_TIMEOUT_MS:
        yield _files.Problem(
            path=f"{path}.timeout_ms",
            reason=f"{route.timeout_ms} is not in 1..{_MAX_TIMEOUT_MS}",
        )


def _duplicate_problems(note: ReleaseNote) -> abc.Iterator[_files.Problem]:
    seen: set[str] = set()
    for path, key in paths_and_keys(note):
        if key in seen:
            yield _files.Problem(path=path, reason=f"{key} is named twice")
        seen.add(key)


def paths_and_keys(note: ReleaseNote) -> abc.Iterator[tuple[str, str]]:
    """Yield the JSON path and the key of each item in a release.

    Keys read ``service/NAME``, ``route/PREFIX`` or ``shares/SERVICE``.
    """
    for part, items in (("add", note.add), ("change", note.change)):
        for index, service in enumerate(items.services):
            yield f"$.{part}.services[{index}]", f"service/{service.name}"
        for index, route in enumerate(items.routes):
            yield f"$.{part}.routes[{index}]", f"route/{route.prefix}"
    for index, name in enumerate(note.withdraw.services):
        yield f"$.withdraw.services[{index}]", f"service/{name}"
    for index, prefix in enumerate(note.withdraw.routes):
        yield f"$.withdraw.routes[{index}]", f"route/{prefix}"
    for index, share in enumerate(note.shares):
        yield f"$.shares[{index}].service", f"shares/{share.service}"


def _share_problems(
    item: ShareItem, path: str
) -> abc.Iterator[_files.Problem]:
    shares_path = f"{path}.percent_by_version"
    for version, percent in item.percent_by_version.items():
        if not _NAME.fullmatch(version):
            yield _files.Problem(path=shares_path, reason=_NAME_RULE)
        if not 0 <= percent <= _FULL_PERCENT:
            yield _files.Problem(
                path=f"{shares_path}.{version}",
                reason=f"{percent} is not in 0..100",
            )
    total = sum(item.percent_by_version.values())
    if not abs(total - _FULL_PERCENT) <= _MAX_SUM_ERROR_PERCENT:
        yield _files.Problem(
            path=shares_path, reason=f"the sum is {total}, not 100"
        )
    if not _NAME.fullmatch(item.service):
        yield _files.Problem(path=f"{path}.service", reason=_NAME_RULE)
    if item.by is not None and item.by.tzinfo is None:
        yield _files.Problem(path=f"{path}.by", reason="the time has no zone")
