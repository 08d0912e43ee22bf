"""Tests of decisions with endpoints that are full, failing or known from old reports."""

from random import Random
from typing import Any

import pytest

from cassiadrum.decisions import (
    BudgetRetryPolicy,
    Dispatch,
    Dispatcher,
    EndpointReport,
    ExecutionStatus,
    FairTierQueue,
    LeastCostChooser,
    Outcome,
    QueuedRequest,
    Refuse,
)

LIMIT = 8


def make_request(request_id: str, **fields: Any) -> QueuedRequest:
    req = QueuedRequest(request_id, "svc", "cls", 2, False, "customer", 0.0, 100.0)
    return req._replace(idempotent=True)._replace(**fields)


def make_report(instance: str, reported_s: float = 0.0, **fields: Any) -> EndpointReport:
    report = EndpointReport(instance, "z", 0, 0, LIMIT, reported_s, version="v1")
    return report._replace(**fields)


def make_dispatcher(endpoints: int, budget: float = 0.0, **fields: Any) -> Dispatcher:
    chooser = LeastCostChooser(Random(1), "z")
    dispatcher = Dispatcher(FairTierQueue(20), chooser, retry=BudgetRetryPolicy({}, budget))
    for index in range(endpoints):
        dispatcher.report(make_report(f"e{index}", **fields), 0.0)
    return dispatcher


class TestFullEndpoints:
    """Guards against protected work that waits, and against work for a full endpoint.

    A sidecar serves protected requests first, so they need no free slot. An endpoint that has
    just rejected a request would reject the next one too.
    """

    def test_protected_request_goes_to_a_full_endpoint(self) -> None:
        dispatcher = make_dispatcher(1, running=LIMIT)
        assert dispatcher.submit(make_request("low"), 0.0) == []
        (action,) = dispatcher.submit(make_request("high", tier=0, protected=True), 0.0)
        assert isinstance(action, Dispatch)
        assert action.req.request_id == "high"
        assert dispatcher.queued() == 1

    def test_endpoint_that_rejected_gets_no_work_for_a_short_time(self) -> None:
        dispatcher = make_dispatcher(1)
        dispatcher.submit(make_request("r"), 1.0)
        rejected = Outcome(ok=False, ran=ExecutionStatus.NOT_EXECUTED, reason="overloaded")
        assert dispatcher.finished("r", rejected, 1.001) == []
        assert dispatcher.report(make_report("e0", 1.05), 1.05) == []
        (action,) = dispatcher.report(make_report("e0", 1.2), 1.2)
        assert isinstance(action, Dispatch)


class TestOutdatedReports:
    """Guards against entry instances that all act on the same outdated report.

    They would all send to the endpoint that the report shows as free, or keep slots idle that
    became free since. With outdated reports a short queue at the endpoint fills them.
    """

    def test_load_from_other_instances_is_smoothed_by_report_age(self) -> None:
        fresh, outdated = LeastCostChooser(Random(1)), LeastCostChooser(Random(1))
        for chooser in (fresh, outdated):
            chooser.report(make_report("e0", running=6), 0.0)
        fresh.report(make_report("e0", 2.0, running=0), 2.0)
        outdated.report(make_report("e0", 2.0, running=0), 4.0)
        assert fresh.outstanding("e0") == 0
        assert 2 <= outdated.outstanding("e0") <= 5

    def test_short_queue_is_used_only_with_outdated_reports(self) -> None:
        fresh, outdated = LeastCostChooser(Random(1)), LeastCostChooser(Random(1))
        for step in range(100):
            fresh.report(make_report("e0", step, running=LIMIT), step)
            outdated.report(make_report("e0", step, running=LIMIT), step + 2.0)
        assert (fresh.free_slots(), outdated.free_slots()) == (0, LIMIT // 2)

    def test_plain_service_gets_one_call_beyond_its_slots(self) -> None:
        chooser = LeastCostChooser(Random(1), streams_tokens=False)
        chooser.report(make_report("e0", running=LIMIT), 0.0)
        assert chooser.free_slots() == 1
        chooser.report(make_report("e0", 1.0, running=LIMIT, queued=1), 1.0)
        assert chooser.free_slots() == 0

    def test_entry_instances_order_equal_endpoints_differently(self) -> None:
        chosen = set()
        for seed in range(20):
            chooser = LeastCostChooser(Random(seed))
            for index in range(6):
                chooser.report(make_report(f"e{index}"), 0.0)
            chosen.add(chooser.choose(make_request("r"), 0.0))
        assert len(chosen) > 2


class TestPrefillRate:
    """Guards against a cached prefix that outweighs the load of its endpoint.

    The prefill rate is learned from times to the first token. If these contain queueing behind
    other prompts, prefill seems slow and a cached prefix too valuable.
    """

    def test_queueing_before_first_tokens_hardly_raises_the_value_of_a_prefix(self) -> None:
        chooser = LeastCostChooser(Random(1))
        for index in range(2):
            chooser.report(make_report(f"e{index}"), 0.0)
        for number in range(60):
            # Every second request waits 1 s behind other prompts before its first token.
            chooser.dispatched("e1", make_request(f"r{number}", prompt_tokens=800), number)
            chooser.progressed("e1", f"r{number}", 1, number + (1.1 if number % 2 else 0.1))
            chooser.finished("e1", f"r{number}", True, number + 4.0)
        chooser.observe_cached_prefixes("e0", [1], 90.0)
        chooser.report(make_report("e0", 90.0, running=3), 90.0)
        chooser.report(make_report("e1", 90.0), 90.0)
        req = make_request("r", prompt_tokens=800, prefix_keys=(1,))
        assert chooser.choose(req, 90.0) == "e1"


class TestFailedAttempts:
    """Guards against accepted requests that are refused after a crash or after rejections.

    An answer that was delivered in part continues elsewhere without retry budget, but only a
    bounded number of times and never for once-only requests.
    """

    def test_partly_delivered_answer_continues_without_budget(self) -> None:
        dispatcher = make_dispatcher(2)
        (first,) = dispatcher.submit(make_request("r"), 0.0)
        crashed = Outcome(
            ok=False, ran=ExecutionStatus.UNKNOWN, tokens=5, reason="endpoint_failed"
        )
        (second,) = dispatcher.finished("r", crashed, 1.0)
        assert isinstance(first, Dispatch)
        assert isinstance(second, Dispatch)
        assert first.instance != second.instance

    @pytest.mark.parametrize("versions", [("v1", "v2", "v1"), ("v1", "v2", "v2"), ("", "", "")])
    def test_partly_delivered_answer_stays_at_its_software_version(
        self, versions: tuple[str, ...]
    ) -> None:
        # What two versions write does not fit together, and nothing in the answer shows it.
        dispatcher = make_dispatcher(0)
        for index, version in enumerate(versions):
            dispatcher.report(make_report(f"e{index}", version=version), 0.0)
        (first,) = dispatcher.submit(make_request("r"), 0.0)
        assert isinstance(first, Dispatch)
        failed = Outcome(ok=False, ran=ExecutionStatus.UNKNOWN, tokens=5, reason="answer_lost")
        begun = versions[int(first.instance[1:])]
        dispatcher.endpoint_lost(first.instance, 0.5)
        (second,) = dispatcher.finished("r", failed, 1.0)
        others = [
            f"e{index}"
            for index, version in enumerate(versions)
            if version and version == begun and f"e{index}" != first.instance
        ]
        if others:
            assert isinstance(second, Dispatch)
            assert second.instance in others
        else:
            assert isinstance(second, Refuse)

    def test_answer_of_an_endpoint_that_is_removed_stays_at_its_version(self) -> None:
        # The loss of an endpoint tells no tokens; those that arrived before count.
        dispatcher = make_dispatcher(0, budget=1.0)
        for instance, version in (("e0", "v1"), ("e1", "v2")):
            dispatcher.report(make_report(instance, version=version), 0.0)
        (first,) = dispatcher.submit(make_request("r"), 0.0)
        assert isinstance(first, Dispatch)
        dispatcher.progressed(first.instance, "r", 3, 0.5)
        (refusal,) = dispatcher.endpoint_removed(first.instance, 1.0)
        assert isinstance(refusal, Refuse)

    def test_answer_ends_soon_when_its_software_version_leaves(self) -> None:
        dispatcher = make_dispatcher(0)
        for instance in ("e0", "e1"):
            dispatcher.report(make_report(instance, version="v1"), 0.0)
        failed = Outcome(ok=False, ran=ExecutionStatus.UNKNOWN, tokens=5, reason="answer_lost")
        (first,) = dispatcher.submit(make_request("r"), 0.0)
        assert isinstance(first, Dispatch)
        (second,) = dispatcher.finished("r", failed, 1.0)
        assert isinstance(second, Dispatch)
        dispatcher.report(make_report("e2", 1.5, version="v2"), 1.5)
        dispatcher.endpoint_removed(first.instance, 2.0)
        dispatcher.endpoint_lost(second.instance, 2.0)
        (refusal,) = dispatcher.finished("r", failed, 2.0)
        assert isinstance(refusal, Refuse)

    def test_attempt_without_a_token_still_needs_budget(self) -> None:
        dispatcher = make_dispatcher(2)
        dispatcher.submit(make_request("r"), 0.0)
        crashed = Outcome(ok=False, ran=ExecutionStatus.UNKNOWN, reason="endpoint_failed")
        (refusal,) = dispatcher.finished("r", crashed, 1.0)
        assert isinstance(refusal, Refuse)

    def test_continuations_are_bounded(self) -> None:
        dispatcher = make_dispatcher(2)
        dispatcher.submit(make_request("r"), 0.0)
        crashed = Outcome(
            ok=False, ran=ExecutionStatus.UNKNOWN, tokens=5, reason="endpoint_failed"
        )
        actions_by_step = [dispatcher.finished("r", crashed, step) for step in range(5)]
        kinds = [type(action) for actions in actions_by_step for action in actions]
        assert kinds == [Dispatch, Dispatch, Refuse]

    def test_once_only_request_is_never_continued(self) -> None:
        dispatcher = make_dispatcher(2)
        dispatcher.submit(make_request("r", once_only=True, idempotent=False), 0.0)
        crashed = Outcome(
            ok=False, ran=ExecutionStatus.UNKNOWN, tokens=5, reason="endpoint_failed"
        )
        (refusal,) = dispatcher.finished("r", crashed, 1.0)
        assert isinstance(refusal, Refuse)

    def test_rejections_do_not_count_as_attempts(self) -> None:
        dispatcher = make_dispatcher(2, budget=1.0)
        dispatcher.submit(make_request("r"), 0.0)
        rejected = Outcome(ok=False, ran=ExecutionStatus.NOT_EXECUTED, reason="overloaded")
        now = 0.0
        for _ in range(10):
            dispatcher.finished("r", rejected, now)
            now += 0.2
            for index in range(2):
                dispatcher.report(make_report(f"e{index}", now), now)
        assert dispatcher.running() == 1
        crashed = Outcome(ok=False, ran=ExecutionStatus.UNKNOWN, reason="endpoint_failed")
        (action,) = dispatcher.finished("r", crashed, now)
        assert isinstance(action, Dispatch)
