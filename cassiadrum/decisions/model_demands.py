"""Demand for a model or an adapter."""

from typing import NamedTuple

__all__ = ["ModelDemand"]


class ModelDemand(NamedTuple):
    """Mean number of running and queued requests that need a model or one of its adapters.

    If `adapter` is set, the demand is for the adapter; it is also part of the model's demand.
    """

    model: str
    adapter: str
    requests: float
