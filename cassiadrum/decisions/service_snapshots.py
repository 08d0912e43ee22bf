"""What admission may see of a service."""

from typing import NamedTuple

__all__ = ["ServiceSnapshot"]


class ServiceSnapshot(NamedTuple):
    """State the work ahead of one request and the rate at which it is served.

    `ahead_tokens` are estimated output tokens that are served first; for a protected request
    only those of protected classes. `slot_tokens` are the tokens that the service produces on
    average until a slot is free. `tokens_per_s` is the measured rate, 0 while unknown.
    """

    ahead_tokens: float
    slot_tokens: float
    tokens_per_s: float
    free_slots: int
