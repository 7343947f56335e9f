"""Detects a peer that does not answer, by pings and time-outs."""

import enum
import math

_PING_AFTER_S = 0.25
_PING_TIMEOUT_S = 0.6


class Step(enum.Enum):
    """Action after a check of a peer.

    Attributes:
        WAIT: Do nothing for now.
        PING: Send a ping.
        GIVE_UP: Treat the peer as unreachable.
    """

    WAIT = "wait"
    PING = "ping"
    GIVE_UP = "give-up"


class SilenceWatch:
    """Failure detector of one peer; times are monotonic seconds.

    An idle peer has no reason to send anything, so its silence is measured
    from the first request without an answer.
    """

    def __init__(self) -> None:
        self._requested_s = -math.inf
        self._pinged_s = -math.inf

    def record_request(self, now_s: float) -> None:
        """Record a request that the peer has to answer.

        Also called to restart the measurement after this process was
        paused.
        """
        self._requested_s = now_s

    def is_suspect(self, last_received_s: float) -> bool:
        """Return whether a ping has not been answered yet."""
        return self._pinged_s > max(last_received_s, self._requested_s)

    def check(self, last_received_s: float, now_s: float) -> Step:
        """Return the action to take now.

        The caller has to send a ping if the result is ``PING``.

        Args:
            last_received_s: Time at which data of the peer last arrived.
            now_s: Current time.
        """
        silent_since_s = max(last_received_s, self._requested_s)
        if self.is_suspect(last_received_s):
            timed_out = now_s - self._pinged_s >= _PING_TIMEOUT_S
            return Step.GIVE_UP if timed_out else Step.WAIT
        if now_s - silent_since_s < _PING_AFTER_S:
            return Step.WAIT
        self._pinged_s = now_s
        return Step.PING
