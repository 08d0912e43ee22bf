"""Bound on the requests that endpoints get beyond the first of each."""

from collections import deque

__all__ = ["RetryBudget", "RetryBudgets"]


class RetryBudget:
    """Permit repeated attempts at one service up to a part of its requests in a sliding window.

    Answers the load pattern of many endpoints failing at once, when repeated attempts of all
    gateways would add to the overload. Each gateway counts its own requests only, so the sum over
    all of them keeps the bound without messages. `ratio` is the permitted part, `spare` a number
    of attempts that is permitted besides, `window_s` the window in seconds.
    """

    def __init__(self, ratio: float, spare: float, window_s: float) -> None:
        self._ratio = ratio
        self._spare = spare
        self._window_s = window_s
        self._requests: deque[float] = deque()
        self._retries: deque[float] = deque()

    def reconfigure(self, ratio: float, spare: float, window_s: float) -> None:
        """Change the permitted part, number and window; what was counted stays."""
        self._ratio, self._spare, self._window_s = ratio, spare, window_s

    def record_request(self, now: float) -> None:
        """Count a request."""
        self._requests.append(now)
        self._expire(now)

    def has_retry_left(self, now: float) -> bool:
        """Return whether a repeated attempt is permitted."""
        self._expire(now)
        return len(self._retries) + 1 <= self._ratio * len(self._requests) + self._spare

    def try_spend(self, now: float) -> bool:
        """Take a repeated attempt from the budget; return False when there is none left."""
        if not self.has_retry_left(now):
            return False
        self._retries.append(now)
        return True

    def _expire(self, now: float) -> None:
        for times in (self._requests, self._retries):
            while times and times[0] <= now - self._window_s:
                times.popleft()


class RetryBudgets:
    """Keep a budget for each service, all with the same figures."""

    def __init__(self, ratio: float, spare: float, window_s: float) -> None:
        self._limits = (ratio, spare, window_s)
        self._budgets: dict[str, RetryBudget] = {}

    def reconfigure(self, ratio: float, spare: float, window_s: float) -> None:
        """Change the figures of all budgets."""
        self._limits = (ratio, spare, window_s)
        for budget in self._budgets.values():
            budget.reconfigure(*self._limits)

    def for_service(self, service: str) -> RetryBudget:
        """Return the budget of a service."""
        budget = self._budgets.get(service)
        if budget is None:
            budget = self._budgets[service] = RetryBudget(*self._limits)
        return budget
