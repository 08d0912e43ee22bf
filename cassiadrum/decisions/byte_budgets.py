"""Rate limit on transferred bytes."""

__all__ = ["ByteBudget"]


class ByteBudget:
    """Rate limiter that spaces transfers to keep a mean rate in bytes per second.

    Raises ValueError when the rate is not positive.
    """

    def __init__(self, bytes_per_s: float) -> None:
        if bytes_per_s <= 0:
            raise ValueError(f"bytes_per_s is {bytes_per_s}; it must be above 0")
        self._bytes_per_s = bytes_per_s
        self._available_at_s = float("-inf")

    def available(self, now: float) -> bool:
        """Return whether the time reserved for all earlier transfers has passed."""
        return now >= self._available_at_s

    def reserve(self, size: int, now: float) -> None:
        """Reserve the time that a transfer of `size` bytes takes at the mean rate."""
        self._available_at_s = max(now, self._available_at_s) + size / self._bytes_per_s
