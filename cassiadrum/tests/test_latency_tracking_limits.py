"""Tests of the concurrency limits."""

from hypothesis import given
from hypothesis import strategies as st

from cassiadrum.decisions import FixedLimit, LatencyTargets, LatencyTrackingLimit

TARGETS = LatencyTargets(1.0, 0.04)


class TestLatencyTrackingLimit:
    """Guards against a limit that ignores latency, exceeds its bounds or grows while unused.

    Such a limit overloads the engine, or admits a whole batch at once after a time of low load.
    """

    def observe_samples(
        self, limit: LatencyTrackingLimit, inter_token_s: float, running: int
    ) -> None:
        for _ in range(20):
            limit.observe(0.1, inter_token_s, running, 0.0)

    def test_grows_only_while_full_and_within_the_target(self) -> None:
        limit = LatencyTrackingLimit(TARGETS, maximum=8, initial=4)
        self.observe_samples(limit, 0.01, running=3)
        assert limit.limit == 4
        self.observe_samples(limit, 0.01, running=4)
        assert limit.limit == 5

    def test_one_slow_sample_in_twenty_is_within_the_target(self) -> None:
        limit = LatencyTrackingLimit(TARGETS, maximum=8, initial=4)
        limit.observe(9.0, 1.0, 4, 0.0)
        for _ in range(19):
            limit.observe(0.1, 0.01, 4, 0.0)
        assert limit.limit == 5

    def test_each_class_is_judged_by_its_own_target(self) -> None:
        slow = {"slow": LatencyTargets(60.0, 1.0)}
        limit = LatencyTrackingLimit(TARGETS, maximum=8, initial=4, targets=slow)
        for _ in range(20):
            limit.observe(20.0, 0.5, 4, 0.0, "slow")
        assert limit.limit == 5

    def test_converges_where_an_engine_meets_the_target(self) -> None:
        # Each stream in the batch adds 4 ms between tokens: 10 streams meet the 40 ms exactly.
        limit = LatencyTrackingLimit(TARGETS, maximum=64)
        limits = []
        for _ in range(200):
            self.observe_samples(limit, 0.004 * limit.limit, running=limit.limit)
            limits.append(limit.limit)
        assert 8 <= min(limits[100:]) <= max(limits[100:]) <= 10

    @given(st.lists(st.floats(0.0, 100.0), max_size=200), st.integers(1, 16))
    def test_stays_within_its_bounds(self, times_s: list[float], maximum: int) -> None:
        limit = LatencyTrackingLimit(TARGETS, maximum)
        for time_s in times_s:
            limit.observe(time_s, time_s / 10, limit.limit, 0.0)
            assert 1 <= limit.limit <= maximum

    def test_fixed_limit_is_at_least_one(self) -> None:
        assert FixedLimit(0).limit == 1
