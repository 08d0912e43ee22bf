"""Histogram with logarithmic buckets and exponential decay."""

import math
from array import array

__all__ = ["LogHistogram"]

BUCKETS_PER_OCTAVE = 4
BUCKETS = 18 * BUCKETS_PER_OCTAVE
# At this weight all counts are halved, so that quantiles reflect about the last thousand values.
HALVE_AT_WEIGHT = 1024.0


class LogHistogram:
    """Quantiles of positive values up to 2**18, with an error below 10 %.

    Old values lose weight with the number of newer values, not with time.
    """

    __slots__ = ("_counts", "_total")

    def __init__(self) -> None:
        self._counts = array("f", bytes(4 * BUCKETS))
        self._total = 0.0

    @property
    def total(self) -> float:
        """Return the weight of all values, at most 1024."""
        return self._total

    def add(self, value: float) -> None:
        """Count one value; values below 1 count as 1."""
        index = int(math.log2(max(value, 1.0)) * BUCKETS_PER_OCTAVE)
        self._counts[min(index, BUCKETS - 1)] += 1.0
        self._total += 1.0
        if self._total >= HALVE_AT_WEIGHT:
            self._counts = array("f", (count / 2 for count in self._counts))
            self._total /= 2

    def quantile(self, quantile: float) -> float:
        """Return the geometric middle of the bucket at `quantile` (0 to 1), 0 without values."""
        rank = quantile * self._total
        seen = 0.0
        last = -1
        for index, count in enumerate(self._counts):
            if count <= 0.0:
                continue
            seen += count
            last = index
            if seen >= rank:
                break
        return 0.0 if last < 0 else float(2 ** ((last + 0.5) / BUCKETS_PER_OCTAVE))
