"""Median of positive ratios in constant time and memory."""

import math

_BUCKETS_PER_OCTAVE = 8
_OCTAVES = 4
_BUCKETS = 2 * _OCTAVES * _BUCKETS_PER_OCTAVE


class RatioHistogram:
    """Counts ratios in logarithmic buckets from 1/16 to 16.

    Not thread-safe. Ratios outside the range count as its bounds.
    """

    __slots__ = ("_counts", "total")

    def __init__(self) -> None:
        self._counts = [0] * _BUCKETS
        self.total = 0

    def add(self, ratio: float) -> None:
        """Count one ratio."""
        index = _BUCKETS - 1
        if ratio < 2.0**_OCTAVES:
            octave = math.log2(max(ratio, 2.0**-_OCTAVES)) + _OCTAVES
            index = min(index, int(octave * _BUCKETS_PER_OCTAVE))
        self._counts[index] += 1
        self.total += 1

    def add_long(self, count: int) -> None:
        """Count ratios that are only known to be large."""
        self._counts[-1] += count
        self.total += count

    def median(self) -> float:
        """Return the median, interpolated; 1.0 if nothing was counted."""
        half = self.total / 2
        below = 0
        for index, count in enumerate(self._counts):
            if count and below + count >= half:
                position = index + (half - below) / count
                return math.exp2(position / _BUCKETS_PER_OCTAVE - _OCTAVES)
            below += count
        return 1.0

    def clear(self) -> None:
        """Remove all counts."""
        for index in range(_BUCKETS):
            self._counts[index] = 0
        self.total = 0
