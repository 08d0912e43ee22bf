"""Retries without a budget."""

from cassiadrum.decisions import BudgetRetryPolicy, ExecutionStatus, QueuedRequest

__all__ = ["UnbudgetedRetry"]


class UnbudgetedRetry(BudgetRetryPolicy):
    """Repeat every failed attempt that may have run, until the deadline.

    Attempts that did not run cost no tokens and follow the same rule as in the product.
    """

    def may_retry(self, req: QueuedRequest, ran: ExecutionStatus, now: float) -> bool:
        if ran is ExecutionStatus.NOT_EXECUTED:
            return super().may_retry(req, ran, now)
        return now < req.deadline_s and req.idempotent
