"""Retries without a budget."""

from cassiadrum.decisions import QueuedRequest, Ran, RetryPolicy

__all__ = ["UnbudgetedRetry"]


class UnbudgetedRetry(RetryPolicy):
    """Repeat every failed attempt that may be repeated, until the deadline."""

    def accepted(self, req: QueuedRequest) -> None:
        pass

    def may_retry(self, req: QueuedRequest, ran: Ran, now: float) -> bool:
        return now < req.deadline_s and (ran is Ran.NO or req.idempotent)
