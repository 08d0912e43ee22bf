"""Base class of output length estimators."""

from abc import ABC, abstractmethod

from cassiadrum.decisions.queued_requests import QueuedRequest

__all__ = ["LengthEstimator"]


EXPECTED_QUANTILE = 0.5


class LengthEstimator(ABC):
    """Estimator of the number of output tokens of a request."""

    @abstractmethod
    def estimate(self, class_name: str, customer: str, quantile: float) -> float:
        """Return the `quantile` (0 to 1) of the output tokens of a customer's requests."""

    @abstractmethod
    def observe(self, class_name: str, customer: str, tokens: int) -> None:
        """Record the output tokens of a successful request."""

    def expected_tokens(self, req: QueuedRequest) -> float:
        """Return the median output tokens of similar requests, limited to `req.max_tokens`."""
        tokens = self.estimate(req.class_name, req.customer, EXPECTED_QUANTILE)
        return min(tokens, req.max_tokens) if req.max_tokens else tokens
