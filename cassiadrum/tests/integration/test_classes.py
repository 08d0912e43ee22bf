"""Tests of bursts, planned changes and the lease with real processes."""

import asyncio

import pytest

from cassiadrum.events import Event, EventKind
from cassiadrum.links.messages import Order, OrderResult
from cassiadrum.standins import answer_tokens
from cassiadrum.tests.harness import Direction, ProcessSite, RawLink, StreamCaller, call, until
from cassiadrum.tests.integration.conftest import LONG_PROMPT, MakeSite, assert_invariants_hold

pytestmark = pytest.mark.integration

EXPORT_COUNT = 120


def count_exports_ahead_of_checks(events: list[Event]) -> int:
    """Return how many exports one entry instance dispatched while a status check was queued."""
    waiting: set[str] = set()
    count = 0
    for event in events:
        if event.class_name == "status-check" and event.kind is EventKind.QUEUED:
            waiting.add(event.request_id)
        elif event.kind is EventKind.DISPATCHED:
            waiting.discard(event.request_id)
            count += bool(waiting) and event.class_name == "register-export"
    return count


class TestBursts:
    """Guards against protected requests that wait behind a lower tier's burst or are shed for it.

    The burst fills the queue of the entry instance, so that the order of dispatch and the choice
    of the requests to shed decide which requests are served.
    """

    async def test_burst_of_exports_does_not_delay_status_checks(
        self, make_site: MakeSite
    ) -> None:
        site = await make_site(services=("permit-register",), limits="queue_requests = 40")
        for endpoint in site.endpoints.values():
            await call(endpoint.address, "POST", "/faults", {}, b'{"service_s": 0.2}')
        prefix = "/services/permit-register"
        addresses = [site.http(name) for name in site.entries]
        exports = [
            asyncio.create_task(call(addresses[number % 2], "GET", f"{prefix}/export/{number}"))
            for number in range(EXPORT_COUNT)
        ]
        await until(
            lambda: len(site.events(EventKind.QUEUED)) > 20, "more than 20 queued requests"
        )
        checks = await asyncio.gather(
            *(call(addresses[n % 2], "GET", f"{prefix}/permits/{n}") for n in range(10))
        )
        answers = await asyncio.gather(*exports)
        assert [check.status for check in checks] == [200] * 10
        refused = [answer.json for answer in answers if answer.status != 200]
        assert {(problem["ran"], problem["reason"]) for problem in refused} <= {
            ("no", "overloaded"),
            ("no", "evicted"),
        }
        assert all(problem["retry_after_s"] > 0 for problem in refused)
        assert 0 < len(refused) < EXPORT_COUNT
        await assert_invariants_hold(site)
        assert [
            count_exports_ahead_of_checks(site.events(instance=name)) for name in site.entries
        ] == [0, 0]


class TestPlannedChanges:
    """Guards against requests cut off by a planned stop and new work for an endpoint that leaves.

    A process that gets SIGTERM drains: it finishes its requests while new ones go elsewhere.
    Faults during the drain and an address that changes at a restart may break this.
    """

    async def test_replacing_every_instance_loses_no_request(self, make_site: MakeSite) -> None:
        site = await make_site(step_s=0.01)
        async with site.load(rate_per_s=15.0, duration_s=8.0) as sender:
            for name in (*site.sidecars(), *site.entries):
                # The load sends only to the original entry instances, so these are replaced last.
                await site.replace(name, f"{name}-new")
        lost = [o for o in sender.outcomes if o.status not in (0, 200, 201)]
        assert all(outcome.ran == "no" for outcome in lost), lost
        assert all(outcome.complete for outcome in sender.outcomes if outcome.status == 200)
        await assert_invariants_hold(site, sender.outcomes)

    async def test_leaving_endpoint_gets_no_new_work(self, make_site: MakeSite) -> None:
        site = await make_site(services=("sprachdienst",), step_s=0.12)
        caller = StreamCaller.completion(site.http(), LONG_PROMPT)
        await until(lambda: bool(caller.request_id), "the head of the answer")
        leaving = caller.request_id.rpartition("@")[2]
        site.children[leaving].terminate()
        await until(
            lambda: bool(site.events(EventKind.DRAINING, leaving)), "the start of the drain"
        )
        # The stream takes 6 s, so requests also arrive after the limit of 3 s.
        later_callers: list[StreamCaller] = []
        while not caller.done:
            later_callers.append(
                StreamCaller.completion(site.http("entry-2"), f"{len(later_callers)}", 1)
            )
            await asyncio.sleep(0.2)
        answer = await caller.answer()
        assert await site.children[leaving].wait() == 0
        assert [(await other.answer()).status for other in later_callers] == [200] * len(
            later_callers
        )
        assert len(later_callers) > 20
        assert answer.body.count(b'"content"') == len(answer_tokens(LONG_PROMPT))
        (draining,) = site.events(EventKind.DRAINING, leaving)
        started = site.events(EventKind.STARTED, leaving)
        assert all(event.sequence < draining.sequence for event in started)
        await assert_invariants_hold(site)

    @pytest.mark.parametrize("victim", ["entry-1", "sprachdienst-1"])
    @pytest.mark.parametrize("during", ["link silent", "engine slow", "peer killed"])
    async def test_sigterm_during_a_fault(
        self, make_site: MakeSite, victim: str, during: str
    ) -> None:
        site = await make_site(
            services=("sprachdienst",),
            hops=("link",),
            step_s=0.03,
            edits=(("retry_budget = 0.1", "retry_budget = 1.0"),),
        )
        async with site.load(rate_per_s=8.0, duration_s=2.0) as sender:
            if during == "link silent":
                site.proxies["link:sprachdienst-1"].silence(Direction.TO_CLIENT)
            elif during == "engine slow":
                for endpoint in site.endpoints.values():
                    await call(endpoint.address, "POST", "/faults", {}, b'{"slow_factor": 4.0}')
            else:
                await site.kill("sprachdienst-2")
            await site.stop(victim)
        assert all(o.complete or o.ran for o in sender.outcomes if o.status == 200)
        await assert_invariants_hold(site, sender.outcomes)

    async def test_restarted_sidecar_is_found_at_its_new_address(
        self, make_site: MakeSite
    ) -> None:
        site = await make_site(services=("permit-register",), endpoints=1)
        await site.kill("permit-register-1")
        await site.launch("permit-register-1")
        await until(site.all_linked, "a link to the new address")
        await assert_invariants_hold(site)


class TestLeases:
    """Guards against two instances that both act as the holder of the lease.

    A holder that is paused past the end of its lease still takes itself for the holder when it
    resumes. Sidecars reject its orders, since the next holder has a higher fencing token.
    """

    async def test_paused_holder_loses_the_lease(self, make_site: MakeSite) -> None:
        site = await make_site(services=("sprachdienst",), endpoints=1)
        await until(lambda: bool(site.events(EventKind.LEASE_ACQUIRED)), "the first lease")
        first = site.events(EventKind.LEASE_ACQUIRED)[0].instance
        with site.outage(first):
            site.children[first].pause()
            await until(
                lambda: len(site.events(EventKind.LEASE_ACQUIRED)) == 2,
                "the lease of another instance",
            )
            site.children[first].resume()
        await until(
            lambda: bool(site.events(EventKind.LEASE_LOST, first)), "the loss of the first lease"
        )
        assert len({event.instance for event in site.events(EventKind.LEASE_ACQUIRED)}) == 2
        results = [await self.send_order(site, fencing) for fencing in (2, 1, 2)]
        assert [result.ok for result in results] == [True, False, True], results
        await assert_invariants_hold(site)

    @staticmethod
    async def send_order(site: ProcessSite, fencing: int) -> OrderResult:
        """Send an order with a fencing token to the sidecar and return its result."""
        link = await RawLink.open(site.children["sprachdienst-1"].ready["link"])
        await link.send(Order(f"order-{fencing}", "claims", fencing, "load_model", "m"))
        result = await link.receive(OrderResult)
        await link.close()
        return result
