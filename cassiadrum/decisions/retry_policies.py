"""Base class of the decision to repeat a failed attempt."""

from abc import ABC, abstractmethod

from cassiadrum.decisions.outcomes import ExecutionStatus
from cassiadrum.decisions.queued_requests import QueuedRequest

__all__ = ["RetryPolicy"]


class RetryPolicy(ABC):
    """Bound the attempts of requests."""

    @abstractmethod
    def record_accepted(self, req: QueuedRequest) -> None:
        """Count an accepted request, which earns retry budget."""

    def may_continue(self, req: QueuedRequest, now: float) -> bool:
        """Tell whether another endpoint may continue an answer that was partly delivered."""
        return self.may_retry(req, ExecutionStatus.EXECUTED, now)

    @abstractmethod
    def may_retry(self, req: QueuedRequest, ran: ExecutionStatus, now: float) -> bool:
        """Tell whether the failed attempt may be repeated, and spend the budget if so.

        `req.attempt` is the number of earlier attempts that ended as this one did: rejected as
        not run, or failed after they may have run.
        """
