"""Tests of the choice of an endpoint under different load patterns."""

from collections import Counter
from collections.abc import Collection

from cassiadrum.gateways.answer_heads import LoadSample
from cassiadrum.gateways.endpoint_views import EndpointView
from cassiadrum.gateways.placement_policies import Demand, PlacementPolicy
from cassiadrum.tests.gateways.makers import make_call, make_prompt, make_view

TARGET_MS = 2000.0


def make_views(count: int) -> list[EndpointView]:
    return [make_view(f"i-{number}") for number in range(count)]


def long_demand(part: str, number: int = 0, priority: int = 2) -> Demand:
    return Demand(make_call(prompt=make_prompt(part, number)), priority, TARGET_MS)


def short_demand(request_id: str = "r1", priority: int = 0) -> Demand:
    return Demand(make_call(request_id), priority, TARGET_MS)


def choose(
    demand: Demand, views: list[EndpointView], now: float, exclude: Collection[str] = ()
) -> EndpointView | None:
    """Return the endpoint that gets the request now, None if the request has to wait."""
    view, room = PlacementPolicy("a").choose(demand, views, now, exclude)
    return view if room else None


def choose_for_part(part: str, views: list[EndpointView]) -> EndpointView:
    view = choose(long_demand(part), views, 0)
    assert view is not None
    return view


class TestSharedPrompts:
    """Guards against repeated prefill of a shared prompt part at many endpoints.

    Each gateway chooses alone; they must agree, and must not move parts when endpoints are busy.
    """

    def test_gateways_choose_the_same_endpoint(self) -> None:
        chosen = set()
        for gateway in range(6):
            placement = PlacementPolicy("a" if gateway % 2 else "b")
            view, _ = placement.choose(long_demand("part", gateway), make_views(6), 0)
            assert view is not None
            chosen.add(view.entry.instance)
        assert len(chosen) == 1

    def test_parts_spread_over_endpoints(self) -> None:
        views = make_views(6)
        counts = Counter(
            choose_for_part(f"p{number}", views).entry.instance for number in range(120)
        )
        assert len(counts) == 6
        assert max(counts.values()) < 2.5 * 120 / 6

    def test_backlog_at_all_endpoints_moves_no_part(self) -> None:
        # Load pattern: all endpoints have a backlog. Prefill of a part that had moved delayed all
        # other requests, so more parts moved, until every part was read at every endpoint.
        views = make_views(6)
        first = choose_for_part("part", views)
        for view in views:
            view.record_first_bytes(0, LoadSample(5, 8, 64), 0.0)
            view.own_waiting = 0
        assert choose(long_demand("part", 1), views, 0.1) is None
        assert first.waiting(0.1) > 0

    def test_idle_endpoint_takes_no_part_from_a_busy_one(self) -> None:
        # Load pattern: many gateways, one idle endpoint. Each gateway moved parts to the endpoint
        # that looked idle to all of them, so parts were read at every endpoint.
        views = make_views(6)
        first = choose_for_part("part", views)
        for view in views:
            view.record_sample(LoadSample(0, 0, 8), 0.0)
        first.record_sample(LoadSample(4, 60, 64), 0.0)
        assert choose(long_demand("part", 1), views, 0.1) is None

    def test_full_endpoint_gets_nothing(self) -> None:
        view = make_view("i-0", slots=2)
        view.record_sample(LoadSample(2, 0, 2), 0.0)
        assert choose(short_demand(), [view], 0.1) is None

    def test_endpoint_that_reported_full_keeps_its_parts(self) -> None:
        views = make_views(6)
        first = choose_for_part("part", views)
        first.mark_full(0.0, 0.2)
        assert choose(long_demand("part", 1), views, 0.1) is None
        assert choose(long_demand("part", 1), views, 0.3) is first


class TestBurstOfLongPrompts:
    """Guards against urgent requests that wait behind the prefill of less urgent long prompts."""

    def test_backlog_admits_only_urgent_requests(self) -> None:
        view = make_view("i-0", slots=64)
        view.record_sample(LoadSample(5, 6, 64), 0.0)
        assert choose(long_demand("part", priority=2), [view], 0.1) is None
        assert choose(long_demand("part", priority=0), [view], 0.1) is view


class TestUrgentStreams:
    """Guards against urgent streams that are slowed by less urgent work at their endpoint.

    The protection must not hold back urgent requests or short prompts while long ones start.
    """

    def slow_view(self, gap_s: float) -> EndpointView:
        view = make_view("i-0", slots=64)
        view.record_event_gap(gap_s, 1.0, 0.0)
        return view

    def test_slow_endpoint_gets_no_less_urgent_work(self) -> None:
        demand = Demand(make_call(prompt=make_prompt("part", 1)), 2, TARGET_MS, 1, 0.3)
        assert choose(demand, [self.slow_view(0.25)], 0.1) is None
        assert choose(demand, [self.slow_view(0.05)], 0.1) is not None

    def test_slow_endpoint_still_gets_most_urgent_work(self) -> None:
        assert choose(short_demand(), [self.slow_view(0.25)], 0.1) is not None

    def test_most_urgent_request_is_not_held_back_by_waiting_prompts(self) -> None:
        # Load pattern: a backlog of long prompts at all engines. Urgent requests waited at the
        # gateway, although the engines would have served them first.
        view = make_view("i-0", slots=64)
        view.record_sample(LoadSample(20, 12, 64), 0.0)
        demand = Demand(make_call(prompt=make_prompt("part", 1)[1:]), 0, 400.0)
        assert choose(demand, [view], 0.1) is view

    def test_short_request_is_not_held_back_by_its_short_target(self) -> None:
        # Load pattern: a few prompts wait at the endpoint. The least urgent class was admitted
        # because of its long latency target, a more urgent class with a short target was not.
        view = make_view("i-0", slots=64)
        view.record_sample(LoadSample(20, 3, 64), 0.0)
        demand = Demand(make_call(prompt=make_prompt("part", 1)[1:]), 1, 600.0, 1, 0.3)
        assert choose(demand, [view], 0.1) is view

    def test_short_prompt_is_admitted_beside_slow_urgent_streams(self) -> None:
        # Load pattern: slow urgent streams. Short prompts were refused at their short target, and
        # long prompts, which can wait longer, got the capacity afterwards.
        demand = Demand(make_call(prompt=make_prompt("part", 1)[1:]), 1, 600.0, 1, 0.3)
        assert choose(demand, [self.slow_view(0.25)], 0.1) is not None

    def test_least_urgent_work_leaves_slots_for_more_urgent_work(self) -> None:
        view = make_view("i-0", slots=64)
        view.record_sample(LoadSample(60, 0, 64), 0.0)
        demand = Demand(make_call(prompt=make_prompt("part", 1)), 1, TARGET_MS, 1, 0.3)
        assert choose(demand, [view], 0.1) is view
        assert choose(demand._replace(priority=2, more_urgent_classes=2), [view], 0.1) is None

    def test_full_endpoint_gets_no_urgent_work(self) -> None:
        view = make_view("i-0", slots=4)
        view.record_sample(LoadSample(4, 0, 4), 0.0)
        assert choose(short_demand(), [view], 0.1) is None

    def test_faster_endpoint_is_chosen(self) -> None:
        prompt = make_prompt("part", 1)[1:]
        slow, quick = self.slow_view(0.25), make_view("i-1", slots=64)
        quick.record_event_gap(0.05, 1.0, 0.0)
        for number in range(10):
            demand = Demand(make_call(f"r{number}", prompt), 0, 400.0)
            assert choose(demand, [slow, quick], 0.1) is quick


class TestFailingEndpoints:
    """Guards against requests to endpoints that fail although their health checks succeed."""

    def test_recent_failures_move_work_away_until_they_expire(self) -> None:
        bad, good = make_view("i-0"), make_view("i-1")
        bad.record_failure(0.0)
        demands = [short_demand(f"r{number}") for number in range(20)]
        assert {choose(demand, [bad, good], 0.1) for demand in demands} == {good}
        found = {choose(demand, [bad, good], 30.0) for demand in demands}
        assert found == {bad, good}

    def test_unreachable_endpoint_is_used_where_it_is_the_only_one(self) -> None:
        view = make_view("i-0")
        view.record_unreachable(0.0)
        assert choose(short_demand(), [view], 0.1) is view

    def test_unreachable_endpoint_is_avoided_longer_each_time(self) -> None:
        view = make_view("i-0")
        view.record_unreachable(0.0)
        first_s = view.avoid_until_s
        view.record_unreachable(first_s)
        assert view.avoid_until_s - first_s > first_s
        view.record_success()
        view.record_unreachable(10.0)
        assert view.avoid_until_s - 10.0 == first_s

    def test_excluded_endpoint_gets_nothing(self) -> None:
        view = make_view("i-0")
        assert choose(short_demand(), [view], 0.0, {"i-0"}) is None


class TestEndpointView:
    """Guards against wrong counts of the requests at an endpoint between two load samples."""

    def test_own_requests_are_added_to_the_last_sample(self) -> None:
        view = make_view("i-0")
        view.record_start(0)
        view.record_first_bytes(0, LoadSample(5, 1, 8), 0.0)
        view.record_start(0)
        assert view.outstanding(0.1) == 7
        view.record_end()
        assert view.outstanding(0.1) == 6

    def test_old_sample_is_ignored(self) -> None:
        view = make_view("i-0")
        view.record_start(0)
        view.record_first_bytes(0, LoadSample(5, 1, 8), 0.0)
        assert view.outstanding(60.0) == 1
