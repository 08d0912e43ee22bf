"""Tests of the retry and hedge policies."""

import math

from hypothesis import given
from hypothesis import strategies as st

from cassiadrum.decisions import (
    BudgetRetryPolicy,
    ExecutionStatus,
    QueuedRequest,
    WasteBoundHedgePolicy,
)

REQ = QueuedRequest("r", "svc", "cls", 2, False, "customer", 0.0, 100.0, idempotent=True)


class TestBudgetRetryPolicy:
    """Guards against retry storms and against repeated effects.

    Retries multiply the load while endpoints fail. A request that may have run must not run again
    unless it is idempotent.
    """

    @given(
        st.lists(st.sampled_from(["accept", "no", "yes", "unknown"])), st.sampled_from([0.1, 0.5])
    )
    def test_budget_is_never_exceeded(self, events: list[str], budget: float) -> None:
        policy = BudgetRetryPolicy({"cls": budget})
        accepted = retried = 0
        for event in events:
            if event == "accept":
                policy.record_accepted(REQ)
                accepted += 1
            elif policy.may_retry(REQ, ExecutionStatus(event), 1.0) and event != "no":
                retried += 1
            assert retried <= budget * accepted + 1e-6

    def test_accumulated_budget_is_spent_once(self) -> None:
        policy = BudgetRetryPolicy({"cls": 0.1})
        for _ in range(10):
            policy.record_accepted(REQ)
        assert policy.may_retry(REQ, ExecutionStatus.UNKNOWN, 1.0)
        assert not policy.may_retry(REQ, ExecutionStatus.UNKNOWN, 1.0)

    def test_retries_after_rejections_cost_no_budget_but_are_bounded(self) -> None:
        policy = BudgetRetryPolicy({"cls": 0.0})
        without_deadline = REQ._replace(deadline_s=math.inf)
        allowed = [
            policy.may_retry(
                without_deadline._replace(attempt=n), ExecutionStatus.NOT_EXECUTED, 1.0
            )
            for n in range(10)
        ]
        assert allowed == [True] * 7 + [False] * 3
        assert policy.may_retry(REQ._replace(attempt=99), ExecutionStatus.NOT_EXECUTED, 1.0)
        assert not policy.may_retry(REQ, ExecutionStatus.NOT_EXECUTED, 100.0)

    def test_effects_are_not_repeated(self) -> None:
        policy = BudgetRetryPolicy({"cls": 1.0})
        policy.record_accepted(REQ)
        for req in (REQ._replace(idempotent=False), REQ._replace(once_only=True)):
            assert not policy.may_retry(req, ExecutionStatus.UNKNOWN, 1.0)
            assert not policy.may_retry(req, ExecutionStatus.EXECUTED, 1.0)


class TestWasteBoundHedgePolicy:
    """Guards against hedges that waste more tokens than the class allows.

    The waste of a hedge is known only when it ends, so hedges in progress have to count too.
    """

    @staticmethod
    def make_policy(budget: float = 0.1) -> WasteBoundHedgePolicy:
        policy = WasteBoundHedgePolicy({"cls": budget})
        for _ in range(100):
            policy.observe_first_token("cls", 0.2)
        policy.add_useful_tokens(10_000)
        return policy

    def test_only_after_the_learned_quantile(self) -> None:
        assert not WasteBoundHedgePolicy({"cls": 1.0}).may_hedge(REQ, 60.0, 1.0)
        assert not self.make_policy().may_hedge(REQ, 0.15, 1.0)
        assert self.make_policy().may_hedge(REQ, 0.25, 1.0)
        assert not self.make_policy(0.0).may_hedge(REQ, 0.25, 1.0)

    def test_effects_are_not_doubled(self) -> None:
        for req in (REQ._replace(idempotent=False), REQ._replace(once_only=True)):
            assert not self.make_policy().may_hedge(req, 60.0, 1.0)

    @given(st.lists(st.tuples(st.integers(0, 500), st.integers(0, 2000)), max_size=200))
    def test_no_hedge_while_the_measured_share_exceeds_the_budget(
        self, outcomes: list[tuple[int, int]]
    ) -> None:
        policy = self.make_policy()
        for wasted, useful in outcomes:
            if policy.may_hedge(REQ, 60.0, 1.0):
                assert policy.waste_share <= 0.1
                policy.record_hedge_started()
                policy.add_wasted_tokens(wasted)
                policy.record_hedge_ended()
            policy.add_useful_tokens(useful)

    def test_hedges_in_progress_count_as_waste(self) -> None:
        policy = self.make_policy()
        sent = 0
        while policy.may_hedge(REQ, 60.0, 1.0):
            policy.record_hedge_started()
            sent += 1
        # 11 copies of 100 tokens each are 1,100 of 11,100 tokens, just below a tenth.
        assert sent == 11
