"""Retries limited to a share of the accepted requests."""

import math
from collections.abc import Mapping

from cassiadrum.decisions.outcomes import ExecutionStatus
from cassiadrum.decisions.queued_requests import QueuedRequest
from cassiadrum.decisions.retry_policies import RetryPolicy

__all__ = ["BudgetRetryPolicy"]

DEFAULT_BUDGET = 0.1
MAX_ATTEMPTS = 3
# Attempts rejected as not run cost no capacity, so they are retried until the deadline; this
# limit applies to requests without a deadline.
MAX_REJECTED_ATTEMPTS = 8
# Limits the burst of retries that a class can send after a long time without failures.
BUCKET_CAPACITY_RETRIES = 100.0
# Ten additions of 0.1 sum to slightly less than 1.
ROUNDING_TOLERANCE = 1e-9


class BudgetRetryPolicy(RetryPolicy):
    """Retry budget with one token bucket per class, filled by accepted requests.

    `budgets` maps class names to the retries earned by one accepted request, between 0 and 1.
    Buckets start empty, so retries never exceed that share of the requests accepted so far.
    """

    def __init__(
        self, budgets: Mapping[str, float] | None = None, default_budget: float = DEFAULT_BUDGET
    ) -> None:
        self._budgets = dict(budgets or {})
        self._default_budget = default_budget
        self._buckets: dict[str, float] = {}

    def configure(self, budgets: Mapping[str, float]) -> None:
        """Replace the budgets and keep the contents of the buckets."""
        self._budgets = dict(budgets)

    def record_accepted(self, req: QueuedRequest) -> None:
        """Add the class's budget to its bucket."""
        share = self._budgets.get(req.class_name, self._default_budget)
        balance = self._buckets.get(req.class_name, 0.0) + share
        self._buckets[req.class_name] = min(balance, BUCKET_CAPACITY_RETRIES)

    def may_continue(self, req: QueuedRequest, now: float) -> bool:
        """Allow a continuation within the attempt limit and the deadline, at no budget cost.

        Only the prompt is computed again, and a refusal would waste the delivered tokens.
        """
        repeatable = req.idempotent and not req.once_only
        return repeatable and req.attempt + 1 < MAX_ATTEMPTS and now < req.deadline_s

    def may_retry(self, req: QueuedRequest, ran: ExecutionStatus, now: float) -> bool:
        """Allow a retry within the attempt limit and the deadline.

        A retry costs budget unless the failed attempt did not run.
        """
        if now >= req.deadline_s:
            return False
        if ran is ExecutionStatus.NOT_EXECUTED:
            return req.deadline_s < math.inf or req.attempt + 1 < MAX_REJECTED_ATTEMPTS
        if not req.idempotent or req.once_only or req.attempt + 1 >= MAX_ATTEMPTS:
            return False
        balance = self._buckets.get(req.class_name, 0.0)
        if balance < 1.0 - ROUNDING_TOLERANCE:
            return False
        self._buckets[req.class_name] = max(balance - 1.0, 0.0)
        return True
