"""Tests of retry budget, queue, prompt cache, directory, confirmation, events and catalog."""

import pytest

from cassiadrum.gateways.call_queues import CallQueue
from cassiadrum.gateways.calls import PromptPart
from cassiadrum.gateways.catalogs import Share, choose_service
from cassiadrum.gateways.confirmations import Confirmation
from cassiadrum.gateways.endpoint_directories import EndpointDirectory
from cassiadrum.gateways.endpoint_entries import Incarnation
from cassiadrum.gateways.endpoint_views import EndpointView
from cassiadrum.gateways.errors import AttemptFailed
from cassiadrum.gateways.event_sequences import EventSequence
from cassiadrum.gateways.prompt_cache_estimates import PromptCacheEstimate
from cassiadrum.gateways.retry_budgets import RetryBudget
from cassiadrum.tests.gateways.makers import make_catalog, make_entry, make_route


class TestRetryBudget:
    """Guards against more retries than the deployment permits in any window.

    Each gateway counts only its own requests, so the bound must hold for the sum over gateways.
    """

    def test_sum_over_gateways_stays_within_the_bound(self) -> None:
        ratio, slack, window_s = 0.2, 58.0, 10.0
        budgets = [RetryBudget(ratio, lambda: slack / 32, window_s) for _ in range(6)]
        requests: list[float] = []
        retries: list[float] = []
        for step in range(4000):
            now = step * 0.01
            budget = budgets[step % 6]
            budget.record_request(now)
            requests.append(now)
            if budget.try_spend(now):
                retries.append(now)
        for start_s in range(0, 30):
            in_window = [t for t in retries if start_s <= t < start_s + window_s]
            first = [t for t in requests if start_s <= t < start_s + window_s]
            assert len(in_window) <= ratio * len(first) + slack

    def test_first_failure_may_be_retried_at_once(self) -> None:
        budget = RetryBudget(0.2, lambda: 1.8, 10.0)
        budget.record_request(0.0)
        assert budget.try_spend(0.0)

    def test_old_requests_permit_nothing(self) -> None:
        budget = RetryBudget(1.0, lambda: 0.0, 10.0)
        budget.record_request(0.0)
        assert not budget.try_spend(10.5)


class TestCallQueue:
    """Guards against urgent requests that wait behind a burst of less urgent or overdue ones."""

    def test_priority_then_target(self) -> None:
        queue = CallQueue[str]()
        for number in range(50):
            queue.push(f"low-{number}", 2, 1.0)
        queue.push("late", 0, 9.0)
        queue.push("soon", 0, 2.0)
        assert queue.ordered(0.0)[:2] == ["soon", "late"]

    def test_overdue_requests_come_after_punctual_ones(self) -> None:
        queue = CallQueue[str]()
        queue.push("late", 1, 1.0)
        queue.push("in-time", 1, 3.0)
        assert queue.ordered(2.0) == ["in-time", "late"]

    def test_removed_request_is_not_listed(self) -> None:
        queue = CallQueue[str]()
        queue.push("a", 0, 1.0)
        queue.remove("a")
        assert not queue.ordered(0.0)
        assert not len(queue)


class TestPromptCacheEstimate:
    """Guards against counting on prompt parts that an endpoint has evicted from its KV cache."""

    def test_least_recently_used_part_is_evicted(self) -> None:
        cached = PromptCacheEstimate(250)
        first, second, third = (PromptPart(name, 100) for name in "abc")
        cached.add((first,))
        cached.add((second,))
        cached.add((first,))
        cached.add((third,))
        assert cached.matched_tokens((second,)) == 0
        assert cached.matched_tokens((first,)) == 100

    def test_part_matches_only_after_all_previous_parts(self) -> None:
        cached = PromptCacheEstimate(1000)
        first, second = PromptPart("a", 100), PromptPart("b", 50)
        cached.add((second,))
        assert cached.matched_tokens((first, second)) == 0


class TestEndpointDirectory:
    """Guards against requests to removed endpoints, and against losing live ones.

    During an outage of the store the registrations of live endpoints lapse, too.
    """

    def make(self) -> tuple[EndpointDirectory, list[Incarnation]]:
        removed: list[Incarnation] = []
        return EndpointDirectory(lambda e: EndpointView(e, 0), removed.append, 2.0), removed

    def test_removed_endpoint_gets_nothing_at_once(self) -> None:
        directory, removed = self.make()
        entry = make_entry("i-0")
        directory.put(entry)
        directory.remove("i-0", 1.0)
        assert not directory.usable("drafts")
        assert removed == [entry.incarnation]

    def test_leaving_endpoint_gets_nothing_after_an_outage(self) -> None:
        directory, _ = self.make()
        directory.put(make_entry("i-0"))
        directory.store_returned(1.0)
        directory.put(make_entry("i-0", leaving=True))
        assert not directory.usable("drafts")

    def test_entry_that_lapsed_in_an_outage_is_kept_for_the_grace_period(self) -> None:
        directory, _ = self.make()
        directory.put(make_entry("i-0"))
        directory.put(make_entry("i-1"))
        directory.store_returned(10.0)
        directory.replace([], 10.0)
        assert len(directory.usable("drafts")) == 2
        directory.put(make_entry("i-1"))
        assert directory.expire(12.1) == ["i-0"]
        assert [view.entry.instance for view in directory.usable("drafts")] == ["i-1"]

    def test_new_incarnation_starts_without_failures(self) -> None:
        directory, removed = self.make()
        directory.put(make_entry("i-0"))
        directory.usable("drafts")[0].record_failure(0.0)
        directory.put(make_entry("i-0", started_ms=2))
        assert directory.usable("drafts")[0].failures(0.0) == 0.0
        assert len(removed) == 1

    def test_changed_entry_keeps_failures(self) -> None:
        directory, removed = self.make()
        directory.put(make_entry("i-0"))
        directory.usable("drafts")[0].record_failure(0.0)
        directory.put(make_entry("i-0", cold_s=1.0))
        assert directory.usable("drafts")[0].failures(0.0) > 0.0
        assert not removed


class TestConfirmation:
    """Guards against serving keys that were revoked while the gateway got no answers.

    An answer of the store that was delayed, for example while the machine was suspended, does not
    confirm the keys at the time at which it is read.
    """

    def test_confirmation_without_an_answer_is_invalid(self) -> None:
        assert not Confirmation(4.0).valid(0.0)

    def test_delayed_answer_is_dated_by_the_clock_of_the_store(self) -> None:
        confirmation = Confirmation(4.0)
        confirmation.record_answer(100.0, 9.9, 10.0)
        # The machine was suspended for 6 s with this answer in the socket buffer.
        confirmation.record_answer(101.0, 10.0, 17.0)
        # 6 s, plus the 0.1 s round trip of the first call, which may all be its answer.
        assert confirmation.age_s(17.0) == pytest.approx(6.1)
        assert not confirmation.valid(17.0)

    def test_first_answer_is_dated_from_its_call(self) -> None:
        """The request or the answer may have been delayed; the age assumes the answer was."""
        confirmation = Confirmation(4.75)
        confirmation.record_answer(100.0, 10.0, 10.8)
        assert confirmation.age_s(10.8) == pytest.approx(0.8)
        confirmation.record_answer(101.0, 11.2, 11.21)
        assert confirmation.age_s(11.21) == pytest.approx(0.01)

    def test_store_clock_set_forward_gives_a_new_offset(self) -> None:
        confirmation = Confirmation(4.0)
        confirmation.record_answer(100.0, 9.9, 10.0)
        confirmation.record_answer(500.0, 19.9, 20.0)
        assert confirmation.age_s(20.0) == pytest.approx(0.1)

    def test_restarted_store_clock_gives_a_new_offset(self) -> None:
        confirmation = Confirmation(4.0)
        confirmation.record_answer(100.0, 9.9, 10.0)
        confirmation.record_answer(1.0, 19.9, 20.0)
        assert confirmation.age_s(20.0) == pytest.approx(0.1)


class TestEventSequence:
    """Guards against a stream with a missing, repeated or truncated event.

    Reads end at any byte, and a stream that is resumed at another endpoint may repeat or skip
    events.
    """

    def test_event_in_two_parts_is_passed_whole(self) -> None:
        events = EventSequence("")
        assert events.feed(b"id: 1\ndata: a\n\nid: 2\nda") == b"id: 1\ndata: a\n\n"
        assert events.feed(b"ta: b\n\n") == b"id: 2\ndata: b\n\n"
        assert events.last_id == "2"

    def test_resumed_stream_continues_after_the_last_whole_event(self) -> None:
        events = EventSequence("")
        events.feed(b"id: 1\ndata: a\n\nid: 2\nda")
        events.begin_attempt()
        assert events.feed(b"id: 2\ndata: b\n\n") == b"id: 2\ndata: b\n\n"

    @pytest.mark.parametrize("event", [b"id: 1\ndata: a\n\n", b"id: 3\ndata: c\n\n"])
    def test_gap_and_repetition_fail(self, event: bytes) -> None:
        events = EventSequence("")
        events.feed(b"id: 1\ndata: a\n\n")
        with pytest.raises(AttemptFailed):
            events.feed(event)

    def test_end_inside_an_event_fails(self) -> None:
        events = EventSequence("")
        events.feed(b"id: 1\nda")
        with pytest.raises(AttemptFailed):
            events.end()


class TestCatalog:
    """Guards against requests that are routed to a service other than the configured one."""

    def test_longest_prefix_wins(self) -> None:
        routes = make_route(prefix="/a/", name="short"), make_route(prefix="/a/b/", name="long")
        catalog = make_catalog(*routes)
        found = catalog.route("host.example", "/a/b/c")
        assert found is not None
        assert found.name == "long"
        assert catalog.route("host.example", "/ab") is None
        assert catalog.route("other.example", "/a/b/c") is None

    def test_shortest_gap_of_more_urgent_streams(self) -> None:
        """Guards against requests held back for streams that are not more urgent than they are."""
        routes = (
            make_route(prefix="/a/", priority=0, gap_s=0.3),
            make_route(prefix="/b/", priority=1, gap_s=0.1),
            make_route(prefix="/c/", priority=2, gap_s=0.05),
            make_route(prefix="/d/", priority=0, gap_s=0.01, shares=(Share("other", 1.0),)),
        )
        catalog = make_catalog(*routes)
        found = [catalog.more_urgent("drafts", priority) for priority in (0, 1, 2)]
        assert found == [(0, float("inf")), (1, 0.3), (2, 0.1)]

    def test_split_follows_the_weights_and_is_stable(self) -> None:
        route = make_route(shares=(Share("x", 90.0), Share("y", 10.0)))
        chosen = [choose_service(route, f"r{number}") for number in range(2000)]
        assert 0.06 < chosen.count("y") / 2000 < 0.14
        assert chosen == [choose_service(route, f"r{number}") for number in range(2000)]
