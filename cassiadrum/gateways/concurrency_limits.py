"""Limit on the requests at an endpoint beside which urgent streams stay on time."""

__all__ = ["ConcurrencyLimit"]

# Part of the allowed pause above which the limit falls. A stream is late after one pause that is
# too long among dozens, so the usual pause has to stay below.
LONG_GAP_FRACTION = 0.85
# Part that is left of the limit after a pause that was too long, and the least part of the slots.
DECREASE_FACTOR = 0.85
MIN_SLOTS_FRACTION = 0.2
# Pauses within this time after a cut have the same cause.
DECREASE_INTERVAL_S = 0.5
# Part of the limit that is kept free for more urgent work, for each class of it beyond the first.
RESERVED_FRACTION = 0.15
# Growth while pauses are short enough beside at least this part of the limit.
INCREASE_PER_S = 2.0
NEAR_LIMIT_FRACTION = 0.8
# A pause of so many times what is allowed is a fault of the endpoint or of this machine.
FAULT_GAP_MULTIPLE = 3.0


class ConcurrencyLimit:
    """Learn the limit from the pauses of all streams at the endpoints of one service.

    Answers long bursts of less urgent prompts. An engine reads prompts between the tokens of all
    its streams and gives each stream its turn in every step, so the more it holds, the longer the
    pauses. What was admitted too much stays for many seconds. Times are monotonic seconds.
    """

    def __init__(self) -> None:
        self._limit = float("inf")
        self._decreased_s = float("-inf")
        self._increased_s = float("-inf")

    def allows(self, outstanding: int, slots: int, more_urgent_classes: int = 1) -> bool:
        """Return whether an endpoint that holds so many requests may get a less urgent one.

        `rank` is the number of classes that are more urgent. What is left of the limit for the
        others would be taken by the least urgent work, which waits for it the longest.
        """
        limit = max(min(self._limit, slots), MIN_SLOTS_FRACTION * slots)
        return outstanding < limit * (1 - RESERVED_FRACTION * (more_urgent_classes - 1))

    def record_gap(
        self, gap_s: float, allowed_s: float, outstanding: int | None, now: float
    ) -> None:
        """Take a pause between events; `outstanding` is None where the load is not known."""
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
