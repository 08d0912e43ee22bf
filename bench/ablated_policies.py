"""Admission and retry policies of the ablations, each without one rule."""

from cassiadrum.decisions import (
    Admission,
    Admitted,
    BudgetRetryPolicy,
    ExecutionStatus,
    QueuedRequest,
    ServiceSnapshot,
)

__all__ = ["NonContinuingRetryPolicy", "UnconditionalAdmission"]


class UnconditionalAdmission(Admission):
    """Admits every request regardless of its deadline."""

    def decide(self, req: QueuedRequest, now: float, view: ServiceSnapshot) -> Admitted:
        return Admitted(0.0, 0.0)

    def predict_s(self, req: QueuedRequest, view: ServiceSnapshot) -> float:
        return 0.0

    def retry_after_s(self, req: QueuedRequest, view: ServiceSnapshot) -> float:
        return 1.0

    def observe_wait(self, predicted_s: float, actual_s: float) -> None:
        pass


class NonContinuingRetryPolicy(BudgetRetryPolicy):
    """Treats the continuation of a partly delivered answer as a retry that costs budget."""

    def may_continue(self, req: QueuedRequest, now: float) -> bool:
        return self.may_retry(req, ExecutionStatus.UNKNOWN, now)
