"""The decisions of a sidecar about the work on its endpoint."""

from cassiadrum.decisions.queued_requests import QueuedRequest
from cassiadrum.decisions.scheduler_actions import Reject, SchedulerAction, Start

__all__ = ["EndpointScheduler"]


class EndpointScheduler:
    """Start requests up to a limit; keep a short queue by tier; reject the rest as not run."""

    def __init__(self, limit: int, queue_limit: int) -> None:
        self._limit = limit
        self._queue_limit = queue_limit
        self._running: dict[str, QueuedRequest] = {}
        self._waiting: list[QueuedRequest] = []
        self._draining = False

    @property
    def limit(self) -> int:
        """Return the current concurrency limit."""
        return self._limit

    def running(self) -> int:
        """Return the number of started requests."""
        return len(self._running)

    def waiting(self) -> int:
        """Return the number of requests in the short queue."""
        return len(self._waiting)

    def arrive(self, req: QueuedRequest, now: float) -> list[SchedulerAction]:
        """Take a request from an entry instance."""
        if self._draining:
            return [Reject(req, "draining")]
        self._waiting.append(req)
        self._waiting.sort(key=lambda waiting: (waiting.tier, waiting.arrived_s))
        actions = self._fill()
        while len(self._waiting) > self._queue_limit:
            actions.append(Reject(self._waiting.pop(), "overloaded"))
        return actions

    def finished(self, request_id: str, now: float) -> list[SchedulerAction]:
        """Take the end of a started request."""
        self._running.pop(request_id, None)
        return self._fill()

    def cancelled(self, request_id: str, now: float) -> bool:
        """Drop a waiting request; return False when it does not wait here."""
        kept = [req for req in self._waiting if req.request_id != request_id]
        dropped = len(kept) < len(self._waiting)
        self._waiting = kept
        return dropped

    def drain(self, now: float) -> list[SchedulerAction]:
        """Give all waiting work back as not run and take no more."""
        self._draining = True
        given_back, self._waiting = self._waiting, []
        return [Reject(req, "draining") for req in given_back]

    def _fill(self) -> list[SchedulerAction]:
        actions: list[SchedulerAction] = []
        while self._waiting and len(self._running) < self._limit:
            req = self._waiting.pop(0)
            self._running[req.request_id] = req
            actions.append(Start(req))
        return actions
