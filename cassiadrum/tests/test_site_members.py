"""Tests of the membership within a whole site."""

import asyncio
from collections.abc import AsyncIterator, Callable
from pathlib import Path

import pytest

from cassiadrum.events import Event, EventKind
from cassiadrum.protocols import HttpClient
from cassiadrum.roles import Daemon
from cassiadrum.sites import LocalSite
from cassiadrum.standins import Faults
from cassiadrum.stores import HttpInstanceList, Instance

EXAMPLES = Path(__file__).parents[2] / "examples"
LIMIT_S = 15.0


def events(daemon: Daemon) -> list[Event]:
    return daemon.ring.read_after(0, daemon.ring.last_sequence)


async def wait_until(condition: Callable[[], bool]) -> None:
    async with asyncio.timeout(LIMIT_S):
        while not condition():  # noqa: ASYNC110 - the state is spread over several tasks
            await asyncio.sleep(0.02)


def has_event(daemon: Daemon, kind: EventKind, member: str) -> bool:
    return any(e.kind is kind and e.fields["member"] == member for e in events(daemon))


@pytest.fixture
async def site() -> AsyncIterator[LocalSite]:
    site = LocalSite([(EXAMPLES / "permit-register.toml").read_text()], entries=1)
    await site.start()
    yield site
    await site.drain()
    await site.close()


def instance_list(site: LocalSite) -> HttpInstanceList:
    assert site._instance_list is not None
    return site._instance_list


async def wait_for_polls(entry: Daemon, count: int) -> None:
    """Wait until the entry instance has read the list `count` more times."""
    instance_watch = entry._instances  # type: ignore[attr-defined]
    sizes: list[int] = []

    def count_listed(listed: tuple[Instance, ...]) -> None:
        sizes.append(len(listed))

    instance_watch.listeners.append(count_listed)
    await wait_until(lambda: len(sizes) >= count)
    instance_watch.listeners.remove(count_listed)


async def status_codes(site: LocalSite, count: int) -> set[int]:
    host, _, port = site.entry_address().rpartition(":")
    client = HttpClient(host, int(port))
    codes = set()
    for _ in range(count):
        response = await client.request("GET", "/services/permit-register/permits/1")
        await response.read()
        codes.add(response.status)
    client.close()
    return codes


class TestSiteMembers:
    """Guards against work for leaving sidecars and against links closed by a wrong list.

    A sidecar leaves by the list or by its own report. The list can be empty, wrong or unavailable
    while all links work.
    """

    @pytest.mark.parametrize("by_list", [True, False])
    async def test_leaving_sidecar_gets_no_new_work(self, site: LocalSite, by_list: bool) -> None:
        leaving, entry = site.endpoints[0], site.entries[0]
        if by_list:
            await instance_list(site).mark_leaving(leaving.instance)
        else:
            leaving.sidecar.begin_drain()
        await wait_until(lambda: has_event(entry, EventKind.MEMBER_LEAVING, leaving.instance))
        before = entry.ring.last_sequence
        assert await status_codes(site, 30) == {200}
        targets = {
            event.fields["to"]
            for event in entry.ring.read_after(before, 10_000)
            if event.kind is EventKind.DISPATCHED
        }
        # The leaving sidecar is in the zone of the entry instance and would be preferred.
        assert targets and leaving.instance not in targets

    async def test_wrong_lists_close_no_link(self, site: LocalSite) -> None:
        entry = site.entries[0]
        address = site.endpoints[0].sidecar.addresses["link"]
        extra_member = Instance("ghost", "sidecar", "permit-register", "z", address, address)
        await instance_list(site).register(extra_member)
        await wait_until(lambda: has_event(entry, EventKind.MEMBER_JOINED, "ghost"))
        for fault in (Faults(empty=True), Faults(wrong=[]), Faults(down=True)):
            site.instance_list_service.set_faults(fault)
            assert await status_codes(site, 5) == {200}
        await wait_for_polls(entry, 2)
        kinds = {event.kind for event in events(entry)}
        assert EventKind.DISCONNECTED not in kinds
        assert sorted(entry.status()["links"]) == sorted(
            endpoint.instance for endpoint in site.endpoints
        )

    async def test_count_of_processes_comes_from_the_list(self, site: LocalSite) -> None:
        agent = site.entries[0]._configurations  # type: ignore[attr-defined]
        # The entry instance finds itself in the list from its second poll on.
        await wait_until(lambda: agent._process_count() == len(site.endpoints) + 1)


class TestSiteSubsets:
    """Guards against an entry instance without links after a sidecar refused it.

    A sidecar at its connection bound refuses the link, and the next sidecar in rank has to
    replace it.
    """

    async def test_refused_entry_instance_dials_the_next_sidecar_in_rank(self) -> None:
        text = (EXAMPLES / "permit-register.toml").read_text()
        site = LocalSite([text], entries=1, subset_size=1)
        await site.start()
        try:
            entry = site.entries[0]
            (first,) = entry.status()["links"]
            sidecar = next(
                endpoint.sidecar for endpoint in site.endpoints if endpoint.instance == first
            )
            task = sidecar._sidecar  # type: ignore[attr-defined]
            await wait_until(lambda: "entry-1" in task.links)
            # No connection is left by the time the entry instance dials again.
            task.connection_bound._admitted = {"another entry": None}
            task.connection_bound.mean = 0.8
            task.links["entry-1"].abort()
            await wait_until(lambda: entry.status()["links"] not in ([], [first]))
            assert sidecar.status()["links"] == []
            assert await status_codes(site, 5) == {200}
        finally:
            await site.drain()
            await site.close()
