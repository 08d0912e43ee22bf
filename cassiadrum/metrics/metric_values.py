"""Metric values, stored in plain dictionaries."""

from bisect import bisect_left
from collections.abc import Mapping
from typing import Final

from cassiadrum.metrics.metric_definitions import DEFINITIONS, MetricDefinition

__all__ = ["HistogramValue", "MetricValues"]

# Bounds the memory of a metric whose label values come from clients, such as unknown services.
SERIES_MAX: Final = 1000
OVERFLOW_LABEL: Final = "other"


class HistogramValue:
    """Histogram with a count for each bucket; the last bucket has no upper bound."""

    def __init__(self, bounds: tuple[float, ...]) -> None:
        self.bounds = bounds
        self.counts = [0] * (len(bounds) + 1)
        self.total = 0.0

    def observe(self, value: float, count: int = 1) -> None:
        """Add `count` observations of a value."""
        self.counts[bisect_left(self.bounds, value)] += count
        self.total += value * count


class MetricValues:
    """Values of all metrics by metric name and tuple of label values.

    Updates change only dictionaries: the collectors of the metrics library encode their labels on
    every update, which is too slow for an update per token.
    """

    def __init__(
        self,
        series_max: int = SERIES_MAX,
        definitions: Mapping[str, MetricDefinition] = DEFINITIONS,
    ) -> None:
        self._series_max = series_max
        self._definitions = definitions
        self.scalars: dict[str, dict[tuple[str, ...], float]] = {name: {} for name in definitions}
        self.histograms: dict[str, dict[tuple[str, ...], HistogramValue]] = {
            name: {} for name in definitions
        }

    def add(self, name: str, labels: tuple[str, ...], amount: float = 1) -> None:
        """Increment a counter; label values beyond the series limit are counted as `other`."""
        series = self.scalars[name]
        if labels not in series and len(series) >= self._series_max:
            labels = (OVERFLOW_LABEL,) * len(labels)
        series[labels] = series.get(labels, 0) + amount

    def set(self, name: str, labels: tuple[str, ...], value: float) -> None:
        """Set a gauge; new series beyond the series limit are ignored."""
        series = self.scalars[name]
        if labels in series or len(series) < self._series_max:
            series[labels] = value

    def clear(self, name: str) -> None:
        """Remove all values of a metric."""
        self.scalars[name].clear()

    def observe(self, name: str, labels: tuple[str, ...], value: float, count: int = 1) -> None:
        """Add observations of a value to a histogram, as `other` beyond the series limit."""
        series = self.histograms[name]
        histogram = series.get(labels)
        if histogram is None:
            if len(series) >= self._series_max:
                labels = (OVERFLOW_LABEL,) * len(labels)
            histogram = series.setdefault(labels, HistogramValue(self._definitions[name].bounds))
        histogram.observe(value, count)
