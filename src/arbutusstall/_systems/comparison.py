"""Sequential test of a new version against the one it replaces.

Each interval gives one interim look at the counts of a route. Two
e-values are computed per look: likelihood ratios whose expected value is
at most one while the new version is good.

* relative: how many of the bad calls in the look belong to the new
  version, given its fraction of the calls. A fault in a shared back end
  affects both versions and gives no evidence.
* absolute: how many of the new version's calls are bad, given the
  tolerated rate.

Each is computed for three effect sizes, and the mean over them is used.
The logarithms are summed from the last time the sum was not positive (a
CUSUM), so that a version that turns bad late is judged by its current
behaviour. With a threshold of ``ln(looks * comparisons / alpha)`` the
chance of rejecting a good version within that many looks is at most
``alpha``.
"""

from collections import abc
import dataclasses
import math

from arbutusstall._tables import comparisons

# Multiples of the tolerated ratio of the new rate to the old one.
_RELATIVE_EFFECTS = (2.0, 6.0, 30.0)
# Positions between the tolerated rate (0) and a rate of one (1).
_ABSOLUTE_EFFECTS = (0.08, 0.3, 0.8)
_NO_EVIDENCE = (0.0, 0.0, 0.0)
_MAX_LOOKS = 40
# The old versions lack calls if, over the last ``_RECENT_LOOKS`` looks, they
# got fewer than one call per ``_SCARCE_CONTROL_FACTOR`` calls of the new one.
_RECENT_LOOKS = 6
_SCARCE_CONTROL_FACTOR = 3


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Tolerance:
    """Tolerated rate of bad calls and the evidence needed to reject.

    Attributes:
        ratio: Tolerated rate as a multiple of the old version's.
        floor: Rate that is always tolerated, 0 to 1.
        threshold: Log e-value at which a version is rejected.
    """

    ratio: float
    floor: float
    threshold: float

    @property
    def max_per_look(self) -> float:
        """Highest log e-value that a single look can add.

        Outcomes within one interval are correlated, as in a pause or a
        burst, so a single look must not reject a version.
        """
        return self.threshold / 3.0


def threshold(looks: int, comparisons: int, alpha: float) -> float:
    """Return the log e-value at which a version is rejected.

    Args:
        looks: Planned number of looks in the rollout.
        comparisons: Routes times metrics times versions.
        alpha: Maximum chance of rejecting a good version in one rollout.
    """
    return math.log(max(looks, 1) * max(comparisons, 1) / alpha)


def update(
    detector: comparisons.Detector,
    look: comparisons.Look,
    tolerance: Tolerance,
    baseline_rate: float,
) -> comparisons.Detector:
    """Return the detector after one more look.

    Args:
        baseline_rate: Rate of bad calls of the old versions before this
            look, 0 to 1.
    """
    floor = min(max(tolerance.floor, baseline_rate * tolerance.ratio), 0.9)
    return comparisons.Detector(
        relatives=_accumulate(
            detector.relatives, _relative(look, tolerance.ratio), tolerance
        ),
        absolutes=_accumulate(
            detector.absolutes, _absolute(look, floor), tolerance
        ),
        looks=_append_look(detector.looks, look),
    )


def is_bad(detector: comparisons.Detector, tolerance: Tolerance) -> bool:
    """Return whether both e-values reject the version."""
    return min(detector.relative, detector.absolute) >= tolerance.threshold


def is_suspect(detector: comparisons.Detector, tolerance: Tolerance) -> bool:
    """Return whether the version seems bad but cannot be compared now.

    It is worse than the old version was, and the old one now gets too
    few calls to rule out a fault common to both. The calls that the old
    version does get must not indicate such a fault.
    """
    return (
        detector.absolute >= tolerance.threshold
        and detector.relative >= 0.0
        and lacks_control_calls(detector.looks)
    )


def lacks_control_calls(looks: abc.Sequence[comparisons.Look]) -> bool:
    """Return whether the old versions got too few calls in recent looks."""
    recent = looks[-_RECENT_LOOKS:]
    new_calls = sum(look.new_calls for look in recent)
    old_calls = sum(look.old_calls for look in recent)
    return old_calls * _SCARCE_CONTROL_FACTOR < new_calls


def replay(
    looks: abc.Iterable[comparisons.Look], tolerance: Tolerance
) -> comparisons.Detector:
    """Return the detector after ``looks``, without a baseline rate."""
    detector = comparisons.Detector()
    for look in looks:
        detector = update(detector, look, tolerance, 0.0)
    return detector


def is_consistent(look: comparisons.Look) -> bool:
    """Return whether no count is negative or exceeds its total."""
    return (
        0 <= look.new_bad <= look.new_calls
        and 0 <= look.old_bad <= look.old_calls
    )


def _accumulate(
    totals: tuple[float, ...],
    logs: tuple[float, ...],
    tolerance: Tolerance,
) -> tuple[float, ...]:
    max_log = tolerance.max_per_look
    return tuple(
        max(0.0, total) + min(log, max_log)
        for total, log in zip(totals, logs, strict=True)
    )


def _relative(look: comparisons.Look, ratio: float) -> tuple[float, ...]:
    if not look.new_calls or not look.old_calls:
        return _NO_EVIDENCE
    if not look.new_bad and not look.old_bad:
        return _NO_EVIDENCE
    expected = _expected_fraction(look, ratio)
    return tuple(
        look.new_bad
        * math.log(_expected_fraction(look, ratio * effect) / expected)
        + look.old_bad
        * math.log(
            (1 - _expected_fraction(look, ratio * effect)) / (1 - expected)
        )
        for effect in _RELATIVE_EFFECTS
    )


def _expected_fraction(look: comparisons.Look, ratio: float) -> float:
    """Return the fraction of all bad calls expected at the new version.

    Args:
        ratio: Rate of the new version as a multiple of the old one's.
    """
    weighted = look.new_calls * ratio
    return weighted / (weighted + look.old_calls)


def _absolute(look: comparisons.Look, floor: float) -> tuple[float, ...]:
    good = look.new_calls - look.new_bad
    rates = (floor + (1.0 - floor) * effect for effect in _ABSOLUTE_EFFECTS)
    return tuple(
        look.new_bad * math.log(rate / floor)
        + good * math.log((1.0 - rate) / (1.0 - floor))
        for rate in rates
    )


def _append_look(
    looks: tuple[comparisons.Look, ...], look: comparisons.Look
) -> tuple[comparisons.Look, ...]:
    if not look.new_calls and not look.old_calls:
        return looks
    return (*looks[-(_MAX_LOOKS - 1) :], look)
