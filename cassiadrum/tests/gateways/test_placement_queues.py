"""Tests of the queue of requests that wait for an endpoint."""

import asyncio
import time

import pytest

from cassiadrum.gateways import Gateway, GatewaySettings
from cassiadrum.gateways.answer_heads import LoadSample
from cassiadrum.gateways.connection_pools import ConnectionPool
from cassiadrum.gateways.endpoint_directories import EndpointDirectory
from cassiadrum.gateways.endpoint_views import EndpointView
from cassiadrum.gateways.errors import Refused
from cassiadrum.gateways.load_probers import LoadProber
from cassiadrum.gateways.placement_policies import Demand, PlacementPolicy
from cassiadrum.gateways.placement_queues import PlacementQueue
from cassiadrum.gateways.request_contexts import RequestContext
from cassiadrum.platform.call_codecs import PlatformProtocol
from cassiadrum.tests.gateways.makers import (
    CACHE_TOKENS,
    make_call,
    make_catalog,
    make_entry,
    make_prompt,
    make_route,
)


def make_queue(directory: EndpointDirectory) -> PlacementQueue:
    def make_prober(on_sample: object) -> LoadProber:
        return LoadProber(
            ConnectionPool(), PlatformProtocol(), time.monotonic, lambda service: None
        )

    return PlacementQueue(directory, PlacementPolicy("a"), make_prober, time.monotonic)


def make_directory(slots: int) -> EndpointDirectory:
    directory = make_empty_directory()
    directory.replace([make_entry("i-0", slots=slots)], time.monotonic())
    return directory


def make_empty_directory() -> EndpointDirectory:
    return EndpointDirectory(
        lambda entry: EndpointView(entry, CACHE_TOKENS), lambda incarnation: None, 2.0
    )


def make_context(request_id: str) -> RequestContext:
    ctx = RequestContext(make_call(request_id), time.monotonic())
    ctx.resolve(make_route(), None, "drafts")
    return ctx


class TestPlacementQueue:
    """Guards against a request that loses its place in the queue to one with the same id.

    A caller that repeats a request sends the same id while the first one may still wait.
    """

    async def test_requests_with_the_same_id_wait_independently(self) -> None:
        """Guards against a queue that keeps only one of several requests with the same id."""
        directory = make_directory(slots=1)
        queue = make_queue(directory)
        first = await queue.place(make_context("other"))
        tasks = [asyncio.create_task(queue.place(make_context("same"))) for _ in range(3)]
        await asyncio.sleep(0)
        assert queue.waiting_count("drafts") == 3
        placed = first
        for number in range(3):
            placed.view.record_first_bytes(placed.prefill_tokens, None, time.monotonic())
            placed.view.record_end()
            queue.place_waiting("drafts")
            async with asyncio.timeout(1.0):
                done, _ = await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
            assert len(done) == 1
            placed = done.pop().result()
            tasks = [task for task in tasks if not task.done()]
            assert queue.waiting_count("drafts") == 2 - number

    async def test_cancelled_request_does_not_remove_another_with_its_id(self) -> None:
        """Guards against removing a repeated request when the caller of the first one leaves."""
        directory = make_directory(slots=1)
        queue = make_queue(directory)
        placed = await queue.place(make_context("other"))
        left, stays = (asyncio.create_task(queue.place(make_context("same"))) for _ in range(2))
        await asyncio.sleep(0)
        left.cancel()
        await asyncio.wait([left])
        placed.view.record_first_bytes(placed.prefill_tokens, None, time.monotonic())
        placed.view.record_end()
        queue.place_waiting("drafts")
        async with asyncio.timeout(1.0):
            assert (await stays).view is placed.view


class TestWaiting:
    """Guards against a request that waits long after it could still be answered on time."""

    async def test_request_is_refused_at_its_target(self) -> None:
        """Load pattern: a sustained overload, where requests waited a third of their timeout."""
        queue = make_queue(make_directory(slots=1))
        await queue.place(make_context("other"))
        ctx = RequestContext(make_call("late"), time.monotonic())
        ctx.resolve(make_route(target_s=0.2, timeout_s=5.0), None, "drafts")
        started_s = time.monotonic()
        with pytest.raises(Refused, match="overloaded"):
            await queue.place(ctx)
        assert 0.2 <= time.monotonic() - started_s < 1.0

    async def test_request_with_a_short_timeout_is_refused_before_it(self) -> None:
        queue = make_queue(make_directory(slots=1))
        await queue.place(make_context("other"))
        ctx = RequestContext(make_call("short"), time.monotonic())
        ctx.resolve(make_route(target_s=0.5, timeout_s=0.5), None, "drafts")
        started_s = time.monotonic()
        with pytest.raises(Refused, match="overloaded"):
            await queue.place(ctx)
        assert time.monotonic() - started_s < 0.4


class TestHotParts:
    """Guards against a refusal for lack of capacity while less urgent requests are admitted.

    Load pattern: low load with one popular prompt part. 12 of 82 requests waited for the busy
    endpoint that held the part until their target and were refused, while larger requests of a
    less urgent class started at other endpoints.
    """

    @staticmethod
    def make_long_context(
        request_id: str, part: str, *, has_less_urgent: bool = True, **route: object
    ) -> RequestContext:
        call = make_call(request_id, make_prompt(part, len(request_id)))
        ctx = RequestContext(call, time.monotonic())
        ctx.resolve(make_route(**{"target_s": 1.0, "timeout_s": 0.5, **route}), None, "drafts")
        ctx.has_less_urgent = has_less_urgent
        return ctx

    def make_busy_holder(
        self, part: str
    ) -> tuple[PlacementQueue, EndpointDirectory, EndpointView]:
        """Return a queue whose endpoint for the part has a long backlog; the others are idle."""
        directory = make_empty_directory()
        now = time.monotonic()
        directory.replace([make_entry(f"i-{n}", slots=64) for n in range(4)], now)
        queue = make_queue(directory)
        views = directory.usable("drafts")
        demand = Demand(make_call("r", make_prompt(part, 0)), 1, 200.0)
        holder = PlacementPolicy("a").choose(demand, views, now).view
        assert holder is not None
        for view in views:
            waiting = 40 if view is holder else 0
            view.record_sample(LoadSample(0, waiting, 64), now)
        return queue, directory, holder

    async def test_request_is_placed_elsewhere_before_it_is_refused(self) -> None:
        queue, _, holder = self.make_busy_holder("hot")
        started_s = time.monotonic()
        first, second = await asyncio.gather(
            queue.place(self.make_long_context("first", "hot")),
            queue.place(self.make_long_context("second", "hot")),
        )
        assert first.view is not holder
        # It first waits for the holder, since repeated prefill delays all other requests.
        assert time.monotonic() - started_s >= 0.35 * 0.5
        # The part gets one more holder, not one for each request.
        assert second.view is first.view

    async def test_least_urgent_request_repeats_no_prefill(self) -> None:
        queue, _, _ = self.make_busy_holder("hot")
        with pytest.raises(Refused, match="overloaded"):
            await queue.place(self.make_long_context("least", "hot", has_less_urgent=False))

    async def test_request_is_refused_if_no_endpoint_has_capacity(self) -> None:
        queue, directory, _ = self.make_busy_holder("hot")
        for view in directory.usable("drafts"):
            view.record_sample(LoadSample(0, 40, 64), time.monotonic())
        with pytest.raises(Refused, match="overloaded"):
            await queue.place(self.make_long_context("none", "hot"))

    async def test_new_request_does_not_overtake_a_waiting_one(self) -> None:
        """A load report shows capacity, but the waiting requests have not been placed yet."""
        queue, directory, holder = self.make_busy_holder("hot")
        for view in directory.usable("drafts"):
            view.record_sample(LoadSample(0, 40, 64), time.monotonic())
        urgent = self.make_long_context("urgent", "hot", priority=1, timeout_s=2.0)
        waiting = asyncio.create_task(queue.place(urgent))
        await asyncio.sleep(0)
        holder.record_sample(LoadSample(0, 1, 64), time.monotonic())
        later = asyncio.create_task(
            queue.place(self.make_long_context("later", "hot", priority=3, timeout_s=2.0))
        )
        done, _ = await asyncio.wait((waiting, later), return_when=asyncio.FIRST_COMPLETED)
        assert done == {waiting}
        later.cancel()


class TestUnknownEndpoints:
    """Guards against refusals by a new process that has not read the endpoints yet.

    The store returns after an outage, and the configuration is read before the endpoints; seeds
    409 and 433 of the soak reproduce it.
    """

    async def test_request_waits_for_the_endpoint_list(self) -> None:
        directory = make_empty_directory()
        queue = make_queue(directory)
        task = asyncio.create_task(queue.place(make_context("early")))
        await asyncio.sleep(0)
        directory.replace([make_entry("i-0")], time.monotonic())
        queue.place_waiting("drafts")
        async with asyncio.timeout(1.0):
            assert (await task).view.entry.instance == "i-0"

    async def test_request_is_refused_at_once_if_the_list_is_empty(self) -> None:
        directory = make_empty_directory()
        directory.replace([], time.monotonic())
        with pytest.raises(Refused, match="no_endpoint"):
            await make_queue(directory).place(make_context("none"))

    def test_gateway_is_not_ready_without_the_list(self) -> None:
        cfg = GatewaySettings("a", 0.2, 1.0, 10.0, 4.75, True, 2.0)
        gateway = Gateway(cfg, PlatformProtocol(), lambda: 1.0, lambda: 1.0)
        gateway.configuration.set_catalog(make_catalog())
        gateway.configuration.confirmation.record_answer(1.0, 1.0, 1.0)
        assert gateway.configuration.confirmed
        assert not gateway.ready
        gateway.directory.replace([], 1.0)
        assert gateway.ready
