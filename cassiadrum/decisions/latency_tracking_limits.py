"""Concurrency limit adapted to measured latency."""

import math
from collections.abc import Mapping

from cassiadrum.decisions.concurrency_limits import ConcurrencyLimit
from cassiadrum.decisions.latency_targets import LatencyTargets

__all__ = ["LatencyTrackingLimit"]

# Targets apply to 95 % of the requests.
TARGET_QUANTILE = 0.95
# The smallest window with a sample above the 95th percentile.
WINDOW_SAMPLES = 20
# Between this share of the target and the target, the limit stays constant, so that it does not
# oscillate.
RAISE_BELOW_RATIO = 0.9
# One window reduces the limit by at least a tenth and at most a half.
MIN_DECREASE_FACTOR = 0.5
MAX_DECREASE_FACTOR = 0.9


class LatencyTrackingLimit(ConcurrencyLimit):
    """Concurrency limit with additive increase and multiplicative decrease.

    A window of samples well within the targets raises the limit by one; a window above them
    divides it by the ratio of the latency to the target. Each sample is compared with the target
    of its own class, so that classes with different targets share one limit. `targets` is keyed
    by class name; classes without an entry use `default`.
    """

    def __init__(
        self,
        default: LatencyTargets,
        maximum: int,
        initial: int = 1,
        targets: Mapping[str, LatencyTargets] | None = None,
    ) -> None:
        self._default = default
        self._targets = dict(targets or {})
        self._maximum = max(1, maximum)
        self._limit = min(max(1, initial), self._maximum)
        self._ratios: list[float] = []
        self._limit_reached = False

    @property
    def limit(self) -> int:
        """Return the current limit."""
        return self._limit

    def configure(self, targets: Mapping[str, LatencyTargets]) -> None:
        """Replace the targets of all classes."""
        self._targets = dict(targets)

    def observe(
        self,
        first_token_s: float,
        inter_token_s: float,
        running: int,
        now: float,
        class_name: str = "",
    ) -> None:
        """Record one sample and adjust the limit at the end of each window."""
        targets = self._targets.get(class_name, self._default)
        first = first_token_s / targets.first_token_s if targets.first_token_s > 0 else 0.0
        inter = inter_token_s / targets.inter_token_s if targets.inter_token_s > 0 else 0.0
        ratio = max(first, inter)
        if not math.isfinite(ratio):
            return
        self._ratios.append(ratio)
        # A low latency allows a higher limit only if the current one was reached.
        self._limit_reached = self._limit_reached or running >= self._limit
        if len(self._ratios) >= WINDOW_SAMPLES:
            self._adjust()

    def _adjust(self) -> None:
        ranked = sorted(self._ratios)
        ratio = ranked[math.ceil(TARGET_QUANTILE * len(ranked)) - 1]
        if ratio > 1.0:
            factor = min(MAX_DECREASE_FACTOR, max(MIN_DECREASE_FACTOR, 1.0 / ratio))
            self._limit = max(1, math.floor(self._limit * factor))
        elif ratio < RAISE_BELOW_RATIO and self._limit_reached:
            self._limit = min(self._maximum, self._limit + 1)
        self._ratios.clear()
        self._limit_reached = False
