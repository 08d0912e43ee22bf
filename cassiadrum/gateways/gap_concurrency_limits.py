"""Concurrency limit of an endpoint that keeps urgent streams on time."""

__all__ = ["GapConcurrencyLimit"]

# Fraction of the allowed gap above which the limit is decreased. One long gap among dozens makes a
# stream late, so the usual gap has to stay below the allowed one.
LONG_GAP_FRACTION = 0.85
# Factor of a decrease, and the lower bound of the limit as a fraction of the slots.
DECREASE_FACTOR = 0.85
MIN_SLOTS_FRACTION = 0.2
# Long gaps within this time after a decrease are attributed to the same cause.
DECREASE_INTERVAL_S = 0.5
# Fraction of the limit that is reserved for each more urgent class beyond the first.
RESERVED_FRACTION = 0.15
# Increase per second while gaps are short and the load is at least this fraction of the limit.
INCREASE_PER_S = 2.0
NEAR_LIMIT_FRACTION = 0.8
# A gap above this multiple of the allowed one is a fault of the endpoint or of this machine, not
# an effect of load.
FAULT_GAP_MULTIPLE = 3.0


class GapConcurrencyLimit:
    """A limit that follows the event gaps of all streams at the endpoints of one service.

    The limit protects urgent streams from long bursts of less urgent prompts. An engine runs
    prefill between the decoding steps of its streams and serves all streams in each step, so the
    gaps grow with its load. Requests admitted in excess occupy it for many seconds. Times are
    monotonic seconds.
    """

    def __init__(self) -> None:
        self._limit = float("inf")
        self._decreased_s = float("-inf")
        self._increased_s = float("-inf")

    def allows(self, outstanding: int, slots: int, more_urgent_classes: int = 1) -> bool:
        """Return whether an endpoint with so many outstanding requests may get a less urgent one.

        A part of the limit is reserved for each more urgent class beyond the first. Otherwise the
        least urgent requests, which wait the longest, would take all capacity that becomes free.
        """
        limit = max(min(self._limit, slots), MIN_SLOTS_FRACTION * slots)
        return outstanding < limit * (1 - RESERVED_FRACTION * (more_urgent_classes - 1))

    def record_gap(
        self, gap_s: float, allowed_s: float, outstanding: int | None, now: float
    ) -> None:
        """Record a gap between events; `outstanding` is None if the load is unknown."""
        if gap_s > FAULT_GAP_MULTIPLE * allowed_s:
            return
        if gap_s > LONG_GAP_FRACTION * allowed_s:
            self._decrease(outstanding, now)
        elif outstanding is not None and outstanding >= NEAR_LIMIT_FRACTION * self._limit:
            self._increase(now)

    def _decrease(self, outstanding: int | None, now: float) -> None:
        if now < self._decreased_s + DECREASE_INTERVAL_S:
            return
        self._decreased_s = now
        if outstanding is not None:
            self._limit = DECREASE_FACTOR * min(self._limit, outstanding)

    def _increase(self, now: float) -> None:
        since_s = min(DECREASE_INTERVAL_S, now - max(self._increased_s, self._decreased_s))
        self._increased_s = now
        self._limit += INCREASE_PER_S * max(0.0, since_s)
