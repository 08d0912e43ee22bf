"""Request class of a service."""

from typing import NamedTuple

__all__ = ["RequestClass"]


class RequestClass(NamedTuple):
    """Priority, latency targets and permitted retries, hedges and cancellation of a class.

    Times are in seconds. `tier` 0 is the highest. `min_share`, `retry_budget` and
    `hedge_budget` are fractions between 0 and 1.
    """

    name: str
    tier: int
    protected: bool
    idempotent: bool
    once_only: bool
    cancellable: bool
    target_first_token_s: float
    target_inter_token_s: float
    target_total_s: float
    deadline_s: float
    max_wait_s: float
    min_share: float
    retry_budget: float
    hedge_budget: float
    methods: tuple[str, ...]
    path_prefix: str

    def matches(self, method: str, path: str) -> bool:
        """Return whether a request with this method and path belongs to the class."""
        return (not self.methods or method in self.methods) and path.startswith(self.path_prefix)
