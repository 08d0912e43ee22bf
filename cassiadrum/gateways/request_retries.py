"""The retries of one request."""

import asyncio
import logging
from collections.abc import Callable
from typing import NamedTuple

from cassiadrum.gateways.errors import Refused
from cassiadrum.gateways.placement_queues import Assignment, PlacementQueue
from cassiadrum.gateways.request_contexts import RequestContext
from cassiadrum.gateways.retry_budgets import RetryBudget, RetryBudgets

__all__ = ["RequestRetries"]

logger = logging.getLogger(__name__)


class SpentRetry(NamedTuple):
    """A retry that was taken from a budget.

    `deliveries` is the number of sends that had reached an endpoint by then.
    """

    budget: RetryBudget
    spent_s: float
    deliveries: int


class RequestRetries:
    """Retries of one request, each taken from the budget before the attempt before it ends.

    An endpoint that sends nothing may be sound and go on. An attempt there is given up only once
    a retry and a place at another endpoint are reserved: all requests of a silent endpoint see
    the same budget and the same free places, which may suffice for some of them only. A retry
    that reaches no endpoint is returned to the budget. If the other endpoint fails or refuses the
    request, it may return to the silent one.
    """

    def __init__(
        self,
        ctx: RequestContext,
        queue: PlacementQueue,
        budgets: RetryBudgets,
        clock: Callable[[], float],
        has_time: Callable[[], bool] = lambda: True,
    ) -> None:
        self._ctx = ctx
        self._queue = queue
        self._budgets = budgets
        self._clock = clock
        # Returns whether this process runs for long enough to get another answer.
        self._has_time = has_time
        self._assignment: Assignment | None = None
        # The wait for a place, while no other endpoint has capacity.
        self._placing: asyncio.Task[Assignment] | None = None
        # The retry of the reserved place, and that of the current attempt.
        self._reserved: SpentRetry | None = None
        self._current: SpentRetry | None = None

    def is_possible(self) -> bool:
        """Return whether a request whose answer is late could be retried."""
        if not self._has_time() or not self._ctx.may_repeat():
            return False
        if not self._queue.can_retry(self._ctx):
            return False
        return self._budgets.for_service(self._ctx.service).has_retry_left(self._clock())

    def try_reserve(self) -> bool:
        """Reserve a retry and a place at another endpoint; return whether both are reserved.

        While no endpoint has capacity, the request waits in the queue; a later call tells whether
        it got a place.
        """
        if self._assignment is not None:
            return True
        try:
            assignment = self._find_place()
        except Refused as exc:
            extra = {"request_id": self._ctx.call.request_id}
            logger.info("no place for a retry: %s", exc.reason, extra=extra)
            return False
        if assignment is None:
            return False
        if self._ctx.deliveries and not self._spend():
            self._cancel(assignment)
            return False
        self._assignment = assignment
        return True

    def try_spend(self) -> bool:
        """Return whether to retry a failed request, and take the retry from the budget."""
        if self._assignment is not None:
            return True
        self.release()
        self._settle()
        ctx = self._ctx
        if ctx.deliveries == 0:
            return True
        if self._clock() >= ctx.deadline_s or not ctx.may_repeat():
            return False
        if not self._has_time():
            return False
        if ctx.may_have_run and not self._queue.can_retry(ctx):
            # The endpoint's own failure tells the caller more than that there is no other one.
            return False
        return self._spend()

    def try_return(self) -> bool:
        """Reserve a retry at an endpoint that was left since it was silent.

        It may have gone on, and the request has already been sent to it, so that the number of
        endpoints that get the request does not grow.
        """
        assert self._ctx.route is not None
        self._settle()
        if self._clock() >= self._ctx.deadline_s or not self._ctx.route.repeatable:
            return False
        if not self._has_time():
            return False
        assignment = self._queue.try_return(self._ctx)
        if assignment is None:
            return False
        if not self._spend():
            self._cancel(assignment)
            return False
        self._ctx.left_silent.discard(assignment.view.entry.instance)
        self._assignment = assignment
        return True

    def take(self) -> Assignment | None:
        """Return the reserved place for the next attempt, None if there is none."""
        assignment, self._assignment = self._assignment, None
        if self._reserved is not None:
            self._settle()
            self._current, self._reserved = self._reserved, None
        return assignment

    def release(self) -> None:
        """Give up a reserved place, or the wait for one, as the current attempt goes on."""
        if self._placing is not None:
            placing, self._placing = self._placing, None
            placing.cancel()
            if placing.done() and not placing.cancelled() and placing.exception() is None:
                self._cancel(placing.result())
        if self._reserved is not None:
            self._reserved.budget.refund(self._reserved.spent_s)
            self._reserved = None
        if self._assignment is not None:
            assignment, self._assignment = self._assignment, None
            self._cancel(assignment)

    def close(self) -> None:
        """Give up what is reserved when the request ends."""
        self.release()
        self._settle()

    def _settle(self) -> None:
        """Return the retry of the attempt that ended to the budget if it reached no endpoint."""
        spent, self._current = self._current, None
        if spent is not None and spent.deliveries == self._ctx.deliveries:
            spent.budget.refund(spent.spent_s)

    def _find_place(self) -> Assignment | None:
        """Return a place at another endpoint, None while there is none; raise Refused."""
        if self._placing is None:
            assignment = self._queue.try_place(self._ctx)
            if assignment is None:
                self._placing = asyncio.create_task(self._queue.place(self._ctx))
            return assignment
        if not self._placing.done():
            return None
        placing, self._placing = self._placing, None
        return placing.result()

    def _spend(self) -> bool:
        budget, now = self._budgets.for_service(self._ctx.service), self._clock()
        if not budget.try_spend(now):
            return False
        self._reserved = SpentRetry(budget, now, self._ctx.deliveries)
        return True

    def _cancel(self, assignment: Assignment) -> None:
        self._queue.cancel(assignment)
        self._queue.place_waiting(assignment.view.entry.service)
