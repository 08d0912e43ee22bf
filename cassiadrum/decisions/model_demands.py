"""Demand for one model or adapter."""

from typing import NamedTuple

__all__ = ["ModelDemand"]


class ModelDemand(NamedTuple):
    """Hold the mean number of requests, running and queued, that need the model.

    With `adapter` set, the demand is for the adapter; it is counted in the model's as well.
    """

    model: str
    adapter: str
    requests: float
