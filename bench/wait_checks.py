"""Check of the longest wait against the bound in section 4.1 of docs/design.md."""

from bisect import bisect_left
from itertools import accumulate

from bench.calls import Call
from bench.class_measures import wait_s
from cassiadrum.documents import RequestClass

__all__ = ["WaitCheck"]


class WaitCheck:
    """Compares the waits of one class at one entry instance with their bounds.

    `available_per_s` is the work per second that the entry instance's share of the capacity leaves
    for unprotected classes.
    """

    def __init__(
        self, cls: RequestClass, calls: list[Call], available_per_s: float, end_s: float
    ) -> None:
        self._cls = cls
        self._calls = calls
        self._available_per_s = available_per_s
        self._end_s = end_s
        changes = sorted(
            change
            for call in calls
            for change in (
                (call.req.arrived_s, call.work),
                (call.req.arrived_s + wait_s(call, end_s), -call.work),
            )
        )
        self._times = [when_s for when_s, _ in changes]
        self._backlogs = list(accumulate(work for _, work in changes))

    def max_ratio(self) -> float:
        """Return the largest ratio of a wait to its bound."""
        return max((self._ratio(call) for call in self._calls), default=0.0)

    def _ratio(self, call: Call) -> float:
        waited_s = wait_s(call, self._end_s)
        if waited_s <= self._cls.max_wait_s:
            return waited_s / self._cls.max_wait_s if call.work else 0.0
        return waited_s / self._bound_s(call, waited_s)

    def _bound_s(self, call: Call, waited_s: float) -> float:
        """Return the bound in seconds, from the largest backlog of the class during the wait.

        The backlog at arrival is not enough: customers share a class, so later requests of other
        customers may be served first.
        """
        first = bisect_left(self._times, call.req.arrived_s)
        last = bisect_left(self._times, call.req.arrived_s + waited_s)
        backlog = max(self._backlogs[first : last + 1])
        return self._cls.max_wait_s + backlog / (self._cls.min_share * self._available_per_s)
