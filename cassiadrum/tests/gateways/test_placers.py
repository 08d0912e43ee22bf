"""Tests of the waiting of requests for an endpoint."""

import asyncio
import time

import pytest

from cassiadrum.gateways import Gateway, GatewaySettings
from cassiadrum.gateways.answer_heads import LoadSample
from cassiadrum.gateways.endpoint_directories import EndpointDirectory
from cassiadrum.gateways.endpoint_pools import EndpointPool
from cassiadrum.gateways.endpoint_views import EndpointView
from cassiadrum.gateways.errors import Refused
from cassiadrum.gateways.load_probers import LoadProber
from cassiadrum.gateways.placements import Demand, Placement
from cassiadrum.gateways.placers import Placer
from cassiadrum.gateways.tickets import Ticket
from cassiadrum.platform.call_codecs import PlatformProtocol
from cassiadrum.tests.gateways.makers import (
    CACHE_TOKENS,
    make_call,
    make_catalog,
    make_entry,
    make_prompt,
    make_route,
)


def make_placer(directory: EndpointDirectory) -> Placer:
    def make_prober(on_sample: object) -> LoadProber:
        return LoadProber(EndpointPool(), PlatformProtocol(), time.monotonic, lambda service: None)

    return Placer(directory, Placement("a"), make_prober, time.monotonic)


def make_directory(slots: int) -> EndpointDirectory:
    directory = empty_directory()
    directory.replace([make_entry("i-0", slots=slots)], time.monotonic())
    return directory


def empty_directory() -> EndpointDirectory:
    return EndpointDirectory(
        lambda entry: EndpointView(entry, CACHE_TOKENS), lambda incarnation: None, 2.0
    )


def make_ticket(request_id: str) -> Ticket:
    ticket = Ticket(make_call(request_id), time.monotonic())
    ticket.resolve(make_route(), None, "drafts")
    return ticket


class TestPlacer:
    """Guards against a request that is refused while its endpoint has room."""

    async def test_requests_with_the_same_id_wait_apart(self) -> None:
        """A caller that repeats a request sends its id again while the first one still waits."""
        directory = make_directory(slots=1)
        placer = make_placer(directory)
        first = await placer.place(make_ticket("other"))
        tasks = [asyncio.create_task(placer.place(make_ticket("same"))) for _ in range(3)]
        await asyncio.sleep(0)
        assert placer.waiting("drafts") == 3
        placed = first
        for number in range(3):
            placed.view.answered(placed.prefill_tokens, None, time.monotonic())
            placed.view.end()
            placer.pump("drafts")
            async with asyncio.timeout(1.0):
                done, _ = await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
            assert len(done) == 1
            placed = done.pop().result()
            tasks = [task for task in tasks if not task.done()]
            assert placer.waiting("drafts") == 2 - number

    async def test_end_of_one_keeps_the_other(self) -> None:
        """A repeated request must not lose its place when the first one's caller has left."""
        directory = make_directory(slots=1)
        placer = make_placer(directory)
        placed = await placer.place(make_ticket("other"))
        left, stays = (asyncio.create_task(placer.place(make_ticket("same"))) for _ in range(2))
        await asyncio.sleep(0)
        left.cancel()
        await asyncio.wait([left])
        placed.view.answered(placed.prefill_tokens, None, time.monotonic())
        placed.view.end()
        placer.pump("drafts")
        async with asyncio.timeout(1.0):
            assert (await stays).view is placed.view


class TestWaiting:
    """Guards against a request that is held long after it could be answered on time."""

    async def test_late_request_is_refused_at_its_target(self) -> None:
        """Replays scale-2 of the further deployment, where waiting took a third of the limit."""
        placer = make_placer(make_directory(slots=1))
        await placer.place(make_ticket("other"))
        ticket = Ticket(make_call("late"), time.monotonic())
        ticket.resolve(make_route(target_s=0.2, timeout_s=5.0), None, "drafts")
        started_s = time.monotonic()
        with pytest.raises(Refused, match="overloaded"):
            await placer.place(ticket)
        assert 0.2 <= time.monotonic() - started_s < 1.0

    async def test_request_with_little_time_keeps_some_to_come_back(self) -> None:
        placer = make_placer(make_directory(slots=1))
        await placer.place(make_ticket("other"))
        ticket = Ticket(make_call("short"), time.monotonic())
        ticket.resolve(make_route(target_s=0.5, timeout_s=0.5), None, "drafts")
        started_s = time.monotonic()
        with pytest.raises(Refused, match="overloaded"):
            await placer.place(ticket)
        assert time.monotonic() - started_s < 0.4


class TestHotParts:
    """Guards against a refusal for want of room while less urgent requests are given some.

    Replays quiet-1 of the grown Collective: 12 of 82 requests waited for the busy holder of one
    part until their target and were refused, while larger ones of a lower class began elsewhere.
    """

    @staticmethod
    def make_long_ticket(
        request_id: str, part: str, *, has_less_urgent: bool = True, **route: object
    ) -> Ticket:
        call = make_call(request_id, make_prompt(part, len(request_id)))
        ticket = Ticket(call, time.monotonic())
        ticket.resolve(make_route(**{"target_s": 1.0, "timeout_s": 0.5, **route}), None, "drafts")
        ticket.has_less_urgent = has_less_urgent
        return ticket

    def make_busy_holder(self, part: str) -> tuple[Placer, EndpointDirectory, EndpointView]:
        """Return a site whose holder of the part has a long backlog; the others are idle."""
        directory = empty_directory()
        now = time.monotonic()
        directory.replace([make_entry(f"i-{n}", slots=64) for n in range(4)], now)
        placer = make_placer(directory)
        views = directory.usable("drafts")
        demand = Demand(make_call("r", make_prompt(part, 0)), 1, 200.0)
        holder = Placement("a").choose(demand, views, now).view
        assert holder is not None
        for view in views:
            waiting = 40 if view is holder else 0
            view.take_sample(LoadSample(0, waiting, 64), now)
        return placer, directory, holder

    async def test_request_goes_elsewhere_before_it_is_refused(self) -> None:
        placer, _, holder = self.make_busy_holder("hot")
        started_s = time.monotonic()
        first, second = await asyncio.gather(
            placer.place(self.make_long_ticket("first", "hot")),
            placer.place(self.make_long_ticket("second", "hot")),
        )
        assert first.view is not holder
        # It waits for the holder first, since reading the part again takes time from all others.
        assert time.monotonic() - started_s >= 0.35 * 0.5
        # A part gets one further holder and not one for each request.
        assert second.view is first.view

    async def test_least_urgent_request_reads_no_part_again(self) -> None:
        placer, _, _ = self.make_busy_holder("hot")
        with pytest.raises(Refused, match="overloaded"):
            await placer.place(self.make_long_ticket("least", "hot", has_less_urgent=False))

    async def test_request_is_refused_where_no_endpoint_has_room(self) -> None:
        placer, directory, _ = self.make_busy_holder("hot")
        for view in directory.usable("drafts"):
            view.take_sample(LoadSample(0, 40, 64), time.monotonic())
        with pytest.raises(Refused, match="overloaded"):
            await placer.place(self.make_long_ticket("none", "hot"))

    async def test_new_request_does_not_take_the_room_of_one_that_waits(self) -> None:
        """A load report made room, but nothing has placed the waiting requests yet."""
        placer, directory, holder = self.make_busy_holder("hot")
        for view in directory.usable("drafts"):
            view.take_sample(LoadSample(0, 40, 64), time.monotonic())
        urgent = self.make_long_ticket("urgent", "hot", priority=1, timeout_s=2.0)
        waiting = asyncio.create_task(placer.place(urgent))
        await asyncio.sleep(0)
        holder.take_sample(LoadSample(0, 1, 64), time.monotonic())
        later = asyncio.create_task(
            placer.place(self.make_long_ticket("later", "hot", priority=3, timeout_s=2.0))
        )
        done, _ = await asyncio.wait((waiting, later), return_when=asyncio.FIRST_COMPLETED)
        assert done == {waiting}
        later.cancel()


class TestUnknownEndpoints:
    """Guards against refusals of a new process that has not read the endpoints yet.

    The soak's seeds 409 and 433 found it: the store came back, the configuration was read first.
    """

    async def test_request_waits_for_the_list(self) -> None:
        directory = empty_directory()
        placer = make_placer(directory)
        task = asyncio.create_task(placer.place(make_ticket("early")))
        await asyncio.sleep(0)
        directory.replace([make_entry("i-0")], time.monotonic())
        placer.pump("drafts")
        async with asyncio.timeout(1.0):
            assert (await task).view.entry.instance == "i-0"

    async def test_empty_list_refuses_at_once(self) -> None:
        directory = empty_directory()
        directory.replace([], time.monotonic())
        with pytest.raises(Refused, match="no_endpoint"):
            await make_placer(directory).place(make_ticket("none"))

    def test_gateway_is_not_ready_without_it(self) -> None:
        cfg = GatewaySettings("a", 0.2, 1.0, 10.0, 4.75, True, 2.0)
        gateway = Gateway(cfg, PlatformProtocol(), lambda: 1.0, lambda: 1.0)
        gateway.set_catalog(make_catalog())
        gateway.confirmation.answered(1.0, 1.0, 1.0)
        assert gateway.confirmed
        assert not gateway.ready
        gateway.directory.replace([], 1.0)
        assert gateway.ready
