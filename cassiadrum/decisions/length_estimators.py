"""Base class of the prediction of output lengths."""

from abc import ABC, abstractmethod

from cassiadrum.decisions.queued_requests import QueuedRequest

__all__ = ["LengthEstimator"]


EXPECTED_QUANTILE = 0.5


class LengthEstimator(ABC):
    """Predict how many output tokens a request will produce."""

    @abstractmethod
    def estimate(self, class_name: str, customer: str, quantile: float) -> float:
        """Return the output tokens that `quantile` (0 to 1) of the requests stay within."""

    @abstractmethod
    def observe(self, class_name: str, customer: str, tokens: int) -> None:
        """Learn the output tokens of a request that ended normally."""

    def expected_tokens(self, req: QueuedRequest) -> float:
        """Return the median output tokens of requests like this one, within its `max_tokens`."""
        tokens = self.estimate(req.class_name, req.customer, EXPECTED_QUANTILE)
        return min(tokens, req.max_tokens) if req.max_tokens else tokens
