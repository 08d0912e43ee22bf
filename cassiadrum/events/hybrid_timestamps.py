"""Timestamp of a hybrid logical clock."""

from typing import NamedTuple

__all__ = ["HybridTimestamp"]


class HybridTimestamp(NamedTuple):
    """Wall-clock time in microseconds since the epoch and a logical counter, ordered as a pair."""

    wall_us: int
    counter: int

    @property
    def seconds(self) -> float:
        """Return the wall-clock time in seconds since the epoch."""
        return self.wall_us / 1e6
