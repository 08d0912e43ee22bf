"""Refusal of new requests by a process that falls behind its work."""

import xxhash

__all__ = ["LagLimit"]

# Lateness of a timer from which on the process counts as behind.
LATE_TICK_S = 0.25
# Growth of the refused part of the new requests for each second of lateness, since a process that
# is far behind has few ticks, and its fall at a tick in time.
INCREASE_PER_S = 1.0
DECREASE_PER_TICK = 0.05
# Some requests are always taken, so that a process which is slow for long still serves.
MAX_REFUSED_FRACTION = 0.9


class LagLimit:
    """Refuse a part of the new requests while timers run late; times are in seconds.

    Answers bursts beyond what the machine's processor carries. Each request that is taken then
    delays all streams, and requests are passed on after their callers have left. One late tick is
    no reason: a machine that was frozen has time again when it wakes.
    """

    def __init__(self) -> None:
        self._refused_fraction = 0.0
        # Whether the last tick was late.
        self.behind = False

    def record_tick(self, late_s: float) -> None:
        """Take how much later than due a periodic timer ran."""
        late = late_s > LATE_TICK_S
        if late and self.behind:
            self._refused_fraction = min(
                MAX_REFUSED_FRACTION, self._refused_fraction + INCREASE_PER_S * late_s
            )
        elif not late:
            self._refused_fraction = max(0.0, self._refused_fraction - DECREASE_PER_TICK)
        self.behind = late

    def refuses(self, request_id: str) -> bool:
        """Return whether a new request is refused; a repetition with the same id is as well."""
        point = xxhash.xxh32_intdigest(request_id.encode()) / 2**32
        return point < self._refused_fraction
