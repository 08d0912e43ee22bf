"""The load that an endpoint reports."""

from typing import NamedTuple

__all__ = ["EndpointLoad"]


class EndpointLoad(NamedTuple):
    """Count running and waiting requests; name loaded models, adapters and cached prefixes.

    `tokens_per_s` is the output rate; `cached` holds prefix keys since the last report.
    """

    running: int = 0
    waiting: int = 0
    tokens_per_s: float = 0.0
    models: tuple[str, ...] = ()
    adapters: tuple[str, ...] = ()
    cached: tuple[int, ...] = ()
