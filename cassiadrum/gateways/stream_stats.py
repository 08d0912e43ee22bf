"""Statistics of the event streams of endpoints and services."""

from cassiadrum.gateways.gap_concurrency_limits import GapConcurrencyLimit

__all__ = ["EventGapAverage", "ServiceStreamStats"]

# Weight of a new gap in the moving average.
SMOOTHING = 0.2
# Age at which an average without new gaps expires.
MAX_AGE_S = 2.0


class EventGapAverage:
    """Exponential moving average of the gap between events; times are monotonic seconds."""

    def __init__(self) -> None:
        self._gap_s = 0.0
        self._updated_s = float("-inf")

    def update(self, gap_s: float, now: float) -> None:
        """Add the time between two events."""
        if self.gap_s(now) is None:
            self._gap_s = gap_s
        else:
            self._gap_s += SMOOTHING * (gap_s - self._gap_s)
        self._updated_s = now

    def gap_s(self, now: float) -> float | None:
        """Return the average gap in seconds, None without recent events."""
        return self._gap_s if now - self._updated_s <= MAX_AGE_S else None


class ServiceStreamStats:
    """Event gap and concurrency limit derived from all streams of a service."""

    def __init__(self) -> None:
        self.event_gap = EventGapAverage()
        self.limit = GapConcurrencyLimit()
