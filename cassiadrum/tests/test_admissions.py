"""Tests of admission control and of the estimates of answer lengths."""

import math

from hypothesis import given
from hypothesis import strategies as st

from cassiadrum.decisions import (
    Admitted,
    DeadlineAdmission,
    LogHistogram,
    QuantileLengthEstimator,
    QueuedRequest,
    Rejected,
    ServiceSnapshot,
)


def make_request(protected: bool = False, deadline_s: float = 10.0) -> QueuedRequest:
    return QueuedRequest("r", "svc", "cls", 2, protected, "customer", 0.0, deadline_s)


def make_view(ahead_tokens: float, free_slots: int = 0) -> ServiceSnapshot:
    return ServiceSnapshot(ahead_tokens, 0.0, 100.0, free_slots)


class TestDeadlineAdmission:
    """Guards against accepted requests that cannot be served in time, and needless refusals.

    The predicted wait is corrected by observed waits, which may be those of other tiers or from
    before the service rate was known.
    """

    @given(st.floats(0, 1e6), st.floats(0.1, 1e3))
    def test_refuses_exactly_when_the_wait_passes_the_deadline(
        self, ahead_tokens: float, deadline_s: float
    ) -> None:
        req = make_request(deadline_s=deadline_s)
        decision = DeadlineAdmission().decide(req, 0.0, make_view(ahead_tokens))
        if ahead_tokens / 100.0 <= deadline_s:
            assert isinstance(decision, Admitted)
        else:
            assert isinstance(decision, Rejected)
            assert decision.reason == "deadline"
            assert 1.0 <= decision.retry_after_s <= 60.0

    def test_unknown_rate_admits_every_request(self) -> None:
        view = make_view(1e9)._replace(tokens_per_s=0.0)
        assert isinstance(DeadlineAdmission().decide(make_request(), 0.0, view), Admitted)

    def test_observed_error_corrects_later_predictions(self) -> None:
        admission = DeadlineAdmission()
        for _ in range(200):
            admission.observe_wait(1.0, 2.0)
        assert math.isclose(admission.predict_s(make_request(), make_view(100)), 2.0, rel_tol=0.01)
        assert admission.error_s < 0.1

    def test_waits_before_the_rate_is_known_are_ignored(self) -> None:
        admission = DeadlineAdmission()
        for _ in range(200):
            admission.observe_wait(0.0, 5.0)
        admission.observe_wait(1.0, 1.0)
        assert admission.predict_s(make_request(), make_view(100)) == 1.0

    def test_lower_tier_waits_do_not_refuse_protected_work(self) -> None:
        admission = DeadlineAdmission()
        for _ in range(200):
            admission.observe_wait(1.0, 100.0)
        view = make_view(900)
        assert isinstance(admission.decide(make_request(), 0.0, view), Rejected)
        assert isinstance(admission.decide(make_request(protected=True), 0.0, view), Admitted)


class TestLogHistogram:
    """Guards against quantiles whose error exceeds the documented 10 %."""

    @given(st.lists(st.integers(1, 100_000), min_size=1, max_size=500), st.floats(0.01, 1.0))
    def test_quantile_error(self, values: list[int], quantile: float) -> None:
        histogram = LogHistogram()
        for value in values:
            histogram.add(value)
        exact = sorted(values)[math.ceil(quantile * len(values) - 1e-9) - 1]
        assert abs(histogram.quantile(quantile) - exact) <= 0.1 * exact


class TestQuantileLengthEstimator:
    """Guards against unbounded memory and against estimates from another customer's lengths.

    Each customer has a histogram of its own; the number of histograms is limited.
    """

    def test_customer_with_few_observations_falls_back_to_its_class(self) -> None:
        estimator = QuantileLengthEstimator()
        assert estimator.estimate("cls", "new", 0.5) == 200.0
        for _ in range(100):
            estimator.observe("cls", "long", 1000)
            estimator.observe("cls", "short", 10)
            estimator.observe("cls", "short", 10)
        assert 900 <= estimator.estimate("cls", "long", 0.5) <= 1100
        assert 9 <= estimator.estimate("cls", "short", 0.5) <= 11
        assert 9 <= estimator.estimate("cls", "new", 0.5) <= 11

    def test_memory_is_bounded_at_the_target_number_of_customers(self) -> None:
        estimator = QuantileLengthEstimator(max_customers=1000)
        for index in range(39_000):
            estimator.observe("cls", f"customer-{index}", 10)
        assert estimator.customers() == 1000

    def test_stated_maximum_limits_the_estimate(self) -> None:
        req = make_request()._replace(max_tokens=50)
        assert QuantileLengthEstimator().expected_tokens(req) == 50
