"""Latency targets of one request class."""

from typing import NamedTuple

__all__ = ["LatencyTargets"]


class LatencyTargets(NamedTuple):
    """Targets in seconds; 0 disables a target."""

    first_token_s: float
    inter_token_s: float = 0.0
