"""Base class of admission control."""

from abc import ABC, abstractmethod

from cassiadrum.decisions.admission_decisions import Admitted, Rejected
from cassiadrum.decisions.queued_requests import QueuedRequest
from cassiadrum.decisions.service_snapshots import ServiceSnapshot

__all__ = ["Admission"]


class Admission(ABC):
    """Admission control, which accepts or refuses requests by their predicted wait."""

    @abstractmethod
    def decide(self, req: QueuedRequest, now: float, view: ServiceSnapshot) -> Admitted | Rejected:
        """Accept or refuse a new request."""

    @abstractmethod
    def predict_s(self, req: QueuedRequest, view: ServiceSnapshot) -> float:
        """Return the predicted wait in seconds until the request is dispatched."""

    @abstractmethod
    def retry_after_s(self, req: QueuedRequest, view: ServiceSnapshot) -> float:
        """Return the delay in seconds after which a refused request may be sent again."""

    @abstractmethod
    def observe_wait(self, predicted_s: float, actual_s: float) -> None:
        """Update the correction from a dispatched request.

        `predicted_s` is its uncorrected prediction, `actual_s` its wait, both in seconds.
        """
