"""Operations per dispatch decision, by the subset size and by the queue length."""

import random
import sys
from collections.abc import Callable
from functools import partial
from types import FrameType
from typing import Any

from bench.products import product
from bench.simulations import load_document
from cassiadrum.decisions import (
    Dispatch,
    Dispatcher,
    EndpointReport,
    ExecutionStatus,
    Outcome,
    QueuedRequest,
)

__all__ = ["QUEUE_LENGTHS", "SUBSET_SIZES", "count_by_queue_length", "count_by_subset_size"]

SUBSET_SIZES = (8, 64, 512)
QUEUE_LENGTHS = (10, 1_000, 100_000)
DECISIONS = 100


class CountedId(str):
    """A request id that counts its comparisons.

    Comparisons within built-in functions run no bytecode and are not traced otherwise.
    """

    __slots__ = ()
    compared = 0

    def __eq__(self, other: object) -> bool:
        CountedId.compared += 1
        return str.__eq__(self, other)

    def __lt__(self, other: str) -> bool:
        CountedId.compared += 1
        return str.__lt__(self, other)

    __hash__ = str.__hash__


def count_operations(call: Callable[[], object]) -> int:
    """Return the number of bytecodes in `cassiadrum.decisions` and id comparisons of `call`."""
    count = 0

    def trace(frame: FrameType, event: str, arg: Any) -> Any:
        nonlocal count
        if "decisions" not in frame.f_code.co_filename:
            return None
        frame.f_trace_opcodes = True
        count += event == "opcode"
        return trace

    before = CountedId.compared
    previous = sys.gettrace()
    sys.settrace(trace)
    try:
        call()
    finally:
        sys.settrace(previous)
    return count + CountedId.compared - before


def count_by_subset_size() -> dict[int, float]:
    """Return the operations per decision for each number of endpoints."""
    return {size: _per_decision(_dispatcher(size, limit=8), 0) for size in SUBSET_SIZES}


def count_by_queue_length() -> dict[int, float]:
    """Return the operations per decision for each number of waiting requests."""
    return {size: _per_decision(_dispatcher(8, limit=1), size) for size in QUEUE_LENGTHS}


def _dispatcher(endpoints: int, limit: int) -> Dispatcher:
    document = load_document("sprachdienst")
    dispatcher = product(queue_requests=200_000).make_dispatcher(document, 1, "operations")
    for index in range(endpoints):
        rep = EndpointReport(f"e{index:04}", "z", 0, 0, limit, 0.0, tokens_per_s=800.0)
        dispatcher.report(rep, 0.0)
    return dispatcher


def _request(index: int, rng: random.Random) -> QueuedRequest:
    class_name, tier = rng.choice((("feast-assessment", 1), ("assessment", 3)))
    return QueuedRequest(
        CountedId(f"r{index}"),
        "sprachdienst",
        class_name,
        tier,
        False,
        f"c{rng.randrange(10)}",
        index * 1e-6,
        prefix_keys=(rng.randrange(10), rng.randrange(100)),
        idempotent=True,
        min_share=0.2,
    )


def _per_decision(dispatcher: Dispatcher, queued: int) -> float:
    """Return the mean operations of a submit, a report, a progress message, a tick and an end."""
    rng = random.Random(1)
    running: list[Dispatch] = []
    for index in range(queued):
        actions = dispatcher.submit(_request(index, rng), 0.0)
        running += [action for action in actions if isinstance(action, Dispatch)]
    total = 0
    for step in range(DECISIONS):
        decide = partial(_run_decision, dispatcher, _request(queued + step, rng), running)
        total += count_operations(partial(decide, 1.0 + step * 1e-3))
    return total / DECISIONS


def _run_decision(
    dispatcher: Dispatcher, req: QueuedRequest, running: list[Dispatch], now: float
) -> None:
    actions = dispatcher.submit(req, now)
    actions += dispatcher.report(EndpointReport("e0000", "z", 1, 0, 8, now), now)
    actions += dispatcher.tick(now)
    if running:
        first = running.pop(0)
        dispatcher.progressed(first.instance, first.req.request_id, 5, now)
        outcome = Outcome(True, ExecutionStatus.EXECUTED, 100)
        actions += dispatcher.finished(first.req.request_id, outcome, now)
    running += [action for action in actions if isinstance(action, Dispatch)]
