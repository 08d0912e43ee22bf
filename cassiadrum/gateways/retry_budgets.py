"""Limits on the number of retries at the endpoints of a service."""

from collections import deque
from collections.abc import Callable
from typing import Final

from cassiadrum.gateways.fleets import FleetShares

__all__ = ["RetryBudget", "RetryBudgets"]

# Largest part of the retries that all gateways may make in addition to the ratio; 1 lets a gateway
# with few requests retry once.
MAX_SPARE: Final = 1.0


class RetryBudget:
    """A limit on the retries at one service as a fraction of its requests in a sliding window.

    When many endpoints fail at once, retries by all gateways would add to the overload. Each
    gateway counts only its own requests, so the fraction holds over all gateways without
    messages between them. `ratio` is the permitted fraction, `spare` returns the number of retries
    permitted in addition, and `window_s` is the length of the window in seconds.
    """

    def __init__(self, ratio: float, spare: Callable[[], float], window_s: float) -> None:
        self._ratio = ratio
        self._spare = spare
        self._window_s = window_s
        self._requests: deque[float] = deque()
        self._retries: deque[float] = deque()

    def reconfigure(self, ratio: float, window_s: float) -> None:
        """Change the limits; the counts are kept."""
        self._ratio, self._window_s = ratio, window_s

    def record_request(self, now: float) -> None:
        """Count a request."""
        self._requests.append(now)
        self._expire(now)

    def has_retry_left(self, now: float) -> bool:
        """Return whether a retry is permitted."""
        self._expire(now)
        earned = self._ratio * len(self._requests)
        return len(self._retries) + 1 <= earned + self._spare()

    def try_spend(self, now: float) -> bool:
        """Take a retry from the budget; return False if none is left."""
        if not self.has_retry_left(now):
            return False
        self._retries.append(now)
        return True

    def refund(self, spent_s: float) -> None:
        """Return a retry that was taken at `spent_s` and reached no endpoint."""
        if spent_s in self._retries:
            self._retries.remove(spent_s)

    def _expire(self, now: float) -> None:
        for times in (self._requests, self._retries):
            while times and times[0] <= now - self._window_s:
                times.popleft()


class RetryBudgets:
    """The retry budgets of all services, with the same limits.

    `spare` is the number of retries that all gateways together may make beyond the ratio.
    """

    def __init__(self, ratio: float, spare: float, window_s: float, fleet: FleetShares) -> None:
        self._ratio, self._spare, self._window_s = ratio, spare, window_s
        self._fleet = fleet
        self._budgets: dict[str, RetryBudget] = {}

    def reconfigure(self, ratio: float, spare: float, window_s: float) -> None:
        """Change the limits of all budgets."""
        self._ratio, self._spare, self._window_s = ratio, spare, window_s
        for budget in self._budgets.values():
            budget.reconfigure(ratio, window_s)

    def own_spare(self) -> float:
        """Return the part of the spare retries that this gateway may make."""
        return self._fleet.part(self._spare, MAX_SPARE)

    def for_service(self, service: str) -> RetryBudget:
        """Return the budget of a service."""
        budget = self._budgets.get(service)
        if budget is None:
            budget = RetryBudget(self._ratio, self.own_spare, self._window_s)
            self._budgets[service] = budget
        return budget
