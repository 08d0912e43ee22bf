"""The product's strategy; no other benchmark module selects the components of its dispatcher."""

import random

from bench.capacities import best_batch_size
from bench.dispatcher_parts import DispatcherParts
from bench.strategies import Strategy
from cassiadrum.decisions import (
    BudgetRetryPolicy,
    DeadlineAdmission,
    Dispatcher,
    EndpointScheduler,
    FairTierQueue,
    LatencyTargets,
    LatencyTrackingLimit,
    LeastCostChooser,
    PausePreemption,
    QuantileLengthEstimator,
    WasteBoundHedgePolicy,
)
from cassiadrum.defaults import SETTINGS_DEFAULTS
from cassiadrum.documents import ServiceDocument

__all__ = ["QUEUE_REQUESTS", "build_dispatcher", "product", "product_parts", "product_scheduler"]

QUEUE_REQUESTS = int(str(SETTINGS_DEFAULTS["limits.queue_requests"]))
# The mean of a lognormal length with a sigma of 0.8 to 1.0 is near its 0.67 quantile.
COST_QUANTILE = 0.67
# Lets the limit grow beyond the best batch size, so that the measured latency bounds it.
LIMIT_HEADROOM = 2


def product(queue_requests: int = QUEUE_REQUESTS) -> Strategy:
    """Return the strategy that the daemon uses."""

    def make(document: ServiceDocument, entries: int, seed: str) -> Dispatcher:
        return build_dispatcher(product_parts(document, seed, queue_requests))

    return Strategy("product", make, product_scheduler)


def build_dispatcher(parts: DispatcherParts) -> Dispatcher:
    """Return a dispatcher built from the components."""
    return Dispatcher(
        parts.queue,
        parts.chooser,
        admission=parts.admission,
        estimator=parts.estimator,
        retry=parts.retry,
        hedge=parts.hedge,
        uncancellable=parts.uncancellable,
    )


def product_parts(
    document: ServiceDocument, seed: str, queue_requests: int = QUEUE_REQUESTS
) -> DispatcherParts:
    """Return the components of the dispatcher of one service."""
    estimator = QuantileLengthEstimator()
    queue = FairTierQueue(
        queue_requests,
        estimate_tokens=lambda req: estimator.estimate(
            req.class_name, req.customer, COST_QUANTILE
        ),
    )
    return DispatcherParts(
        queue,
        LeastCostChooser(random.Random(seed), streams_tokens=document.kind == "model"),
        DeadlineAdmission(),
        estimator,
        BudgetRetryPolicy({cls.name: cls.retry_budget for cls in document.classes}),
        WasteBoundHedgePolicy({cls.name: cls.hedge_budget for cls in document.classes}),
        frozenset(cls.name for cls in document.classes if not cls.cancellable),
        document.kind == "model",
    )


def product_scheduler(
    document: ServiceDocument, *, preempt: bool = True, queue_limit: int | None = None
) -> EndpointScheduler:
    """Return the scheduler of one endpoint; its limit starts at the best batch size.

    In the daemon the limit starts at half of the maximum. The runs are too short to measure both
    the adaptation of the limit and the steady state after it.
    """
    batch = best_batch_size(document)
    if document.kind == "plain":
        plain = {cls.name: LatencyTargets(cls.target_total_s) for cls in document.classes}
        return EndpointScheduler(_limit(batch, batch, plain), queue_limit)
    targets = {
        cls.name: LatencyTargets(cls.target_first_token_s, cls.target_inter_token_s)
        for cls in document.classes
    }
    pausable = [cls.name for cls in document.classes if cls.cancellable and not cls.protected]
    limit = _limit(LIMIT_HEADROOM * batch, batch, targets)
    return EndpointScheduler(limit, queue_limit, PausePreemption(pausable) if preempt else None)


def _limit(maximum: int, initial: int, targets: dict[str, LatencyTargets]) -> LatencyTrackingLimit:
    return LatencyTrackingLimit(LatencyTargets(0.0), maximum, initial, targets)
