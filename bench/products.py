"""The strategy of the product: the only file that names its parts."""

from bench.capacities import best_batch
from bench.strategies import Strategy
from cassiadrum.decisions import (
    Dispatcher,
    EndpointScheduler,
    LeastOutstandingChooser,
    StrictTierQueue,
)
from cassiadrum.defaults import SETTINGS_DEFAULTS
from cassiadrum.documents import ServiceDocument

__all__ = ["product"]

QUEUE_REQUESTS = int(str(SETTINGS_DEFAULTS["limits.queue_requests"]))


def product(queue_requests: int = QUEUE_REQUESTS) -> Strategy:
    """Return the strategy that the daemon uses."""

    def make(document: ServiceDocument, entries: int, seed: str) -> Dispatcher:
        return Dispatcher(StrictTierQueue(queue_requests), LeastOutstandingChooser())

    return Strategy("product", make, _scheduler)


def _scheduler(document: ServiceDocument) -> EndpointScheduler:
    return EndpointScheduler(best_batch(document), best_batch(document))
