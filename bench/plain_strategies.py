"""Baseline strategies that the product is compared with."""

import random
from collections.abc import Callable

from bench.dispatcher_parts import DispatcherParts
from bench.fifo_queues import FifoQueue
from bench.hash_affinity_choosers import HashAffinityChooser
from bench.products import QUEUE_REQUESTS, build_dispatcher, product_parts, product_scheduler
from bench.random_choosers import RandomChooser
from bench.reported_load_choosers import ReportedLoadChooser
from bench.round_robin_choosers import RoundRobinChooser
from bench.strategies import Strategy
from bench.unbudgeted_retries import UnbudgetedRetry
from cassiadrum.decisions import Dispatcher
from cassiadrum.documents import RequestClass, ServiceDocument

__all__ = ["plain_strategies", "with_replaced_parts"]

# Output tokens that a caller's timeout allows for, more than most answers have.
RESEND_TIMEOUT_TOKENS = 400

PartsChange = Callable[[DispatcherParts, str], DispatcherParts]


def plain_strategies() -> dict[str, Strategy]:
    """Return the plain strategies by name; each is the product with one component replaced."""
    changes: dict[str, PartsChange] = {
        "random": lambda parts, seed: parts._replace(chooser=RandomChooser(random.Random(seed))),
        "round-robin": lambda parts, seed: parts._replace(chooser=RoundRobinChooser()),
        "reported-load": lambda parts, seed: parts._replace(chooser=ReportedLoadChooser()),
        "hash-affinity": lambda parts, seed: parts._replace(chooser=HashAffinityChooser()),
        "fifo": lambda parts, seed: parts._replace(queue=FifoQueue(QUEUE_REQUESTS)),
        "unbudgeted-retry": lambda parts, seed: parts._replace(retry=UnbudgetedRetry()),
    }
    strategies = {name: with_replaced_parts(name, change) for name, change in changes.items()}
    retry = strategies["unbudgeted-retry"]
    strategies["unbudgeted-retry"] = retry._replace(resend_after_s=_resend_after)
    return strategies


def with_replaced_parts(name: str, change: PartsChange) -> Strategy:
    """Return the product's strategy with some components of its dispatchers replaced."""

    def make(document: ServiceDocument, entries: int, seed: str) -> Dispatcher:
        return build_dispatcher(change(product_parts(document, seed), seed))

    return Strategy(name, make, product_scheduler)


def _resend_after(cls: RequestClass) -> float:
    """Return the timeout in seconds after which callers send an unanswered request again."""
    answer_s = cls.target_first_token_s + RESEND_TIMEOUT_TOKENS * cls.target_inter_token_s
    return max(answer_s, 2 * cls.target_total_s) if cls.target_total_s < 30.0 else answer_s
