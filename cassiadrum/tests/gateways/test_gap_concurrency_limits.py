"""Tests of the limit on less urgent requests beside urgent streams."""

from cassiadrum.gateways.gap_concurrency_limits import GapConcurrencyLimit
from cassiadrum.gateways.stream_stats import EventGapAverage

SLOTS = 64
ALLOWED_GAP_S = 0.3
SHORT_GAP_S, LONG_GAP_S, FAULT_GAP_S = 0.1, 0.35, 2.0


class TestGapConcurrencyLimit:
    """Guards against urgent streams that become late, and against starved less urgent work.

    Both follow from gaps between events that are misread: a long gap shows that the endpoint has
    too many requests, unless a fault caused it or the load is unknown; short gaps permit more
    requests only if the endpoint is near its limit.
    """

    def record_long_gaps(
        self, limit: GapConcurrencyLimit, times: int, outstanding: int = 40
    ) -> None:
        for number in range(times):
            limit.record_gap(LONG_GAP_S, ALLOWED_GAP_S, outstanding, float(number))

    def test_all_slots_are_allowed_without_long_gaps(self) -> None:
        assert GapConcurrencyLimit().allows(SLOTS - 1, SLOTS)

    def test_long_gap_lowers_the_limit_below_the_outstanding_requests(self) -> None:
        limit = GapConcurrencyLimit()
        self.record_long_gaps(limit, 1, outstanding=40)
        assert not limit.allows(39, SLOTS)
        assert limit.allows(30, SLOTS)

    def test_simultaneous_long_gaps_count_once(self) -> None:
        limit = GapConcurrencyLimit()
        for _ in range(20):
            limit.record_gap(LONG_GAP_S, ALLOWED_GAP_S, 40, 1.0)
        assert limit.allows(30, SLOTS)

    def test_limit_never_falls_below_an_eighth_of_the_slots(self) -> None:
        limit = GapConcurrencyLimit()
        self.record_long_gaps(limit, 100)
        assert limit.allows(SLOTS // 8, SLOTS)

    def test_short_gaps_near_the_limit_raise_it(self) -> None:
        limit = GapConcurrencyLimit()
        self.record_long_gaps(limit, 1, outstanding=40)
        for number in range(100):
            limit.record_gap(SHORT_GAP_S, ALLOWED_GAP_S, 34, 1.0 + number * 0.1)
        assert limit.allows(40, SLOTS)

    def test_short_gaps_of_an_idle_endpoint_are_ignored(self) -> None:
        limit = GapConcurrencyLimit()
        self.record_long_gaps(limit, 1, outstanding=40)
        for number in range(100):
            limit.record_gap(SHORT_GAP_S, ALLOWED_GAP_S, 3, 1.0 + number * 0.1)
        assert not limit.allows(36, SLOTS)

    def test_gap_caused_by_a_fault_is_ignored(self) -> None:
        limit = GapConcurrencyLimit()
        limit.record_gap(FAULT_GAP_S, ALLOWED_GAP_S, 10, 0.0)
        assert limit.allows(40, SLOTS)

    def test_gap_with_unknown_load_is_ignored(self) -> None:
        limit = GapConcurrencyLimit()
        limit.record_gap(LONG_GAP_S, ALLOWED_GAP_S, None, 0.0)
        assert limit.allows(40, SLOTS)


class TestEventGapAverage:
    """Guards against an outdated average that keeps work away from an idle endpoint."""

    def test_average_follows_the_gaps(self) -> None:
        average = EventGapAverage()
        for number in range(40):
            average.update(0.1 if number < 20 else 0.3, number * 0.1)
        found = average.gap_s(4.0)
        assert found is not None
        assert 0.28 < found < 0.3

    def test_old_gaps_are_discarded(self) -> None:
        average = EventGapAverage()
        average.update(0.1, 0.0)
        assert average.gap_s(1.0) == 0.1
        assert average.gap_s(10.0) is None
