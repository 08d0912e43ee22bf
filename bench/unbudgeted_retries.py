"""Retry policy without a budget."""

from cassiadrum.decisions import BudgetRetryPolicy, ExecutionStatus, QueuedRequest

__all__ = ["UnbudgetedRetry"]


class UnbudgetedRetry(BudgetRetryPolicy):
    """Repeats failed attempts of idempotent requests that may have run, until the deadline.

    Attempts that did not run cost no tokens and follow the product's rule.
    """

    def may_retry(self, req: QueuedRequest, ran: ExecutionStatus, now: float) -> bool:
        if ran is ExecutionStatus.NOT_EXECUTED:
            return super().may_retry(req, ran, now)
        return now < req.deadline_s and req.idempotent
