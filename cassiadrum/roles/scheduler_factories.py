"""Construction of a sidecar's scheduler from the service document."""

from collections.abc import Callable

from cassiadrum.decisions import (
    EndpointScheduler,
    LatencyTargets,
    LatencyTrackingLimit,
    PausePreemption,
)
from cassiadrum.defaults import LIMITS
from cassiadrum.documents import RequestClass, ServiceDocument

__all__ = ["SchedulerFactory"]


class SchedulerFactory:
    """Build the scheduler, and change targets and pausable classes with the document.

    `maximum` bounds the concurrency limit, which follows the measured latency from half of it.
    """

    def __init__(
        self,
        documents: Callable[[str], ServiceDocument | None],
        *,
        max_concurrency: int,
        can_pause: bool,
    ) -> None:
        self._documents = documents
        self._can_pause = can_pause
        # Until the first document is in force nothing is measured against a target.
        self._limit = LatencyTrackingLimit(
            LatencyTargets(0.0), max_concurrency, max(1, max_concurrency // 2)
        )
        self._preemption = PausePreemption(())
        self._queue_limit = max_concurrency * LIMITS.SIDECAR_QUEUE_PER_SLOT

    def build(self) -> EndpointScheduler:
        """Return the scheduler."""
        preemption = self._preemption if self._can_pause else None
        return EndpointScheduler(self._limit, self._queue_limit, preemption)

    def configure(self, service: str) -> None:
        """Bring targets and pausable classes in line with the service's document."""
        document = self._documents(service)
        if document is None:
            return
        model = document.kind == "model"
        self._limit.configure({cls.name: _targets(cls, model) for cls in document.classes})
        pausable = [cls.name for cls in document.classes if cls.cancellable and not cls.protected]
        self._preemption.configure(pausable)


def _targets(cls: RequestClass, model: bool) -> LatencyTargets:
    if model:
        return LatencyTargets(cls.target_first_token_s, cls.target_inter_token_s)
    return LatencyTargets(cls.target_total_s)
