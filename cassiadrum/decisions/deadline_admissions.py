"""Refusal of requests that would wait beyond their deadline."""

from cassiadrum.decisions.admission_decisions import Admitted, Rejected
from cassiadrum.decisions.admissions import Admission
from cassiadrum.decisions.queued_requests import QueuedRequest
from cassiadrum.decisions.service_snapshots import ServiceSnapshot

__all__ = ["DeadlineAdmission"]

# A shorter time invites a retry storm; a longer one outlasts most bursts.
MIN_RETRY_AFTER_S = 1.0
MAX_RETRY_AFTER_S = 60.0
# The correction follows about the last 32 waits and stays within a factor of four, so that a
# few outliers cannot shut the service or open it without limit.
CORRECTION_GAIN = 1 / 32
MAX_CORRECTION = 4.0
# Shorter waits are mostly the time to the next event and say nothing of the service rate.
MIN_OBSERVED_WAIT_S = 0.05


class DeadlineAdmission(Admission):
    """Refuse a request at once when its predicted wait passes its deadline."""

    def __init__(self) -> None:
        self._mean_predicted_s = 0.0
        self._mean_actual_s = 0.0
        self._mean_error_s = 0.0

    @property
    def correction(self) -> float:
        """Return the factor from predicted to actual waits."""
        if self._mean_predicted_s <= 0.0:
            return 1.0
        ratio = self._mean_actual_s / self._mean_predicted_s
        return min(max(ratio, 1 / MAX_CORRECTION), MAX_CORRECTION)

    @property
    def error_s(self) -> float:
        """Return the mean absolute error of corrected predictions in seconds."""
        return self._mean_error_s

    def decide(self, req: QueuedRequest, now: float, view: ServiceSnapshot) -> Admitted | Rejected:
        """Accept the request unless it would be dispatched after its deadline."""
        predicted_s = self.predict_s(req, view)
        overrun_s = now + predicted_s - req.deadline_s
        if now >= req.deadline_s or overrun_s > 0.0:
            return Rejected("deadline", _clamp_retry_after_s(overrun_s))
        return Admitted(predicted_s, _uncorrected_s(view))

    def predict_s(self, req: QueuedRequest, view: ServiceSnapshot) -> float:
        """Return the predicted wait in seconds, 0 while the service rate is unknown.

        The correction is learned mostly from lower tiers, whose waits higher tiers lengthen. It
        therefore never lengthens the prediction for a protected request.
        """
        correction = min(self.correction, 1.0) if req.protected else self.correction
        return _uncorrected_s(view) * correction

    def retry_after_s(self, req: QueuedRequest, view: ServiceSnapshot) -> float:
        """Return the predicted wait within bounds."""
        return _clamp_retry_after_s(self.predict_s(req, view))

    def observe_wait(self, predicted_s: float, actual_s: float) -> None:
        """Move the correction towards actual / predicted wait.

        A prediction of 0 was made without a rate or with a free slot and teaches nothing.
        """
        if predicted_s <= 0.0 or max(predicted_s, actual_s) < MIN_OBSERVED_WAIT_S:
            return
        error_s = abs(predicted_s * self.correction - actual_s)
        self._mean_error_s += CORRECTION_GAIN * (error_s - self._mean_error_s)
        self._mean_predicted_s += CORRECTION_GAIN * (predicted_s - self._mean_predicted_s)
        self._mean_actual_s += CORRECTION_GAIN * (actual_s - self._mean_actual_s)


def _uncorrected_s(view: ServiceSnapshot) -> float:
    if view.tokens_per_s <= 0.0 or (view.free_slots > 0 and view.ahead_tokens <= 0.0):
        return 0.0
    slot_tokens = 0.0 if view.free_slots > 0 else view.slot_tokens
    return (view.ahead_tokens + slot_tokens) / view.tokens_per_s


def _clamp_retry_after_s(seconds: float) -> float:
    return min(max(seconds, MIN_RETRY_AFTER_S), MAX_RETRY_AFTER_S)
