"""The rate budget shared by all store clients of a process."""

from typing import NamedTuple

from cassiadrum.stores.token_buckets import TokenBucket

__all__ = ["StoreBudget"]


class StoreBudget(NamedTuple):
    """The token buckets of a process for reads and writes."""

    reads: TokenBucket
    writes: TokenBucket

    @classmethod
    def of_share(
        cls, reads_per_s: float, writes_per_s: float, processes: int, burst: float = 4.0
    ) -> "StoreBudget":
        """Return the budget of one process, an equal share of the fleet's rates."""
        return cls(
            TokenBucket(reads_per_s / processes, burst),
            TokenBucket(writes_per_s / processes, burst),
        )
