"""Tests of once-only calls and configuration writes while the table service or a process fails."""

import asyncio

import pytest

from cassiadrum.events import EventKind
from cassiadrum.standins import Faults
from cassiadrum.tests.harness import Answer, Direction, ProcessSite, call, until
from cassiadrum.tests.harness.faults import write_configuration
from cassiadrum.tests.integration.conftest import MakeSite, assert_invariants_hold

pytestmark = pytest.mark.integration

PERMITS_PATH = "/services/permit-register/permits"
PERMIT_REGISTER = ("permit-register",)


async def issue_permit(site: ProcessSite, key: str, entry: str = "entry-1") -> Answer:
    return await call(site.http(entry), "POST", PERMITS_PATH, {"idempotency-key": key}, b"{}")


def count_runs(site: ProcessSite, key: str) -> int:
    return sum(run["key"] == key for endpoint in site.endpoints.values() for run in endpoint.runs)


class TestOnceOnlyCalls:
    """Guards against a once-only call that runs twice, or is reported as not run after it ran.

    A retry with the same key meets the claim of the first call. If the answer to a claim or to the
    call itself is lost, or its sidecar is killed, nobody can tell from the missing answer whether
    the write or the call took place.
    """

    async def test_claim_with_a_lost_answer_runs_once(self, make_site: MakeSite) -> None:
        site = await make_site(services=PERMIT_REGISTER)
        site.platform.table.set_faults(Faults(drop_answers=1))
        first = await issue_permit(site, "permit-1")
        again = await issue_permit(site, "permit-1", "entry-2")
        assert (first.status, again.status, again.body) == (201, 201, first.body)
        assert count_runs(site, "permit-1") == 1
        await assert_invariants_hold(site)

    async def test_unavailable_store_refuses_a_call_as_not_run(self, make_site: MakeSite) -> None:
        site = await make_site(services=PERMIT_REGISTER)
        with site.outage():
            site.platform.table.set_faults(Faults(down=True))
            refused = await issue_permit(site, "permit-1")
            checked = await call(site.http(), "GET", f"{PERMITS_PATH}/1")
            site.platform.table.set_faults(Faults())
        assert (refused.status, refused.json["ran"]) == (503, "no")
        assert refused.json["reason"] == "store_unavailable"
        assert refused.header("retry-after")
        assert (checked.status, count_runs(site, "permit-1")) == (200, 0)

        async def issued() -> bool:
            return (await issue_permit(site, "permit-1")).status == 201

        await until(issued, "a successful retry after the store is back")
        assert count_runs(site, "permit-1") == 1
        await assert_invariants_hold(site)

    @pytest.mark.parametrize("way", Direction)
    async def test_silent_store_connection_never_runs_a_call_twice(
        self, make_site: MakeSite, way: Direction
    ) -> None:
        site = await make_site(services=PERMIT_REGISTER, hops=("table",), endpoints=1)
        assert (await issue_permit(site, "permit-1")).status == 201
        site.proxies["table:permit-register-1"].silence(way)
        answers = [await issue_permit(site, f"permit-{number}") for number in (2, 2, 3)]
        assert {answer.status for answer in answers} <= {201, 503}
        for number in (2, 3):
            assert count_runs(site, f"permit-{number}") <= 1
        assert answers[-1].status == 201, answers
        await assert_invariants_hold(site)

    async def test_lost_answer_of_the_endpoint_is_unknown(self, make_site: MakeSite) -> None:
        site = await make_site(services=PERMIT_REGISTER)
        for endpoint in site.endpoints.values():
            await call(endpoint.address, "POST", "/faults", {}, b'{"drop_answers": 1}')
        first = await issue_permit(site, "permit-1")
        again = await issue_permit(site, "permit-1", "entry-2")
        assert (first.status, first.json["ran"]) == (502, "unknown")
        assert again.json["ran"] == "unknown"
        assert count_runs(site, "permit-1") == 1
        await assert_invariants_hold(site)

    async def test_killed_sidecar_leaves_the_outcome_unknown(self, make_site: MakeSite) -> None:
        site = await make_site(services=PERMIT_REGISTER, endpoints=2)
        for endpoint in site.endpoints.values():
            await call(endpoint.address, "POST", "/faults", {}, b'{"service_s": 3.0}')
        first = asyncio.create_task(issue_permit(site, "permit-1"))
        await until(
            lambda: count_runs(site, "permit-1") == 1, "the run of the call at the endpoint"
        )
        await until(lambda: bool(site.events(EventKind.CLAIM_MADE)), "the event of the claim")
        (claimed,) = site.events(EventKind.CLAIM_MADE)
        await site.kill(claimed.instance)
        again = await issue_permit(site, "permit-1", "entry-2")
        assert (again.status, again.json["ran"]) == (409, "unknown")
        lost = await first
        assert (lost.status, lost.json["ran"]) == (502, "unknown")
        assert count_runs(site, "permit-1") == 1
        await assert_invariants_hold(site)


class TestConfigurations:
    """Guards against two accepted documents with one version, and against versions that decrease.

    Two operators can write from the same version, and the answer to a write can be lost after the
    store applied it. A process that restarts while the store is down has to take the version of
    its peers.
    """

    async def test_one_of_two_concurrent_writes_is_accepted(self, make_site: MakeSite) -> None:
        site = await make_site(services=PERMIT_REGISTER)
        writes = (write_configuration(site, name, PERMIT_REGISTER[0]) for name in site.entries)
        assert sorted(await asyncio.gather(*writes)) == ["accepted", "conflict"]
        await until(lambda: is_version_in_force(site, 2), "version 2 in force everywhere")
        await assert_invariants_hold(site)

    async def test_write_with_a_lost_answer_is_resolved(self, make_site: MakeSite) -> None:
        site = await make_site(services=PERMIT_REGISTER)
        site.platform.table.set_faults(Faults(drop_answers=1))
        assert await write_configuration(site, "entry-1", PERMIT_REGISTER[0]) == "accepted"
        await until(lambda: is_version_in_force(site, 2), "version 2 in force everywhere")
        await assert_invariants_hold(site)

    async def test_unavailable_store_accepts_no_write(self, make_site: MakeSite) -> None:
        site = await make_site(services=PERMIT_REGISTER)
        with site.outage():
            site.platform.table.set_faults(Faults(down=True))
            assert await write_configuration(site, "entry-1", PERMIT_REGISTER[0]) == "not_accepted"
            site.platform.table.set_faults(Faults())
        assert await is_version_in_force(site, 1)
        await assert_invariants_hold(site)

    async def test_restart_during_an_outage_adopts_the_version_of_its_peers(
        self, make_site: MakeSite
    ) -> None:
        site = await make_site(services=PERMIT_REGISTER, hops=("link",))
        assert await write_configuration(site, "entry-1", PERMIT_REGISTER[0]) == "accepted"
        await until(lambda: is_version_in_force(site, 2), "version 2 in force everywhere")
        with site.outage():
            site.platform.table.set_faults(Faults(down=True))
            await site.kill("permit-register-1")
            await site.launch("permit-register-1")
            await until(lambda: is_version_in_force(site, 2), "version 2 at the restarted process")
            site.platform.table.set_faults(Faults())
        await assert_invariants_hold(site)


async def is_version_in_force(site: ProcessSite, version: int) -> bool:
    """Return whether every process has exactly this version of the permit register's document."""
    statuses = [await site.status(name) for name in (*site.entries, *site.sidecars())]
    return all(status["versions"].get(PERMIT_REGISTER[0]) == version for status in statuses)
