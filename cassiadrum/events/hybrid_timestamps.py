"""A point in hybrid logical time."""

from typing import NamedTuple

__all__ = ["HybridTimestamp"]


class HybridTimestamp(NamedTuple):
    """Order events: wall time in microseconds since the epoch, then a logical counter."""

    wall_us: int
    counter: int

    @property
    def seconds(self) -> float:
        """Return the wall part in seconds since the epoch."""
        return self.wall_us / 1e6
