"""Admission control by deadline."""

from cassiadrum.decisions.admission_decisions import Admitted, Rejected
from cassiadrum.decisions.admissions import Admission
from cassiadrum.decisions.queued_requests import QueuedRequest
from cassiadrum.decisions.service_snapshots import ServiceSnapshot

__all__ = ["DeadlineAdmission"]

# A shorter delay risks a retry storm; a longer one exceeds the duration of most bursts.
MIN_RETRY_AFTER_S = 1.0
MAX_RETRY_AFTER_S = 60.0
# The correction averages about the last 32 waits. It is limited to a factor of four, so that a
# few outliers cannot make admission refuse or accept everything.
CORRECTION_GAIN = 1 / 32
MAX_CORRECTION = 4.0
# Shorter waits are mostly the time to the next event and do not reflect the service rate.
MIN_OBSERVED_WAIT_S = 0.05


class DeadlineAdmission(Admission):
    """Admission control that refuses requests whose predicted wait exceeds their deadline."""

    def __init__(self) -> None:
        self._mean_predicted_s = 0.0
        self._mean_actual_s = 0.0
        self._mean_error_s = 0.0

    @property
    def correction(self) -> float:
        """Return the ratio of actual to predicted waits, between 1/4 and 4."""
        if self._mean_predicted_s <= 0.0:
            return 1.0
        ratio = self._mean_actual_s / self._mean_predicted_s
        return min(max(ratio, 1 / MAX_CORRECTION), MAX_CORRECTION)

    @property
    def error_s(self) -> float:
        """Return the mean absolute error of the corrected predictions, in seconds."""
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

        Most observed waits are of lower tiers, which wait for higher ones. The correction
        therefore never increases the prediction for a protected request.
        """
        correction = min(self.correction, 1.0) if req.protected else self.correction
        return _uncorrected_s(view) * correction

    def retry_after_s(self, req: QueuedRequest, view: ServiceSnapshot) -> float:
        """Return the predicted wait, clamped to between 1 and 60 seconds."""
        return _clamp_retry_after_s(self.predict_s(req, view))

    def observe_wait(self, predicted_s: float, actual_s: float) -> None:
        """Update the correction from the actual and the predicted wait, in seconds.

        Predictions of 0 are ignored: they were made with a free slot or without a known rate.
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
