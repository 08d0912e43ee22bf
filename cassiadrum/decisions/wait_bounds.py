"""The bound on the wait of a class that is not protected."""

import math

__all__ = ["wait_bound_s"]


def wait_bound_s(
    *,
    max_wait_s: float,
    backlog_tokens: float,
    min_share: float,
    protected_load: float,
    capacity_tokens_per_s: float,
    unshared_tokens: float = 0.0,
) -> float:
    """Return the longest wait in seconds, infinite when the class has no share of the capacity.

    `backlog_tokens` are the class's tokens up to and including the request, with its last
    dispatched request. `protected_load` is the share of capacity that protected classes take.
    `unshared_tokens` is work that no share accounts for because requests are not divisible: the
    request in service, one that overtakes, and a protected burst.
    """
    left = (1.0 - protected_load) * capacity_tokens_per_s
    if min_share <= 0.0 or left <= 0.0:
        return math.inf
    return max_wait_s + (backlog_tokens / min_share + unshared_tokens) / left
