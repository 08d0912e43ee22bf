"""Hybrid logical clock of one process."""

from collections.abc import Callable
from typing import Final

from cassiadrum.events.hybrid_timestamps import HybridTimestamp

__all__ = ["HybridLogicalClock"]

# A peer whose wall clock is further ahead is not followed, since one wrong clock would otherwise
# move the times of the whole fleet for good.
MAX_OFFSET_S: Final = 3600.0


class HybridLogicalClock:
    """Give each event a time after all events that caused it, in every process.

    `wall_s` returns seconds since the epoch and may jump. Every message between processes has to
    carry `tick()` of the sender, and the receiver passes it to `observe()` before it records an
    event caused by the message.
    """

    def __init__(self, wall_s: Callable[[], float], max_offset_s: float = MAX_OFFSET_S) -> None:
        self._wall_s = wall_s
        self._max_offset_us = int(max_offset_s * 1e6)
        self._last = HybridTimestamp(0, 0)
        self._ignored_count = 0

    @property
    def last(self) -> HybridTimestamp:
        """Return the latest time given out or observed."""
        return self._last

    @property
    def ignored_count(self) -> int:
        """Return how many observed times were too far ahead to be followed."""
        return self._ignored_count

    def tick(self) -> HybridTimestamp:
        """Return a time later than every time given out or observed before."""
        wall_us = self._wall_us()
        if wall_us > self._last.wall_us:
            self._last = HybridTimestamp(wall_us, 0)
        else:
            self._last = HybridTimestamp(self._last.wall_us, self._last.counter + 1)
        return self._last

    def observe(self, remote: HybridTimestamp) -> bool:
        """Move past a peer's time; return False when it is too far ahead and was ignored."""
        if remote.wall_us - self._wall_us() > self._max_offset_us:
            self._ignored_count += 1
            return False
        self._last = max(self._last, remote)
        return True

    def _wall_us(self) -> int:
        return int(self._wall_s() * 1e6)
