"""Decides when a peer that owes an answer has been silent for too long."""

import enum
import math

_PING_AFTER_S = 0.25
_ANSWER_S = 0.6


class Step(enum.Enum):
    """What to do about the silence of a peer."""

    WAIT = "wait"
    PING = "ping"
    GIVE_UP = "give-up"


class SilenceWatch:
    """Measures the silence of one peer; times are monotonic seconds.

    A peer that was not asked for anything has no reason to speak, so its
    silence counts from the first question on.
    """

    def __init__(self) -> None:
        self._asked_s = -math.inf
        self._pinged_s = -math.inf

    def record_request(self, now_s: float) -> None:
        """Note that the peer owes an answer from now on.

        Also called to begin anew after a pause of this side.
        """
        self._asked_s = now_s

    def is_suspect(self, heard_s: float) -> bool:
        """Tell whether a sign of life was asked for and has not come."""
        return self._pinged_s > max(heard_s, self._asked_s)

    def check(self, heard_s: float, now_s: float) -> Step:
        """Return what to do.

        Args:
            heard_s: When something came from the peer last.
        """
        quiet_since_s = max(heard_s, self._asked_s)
        if self.is_suspect(heard_s):
            late = now_s - self._pinged_s >= _ANSWER_S
            return Step.GIVE_UP if late else Step.WAIT
        if now_s - quiet_since_s < _PING_AFTER_S:
            return Step.WAIT
        self._pinged_s = now_s
        return Step.PING
