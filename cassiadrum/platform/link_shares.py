"""The share of the machine's link that reads of the store may use."""

import asyncio
import time
from collections.abc import Callable
from typing import Final

__all__ = ["LinkShare"]

# The rest of the link is left for callers and endpoints while a large answer is read.
READ_FRACTION: Final = 0.75
# Bytes that may arrive at once; small answers are not delayed.
BURST_BYTES: Final = 32 * 1024
# Keeps a read above the rate at which its transfer counts as stalled.
MIN_BYTES_PER_S: Final = 64 * 1024


class LinkShare:
    """A limit on the rate of reads, which delays the readers.

    Without a known bandwidth in bytes per second, nothing is delayed.
    """

    def __init__(
        self,
        link_bytes_per_s: float | None,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._bytes_per_s: float | None = None
        if link_bytes_per_s is not None:
            self._bytes_per_s = max(MIN_BYTES_PER_S, READ_FRACTION * link_bytes_per_s)
        self._clock = clock
        # When all bytes that were read would have arrived at the permitted rate.
        self._due_s = float("-inf")

    def reserve(self, size: int) -> float:
        """Record received bytes and return the seconds to wait before the next read."""
        if self._bytes_per_s is None:
            return 0.0
        now = self._clock()
        earliest_s = now - BURST_BYTES / self._bytes_per_s
        self._due_s = max(self._due_s, earliest_s) + size / self._bytes_per_s
        return max(0.0, self._due_s - now)

    async def take(self, size: int) -> None:
        """Record received bytes and wait until the next ones may be read."""
        wait_s = self.reserve(size)
        if wait_s > 0.0:
            await asyncio.sleep(wait_s)
