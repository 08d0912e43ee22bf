"""Load shedding by the lag of the event loop."""

import xxhash

__all__ = ["LagLimit"]

# Lag of a periodic timer above which the process counts as behind.
LATE_TICK_S = 0.25
# Increase of the refused fraction for each second of lag, since a process that is far behind has
# few ticks, and its decrease at each punctual tick.
INCREASE_PER_S = 1.0
DECREASE_PER_TICK = 0.05
# Some requests are always admitted, so that a process that stays slow still serves.
MAX_REFUSED_FRACTION = 0.9


class LagLimit:
    """The fraction of new requests to refuse while timers run late; times are in seconds.

    In a burst that exceeds the CPU, each admitted request delays all streams, and requests reach
    endpoints after their callers have left. A single late tick is ignored, since a machine that
    was suspended has spare capacity when it resumes.
    """

    def __init__(self) -> None:
        self._refused_fraction = 0.0
        # Whether the last tick was later than LATE_TICK_S.
        self.behind = False

    def record_tick(self, late_s: float) -> None:
        """Record the lag of a periodic timer in seconds."""
        late = late_s > LATE_TICK_S
        if late and self.behind:
            self._refused_fraction = min(
                MAX_REFUSED_FRACTION, self._refused_fraction + INCREASE_PER_S * late_s
            )
        elif not late:
            self._refused_fraction = max(0.0, self._refused_fraction - DECREASE_PER_TICK)
        self.behind = late

    def refuses(self, request_id: str) -> bool:
        """Return whether a new request is refused; the id decides, also for a retry."""
        point = xxhash.xxh32_intdigest(request_id.encode()) / 2**32
        return point < self._refused_fraction
