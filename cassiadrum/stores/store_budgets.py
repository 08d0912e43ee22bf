"""The rate budget that all clients of a process share."""

from typing import NamedTuple

from cassiadrum.stores.token_buckets import TokenBucket

__all__ = ["StoreBudget"]


class StoreBudget(NamedTuple):
    """Hold the read and the write bucket of a process."""

    reads: TokenBucket
    writes: TokenBucket

    @classmethod
    def of_share(
        cls, reads_per_s: float, writes_per_s: float, processes: int, burst: float = 4.0
    ) -> "StoreBudget":
        """Return the share of one of `processes` in the fleet's rates a second."""
        return cls(
            TokenBucket(reads_per_s / processes, burst),
            TokenBucket(writes_per_s / processes, burst),
        )
