"""Tests of the limit beside which urgent streams stay on time."""

from cassiadrum.gateways.concurrency_limits import ConcurrencyLimit
from cassiadrum.gateways.stream_stats import EventGapAverage

SLOTS = 64
ALLOWED_S = 0.3
SHORT_S, LONG_S, FAULT_S = 0.1, 0.35, 2.0


class TestConcurrencyLimit:
    """Guards against a limit that lets urgent streams be late, or shuts other work out."""

    def cut(self, limit: ConcurrencyLimit, times: int, outstanding: int = 40) -> None:
        for number in range(times):
            limit.record_gap(LONG_S, ALLOWED_S, outstanding, float(number))

    def test_without_long_pauses_all_slots_are_used(self) -> None:
        assert ConcurrencyLimit().allows(SLOTS - 1, SLOTS)

    def test_long_pause_lowers_it_below_what_the_endpoint_held(self) -> None:
        limit = ConcurrencyLimit()
        self.cut(limit, 1, outstanding=40)
        assert not limit.allows(39, SLOTS)
        assert limit.allows(30, SLOTS)

    def test_pauses_of_one_moment_count_once(self) -> None:
        limit = ConcurrencyLimit()
        for _ in range(20):
            limit.record_gap(LONG_S, ALLOWED_S, 40, 1.0)
        assert limit.allows(30, SLOTS)

    def test_some_less_urgent_work_always_goes_on(self) -> None:
        limit = ConcurrencyLimit()
        self.cut(limit, 100)
        assert limit.allows(SLOTS // 8, SLOTS)

    def test_short_pauses_near_the_limit_raise_it(self) -> None:
        limit = ConcurrencyLimit()
        self.cut(limit, 1, outstanding=40)
        for number in range(100):
            limit.record_gap(SHORT_S, ALLOWED_S, 34, 1.0 + number * 0.1)
        assert limit.allows(40, SLOTS)

    def test_short_pauses_of_idle_endpoints_tell_nothing(self) -> None:
        limit = ConcurrencyLimit()
        self.cut(limit, 1, outstanding=40)
        for number in range(100):
            limit.record_gap(SHORT_S, ALLOWED_S, 3, 1.0 + number * 0.1)
        assert not limit.allows(36, SLOTS)

    def test_pause_of_a_fault_tells_nothing(self) -> None:
        limit = ConcurrencyLimit()
        limit.record_gap(FAULT_S, ALLOWED_S, 10, 0.0)
        assert limit.allows(40, SLOTS)

    def test_pause_beside_an_unknown_load_tells_nothing(self) -> None:
        limit = ConcurrencyLimit()
        limit.record_gap(LONG_S, ALLOWED_S, None, 0.0)
        assert limit.allows(40, SLOTS)


class TestPace:
    """Guards against an old pace that keeps work away from an endpoint that is idle now."""

    def test_average_follows_the_gaps(self) -> None:
        pace = EventGapAverage()
        for number in range(40):
            pace.update(0.1 if number < 20 else 0.3, number * 0.1)
        found = pace.gap_s(4.0)
        assert found is not None
        assert 0.28 < found < 0.3

    def test_old_gaps_say_nothing(self) -> None:
        pace = EventGapAverage()
        pace.update(0.1, 0.0)
        assert pace.gap_s(1.0) == 0.1
        assert pace.gap_s(10.0) is None
