"""Tests of once-only calls and configurations while the table service fails."""

import asyncio

import pytest

from cassiadrum.events import EventKind
from cassiadrum.standins import Faults
from cassiadrum.tests.harness import Answer, Direction, ProcessSite, call, until
from cassiadrum.tests.harness.faults import write_configuration
from cassiadrum.tests.integration.conftest import MakeSite, is_clean

pytestmark = pytest.mark.integration

PERMITS = "/services/permit-register/permits"
REGISTER = ("permit-register",)


async def issue(site: ProcessSite, key: str, entry: str = "entry-1") -> Answer:
    return await call(site.http(entry), "POST", PERMITS, {"idempotency-key": key}, b"{}")


def runs_of(site: ProcessSite, key: str) -> int:
    return sum(run["key"] == key for part in site.endpoints.values() for run in part.runs)


class TestOnceOnlyCalls:
    """Guards against a call that runs twice, or that is refused as not run after it ran."""

    async def test_claim_with_a_lost_answer_runs_once(self, make_site: MakeSite) -> None:
        site = await make_site(services=REGISTER)
        site.platform.table.set_faults(Faults(drop_answers=1))
        first = await issue(site, "permit-1")
        again = await issue(site, "permit-1", "entry-2")
        assert (first.status, again.status, again.body) == (201, 201, first.body)
        assert runs_of(site, "permit-1") == 1
        await is_clean(site)

    async def test_store_down_refuses_as_not_run(self, make_site: MakeSite) -> None:
        site = await make_site(services=REGISTER)
        with site.outage():
            site.platform.table.set_faults(Faults(down=True))
            refused = await issue(site, "permit-1")
            checked = await call(site.http(), "GET", f"{PERMITS}/1")
            site.platform.table.set_faults(Faults())
        assert (refused.status, refused.json["ran"]) == (503, "no")
        assert refused.json["reason"] == "store_unavailable"
        assert refused.header("retry-after")
        assert (checked.status, runs_of(site, "permit-1")) == (200, 0)

        async def issued() -> bool:
            return (await issue(site, "permit-1")).status == 201

        await until(issued, "the retry runs once the store is back")
        assert runs_of(site, "permit-1") == 1
        await is_clean(site)

    @pytest.mark.parametrize("way", Direction)
    async def test_silent_store_connection_never_runs_a_call_twice(
        self, make_site: MakeSite, way: Direction
    ) -> None:
        site = await make_site(services=REGISTER, hops=("table",), endpoints=1)
        assert (await issue(site, "permit-1")).status == 201
        site.proxies["table:permit-register-1"].silence(way)
        answers = [await issue(site, f"permit-{number}") for number in (2, 2, 3)]
        assert {answer.status for answer in answers} <= {201, 503}
        for number in (2, 3):
            assert runs_of(site, f"permit-{number}") <= 1
        assert answers[-1].status == 201, answers
        await is_clean(site)

    async def test_lost_answer_of_the_endpoint_is_unknown(self, make_site: MakeSite) -> None:
        site = await make_site(services=REGISTER)
        for part in site.endpoints.values():
            await call(part.address, "POST", "/faults", {}, b'{"drop_answers": 1}')
        first = await issue(site, "permit-1")
        again = await issue(site, "permit-1", "entry-2")
        assert (first.status, first.json["ran"]) == (502, "unknown")
        assert again.json["ran"] == "unknown"
        assert runs_of(site, "permit-1") == 1
        await is_clean(site)

    async def test_killed_sidecar_leaves_the_outcome_unknown(self, make_site: MakeSite) -> None:
        site = await make_site(services=REGISTER, endpoints=2)
        for part in site.endpoints.values():
            await call(part.address, "POST", "/faults", {}, b'{"service_s": 3.0}')
        first = asyncio.create_task(issue(site, "permit-1"))
        await until(lambda: runs_of(site, "permit-1") == 1, "the call runs")
        await until(lambda: bool(site.events(EventKind.CLAIM_MADE)), "the claim is recorded")
        (claimed,) = site.events(EventKind.CLAIM_MADE)
        await site.kill(claimed.instance)
        again = await issue(site, "permit-1", "entry-2")
        assert (again.status, again.json["ran"]) == (409, "unknown")
        lost = await first
        assert (lost.status, lost.json["ran"]) == (502, "unknown")
        assert runs_of(site, "permit-1") == 1
        await is_clean(site)


class TestConfigurations:
    """Guards against two accepted texts for one version, and against versions that go back."""

    async def test_two_operators_at_once(self, make_site: MakeSite) -> None:
        site = await make_site(services=REGISTER)
        writes = (write_configuration(site, name, REGISTER[0]) for name in site.entries)
        assert sorted(await asyncio.gather(*writes)) == ["accepted", "conflict"]
        await until(lambda: in_force(site, 2), "version 2 in force everywhere")
        await is_clean(site)

    async def test_lost_answer_is_resolved(self, make_site: MakeSite) -> None:
        site = await make_site(services=REGISTER)
        site.platform.table.set_faults(Faults(drop_answers=1))
        assert await write_configuration(site, "entry-1", REGISTER[0]) == "accepted"
        await until(lambda: in_force(site, 2), "version 2 in force everywhere")
        await is_clean(site)

    async def test_store_down_accepts_nothing(self, make_site: MakeSite) -> None:
        site = await make_site(services=REGISTER)
        with site.outage():
            site.platform.table.set_faults(Faults(down=True))
            assert await write_configuration(site, "entry-1", REGISTER[0]) == "not_accepted"
            site.platform.table.set_faults(Faults())
        assert await in_force(site, 1)
        await is_clean(site)

    async def test_restart_during_an_outage_takes_the_peers_version(
        self, make_site: MakeSite
    ) -> None:
        site = await make_site(services=REGISTER, hops=("link",))
        assert await write_configuration(site, "entry-1", REGISTER[0]) == "accepted"
        await until(lambda: in_force(site, 2), "version 2 in force everywhere")
        with site.outage():
            site.platform.table.set_faults(Faults(down=True))
            await site.kill("permit-register-1")
            await site.launch("permit-register-1")
            await until(lambda: in_force(site, 2), "the peers' version at the restarted process")
            site.platform.table.set_faults(Faults())
        await is_clean(site)


async def in_force(site: ProcessSite, version: int) -> bool:
    """Tell whether every process has exactly this version of the register's document."""
    statuses = [await site.status(name) for name in (*site.entries, *site.sidecars())]
    return all(status["versions"].get(REGISTER[0]) == version for status in statuses)
