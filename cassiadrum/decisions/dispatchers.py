"""The decisions of one service at an entry instance, composed."""

from collections.abc import Collection
from typing import NamedTuple

from cassiadrum.decisions.actions import Action, Dispatch, Refuse
from cassiadrum.decisions.endpoint_choosers import EndpointChooser
from cassiadrum.decisions.endpoint_reports import EndpointReport
from cassiadrum.decisions.outcomes import Outcome, Ran
from cassiadrum.decisions.queued_requests import QueuedRequest
from cassiadrum.decisions.request_queues import RequestQueue

__all__ = ["Dispatcher"]

# Told to callers whose request cannot be placed while nothing is known of the service's rate.
DEFAULT_RETRY_AFTER_S = 1.0
MAX_ATTEMPTS = 3


class Running(NamedTuple):
    """A request that was dispatched, and where to."""

    req: QueuedRequest
    instance: str


class Dispatcher:
    """Take events of one service and return the actions that follow.

    Every method takes `now` in monotonic seconds and returns the actions in the order in which
    they are to be carried out.
    """

    def __init__(self, queue: RequestQueue, chooser: EndpointChooser) -> None:
        self._queue = queue
        self._chooser = chooser
        self._running: dict[str, Running] = {}

    def submit(self, req: QueuedRequest, now: float) -> list[Action]:
        """Admit a new request."""
        evicted = self._queue.push(req, now)
        refusals: list[Action] = [
            Refuse(old, "overloaded" if old is req else "evicted", Ran.NO, DEFAULT_RETRY_AFTER_S)
            for old in evicted
        ]
        return refusals + self._place(now)

    def report(self, rep: EndpointReport, now: float) -> list[Action]:
        """Take an endpoint's load report."""
        self._chooser.report(rep, now)
        return self._place(now)

    def removed(self, instance: str, now: float) -> list[Action]:
        """Forget an endpoint whose connection is lost for good."""
        self._chooser.remove(instance)
        return self._place(now)

    def lost(self, instance: str, now: float) -> list[Action]:
        """Send nothing new to an endpoint whose connection is lost but may come back."""
        return self.removed(instance, now)

    def progressed(self, instance: str, request_id: str, tokens: int, now: float) -> None:
        """Take the number of tokens that arrived for a stream."""
        self._chooser.progressed(instance, request_id, tokens, now)

    def cached(self, instance: str, keys: Collection[int], now: float) -> None:
        """Take cache events of an endpoint."""
        self._chooser.cached(instance, keys, now)

    def finished(self, request_id: str, outcome: Outcome, now: float) -> list[Action]:
        """Take the end of an attempt; a failed one is retried where that is allowed."""
        running = self._running.pop(request_id, None)
        if running is None:
            return []
        # A rejection as not run says nothing against the endpoint's health.
        healthy = outcome.ok or outcome.ran is Ran.NO
        self._chooser.finished(running.instance, request_id, healthy, now)
        actions: list[Action] = []
        if not outcome.ok:
            actions = self._after_failure(running.req, outcome, now)
        return actions + self._place(now)

    def cancelled(self, request_id: str, now: float) -> list[Action]:
        """Drop a request whose caller went away and that has not been dispatched."""
        self._queue.remove(request_id)
        return self._place(now)

    def tick(self, now: float) -> list[Action]:
        """Refuse what has passed its deadline and place what can be placed."""
        late: list[Action] = [
            Refuse(req, "deadline", Ran.NO, DEFAULT_RETRY_AFTER_S)
            for req in self._queue.expired(now)
        ]
        return late + self._place(now)

    def queued(self) -> int:
        """Return the number of waiting requests."""
        return len(self._queue)

    def running(self) -> int:
        """Return the number of dispatched requests."""
        return len(self._running)

    def _after_failure(self, req: QueuedRequest, outcome: Outcome, now: float) -> list[Action]:
        may_repeat = not outcome.final and (outcome.ran is Ran.NO or req.idempotent)
        if may_repeat and req.attempt + 1 < MAX_ATTEMPTS and now < req.deadline_s:
            return self.submit(req._replace(attempt=req.attempt + 1), now)
        return [Refuse(req, outcome.reason, outcome.ran, outcome.retry_after_s)]

    def _place(self, now: float) -> list[Action]:
        actions: list[Action] = []
        while len(self._queue) and self._chooser.free_slots() > 0:
            req = self._queue.pop(now)
            if req is None:
                break
            instance = self._chooser.choose(req, now)
            if instance is None:
                self._queue.push(req, now)
                break
            self._running[req.request_id] = Running(req, instance)
            self._chooser.dispatched(instance, req, now)
            actions.append(Dispatch(req, instance))
        return actions
