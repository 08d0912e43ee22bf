"""The load that an endpoint reports."""

from typing import NamedTuple

__all__ = ["EndpointLoad"]


class EndpointLoad(NamedTuple):
    """Load of an endpoint: counts of requests, loaded models and adapters, cached prefixes.

    `tokens_per_s` is the output rate. `cached` holds the keys of prompt prefixes that were cached
    since the last report.
    """

    running: int = 0
    waiting: int = 0
    tokens_per_s: float = 0.0
    models: tuple[str, ...] = ()
    adapters: tuple[str, ...] = ()
    cached: tuple[int, ...] = ()
