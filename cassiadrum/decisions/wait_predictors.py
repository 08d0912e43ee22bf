"""Predicted waits of one service."""

from cassiadrum.decisions.admission_decisions import Admitted, Rejected
from cassiadrum.decisions.admissions import Admission
from cassiadrum.decisions.attempt_tables import AttemptTable
from cassiadrum.decisions.length_estimators import LengthEstimator
from cassiadrum.decisions.queued_requests import QueuedRequest
from cassiadrum.decisions.request_queues import RequestQueue
from cassiadrum.decisions.service_rates import ServiceRate
from cassiadrum.decisions.service_snapshots import ServiceSnapshot
from cassiadrum.decisions.tracked_requests import TrackedRequest

__all__ = ["WaitPredictor"]


class WaitPredictor:
    """Feed admission with the queue's state and with what finished attempts teach."""

    def __init__(
        self,
        queue: RequestQueue,
        attempts: AttemptTable,
        admission: Admission,
        estimator: LengthEstimator,
    ) -> None:
        self._queue = queue
        self._attempts = attempts
        self._admission = admission
        self._estimator = estimator
        self._rate = ServiceRate()

    def decide(self, req: QueuedRequest, now: float) -> Admitted | Rejected:
        """Accept or refuse a new request."""
        return self._admission.decide(req, now, self._snapshot(req))

    def predict_s(self, req: QueuedRequest) -> float:
        """Return the wait in seconds that the request would have if it arrived now."""
        return self._admission.predict_s(req, self._snapshot(req))

    def retry_after_s(self, req: QueuedRequest) -> float:
        """Return after how many seconds the request is worth sending again."""
        return self._admission.retry_after_s(req, self._snapshot(req))

    def observe_dispatch(self, tracked: TrackedRequest, now: float) -> None:
        """Compare the wait of a first attempt with its prediction."""
        if tracked.req.attempt == 0:
            waited_s = now - tracked.submitted_s
            self._admission.observe_wait(tracked.admitted.uncorrected_s, waited_s)

    def observe_success(self, req: QueuedRequest, tokens: int, duration_s: float) -> None:
        """Learn from a finished attempt."""
        self._estimator.observe(req.class_name, req.customer, tokens)
        self._rate.observe(tokens, duration_s)

    def _snapshot(self, req: QueuedRequest) -> ServiceSnapshot:
        free_slots = self._attempts.free_slots()
        slots = free_slots + len(self._attempts.running)
        # A sidecar makes room for protected work, so lower-tier streams are not ahead of it.
        waits_for_slot = not req.protected or self._attempts.all_protected()
        return ServiceSnapshot(
            ahead_tokens=self._queue.ahead_tokens(req),
            slot_tokens=self._rate.mean_tokens if waits_for_slot else 0.0,
            tokens_per_s=self._rate.tokens_per_s(slots),
            free_slots=free_slots,
        )
