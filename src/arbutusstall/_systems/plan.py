"""Plans the shares of a rollout.

Progress is the part of the way from the start shares to the goal, 0 to
1. A plan has three phases: a first small share, growth by a factor per
stage, and, if the old versions end at zero, a last phase in which they
keep a control share to be compared with.
"""

import dataclasses
import math

from arbutusstall import _settings

_WATCH_PART = 0.2
_MARGIN_PART = 0.04
_MOST_MARGIN_S = 4.0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Stage:
    """The next step of a plan.

    Attributes:
        progress: Progress to reach by it.
        after_s: Earliest time after the last step, in seconds.
    """

    progress: float
    after_s: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Window:
    """Times of a rollout in seconds since the epoch.

    Attributes:
        started_s: When the release was published.
        by_s: When the goal is to be reached.
    """

    started_s: float
    by_s: float

    @property
    def length_s(self) -> float:
        """Time that the whole rollout may take."""
        return max(self.by_s - self.started_s, 0.0)


def first_progress(
    rise_percent: float, policy: _settings.RolloutSettings
) -> float:
    """Return the progress of the first stage.

    Args:
        rise_percent: Highest rise of any version, start to goal.
    """
    if rise_percent <= policy.first_percent:
        return 1.0
    return policy.first_percent / rise_percent


def control_progress(
    ends_at_zero: bool, policy: _settings.RolloutSettings
) -> float:
    """Return the progress at which the control share remains."""
    if not ends_at_zero:
        return 1.0
    return 1.0 - policy.control_percent / 100.0


def next_stage(
    progress: float,
    first: float,
    control: float,
    window: Window,
    entered_s: float,
    policy: _settings.RolloutSettings,
) -> Stage | None:
    """Return the next step, or None at the goal.

    Args:
        progress: Progress in force.
        first: See `first_progress`.
        control: See `control_progress`.
        entered_s: When the step in force was taken, epoch seconds.
    """
    if progress >= 1.0:
        return None
    if progress < first:
        return Stage(progress=first, after_s=0.0)
    margin_s = min(window.length_s * _MARGIN_PART, _MOST_MARGIN_S)
    if progress >= control:
        left_s = window.by_s - margin_s - entered_s
        return Stage(progress=1.0, after_s=max(left_s, policy.step_s))
    watch_s = min(window.length_s * _WATCH_PART, policy.watch_s)
    left_s = window.by_s - margin_s - watch_s - entered_s
    stages = _stages_left(progress, control, left_s, policy)
    factor = min((control / progress) ** (1.0 / stages), policy.growth_max)
    target = progress * factor
    if target > control * 0.999:
        target = control
    return Stage(
        progress=min(target, 1.0),
        after_s=max(left_s / stages, policy.step_s),
    )


def _stages_left(
    progress: float,
    control: float,
    left_s: float,
    policy: _settings.RolloutSettings,
) -> int:
    wanted = math.ceil(math.log(control / progress) / math.log(policy.growth))
    possible = math.floor(left_s / policy.step_s)
    return max(1, min(wanted, possible))
