"""The plain strategies that the product is compared with."""

import random
from collections.abc import Callable

from bench.capacities import best_batch
from bench.fifo_queues import FifoQueue
from bench.hash_affinity_choosers import HashAffinityChooser
from bench.products import QUEUE_REQUESTS
from bench.random_choosers import RandomChooser
from bench.reported_load_choosers import ReportedLoadChooser
from bench.round_robin_choosers import RoundRobinChooser
from bench.strategies import Strategy
from cassiadrum.decisions import (
    Dispatcher,
    EndpointChooser,
    EndpointScheduler,
    LeastOutstandingChooser,
    RequestQueue,
    StrictTierQueue,
)
from cassiadrum.documents import RequestClass, ServiceDocument

__all__ = ["plain_strategies"]

# Output tokens that a caller with a time limit allows for, more than most answers have.
ALLOWED_TOKENS = 400


def plain_strategies() -> dict[str, Strategy]:
    """Return the plain strategies by name; each differs from the others in one part."""
    choosers: dict[str, Callable[[str], EndpointChooser]] = {
        "random": lambda seed: RandomChooser(random.Random(seed)),
        "round-robin": lambda seed: RoundRobinChooser(),
        "reported-load": lambda seed: ReportedLoadChooser(),
        "hash-affinity": lambda seed: HashAffinityChooser(),
    }
    strategies = {
        name: Strategy(name, _with(_tier_queue, chooser), _scheduler)
        for name, chooser in choosers.items()
    }
    least = _with(_tier_queue, lambda seed: LeastOutstandingChooser())
    fifo = _with(lambda: FifoQueue(QUEUE_REQUESTS), lambda seed: LeastOutstandingChooser())
    strategies["fifo"] = Strategy("fifo", fifo, _scheduler)
    strategies["unbudgeted-retry"] = Strategy("unbudgeted-retry", least, _scheduler, _resend_after)
    return strategies


def _with(
    make_queue: Callable[[], RequestQueue], make_chooser: Callable[[str], EndpointChooser]
) -> Callable[[ServiceDocument, int, str], Dispatcher]:
    def make(document: ServiceDocument, entries: int, seed: str) -> Dispatcher:
        return Dispatcher(make_queue(), make_chooser(seed))

    return make


def _tier_queue() -> RequestQueue:
    return StrictTierQueue(QUEUE_REQUESTS)


def _scheduler(document: ServiceDocument) -> EndpointScheduler:
    return EndpointScheduler(best_batch(document), best_batch(document))


def _resend_after(cls: RequestClass) -> float:
    """Return when callers give up on an answer and send the request again, in seconds."""
    answer_s = cls.target_first_token_s + ALLOWED_TOKENS * cls.target_inter_token_s
    return max(answer_s, 2 * cls.target_total_s) if cls.target_total_s < 30.0 else answer_s
