"""Hybrid logical clock of one process."""

from collections.abc import Callable
from typing import Final

from cassiadrum.events.hybrid_timestamps import HybridTimestamp

__all__ = ["HybridLogicalClock"]

# Timestamps further ahead of the own wall clock are ignored: one wrong clock would otherwise move
# the clocks of the whole fleet ahead permanently.
MAX_OFFSET_S: Final = 3600.0


class HybridLogicalClock:
    """A clock that orders each event after the events that caused it, in all processes.

    `wall_s` returns seconds since the epoch and may jump. Every message between processes must
    carry a timestamp from the sender's `tick()`, and the receiver must pass it to `observe()`
    before it records an event caused by the message.
    """

    def __init__(self, wall_s: Callable[[], float], max_offset_s: float = MAX_OFFSET_S) -> None:
        self._wall_s = wall_s
        self._max_offset_us = int(max_offset_s * 1e6)
        self._last = HybridTimestamp(0, 0)
        self._ignored_count = 0

    @property
    def last(self) -> HybridTimestamp:
        """Return the latest timestamp issued or observed."""
        return self._last

    @property
    def ignored_count(self) -> int:
        """Return the number of observed timestamps that were ignored as too far ahead."""
        return self._ignored_count

    def tick(self) -> HybridTimestamp:
        """Return a timestamp later than every timestamp issued or observed before."""
        wall_us = self._wall_us()
        if wall_us > self._last.wall_us:
            self._last = HybridTimestamp(wall_us, 0)
        else:
            self._last = HybridTimestamp(self._last.wall_us, self._last.counter + 1)
        return self._last

    def observe(self, remote: HybridTimestamp) -> bool:
        """Advance to a peer's timestamp; return False if it was ignored as too far ahead."""
        if remote.wall_us - self._wall_us() > self._max_offset_us:
            self._ignored_count += 1
            return False
        self._last = max(self._last, remote)
        return True

    def _wall_us(self) -> int:
        return int(self._wall_s() * 1e6)
