"""Base class of retry policies."""

from abc import ABC, abstractmethod

from cassiadrum.decisions.outcomes import ExecutionStatus
from cassiadrum.decisions.queued_requests import QueuedRequest

__all__ = ["RetryPolicy"]


class RetryPolicy(ABC):
    """Decides whether a failed attempt is repeated."""

    @abstractmethod
    def record_accepted(self, req: QueuedRequest) -> None:
        """Count an accepted request, which adds retry budget."""

    def may_continue(self, req: QueuedRequest, now: float) -> bool:
        """Return whether another endpoint may continue a partly delivered answer."""
        return self.may_retry(req, ExecutionStatus.EXECUTED, now)

    @abstractmethod
    def may_retry(self, req: QueuedRequest, ran: ExecutionStatus, now: float) -> bool:
        """Return whether the failed attempt may be repeated, and if so, consume retry budget.

        `req.attempt` counts only the earlier attempts that ended as this one did: either rejected
        as not run, or failed after they may have run.
        """
