"""Tests of the retries of a request whose endpoint is silent."""

import asyncio
import time
from typing import NamedTuple

import pytest

from cassiadrum.gateways.endpoint_directories import EndpointDirectory
from cassiadrum.gateways.fleets import SingleGateway
from cassiadrum.gateways.placement_queues import Assignment, PlacementQueue
from cassiadrum.gateways.request_contexts import RequestContext
from cassiadrum.gateways.request_retries import RequestRetries
from cassiadrum.gateways.retry_budgets import RetryBudget, RetryBudgets
from cassiadrum.gateways.silence_limits import SilenceLimit
from cassiadrum.settings.addresses import Address
from cassiadrum.tests.gateways.conftest import free_port
from cassiadrum.tests.gateways.makers import make_call, make_entry, make_route, make_view
from cassiadrum.tests.gateways.sites import wait_until
from cassiadrum.tests.gateways.test_placement_queues import make_empty_directory, make_queue

SERVICE = "drafts"


class Site(NamedTuple):
    """The silent endpoint i-0 and another one, with a retry budget."""

    directory: EndpointDirectory
    queue: PlacementQueue
    budgets: RetryBudgets

    @property
    def budget(self) -> RetryBudget:
        return self.budgets.for_service(SERVICE)

    @property
    def other_requests(self) -> int:
        """Return the number of requests at the other endpoint."""
        return self.directory.usable(SERVICE)[1].own_requests

    def retries_left(self) -> int:
        """Return the number of retries in the budget, which is spent."""
        count = 0
        while self.budget.try_spend(time.monotonic()):
            count += 1
        return count

    def send(self, request_id: str, **changes: object) -> "SentRequest":
        """Return a request that was sent to the silent endpoint."""
        ctx = RequestContext(make_call(request_id), time.monotonic())
        ctx.resolve(make_route(**changes), None, SERVICE)
        ctx.tried.add("i-0")
        ctx.sends = ctx.deliveries = 1
        ctx.may_have_run = True
        return SentRequest(ctx, RequestRetries(ctx, self.queue, self.budgets, time.monotonic))


class SentRequest(NamedTuple):
    """A request at the silent endpoint."""

    ctx: RequestContext
    retries: RequestRetries

    def deliver(self) -> Assignment:
        """Send the retry to its reserved place."""
        assignment = self.retries.take()
        assert assignment is not None
        self.ctx.sends += 1
        self.ctx.deliveries += 1
        return assignment


def make_site(*, slots: int, retries: int) -> Site:
    directory = make_empty_directory()
    entries = [make_entry("i-0", slots=64), make_entry("i-1", slots=slots)]
    directory.replace(entries, time.monotonic())
    # A single gateway retries once beyond the ratio.
    budgets = RetryBudgets(0.1, 1.0, 60.0, SingleGateway())
    for _ in range(10 * (retries - 1)):
        budgets.for_service(SERVICE).record_request(time.monotonic())
    return Site(directory, make_queue(directory), budgets)


class TestReservedRetries:
    """Guards against leaving a silent endpoint for a retry or a place that another request gets.

    All requests of the endpoint ask at the same time.
    """

    @pytest.mark.parametrize(("slots", "retries"), [(2, 5), (5, 2)])
    async def test_only_requests_with_a_retry_and_a_place_leave(
        self, slots: int, retries: int
    ) -> None:
        site = make_site(slots=slots, retries=retries)
        requests = [site.send(f"r-{number}") for number in range(8)]
        assert all(req.retries.is_possible() for req in requests)
        reserved = [req for req in requests if req.retries.try_reserve()]
        assert len(reserved) == site.other_requests == 2
        for req in reserved:
            assert req.deliver().view.entry.instance == "i-1"
        for req in requests:
            req.retries.close()
        assert site.retries_left() == retries - 2

    async def test_released_retry_gives_budget_and_place_back(self) -> None:
        site = make_site(slots=1, retries=1)
        req = site.send("r-1")
        assert req.retries.try_reserve()
        req.retries.release()
        assert site.other_requests == 0
        assert site.retries_left() == 1

    async def test_delivered_retry_counts_once(self) -> None:
        site = make_site(slots=4, retries=3)
        req = site.send("r-1")
        assert req.retries.try_reserve()
        assert req.retries.try_reserve()
        assert req.retries.try_spend()
        req.deliver()
        req.retries.release()
        req.retries.close()
        assert site.retries_left() == 2

    async def test_retry_that_reached_no_endpoint_is_returned(self) -> None:
        """Guards against a budget that is used up by retries that were refused here."""
        site = make_site(slots=4, retries=1)
        req = site.send("r-1")
        assert req.retries.try_spend()
        assert req.retries.take() is None
        req.retries.release()
        assert not site.budget.has_retry_left(time.monotonic())
        req.retries.close()
        assert site.retries_left() == 1

    async def test_request_waits_for_a_place_while_its_attempt_goes_on(self) -> None:
        site = make_site(slots=1, retries=3)
        first = site.send("r-1")
        assert first.retries.try_reserve()
        placed = first.deliver()
        second = site.send("r-2")
        assert not second.retries.try_reserve()
        await wait_until(lambda: site.queue.waiting_count(SERVICE) == 1)
        assert not second.retries.try_reserve()
        site.queue.cancel(placed)
        site.queue.place_waiting(SERVICE)
        await wait_until(second.retries.try_reserve)
        assert second.deliver().view is placed.view

    async def test_request_waits_again_before_its_cancelled_wait_has_ended(self) -> None:
        """Guards against a request that is removed from the queue by the end of its last wait."""
        site = make_site(slots=1, retries=3)
        first = site.send("r-1")
        assert first.retries.try_reserve()
        placed = first.deliver()
        second = site.send("r-2")
        assert not second.retries.try_reserve()
        await asyncio.sleep(0)
        second.retries.release()

        def free_place() -> None:
            site.queue.cancel(placed)
            site.queue.place_waiting(SERVICE)

        asyncio.get_running_loop().call_later(0.05, free_place)
        # Longer than the request may wait without a place.
        async with asyncio.timeout(3.0):
            assert (await site.queue.place(second.ctx)).view is placed.view
        assert site.other_requests == 1

    async def test_last_permitted_attempt_is_not_left(self) -> None:
        site = make_site(slots=4, retries=3)
        assert not site.send("r-1", max_attempts=1).retries.is_possible()


class TestSilenceLimitWithRetries:
    """Guards against a wait that ends although no other endpoint takes the request."""

    async def test_wait_continues_without_a_place(self) -> None:
        site = make_site(slots=0, retries=3)
        req = site.send("r-1")
        view = make_view("i-0")
        async with SilenceLimit(view, 0.02, 0.04, lambda: True, retries=req.retries):
            await asyncio.sleep(0.5)
        await wait_until(lambda: site.queue.waiting_count(SERVICE) == 0)

    async def test_wait_ends_with_a_reserved_place(self) -> None:
        site = make_site(slots=4, retries=3)
        req = site.send("r-1")
        with pytest.raises(TimeoutError):
            async with SilenceLimit(
                make_view("i-0"), 0.02, 0.04, lambda: True, retries=req.retries
            ):
                await asyncio.sleep(5.0)
        assert req.deliver().view.entry.instance == "i-1"

    async def test_unanswered_probe_does_not_end_the_wait_without_a_place(self) -> None:
        """Guards against an endpoint that is left after its probe, whatever the budget permits."""
        site = make_site(slots=4, retries=1)
        assert site.budget.try_spend(time.monotonic())
        req = site.send("r-1")
        # Nothing listens at the address, so that the probe fails.
        view = make_view("i-0", address=Address("127.0.0.1", free_port()))
        async with SilenceLimit(
            view, 0.02, 10.0, lambda: True, site.queue.prober, retries=req.retries
        ):
            await asyncio.sleep(0.5)
        assert site.other_requests == 0
