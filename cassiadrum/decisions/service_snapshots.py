"""State of a service as input to admission control."""

from typing import NamedTuple

__all__ = ["ServiceSnapshot"]


class ServiceSnapshot(NamedTuple):
    """The work ahead of one request and the rate at which it is served.

    `ahead_tokens` counts the estimated output tokens that are served first; for a protected
    request, only those of protected classes. `slot_tokens` is the mean number of tokens that the
    service produces until a slot becomes free. `tokens_per_s` is the measured rate, 0 if unknown.
    """

    ahead_tokens: float
    slot_tokens: float
    tokens_per_s: float
    free_slots: int
