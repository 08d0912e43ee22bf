"""Latency targets of one request class."""

from typing import NamedTuple

__all__ = ["LatencyTargets"]


class LatencyTargets(NamedTuple):
    """Hold the targets in seconds; a target of 0 is not checked."""

    first_token_s: float
    inter_token_s: float = 0.0
