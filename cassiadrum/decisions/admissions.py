"""Base class of the decision to accept a request."""

from abc import ABC, abstractmethod

from cassiadrum.decisions.admission_decisions import Admitted, Rejected
from cassiadrum.decisions.queued_requests import QueuedRequest
from cassiadrum.decisions.service_snapshots import ServiceSnapshot

__all__ = ["Admission"]


class Admission(ABC):
    """Decide whether a request is accepted, and predict its wait."""

    @abstractmethod
    def decide(self, req: QueuedRequest, now: float, view: ServiceSnapshot) -> Admitted | Rejected:
        """Accept or refuse a new request."""

    @abstractmethod
    def predict_s(self, req: QueuedRequest, view: ServiceSnapshot) -> float:
        """Return the predicted wait in seconds until the request is dispatched."""

    @abstractmethod
    def retry_after_s(self, req: QueuedRequest, view: ServiceSnapshot) -> float:
        """Return after how many seconds a refused request is worth sending again."""

    @abstractmethod
    def observe_wait(self, predicted_s: float, actual_s: float) -> None:
        """Learn from the wait of a dispatched request and its prediction before correction."""
