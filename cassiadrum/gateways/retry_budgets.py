"""Limits on the number of retries at the endpoints of a service."""

from collections import deque

__all__ = ["RetryBudget", "RetryBudgets"]


class RetryBudget:
    """Limit the retries at one service to a fraction of its requests in a sliding window.

    When many endpoints fail at once, retries by all gateways would add to the overload. Each
    gateway counts only its own requests, so the fraction holds over all gateways without
    messages between them. `ratio` is the permitted fraction, `spare` a number of retries
    permitted in addition, and `window_s` the length of the window in seconds.
    """

    def __init__(self, ratio: float, spare: float, window_s: float) -> None:
        self._ratio = ratio
        self._spare = spare
        self._window_s = window_s
        self._requests: deque[float] = deque()
        self._retries: deque[float] = deque()

    def reconfigure(self, ratio: float, spare: float, window_s: float) -> None:
        """Change the limits; the counts are kept."""
        self._ratio, self._spare, self._window_s = ratio, spare, window_s

    def record_request(self, now: float) -> None:
        """Count a request."""
        self._requests.append(now)
        self._expire(now)

    def has_retry_left(self, now: float) -> bool:
        """Return whether a retry is permitted."""
        self._expire(now)
        return len(self._retries) + 1 <= self._ratio * len(self._requests) + self._spare

    def try_spend(self, now: float) -> bool:
        """Take a retry from the budget; return False if none is left."""
        if not self.has_retry_left(now):
            return False
        self._retries.append(now)
        return True

    def _expire(self, now: float) -> None:
        for times in (self._requests, self._retries):
            while times and times[0] <= now - self._window_s:
                times.popleft()


class RetryBudgets:
    """The retry budgets of all services, with the same limits."""

    def __init__(self, ratio: float, spare: float, window_s: float) -> None:
        self._limits = (ratio, spare, window_s)
        self._budgets: dict[str, RetryBudget] = {}

    def reconfigure(self, ratio: float, spare: float, window_s: float) -> None:
        """Change the limits of all budgets."""
        self._limits = (ratio, spare, window_s)
        for budget in self._budgets.values():
            budget.reconfigure(*self._limits)

    def for_service(self, service: str) -> RetryBudget:
        """Return the budget of a service."""
        budget = self._budgets.get(service)
        if budget is None:
            budget = self._budgets[service] = RetryBudget(*self._limits)
        return budget
