"""Plans the shares of a rollout.

Progress is the fraction, 0 to 1, of the change from the start shares to
the goal. A plan has three phases: a small first share, growth by a factor
per stage and, if the old versions end at zero, a last phase in which they
keep a control share for the comparison.
"""

import dataclasses
import math

from arbutusstall import _settings

# Limits as fractions of the planned duration: for the phase with a control
# share, and for the margin before the goal is due.
_WATCH_FRACTION = 0.2
_MARGIN_FRACTION = 0.04
_MAX_MARGIN_S = 4.0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Stage:
    """The next stage of a plan.

    Attributes:
        progress: Progress to put in force.
        after_s: Minimum time since the last step, in seconds.
    """

    progress: float
    after_s: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Window:
    """Planned times of a rollout, in seconds since the epoch.

    Attributes:
        started_s: Time at which the release was published.
        by_s: Time at which the goal is due.
    """

    started_s: float
    by_s: float

    @property
    def length_s(self) -> float:
        """Planned duration of the rollout; zero for an immediate one."""
        return max(self.by_s - self.started_s, 0.0)


def first_progress(
    rise_percent: float, policy: _settings.RolloutSettings
) -> float:
    """Return the progress of the first stage.

    Args:
        rise_percent: Highest increase of any version's share from start
            to goal.
    """
    if rise_percent <= policy.first_percent:
        return 1.0
    return policy.first_percent / rise_percent


def control_progress(
    ends_at_zero: bool, policy: _settings.RolloutSettings
) -> float:
    """Return the progress at which only the control share remains.

    It is 1 if the old versions keep traffic at the goal, as these calls
    serve for the comparison.
    """
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
    """Return the next stage, or None at the goal.

    Args:
        progress: Progress in force.
        first: See `first_progress`.
        control: See `control_progress`.
        entered_s: Time at which the progress came into force, in seconds
            since the epoch.
    """
    if progress >= 1.0:
        return None
    if progress < first:
        return Stage(progress=first, after_s=0.0)
    margin_s = min(window.length_s * _MARGIN_FRACTION, _MAX_MARGIN_S)
    if progress >= control:
        left_s = window.by_s - margin_s - entered_s
        return Stage(progress=1.0, after_s=max(left_s, policy.step_s))
    watch_s = min(window.length_s * _WATCH_FRACTION, policy.watch_s)
    left_s = window.by_s - margin_s - watch_s - entered_s
    stages = _remaining_stages(progress, control, left_s, policy)
    factor = min((control / progress) ** (1.0 / stages), policy.growth_max)
    target = progress * factor
    if target > control * 0.999:
        target = control
    return Stage(
        progress=min(target, 1.0),
        after_s=max(left_s / stages, policy.step_s),
    )


def _remaining_stages(
    progress: float,
    control: float,
    left_s: float,
    policy: _settings.RolloutSettings,
) -> int:
    wanted = math.ceil(math.log(control / progress) / math.log(policy.growth))
    possible = math.floor(left_s / policy.step_s)
    return max(1, min(wanted, possible))
