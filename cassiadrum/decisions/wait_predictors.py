"""Prediction of the waits of one service."""

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
    """Wait predictions by admission control, from the queue's state and measured attempts."""

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
        """Return the predicted wait, in seconds, of the request if it arrived now."""
        return self._admission.predict_s(req, self._snapshot(req))

    def retry_after_s(self, req: QueuedRequest) -> float:
        """Return the delay in seconds after which the request may be sent again."""
        return self._admission.retry_after_s(req, self._snapshot(req))

    def observe_dispatch(self, tracked: TrackedRequest, now: float) -> None:
        """Report the wait of a first attempt to admission control for comparison."""
        if tracked.req.attempt == 0:
            waited_s = now - tracked.submitted_s
            self._admission.observe_wait(tracked.admitted.uncorrected_s, waited_s)

    def observe_success(self, req: QueuedRequest, tokens: int, duration_s: float) -> None:
        """Record the output length and the duration in seconds of a successful attempt."""
        self._estimator.observe(req.class_name, req.customer, tokens)
        self._rate.observe(tokens, duration_s)

    def _snapshot(self, req: QueuedRequest) -> ServiceSnapshot:
        free_slots = self._attempts.free_slots()
        slots = free_slots + len(self._attempts.running)
        # A sidecar pauses lower-tier streams for protected requests, so they need not wait for
        # these streams to end.
        waits_for_slot = not req.protected or self._attempts.all_protected()
        return ServiceSnapshot(
            ahead_tokens=self._queue.ahead_tokens(req),
            slot_tokens=self._rate.mean_tokens if waits_for_slot else 0.0,
            tokens_per_s=self._rate.tokens_per_s(slots),
            free_slots=free_slots,
        )
