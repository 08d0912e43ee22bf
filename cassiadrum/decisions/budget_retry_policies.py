"""Retries within a share of the accepted work."""

import math
from collections.abc import Mapping

from cassiadrum.decisions.outcomes import ExecutionStatus
from cassiadrum.decisions.queued_requests import QueuedRequest
from cassiadrum.decisions.retry_policies import RetryPolicy

__all__ = ["BudgetRetryPolicy"]

DEFAULT_BUDGET = 0.1
MAX_ATTEMPTS = 3
# Attempts rejected as not run cost no capacity, so a request goes on until its deadline; this
# bounds one that has none.
MAX_REJECTED_ATTEMPTS = 8
# Bounds the retries that a class with much earlier traffic can send in one burst.
BUCKET_CAPACITY_RETRIES = 100.0
# Sums of shares such as 0.1 fall short of 1 by rounding.
ROUNDING_TOLERANCE = 1e-9


class BudgetRetryPolicy(RetryPolicy):
    """Keep a token bucket for each class; each accepted request adds the class's budget.

    `budgets` maps class names to shares between 0 and 1. Buckets start empty, so that retries
    never exceed the share of the work accepted so far.
    """

    def __init__(
        self, budgets: Mapping[str, float] | None = None, default_budget: float = DEFAULT_BUDGET
    ) -> None:
        self._budgets = dict(budgets or {})
        self._default_budget = default_budget
        self._buckets: dict[str, float] = {}

    def configure(self, budgets: Mapping[str, float]) -> None:
        """Replace the budgets; what was saved stays."""
        self._budgets = dict(budgets)

    def record_accepted(self, req: QueuedRequest) -> None:
        """Add the class's budget to its bucket."""
        share = self._budgets.get(req.class_name, self._default_budget)
        balance = self._buckets.get(req.class_name, 0.0) + share
        self._buckets[req.class_name] = min(balance, BUCKET_CAPACITY_RETRIES)

    def may_continue(self, req: QueuedRequest, now: float) -> bool:
        """Allow it within attempts and deadline, without budget.

        Only the prompt is computed again, and a refusal would waste what was delivered.
        """
        repeatable = req.idempotent and not req.once_only
        return repeatable and req.attempt + 1 < MAX_ATTEMPTS and now < req.deadline_s

    def may_retry(self, req: QueuedRequest, ran: ExecutionStatus, now: float) -> bool:
        """Allow a retry within attempts and deadline; spend budget unless it did not run."""
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
