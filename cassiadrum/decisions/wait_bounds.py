"""Upper bound on the wait of an unprotected class."""

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
    """Return the longest wait in seconds, infinite if the class has no share of the capacity.

    `backlog_tokens` counts the class's tokens up to and including the request, and those of its
    last dispatched request. `protected_load` is the fraction of the capacity that protected
    classes use. `unshared_tokens` counts work outside of all shares, because requests are
    indivisible: the request in service, one that overtakes, and a protected burst.
    """
    left = (1.0 - protected_load) * capacity_tokens_per_s
    if min_share <= 0.0 or left <= 0.0:
        return math.inf
    return max_wait_s + (backlog_tokens / min_share + unshared_tokens) / left
