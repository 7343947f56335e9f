"""Delays between requests to the log: backoff and read intervals."""

import random

from arbutusstall import _settings

_MAX_EXPONENT = 16


def backoff_s(
    settings: _settings.LogSettings, failures: int, rng: random.Random
) -> float:
    """Return the delay before a retry, with exponential backoff.

    Args:
        settings: Supplies the base and the cap of the backoff.
        failures: Consecutive failures before the last one.
        rng: Source of the jitter.

    Returns:
        Delay in seconds.
    """
    return full_jitter_s(
        settings.retry_base_s, settings.retry_cap_s, failures, rng
    )


def full_jitter_s(
    base_s: float, cap_s: float, failures: int, rng: random.Random
) -> float:
    """Return a random delay of up to an exponentially growing limit.

    Args:
        base_s: Limit after the first failure, in seconds.
        cap_s: Maximum limit, in seconds.
        failures: Consecutive failures before the last one.
        rng: Source of the jitter.

    Returns:
        Delay in seconds.
    """
    limit_s = base_s * 2.0 ** min(failures, _MAX_EXPONENT)
    return rng.uniform(0.0, min(cap_s, limit_s))


def read_pause_s(
    settings: _settings.LogSettings, began_s: float, now_s: float
) -> float:
    """Return the delay before the next read of a partition.

    Records that arrive during the delay are returned by a single read.

    Args:
        settings: Supplies the minimum interval between reads.
        began_s: Monotonic time at which the last read was sent.
        now_s: Monotonic time at which it was answered.

    Returns:
        Delay in seconds; zero if the last read already took at least the
        minimum interval.
    """
    return max(0.0, began_s + settings.read_gap_s - now_s)


def read_wait_s(
    settings: _settings.LogSettings, poll_s: float, pause_s: float
) -> float:
    """Return how long the next read waits for something new.

    The pause before the read is part of ``poll_s``, so that the time
    between two answers does not exceed it.

    Args:
        settings: Supplies the minimum interval between reads.
        poll_s: Maximum time between two answers, in seconds.
        pause_s: Time since the last answer, in seconds.

    Returns:
        Time in seconds. It is ``poll_s`` itself if that is below the
        minimum interval, since no wait would be left.
    """
    if poll_s <= settings.read_gap_s:
        return poll_s
    return poll_s - pause_s
