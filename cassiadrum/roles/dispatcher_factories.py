"""Construction of dispatchers from service documents."""

import random
from collections.abc import Callable

from cassiadrum.decisions import (
    BudgetRetryPolicy,
    DeadlineAdmission,
    Dispatcher,
    FairTierQueue,
    LeastCostChooser,
    QuantileLengthEstimator,
    WasteBoundHedgePolicy,
)
from cassiadrum.documents import ServiceDocument

__all__ = ["DispatcherFactory"]


class DispatcherFactory:
    """Factory of dispatchers, which also updates their budgets for a new document.

    `find_document` returns the document of a service, or None. `zone` is the availability zone of
    this instance, `queue_requests` the capacity of each queue.
    """

    def __init__(
        self,
        find_document: Callable[[str], ServiceDocument | None],
        *,
        zone: str,
        queue_requests: int,
        rng: random.Random,
    ) -> None:
        self._find_document = find_document
        self._zone = zone
        self._queue_requests = queue_requests
        self._rng = rng
        self._policies: dict[str, tuple[BudgetRetryPolicy, WasteBoundHedgePolicy, set[str]]] = {}

    def __call__(self, service: str) -> Dispatcher:
        """Return a new dispatcher for a service."""
        document = self._find_document(service)
        streams = document is None or document.kind == "model"
        estimator = QuantileLengthEstimator()
        retry, hedge, uncancellable = BudgetRetryPolicy(), WasteBoundHedgePolicy(), set[str]()
        self._policies[service] = (retry, hedge, uncancellable)
        self.configure(service)
        return Dispatcher(
            FairTierQueue(self._queue_requests, estimate_tokens=estimator.expected_tokens),
            LeastCostChooser(self._rng, self._zone, streams_tokens=streams),
            admission=DeadlineAdmission(),
            estimator=estimator,
            retry=retry,
            hedge=hedge,
            uncancellable=uncancellable,
        )

    def configure(self, service: str) -> None:
        """Set the budgets of a service's dispatcher to those of its document."""
        document = self._find_document(service)
        if document is None or service not in self._policies:
            return
        retry, hedge, uncancellable = self._policies[service]
        retry.configure({cls.name: cls.retry_budget for cls in document.classes})
        hedge.configure({cls.name: cls.hedge_budget for cls in document.classes})
        uncancellable.clear()
        uncancellable.update(cls.name for cls in document.classes if not cls.cancellable)
