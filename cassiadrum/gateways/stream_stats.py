"""How fast the streams of a service's endpoints go on."""

from cassiadrum.gateways.concurrency_limits import ConcurrencyLimit

__all__ = ["EventGapAverage", "ServiceStreamStats"]

# Part by which a new gap between events changes the estimate.
SMOOTHING = 0.2
# An estimate without a new gap for this long says nothing.
MAX_AGE_S = 2.0


class EventGapAverage:
    """Average the time between events of streams; times are monotonic seconds."""

    def __init__(self) -> None:
        self._gap_s = 0.0
        self._updated_s = float("-inf")

    def update(self, gap_s: float, now: float) -> None:
        """Take the time between two events."""
        if self.gap_s(now) is None:
            self._gap_s = gap_s
        else:
            self._gap_s += SMOOTHING * (gap_s - self._gap_s)
        self._updated_s = now

    def gap_s(self, now: float) -> float | None:
        """Return the average time between events, None where nothing recent is known."""
        return self._gap_s if now - self._updated_s <= MAX_AGE_S else None


class ServiceStreamStats:
    """Hold what the streams at all endpoints of a service tell."""

    def __init__(self) -> None:
        self.event_gap = EventGapAverage()
        self.limit = ConcurrencyLimit()
