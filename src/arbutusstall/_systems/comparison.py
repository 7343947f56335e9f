"""Sequential comparison of a new version with the one it replaces.

Each interval gives one look at the counts of a route. A look is turned
into two e-values, ratios of likelihoods whose mean is at most one while
the new version is sound:

* relative: of all bad calls of the look, how many are the new
  version's, given its part of the calls. A fault of a shared back end
  changes both and says nothing.
* absolute: how many of the new version's calls are bad, given the rate
  that is tolerated.

Each is formed for three degrees of badness. The logarithms are summed
from the last time the sum was not positive (a CUSUM), so that a version
that turns bad late is judged by what it does now; the mean over the
degrees counts. With a threshold of ``ln(looks * comparisons / alpha)``
the chance to reject a sound version within that many looks is at most
``alpha``.
"""

from collections import abc
import dataclasses
import math

from arbutusstall._tables import comparisons

_WORSE = (2.0, 6.0, 30.0)
_TOWARDS_ALL = (0.08, 0.3, 0.8)
_NOTHING = (0.0, 0.0, 0.0)
_MOST_LOOKS = 40
_NEWEST_LOOKS = 6
_SCARCE = 3


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Tolerance:
    """How much worse a version may be, and how sure to be.

    Attributes:
        ratio: Tolerated rate as a multiple of the old version's.
        floor: Rate that is tolerated in any case, 0 to 1.
        threshold: Log e-value that rejects.
    """

    ratio: float
    floor: float
    threshold: float

    @property
    def most_per_look(self) -> float:
        """Log e-value that a single look can add.

        Outcomes within one interval depend on each other (a pause, a
        burst), so no single look rejects.
        """
        return self.threshold / 3.0


def threshold(looks: int, comparisons: int, alpha: float) -> float:
    """Return the log e-value that rejects.

    Args:
        looks: Looks that the rollout is planned to take.
        comparisons: Routes times metrics times versions.
        alpha: Chance to reject a sound version in one rollout.
    """
    return math.log(max(looks, 1) * max(comparisons, 1) / alpha)


def update(
    detector: comparisons.Detector,
    look: comparisons.Look,
    tolerance: Tolerance,
    usual: float,
) -> comparisons.Detector:
    """Return the detector after one more look.

    Args:
        usual: Rate of bad calls of the old version so far, 0 to 1.
    """
    floor = min(max(tolerance.floor, usual * tolerance.ratio), 0.9)
    return comparisons.Detector(
        relatives=_add(
            detector.relatives, _relative(look, tolerance.ratio), tolerance
        ),
        absolutes=_add(detector.absolutes, _absolute(look, floor), tolerance),
        looks=_keep(detector.looks, look),
    )


def is_bad(detector: comparisons.Detector, tolerance: Tolerance) -> bool:
    """Tell whether the counts reject the version."""
    return min(detector.relative, detector.absolute) >= tolerance.threshold


def is_suspect(detector: comparisons.Detector, tolerance: Tolerance) -> bool:
    """Tell whether the version is bad, with nothing to compare it to.

    It is worse than the old version was, and the old one gets too few
    calls now to exclude a fault that both share. The few it gets must
    not point at such a fault.
    """
    return (
        detector.absolute >= tolerance.threshold
        and detector.relative >= 0.0
        and is_scarce(detector.looks)
    )


def is_scarce(looks: abc.Sequence[comparisons.Look]) -> bool:
    """Tell whether the old versions lately got few calls to compare."""
    newest = looks[-_NEWEST_LOOKS:]
    new_calls = sum(look.new_calls for look in newest)
    old_calls = sum(look.old_calls for look in newest)
    return old_calls * _SCARCE < new_calls


def replay(
    looks: abc.Iterable[comparisons.Look], tolerance: Tolerance
) -> comparisons.Detector:
    """Return the detector after ``looks`` alone."""
    detector = comparisons.Detector()
    for look in looks:
        detector = update(detector, look, tolerance, 0.0)
    return detector


def is_sound(look: comparisons.Look) -> bool:
    """Tell whether the counts of a look are possible."""
    return (
        0 <= look.new_bad <= look.new_calls
        and 0 <= look.old_bad <= look.old_calls
    )


def _add(
    totals: tuple[float, ...],
    logs: tuple[float, ...],
    tolerance: Tolerance,
) -> tuple[float, ...]:
    most = tolerance.most_per_look
    return tuple(
        max(0.0, total) + min(log, most)
        for total, log in zip(totals, logs, strict=True)
    )


def _relative(look: comparisons.Look, ratio: float) -> tuple[float, ...]:
    if not look.new_calls or not look.old_calls:
        return _NOTHING
    if not look.new_bad and not look.old_bad:
        return _NOTHING
    expected = _part(look, ratio)
    return tuple(
        look.new_bad * math.log(_part(look, ratio * worse) / expected)
        + look.old_bad
        * math.log((1 - _part(look, ratio * worse)) / (1 - expected))
        for worse in _WORSE
    )


def _part(look: comparisons.Look, ratio: float) -> float:
    weighted = look.new_calls * ratio
    return weighted / (weighted + look.old_calls)


def _absolute(look: comparisons.Look, floor: float) -> tuple[float, ...]:
    good = look.new_calls - look.new_bad
    rates = (floor + (1.0 - floor) * way for way in _TOWARDS_ALL)
    return tuple(
        look.new_bad * math.log(rate / floor)
        + good * math.log((1.0 - rate) / (1.0 - floor))
        for rate in rates
    )


def _keep(
    looks: tuple[comparisons.Look, ...], look: comparisons.Look
) -> tuple[comparisons.Look, ...]:
    if not look.new_calls and not look.old_calls:
        return looks
    return (*looks[-(_MOST_LOOKS - 1) :], look)
