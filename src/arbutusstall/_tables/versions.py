"""Versions of the configuration in force.

A version has two parts that grow independently: the version of an
external source in the upper bits and the log position in the lower
bits. Without an external source the upper part is zero, so the version
equals the log position.
"""

_LOG_BITS = 40
_LOG_MASK = (1 << _LOG_BITS) - 1
# Sources may number their versions by times or by dates written as digits.
_SOURCE_BITS = 128
_MAX_SOURCE = (1 << _SOURCE_BITS) - 1
_MAX = _MAX_SOURCE << _LOG_BITS | _LOG_MASK


class Version(int):
    """A version, or one of its parts; it may exceed 64 bits."""

    __slots__ = ()


NONE = Version(0)


def combine(source: int, log: int) -> Version:
    """Return the version made of both parts."""
    return Version(source << _LOG_BITS | log)


def from_log(position: int) -> Version:
    """Return the version of a log position, without an external source."""
    return Version(position & _LOG_MASK)


def checked(version: int) -> Version:
    """Return a version that another process sent.

    Raises:
        ValueError: It is negative or has more than 168 bits.
    """
    if not 0 <= version <= _MAX:
        raise ValueError("version is out of range")
    return Version(version)


def checked_source(version: int) -> Version:
    """Return the version of an external source.

    Raises:
        ValueError: It is negative or has more than 128 bits.
    """
    if not 0 <= version <= _MAX_SOURCE:
        raise ValueError("version is out of range")
    return Version(version)


def source_part(version: int) -> Version:
    """Return the external source's part."""
    return Version(version >> _LOG_BITS)


def log_part(version: int) -> Version:
    """Return the position in the log."""
    return Version(version & _LOG_MASK)


def has_newer_part(version: int, known: int) -> bool:
    """Return whether either part of ``version`` is above ``known``'s."""
    return source_part(version) > source_part(known) or (
        log_part(version) > log_part(known)
    )


def newest_parts(one: int, other: int) -> Version:
    """Return the version with the higher value of each part."""
    return combine(
        max(source_part(one), source_part(other)),
        max(log_part(one), log_part(other)),
    )


def oldest_parts(one: int, other: int) -> Version:
    """Return the version with the lower value of each part."""
    return combine(
        min(source_part(one), source_part(other)),
        min(log_part(one), log_part(other)),
    )
