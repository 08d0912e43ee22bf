"""Tests of the dispatcher's order and refusals."""

from typing import Any

from cassiadrum.decisions import (
    Dispatch,
    Dispatcher,
    EndpointReport,
    ExecutionStatus,
    LeastOutstandingChooser,
    Outcome,
    QueuedRequest,
    Refuse,
    StrictTierQueue,
)


def make_request(request_id: str, tier: int = 2, **fields: Any) -> QueuedRequest:
    req = QueuedRequest(request_id, "svc", "cls", tier, tier == 0, "customer", 0.0)
    return req._replace(**fields)


def make_dispatcher(capacity: int = 10) -> Dispatcher:
    return Dispatcher(StrictTierQueue(capacity), LeastOutstandingChooser())


class TestDispatcher:
    """Guards against dispatching a lower tier first and against untruthful refusals.

    Requests compete for one free slot or one queue place, or fail after they may have run.
    """

    def test_higher_tier_is_dispatched_first(self) -> None:
        dispatcher = make_dispatcher()
        dispatcher.submit(make_request("low", 4), 0.0)
        dispatcher.submit(make_request("high", 0), 0.0)
        actions = dispatcher.report(EndpointReport("e1", "z", 0, 0, 1, 0.0), 0.1)
        assert [action.req.request_id for action in actions if isinstance(action, Dispatch)] == [
            "high"
        ]

    def test_overflow_evicts_the_lowest_tier(self) -> None:
        dispatcher = make_dispatcher(capacity=1)
        dispatcher.submit(make_request("low", 4), 0.0)
        (refusal,) = dispatcher.submit(make_request("high", 0), 0.0)
        assert isinstance(refusal, Refuse)
        assert (refusal.req.request_id, refusal.reason, refusal.ran) == (
            "low",
            "evicted",
            ExecutionStatus.NOT_EXECUTED,
        )

    def test_attempt_that_may_have_run_is_not_repeated(self) -> None:
        dispatcher = make_dispatcher()
        dispatcher.report(EndpointReport("e1", "z", 0, 0, 4, 0.0), 0.0)
        dispatcher.submit(make_request("once", once_only=True), 0.0)
        failed = Outcome(ok=False, ran=ExecutionStatus.UNKNOWN, reason="answer_lost")
        (refusal,) = dispatcher.finished("once", failed, 1.0)
        assert isinstance(refusal, Refuse)
        assert refusal.ran is ExecutionStatus.UNKNOWN
