"""Construction and configuration of a sidecar's scheduler."""

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
    """Factory of the scheduler, which applies latency targets and pausable classes of documents.

    `max_concurrency` bounds the concurrency limit, which starts at half of it and then follows the
    measured latency.
    """

    def __init__(
        self,
        find_document: Callable[[str], ServiceDocument | None],
        *,
        max_concurrency: int,
        can_pause: bool,
    ) -> None:
        self._find_document = find_document
        self._can_pause = can_pause
        # A target of 0 means that latency is not compared with a target until a document is in
        # force.
        self._limit = LatencyTrackingLimit(
            LatencyTargets(0.0), max_concurrency, max(1, max_concurrency // 2)
        )
        self._preemption = PausePreemption(())
        self._queue_limit = max_concurrency * LIMITS.SIDECAR_QUEUE_PER_SLOT

    def build(self) -> EndpointScheduler:
        """Return a scheduler that uses the limit and the pausable classes of this factory."""
        preemption = self._preemption if self._can_pause else None
        return EndpointScheduler(self._limit, self._queue_limit, preemption)

    def configure(self, service: str) -> None:
        """Apply the latency targets and pausable classes of the service's document."""
        document = self._find_document(service)
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
