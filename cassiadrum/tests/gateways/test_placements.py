"""Tests of the choice of an endpoint, each under the load pattern that it answers."""

from collections import Counter

from cassiadrum.gateways.answer_heads import LoadSample
from cassiadrum.gateways.endpoint_views import EndpointView
from cassiadrum.gateways.placements import Placement
from cassiadrum.tests.gateways.makers import make_call, make_prompt, make_view


def views_of(count: int) -> list[EndpointView]:
    return [make_view(f"i-{number}") for number in range(count)]


class TestSharedPrompts:
    """Guards against a shared prompt part being read at many endpoints."""

    def test_gateways_agree_without_messages(self) -> None:
        chosen = set()
        for gateway in range(6):
            placement = Placement("a" if gateway % 2 else "b")
            view = placement.choose(make_call(prompt=make_prompt("part", gateway)), views_of(6), 0)
            assert view is not None
            chosen.add(view.entry.instance)
        assert len(chosen) == 1

    def test_parts_spread_over_endpoints(self) -> None:
        placement = Placement("a")
        views = views_of(6)
        counts = Counter(
            view.entry.instance
            for number in range(120)
            if (view := placement.choose(make_call(prompt=make_prompt(f"p{number}", 0)), views, 0))
        )
        assert len(counts) == 6
        assert max(counts.values()) < 2.5 * 120 / 6

    def test_overloaded_holder_passes_work_on(self) -> None:
        placement = Placement("a")
        views = views_of(6)
        first = placement.choose(make_call(prompt=make_prompt("part", 0)), views, 0)
        assert first is not None
        for _ in range(3):
            first.start(60_000)
        second = placement.choose(make_call(prompt=make_prompt("part", 1)), views, 0)
        assert second is not None
        assert second is not first

    def test_full_endpoint_gets_nothing(self) -> None:
        view = make_view("i-0", slots=2)
        view.answered(0, LoadSample(2, 0, 2), 0.0)
        assert Placement("a").choose(make_call(), [view], 0.1) is None


class TestFailingEndpoints:
    """Guards against work for endpoints that fail while their health is good."""

    def test_failures_move_work_away_and_age(self) -> None:
        placement = Placement("a")
        bad, good = make_view("i-0"), make_view("i-1")
        bad.failed(0.0)
        calls = [make_call(f"r{number}") for number in range(20)]
        assert {placement.choose(call, [bad, good], 0.1) for call in calls} == {good}
        assert {placement.choose(call, [bad, good], 30.0) for call in calls} == {bad, good}

    def test_unreachable_endpoint_is_used_where_it_is_the_only_one(self) -> None:
        view = make_view("i-0")
        view.unreachable(0.0)
        assert Placement("a").choose(make_call(), [view], 0.1) is view

    def test_unreachable_endpoint_pauses_longer_each_time(self) -> None:
        view = make_view("i-0")
        view.unreachable(0.0)
        first_s = view.avoid_until_s
        view.unreachable(first_s)
        assert view.avoid_until_s - first_s > first_s
        view.succeeded()
        view.unreachable(10.0)
        assert view.avoid_until_s - 10.0 == first_s

    def test_excluded_endpoint_gets_nothing(self) -> None:
        view = make_view("i-0")
        assert Placement("a").choose(make_call(), [view], 0.0, {"i-0"}) is None


class TestEndpointView:
    """Guards against wrong counts of the requests at an endpoint."""

    def test_sample_of_others_counts_with_own_changes(self) -> None:
        view = make_view("i-0")
        view.start(0)
        view.answered(0, LoadSample(5, 1, 8), 0.0)
        view.start(0)
        assert view.outstanding(0.1) == 7
        view.end()
        assert view.outstanding(0.1) == 6

    def test_old_sample_says_nothing(self) -> None:
        view = make_view("i-0")
        view.start(0)
        view.answered(0, LoadSample(5, 1, 8), 0.0)
        assert view.outstanding(60.0) == 1
