"""Versions of the configuration in force.

A version has two parts that grow independently: the version of an
external source in the upper bits and the log position in the lower
bits. Without an external source the upper part is zero, so the version
equals the log position.
"""

_LOG_BITS = 40
_LOG_MASK = (1 << _LOG_BITS) - 1


def combine(source: int, log: int) -> int:
    """Return the version made of both parts."""
    return source << _LOG_BITS | log


def source_part(version: int) -> int:
    """Return the external source's part."""
    return version >> _LOG_BITS


def log_part(version: int) -> int:
    """Return the position in the log."""
    return version & _LOG_MASK


def has_newer_part(version: int, known: int) -> bool:
    """Return whether either part of ``version`` is above ``known``'s."""
    return source_part(version) > source_part(known) or (
        log_part(version) > log_part(known)
    )


def newest_parts(one: int, other: int) -> int:
    """Return the version with the higher value of each part."""
    return combine(
        max(source_part(one), source_part(other)),
        max(log_part(one), log_part(other)),
    )


def oldest_parts(one: int, other: int) -> int:
    """Return the version with the lower value of each part."""
    return combine(
        min(source_part(one), source_part(other)),
        min(log_part(one), log_part(other)),
    )
