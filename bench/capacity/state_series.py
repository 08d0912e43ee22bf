"""Series by the size of one process's state, such as its queue, customers or endpoints."""

import gc
import random
import time
import tracemalloc
from collections.abc import Callable

from bench.wall_clock.bench_platforms import make_document
from cassiadrum.decisions import (
    BudgetRetryPolicy,
    Dispatcher,
    EndpointReport,
    ExecutionStatus,
    FairTierQueue,
    LeastCostChooser,
    Outcome,
    QuantileLengthEstimator,
    QueuedRequest,
)
from cassiadrum.events import EventKind, EventRing, HybridLogicalClock
from cassiadrum.links.messages import StartRequest
from cassiadrum.metrics import RoleMetrics
from cassiadrum.roles.sidecar_streams import SidecarStream
from cassiadrum.states import ConfigurationRecord, ConfigurationRegistry

__all__ = ["STATE_SERIES"]

Points = list[tuple[float, float]]
REPEATS = 2000
# An answer of 197 tokens, the mean at the target size (13 million tokens for 66,000 requests), as
# events of about 60 bytes; and a prompt of 200 tokens.
ANSWER_BYTES = 12_000
PROMPT_BYTES = 1000


def make_request(number: int, now: float, customers: int = 10) -> QueuedRequest:
    """Return a request of one of `customers` customers, in turn by its number."""
    return QueuedRequest(
        f"entry-1-1a2b3c4d-{number}",
        "svc",
        "all",
        1,
        False,
        f"customer-{number % customers}",
        now,
        now + 300.0,
        prompt_tokens=200,
        max_tokens=400,
        idempotent=True,
    )


def make_dispatcher(endpoints: int, queue: int = 200_000) -> Dispatcher:
    """Return a dispatcher whose endpoints have reported free slots."""
    dispatcher = Dispatcher(
        FairTierQueue(queue),
        LeastCostChooser(random.Random(1), "z"),
        estimator=QuantileLengthEstimator(),
        retry=BudgetRetryPolicy(),
    )
    for number in range(endpoints):
        report = EndpointReport(f"s{number}", "z", 0, 0, 64, 0.0, (), (), False, 1000.0)
        dispatcher.report(report, 0.0)
    return dispatcher


def measure_memory(build: Callable[[], object]) -> float:
    """Return the bytes that `build` allocates and its result retains."""
    gc.collect()
    tracemalloc.start()
    kept = build()
    gc.collect()
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del kept
    return float(size)


def queue_memory() -> Points:
    """Return the bytes of a queue by its length."""

    def build(length: int) -> FairTierQueue:
        queue = FairTierQueue(length)
        for number in range(length):
            queue.push(make_request(number, 0.0), 0.0)
        return queue

    return [(n, measure_memory(lambda n=n: build(n))) for n in (10, 1000, 10_000, 40_000, 100_000)]  # type: ignore[misc]


def queue_time() -> Points:
    """Return the CPU microseconds of a push and a pop by the bit length of the queue's length."""
    points = []
    for length in (10, 100, 1000, 10_000, 100_000):
        queue = FairTierQueue(length + REPEATS)
        for number in range(length):
            queue.push(make_request(number, 0.0), 0.0)
        reqs = [make_request(length + number, 0.0) for number in range(REPEATS)]
        started_s = time.process_time()
        for req in reqs:
            queue.push(req, 0.0)
            queue.pop(0.0)
        spent_s = time.process_time() - started_s
        points.append((float(length.bit_length()), 1e6 * spent_s / REPEATS))
    return points


def customer_memory() -> Points:
    """Return the bytes of a dispatcher and its metrics by the customers with one answer each."""

    def build(customers: int) -> tuple[Dispatcher, RoleMetrics]:
        dispatcher, metrics = make_dispatcher(8), RoleMetrics(lambda: 0.0)
        for number in range(customers):
            req = make_request(number, 0.0, customers)
            _complete_request(dispatcher, req, 0.0)
            metrics.count_delivered_tokens("svc", "all", req.customer, 200)
        return dispatcher, metrics

    sizes = (10, 1000, 10_000, 20_000, 40_000)
    return [(n, measure_memory(lambda n=n: build(n))) for n in sizes]  # type: ignore[misc]


def endpoint_memory() -> Points:
    """Return the bytes of a dispatcher by the number of endpoints in its subset."""
    sizes = (8, 64, 128, 256, 512)
    return [(n, measure_memory(lambda n=n: make_dispatcher(n))) for n in sizes]  # type: ignore[misc]


def endpoint_time() -> Points:
    """Return the CPU microseconds of a request's decisions by the endpoints in the subset."""
    points = []
    for endpoints in (8, 64, 128, 256, 512):
        dispatcher = make_dispatcher(endpoints)
        for number in range(200):
            _complete_request(dispatcher, make_request(number, 0.0), 0.0)
        started_s = time.process_time()
        for number in range(REPEATS):
            _complete_request(dispatcher, make_request(1000 + number, 1.0), 1.0 + number * 1e-4)
        spent_s = time.process_time() - started_s
        points.append((float(endpoints), 1e6 * spent_s / REPEATS))
    return points


def service_memory() -> Points:
    """Return the bytes of the configurations in force by the number of services."""
    sizes = (1, 25, 50, 100, 200)
    return [(n, measure_memory(lambda n=n: _registry(n))) for n in sizes]  # type: ignore[misc]


def digest_time() -> Points:
    """Return the CPU microseconds of a heartbeat's digest by the number of services."""
    points = []
    for services in (1, 25, 50, 100, 200):
        registry = _registry(services)
        started_s = time.process_time()
        for _ in range(REPEATS):
            registry.digest()
        spent_s = time.process_time() - started_s
        points.append((float(services), 1e6 * spent_s / REPEATS))
    return points


def change_time() -> Points:
    """Return the CPU microseconds to apply changes to 17 services by the number of changes."""
    points = []
    for changes in (10, 50, 100, 200, 400):
        registry = _registry(17)
        started_s = time.process_time()
        for number in range(changes):
            name = f"svc-{number % 17}"
            registry.apply(
                ConfigurationRecord(name, number + 2, make_document(name, "model"), False)
            )
        points.append((float(changes), 1e6 * (time.process_time() - started_s)))
    return points


def event_memory() -> Points:
    """Return the bytes of an event ring by its number of events."""

    def build(count: int) -> EventRing:
        ring = EventRing(HybridLogicalClock(time.time), "entry-1", "entry", "1a2b3c4d")
        for number in range(count):
            req = make_request(number, 0.0)
            ring.record(
                EventKind.FINISHED,
                req.request_id,
                req.service,
                req.class_name,
                req.customer,
                reason="",
                ran="yes",
                tokens=200,
            )
        return ring

    sizes = (256, 2048, 4096, 8192, 16_384)
    return [(n, measure_memory(lambda n=n: build(n))) for n in sizes]  # type: ignore[misc]


def kept_answer_memory() -> Points:
    """Return the bytes of a sidecar's finished answers of ANSWER_BYTES by their number."""

    def build(count: int) -> list[SidecarStream]:
        kept = []
        for number in range(count):
            req, body = make_request(number, 0.0), bytes(PROMPT_BYTES)
            start = StartRequest(
                f"{req.request_id}.1", req.request_id, "svc", "all", 1, False, False, True,
                req.customer, 300.0, "POST", "/v1/completions", [], body,
            )  # fmt: skip
            stream = SidecarStream(start, req, None)  # type: ignore[arg-type]
            stream.buffer.append(bytes(ANSWER_BYTES))
            kept.append(stream)
        return kept

    sizes = (10, 100, 300, 600, 1000)
    return [(n, measure_memory(lambda n=n: build(n))) for n in sizes]  # type: ignore[misc]


def _registry(services: int) -> ConfigurationRegistry:
    registry = ConfigurationRegistry()
    for number in range(services):
        name = f"svc-{number}"
        registry.apply(ConfigurationRecord(name, 1, make_document(name, "model"), False))
    return registry


def _complete_request(dispatcher: Dispatcher, req: QueuedRequest, now: float) -> None:
    """Submit a request, report its first token and finish it."""
    actions = dispatcher.submit(req, now)
    instance = getattr(actions[0], "instance", "")
    dispatcher.progressed(instance, req.request_id, 1, now)
    dispatcher.finished(
        req.request_id, Outcome(True, ExecutionStatus.EXECUTED, 200), now, instance
    )


STATE_SERIES: dict[str, Callable[[], Points]] = {
    "queue_memory_bytes": queue_memory,
    "queue_time_us": queue_time,
    "customer_memory_bytes": customer_memory,
    "endpoint_memory_bytes": endpoint_memory,
    "endpoint_time_us": endpoint_time,
    "service_memory_bytes": service_memory,
    "digest_time_us": digest_time,
    "change_time_us": change_time,
    "event_memory_bytes": event_memory,
    "kept_answer_memory_bytes": kept_answer_memory,
}
