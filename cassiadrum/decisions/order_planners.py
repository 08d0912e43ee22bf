"""Base class of planners of engine orders."""

from abc import ABC, abstractmethod
from collections.abc import Collection

from cassiadrum.decisions.endpoint_reports import EndpointReport
from cassiadrum.decisions.engine_orders import EngineOrder
from cassiadrum.decisions.model_demands import ModelDemand

__all__ = ["OrderPlanner"]


class OrderPlanner(ABC):
    """Decides which engines load what; only the holder of the service's lease runs a planner."""

    @abstractmethod
    def plan(
        self, demand: Collection[ModelDemand], endpoints: Collection[EndpointReport], now: float
    ) -> list[EngineOrder]:
        """Return the orders to send now, given all demand and the latest reports."""

    @abstractmethod
    def order_answered(self, instance: str, now: float) -> None:
        """Record that the engine answered the order in flight, whether it succeeded or failed."""
