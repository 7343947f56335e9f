"""Reads settings files and checks them completely before any use."""

from collections import abc
import dataclasses
import ipaddress
import pathlib
import re
from typing import Any

from arbutusstall import _files
from arbutusstall import _settings

_ID_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,99}")
_ID_RULE = "an id has 1 to 100 letters, digits, dots, dashes, underscores"
_URL_PATTERN = re.compile(r"https?://[!-~]{1,200}")
_URL_RULE = "the URL is not http:// or https:// with 1 to 200 ASCII characters"
_ADDRESS_RULE = "an address is IP:PORT with a port in 1..65535"
_MAX_PORT_DIGITS = 5
_MAX_PORT = 65_535
_MAX_NUMBER = 1e9
_LOG_LEVELS = ("DEBUG", "INFO", "WARNING", "ERROR")
# The suffix of a field's name determines its check: sizes and durations have
# to be positive, percentages at most 100.
_POSITIVE_SUFFIXES = ("_s", "_ms", "_bytes")
_ZERO_ALLOWED_NAMES = frozenset(
    {
        "apply_s",
        "hold_s",
        "patience_s",
        "read_gap_s",
        "revoke_s",
        "warm_up_s",
        "watch_s",
    }
)
_POSITIVE_NAMES = frozenset(
    {
        "bodies",
        "chunks_at_once",
        "connections",
        "every_records",
        "fan_out",
        "false_rollbacks",
        "first_percent",
        "pending_appends",
        "roots",
        "slots",
    }
)
_MIN_GROWTH = 1.01
# Section and name of the fields that are at most 1.
_FRACTIONS = (
    ("calls", "probe_share"),
    ("calls", "retry_share"),
    ("rollout", "error_floor"),
    ("rollout", "false_rollbacks"),
    ("rollout", "headroom"),
    ("rollout", "slow_floor"),
)


def load(path: pathlib.Path) -> _settings.NodeSettings:
    """Read and check the settings file at ``path``.

    Raises:
        InvalidFile: The file is missing, malformed or fails a check.
    """
    return decode(_files.read(path), str(path))


def decode(data: bytes, name: str) -> _settings.NodeSettings:
    """Decode and check the content of the settings file ``name``.

    Raises:
        InvalidFile: As for `load`.
    """
    settings = _files.decode(data, _settings.NodeSettings, name)
    for problem in problems(settings):
        raise _files.invalid(name, problem.path, problem.reason)
    return settings


def load_log(path: pathlib.Path) -> _settings.LogSettings:
    """Read and check a file of `LogSettings` at ``path``.

    Raises:
        InvalidFile: As for `load`.
    """
    settings = _files.load(path, _settings.LogSettings)
    if not is_url(settings.url):
        raise _files.invalid(str(path), "$.url", _URL_RULE)
    for problem in _number_problems(settings, "$"):
        raise _files.invalid(str(path), problem.path, problem.reason)
    return settings


def is_url(text: str) -> bool:
    """Return whether ``text`` is an HTTP or HTTPS URL without spaces."""
    return _URL_PATTERN.fullmatch(text) is not None


def problems(settings: _settings.NodeSettings) -> abc.Iterator[_files.Problem]:
    """Yield the problems of settings whose types are already checked."""
    for name in ("node", "data_centre", "region"):
        if not _ID_PATTERN.fullmatch(getattr(settings, name)):
            yield _files.Problem(path=f"$.{name}", reason=_ID_RULE)
    yield from _address_problems(settings)
    yield from _number_problems(settings, "$")
    if not is_url(settings.log.url):
        yield _files.Problem(path="$.log.url", reason=_URL_RULE)
    if settings.log_level not in _LOG_LEVELS:
        reason = f"the log level is not one of {', '.join(_LOG_LEVELS)}"
        yield _files.Problem(path="$.log_level", reason=reason)
    for path, minimum, value in (
        (
            "$.lease.expire_s",
            2 * settings.lease.renew_s,
            settings.lease.expire_s,
        ),
        (
            "$.log.retry_cap_s",
            settings.log.retry_base_s,
            settings.log.retry_cap_s,
        ),
        (
            "$.relay.retry_cap_s",
            settings.relay.retry_base_s,
            settings.relay.retry_cap_s,
        ),
        (
            "$.relay.expire_s",
            settings.relay.refresh_s,
            settings.relay.expire_s,
        ),
        (
            "$.relay.root_expire_s",
            2 * settings.relay.root_renew_s,
            settings.relay.root_expire_s,
        ),
        ("$.rollout.growth", _MIN_GROWTH, settings.rollout.growth),
        (
            "$.rollout.growth_max",
            settings.rollout.growth,
            settings.rollout.growth_max,
        ),
        (
            "$.rollout.min_calls",
            settings.rollout.few_calls,
            settings.rollout.min_calls,
        ),
    ):
        if value < minimum:
            reason = (
                f"{value} is below {minimum}, the minimum for these settings"
            )
            yield _files.Problem(path=path, reason=reason)
    yield from _fraction_problems(settings)


def _fraction_problems(
    settings: _settings.NodeSettings,
) -> abc.Iterator[_files.Problem]:
    for section, name in _FRACTIONS:
        value = getattr(getattr(settings, section), name)
        if value > 1:
            reason = f"{value} is not in 0..1"
            yield _files.Problem(path=f"$.{section}.{name}", reason=reason)


def _address_problems(
    settings: _settings.NodeSettings,
) -> abc.Iterator[_files.Problem]:
    addresses = settings.addresses
    named = [
        (f"$.addresses.{item.name}", str(getattr(addresses, item.name)))
        for item in dataclasses.fields(addresses)
    ]
    seen: set[str] = set()
    for path, address in named:
        if not _is_address(address):
            yield _files.Problem(path=path, reason=_ADDRESS_RULE)
        if address in seen:
            yield _files.Problem(path=path, reason=f"{address} is used twice")
        seen.add(address)
    for item in dataclasses.fields(settings.advertise):
        address = getattr(settings.advertise, item.name)
        if address and not _is_address(address):
            path = f"$.advertise.{item.name}"
            yield _files.Problem(path=path, reason=_ADDRESS_RULE)
    for index, seed in enumerate(settings.seeds):
        if not _is_address(seed):
            path = f"$.seeds[{index}]"
            yield _files.Problem(path=path, reason=_ADDRESS_RULE)


def _is_address(text: str) -> bool:
    host, _, port = text.rpartition(":")
    try:
        ipaddress.ip_address(host.removeprefix("[").removesuffix("]"))
    except ValueError:
        return False
    digits = (
        port.isascii() and port.isdecimal() and len(port) <= _MAX_PORT_DIGITS
    )
    return digits and 0 < int(port) <= _MAX_PORT


def _number_problems(value: Any, path: str) -> abc.Iterator[_files.Problem]:
    for field in dataclasses.fields(value):
        field_value = getattr(value, field.name)
        field_path = f"{path}.{field.name}"
        if dataclasses.is_dataclass(field_value):
            yield from _number_problems(field_value, field_path)
        elif isinstance(field_value, int | float) and not isinstance(
            field_value, bool
        ):
            reason = _number_problem(field.name, field_value)
            if reason:
                yield _files.Problem(path=field_path, reason=reason)


def _number_problem(name: str, value: float) -> str:
    positive = name in _POSITIVE_NAMES or name.endswith(_POSITIVE_SUFFIXES)
    if positive and name not in _ZERO_ALLOWED_NAMES and value <= 0:
        return f"{value} is not above 0"
    limit = 100.0 if name.endswith("percent") else _MAX_NUMBER
    if not 0 <= value <= limit:
        return f"{value} is not in 0..{limit:g}"
    return ""
