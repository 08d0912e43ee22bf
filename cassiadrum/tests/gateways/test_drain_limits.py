"""Tests of the time that a stopping gateway grants to requests."""

import asyncio
import time
from collections.abc import Callable

import pytest

from cassiadrum.gateways import CallKind
from cassiadrum.gateways.answer_durations import WINDOW_S, AnswerDurations
from cassiadrum.gateways.drain_limits import DrainLimit
from cassiadrum.gateways.errors import Refused
from cassiadrum.gateways.request_contexts import RequestContext
from cassiadrum.gateways.request_drains import DrainResult, RequestDrain
from cassiadrum.protocols import Exchange
from cassiadrum.tests.gateways.makers import make_call, make_route

# After the end of the grace time in all tests, unless a test sets another one.
TIMEOUT_S = 60.0


class StubExchange(Exchange):
    """An exchange without a connection."""

    def __init__(self) -> None:
        self.started = False


def make_context(
    received_s: float = 0.0, tokens: int = 100, timeout_s: float = TIMEOUT_S
) -> RequestContext:
    call = make_call()._replace(timeout_s=timeout_s, max_output_tokens=tokens)
    ctx = RequestContext(call, received_s)
    ctx.resolve(make_route(kind=CallKind.ONCE, timeout_s=timeout_s), None, "drafts")
    return ctx


def record_answer(limit: DrainLimit, duration_s: float, now: float, tokens: int = 100) -> None:
    ctx = make_context(now - duration_s, tokens)
    ctx.sent_s = now - duration_s
    limit.record_end(ctx, now)


class TestAnswerDurations:
    """Guards against an estimate that is shorter than the answers of a route have been."""

    def test_longest_answer_counts(self) -> None:
        durations = AnswerDurations()
        for duration_s in (0.2, 3.0, 0.1):
            durations.record("a", 100, duration_s, 10.0)
        assert durations.longest_s("a", 100, 10.0) == 3.0

    def test_answer_counts_for_a_whole_window(self) -> None:
        durations = AnswerDurations()
        durations.record("a", 100, 3.0, 0.0)
        for number in range(1, 10):
            durations.record("a", 100, 0.1, number * WINDOW_S / 10)
        assert durations.longest_s("a", 100, WINDOW_S) == 3.0
        durations.record("a", 100, 0.1, 1.5 * WINDOW_S)
        assert durations.longest_s("a", 100, 2.1 * WINDOW_S) == 0.1

    def test_nothing_is_known_long_after_the_last_answer(self) -> None:
        durations = AnswerDurations()
        durations.record("a", 100, 3.0, 0.0)
        assert durations.longest_s("a", 100, 3 * WINDOW_S) is None

    def test_smaller_answers_say_nothing(self) -> None:
        durations = AnswerDurations()
        durations.record("a", 100, 0.5, 0.0)
        durations.record("a", 1000, 4.0, 0.0)
        assert durations.longest_s("a", 100, 0.0) == 0.5
        assert durations.longest_s("a", 300, 0.0) == 4.0
        assert durations.longest_s("a", 2000, 0.0) is None
        assert durations.longest_s("b", 100, 0.0) is None


class TestDrainLimit:
    """Guards against sending a request that cannot be answered before the grace time ends.

    Without a known answer the route's timeout counts, so that the first request of a slow route
    is not sent either. A request that reaches its deadline in time gets its answer then.
    """

    def test_nothing_is_limited_before_the_stop(self) -> None:
        assert DrainLimit().latest_send_s(make_context(), 0.0) == float("inf")

    def test_unknown_route_counts_with_its_timeout(self) -> None:
        limit = DrainLimit()
        limit.end_s = 50.0
        assert limit.latest_send_s(make_context(), 0.0) == 50.0 - TIMEOUT_S

    @pytest.mark.parametrize("duration_s", [0.01, 0.5, 3.0])
    def test_time_for_the_longest_recent_answer_is_left(self, duration_s: float) -> None:
        limit = DrainLimit()
        record_answer(limit, duration_s, now=10.0)
        limit.end_s = 20.0
        left_s = limit.end_s - limit.latest_send_s(make_context(10.0), 10.0)
        assert 1.5 * duration_s + 0.1 < left_s < 3.0 * duration_s + 1.0

    def test_estimate_is_at_most_the_timeout(self) -> None:
        limit = DrainLimit()
        record_answer(limit, TIMEOUT_S, now=100.0)
        limit.end_s = 150.0
        assert limit.latest_send_s(make_context(100.0), 100.0) == 150.0 - TIMEOUT_S

    def test_request_with_an_earlier_deadline_is_not_limited(self) -> None:
        limit = DrainLimit()
        limit.end_s = 5.0
        assert not limit.limits(make_context(timeout_s=4.0))
        assert limit.latest_send_s(make_context(timeout_s=4.0), 0.0) == float("inf")
        assert limit.limits(make_context(timeout_s=5.0))

    def test_request_that_was_never_sent_is_no_answer(self) -> None:
        limit = DrainLimit()
        limit.record_end(make_context(), 0.01)
        limit.end_s = 5.0
        assert limit.latest_send_s(make_context(), 0.01) == 5.0 - TIMEOUT_S


class TestRequestDrain:
    """Guards against requests that wait or run on although the grace time no longer suffices."""

    async def wait_in_queue(self, drain: RequestDrain, begin: Callable[[], None]) -> None:
        """Wait without end for an endpoint, and call `begin` meanwhile."""
        ctx = make_context(time.monotonic())
        async with drain.running(ctx, StubExchange()), drain.waiting(ctx):
            asyncio.get_running_loop().call_soon(begin)
            await asyncio.Event().wait()

    async def test_queued_request_is_refused_before_the_end(self) -> None:
        """The grace time suffices for the request when the stop begins."""
        drain = RequestDrain(time.monotonic)
        record_answer(drain.limit, 1.0, now=time.monotonic())
        with pytest.raises(Refused, match="draining"):
            await self.wait_in_queue(drain, lambda: drain.begin(time.monotonic() + 2.5))
        assert time.monotonic() < drain.limit.end_s - 1.0

    async def test_request_that_arrives_too_late_does_not_wait(self) -> None:
        drain = RequestDrain(time.monotonic)
        drain.begin(time.monotonic() + 5.0)
        with pytest.raises(Refused, match="draining"):
            async with asyncio.timeout(1.0):
                await self.wait_in_queue(drain, lambda: None)

    async def test_running_request_ends_with_the_grace_time(self) -> None:
        drain = RequestDrain(time.monotonic)
        ctx = make_context(time.monotonic())
        with pytest.raises(TimeoutError):
            async with drain.running(ctx, StubExchange()):
                drain.begin(time.monotonic() + 0.05)
                await asyncio.Event().wait()
        assert drain.limit.limits(ctx)

    async def test_started_stream_may_resume_until_the_end(self) -> None:
        """Guards against breaking off a stream that another endpoint could have continued."""
        drain, exchange = RequestDrain(time.monotonic), StubExchange()
        ctx = make_context(time.monotonic())
        async with drain.running(ctx, exchange):
            drain.begin(time.monotonic() + 5.0)
            assert not drain.has_time(ctx)
            exchange.started = True
            assert drain.has_time(ctx)

    async def test_later_begin_does_not_extend_the_stop(self) -> None:
        drain = RequestDrain(time.monotonic)
        drain.begin(5.0)
        drain.begin(9.0)
        assert drain.limit.end_s == 5.0

    async def test_totals_name_every_result(self) -> None:
        drain = RequestDrain(time.monotonic)
        drain.count(make_context(), DrainResult.REFUSED)
        drain.count(make_context(), DrainResult.REFUSED)
        assert drain.totals() == {"refused": 2, "failed": 0, "broken_off": 0}
