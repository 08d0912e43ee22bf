"""Hybrid logical clock of one process."""

from collections.abc import Callable
from typing import Final

from cassiadrum.events.hybrid_times import HybridTime

__all__ = ["HybridClock"]

# A peer whose wall clock is further ahead is not followed, since one wrong clock would otherwise
# move the times of the whole fleet for good.
MAX_AHEAD_S: Final = 3600.0


class HybridClock:
    """Give each event a time after all events that caused it, in every process.

    `wall_s` returns seconds since the epoch and may jump. Every message between processes has to
    carry `tick()` of the sender, and the receiver passes it to `observe()` before it records an
    event caused by the message.
    """

    def __init__(self, wall_s: Callable[[], float], max_ahead_s: float = MAX_AHEAD_S) -> None:
        self._wall_s = wall_s
        self._max_ahead_us = int(max_ahead_s * 1e6)
        self._last = HybridTime(0, 0)
        self._ignored = 0

    @property
    def last(self) -> HybridTime:
        """Return the latest time given out or observed."""
        return self._last

    @property
    def ignored(self) -> int:
        """Return how many observed times were too far ahead to be followed."""
        return self._ignored

    def tick(self) -> HybridTime:
        """Return a time later than every time given out or observed before."""
        wall_us = self._wall_us()
        if wall_us > self._last.wall_us:
            self._last = HybridTime(wall_us, 0)
        else:
            self._last = HybridTime(self._last.wall_us, self._last.counter + 1)
        return self._last

    def observe(self, remote: HybridTime) -> bool:
        """Move past a peer's time; return False when it is too far ahead and was ignored."""
        if remote.wall_us - self._wall_us() > self._max_ahead_us:
            self._ignored += 1
            return False
        self._last = max(self._last, remote)
        return True

    def _wall_us(self) -> int:
        return int(self._wall_s() * 1e6)
