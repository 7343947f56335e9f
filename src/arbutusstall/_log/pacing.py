"""When the next request to the log may be sent."""

import random

from arbutusstall import _settings

_MAX_EXPONENT = 16


def backoff_s(
    settings: _settings.LogSettings, failures: int, rng: random.Random
) -> float:
    """Return the pause after failures in a row, with full jitter.

    Args:
        failures: Failures before the last one.

    Returns:
        Seconds.
    """
    return full_jitter_s(
        settings.retry_base_s, settings.retry_cap_s, failures, rng
    )


def full_jitter_s(
    base_s: float, cap_s: float, failures: int, rng: random.Random
) -> float:
    """Return a random pause up to an exponentially growing limit.

    Args:
        base_s: Limit after the first failure, in seconds.
        cap_s: Largest limit, in seconds.
        failures: Failures before the last one.

    Returns:
        Seconds.
    """
    limit_s = base_s * 2.0 ** min(failures, _MAX_EXPONENT)
    return rng.uniform(0.0, min(cap_s, limit_s))


def read_pause_s(
    settings: _settings.LogSettings, began_s: float, now_s: float
) -> float:
    """Return the pause before the next read of a partition.

    Records that arrive in the pause come together with one read.

    Args:
        began_s: Monotonic time at which the last read was sent.
        now_s: Monotonic time at which it was answered.

    Returns:
        Seconds; zero after a read that waited long for a record.
    """
    return max(0.0, began_s + settings.read_gap_s - now_s)
