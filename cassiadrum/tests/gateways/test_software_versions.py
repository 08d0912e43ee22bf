"""Tests of streams that go on while endpoints of several software versions serve."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Sequence
from pathlib import Path

import pytest

from cassiadrum.platform.standins import StoreFault
from cassiadrum.tests.gateways.taken_up_streams import (
    EVENTS,
    StreamCaller,
    TakenUpStream,
    VersionedFleet,
    VersionedSite,
    complete_of,
    mixed,
)

GATEWAYS = 3
STREAMS = 40
BROKEN_AFTER = 8
# The users' rule: at least this part of the share of new streams that begin has to go on.
MIN_SHARE = 0.5


@contextlib.asynccontextmanager
async def versioned_fleet(
    directory: Path, versions: Sequence[str] = ("v1", "v2"), gateways: int = GATEWAYS
) -> AsyncIterator[VersionedFleet]:
    """Run gateways in front of three endpoints of each version."""
    site = VersionedSite()
    await site.start()
    fleet = VersionedFleet(site, directory)
    try:
        # The first version serves before the next one is added, as in a release.
        await site.add(versions[0])
        await fleet.start(gateways)
        for version in versions[1:]:
            await site.add(version)
        if versions[1:]:
            await asyncio.sleep(1.0)
        yield fleet
    finally:
        await fleet.close()
        await site.close()


@contextlib.asynccontextmanager
async def killed_gateways(fleet: VersionedFleet, caller: StreamCaller) -> AsyncIterator[None]:
    """Kill all gateways at once, and start them again at the end; callers wait until then."""
    caller.may_retry.clear()
    await fleet.kill_all()
    yield
    await fleet.restart_all()
    caller.may_retry.set()


def check(streams: Sequence[TakenUpStream], *going_on: str) -> None:
    """Check that no stream is mixed, and that those of the versions `going_on` went on."""
    assert mixed(streams) == []
    for version in going_on:
        ends = complete_of(streams, version)
        assert ends, f"no stream began at {version}"
        assert sum(ends) >= MIN_SHARE * len(ends), (version, sum(ends), len(ends))


@pytest.mark.integration
class TestStreamsOfSeveralVersions:
    """Guards against a stream that holds events of two software versions.

    What two versions write does not fit together, and nothing in the answer shows it. A stream
    goes on at the version that began it or gets a refusal, whatever was lost between two tries.
    """

    async def test_stream_goes_on_within_an_answer(self, tmp_path: Path) -> None:
        async with versioned_fleet(tmp_path) as fleet:
            for endpoint in fleet.site.endpoints.values():
                endpoint.cut_after = BROKEN_AFTER
            caller = StreamCaller(fleet.ports, deadline_s=6.0)
            caller.start(STREAMS)
            await caller.wait_for_events(BROKEN_AFTER + 1)
            for endpoint in fleet.site.endpoints.values():
                endpoint.cut_after = None
            check(await caller.finish(), "v1", "v2")

    @pytest.mark.parametrize(
        "break_after",
        [(BROKEN_AFTER,), (1,), (5, 10, 15)],
        ids=["once", "after the first event", "three times"],
    )
    async def test_caller_takes_a_stream_up_at_another_gateway(
        self, tmp_path: Path, break_after: tuple[int, ...]
    ) -> None:
        async with versioned_fleet(tmp_path) as fleet:
            caller = StreamCaller(fleet.ports, break_after=break_after)
            caller.start(STREAMS)
            check(await caller.finish(), "v1", "v2")

    @pytest.mark.parametrize(("gateways", "events"), [(3, BROKEN_AFTER), (8, 8), (3, 1)])
    async def test_all_gateways_are_killed(
        self, tmp_path: Path, gateways: int, events: int
    ) -> None:
        async with versioned_fleet(tmp_path, gateways=gateways) as fleet:
            caller = StreamCaller(fleet.ports)
            caller.start(STREAMS)
            await caller.wait_for_events(events)
            async with killed_gateways(fleet, caller):
                pass
            check(await caller.finish(), "v1", "v2")

    async def test_all_gateways_are_stopped(self, tmp_path: Path) -> None:
        async with versioned_fleet(tmp_path) as fleet:
            caller = StreamCaller(fleet.ports, break_after=(BROKEN_AFTER,))
            caller.start(STREAMS)
            await caller.wait_for_events(1)
            caller.may_retry.clear()
            await fleet.stop_all()
            await fleet.restart_all()
            caller.may_retry.set()
            check(await caller.finish(), "v1", "v2")

    async def test_store_is_silent_when_killed_gateways_return(self, tmp_path: Path) -> None:
        async with versioned_fleet(tmp_path) as fleet:
            caller = StreamCaller(fleet.ports)
            caller.start(STREAMS)
            await caller.wait_for_events(BROKEN_AFTER)
            caller.may_retry.clear()
            await fleet.kill_all()
            await fleet.restart_all()
            fleet.site.store.fault = StoreFault.SILENT
            caller.may_retry.set()
            await asyncio.sleep(1.0)
            fleet.site.store.fault = StoreFault.NONE
            check(await caller.finish(), "v1", "v2")

    async def test_store_is_silent_when_streams_begin(self, tmp_path: Path) -> None:
        async with versioned_fleet(tmp_path) as fleet:
            caller = StreamCaller(fleet.ports)
            fleet.site.store.fault = StoreFault.SILENT
            caller.start(STREAMS)
            await asyncio.sleep(1.0)
            async with killed_gateways(fleet, caller):
                fleet.site.store.fault = StoreFault.NONE
            check(await caller.finish(), "v1")

    async def test_old_version_leaves_before_killed_gateways_return(self, tmp_path: Path) -> None:
        async with versioned_fleet(tmp_path) as fleet:
            caller = StreamCaller(fleet.ports, deadline_s=6.0)
            caller.start(STREAMS)
            await caller.wait_for_events(BROKEN_AFTER)
            async with killed_gateways(fleet, caller):
                await fleet.site.leave("v1")
            streams = await caller.finish()
            check(streams, "v2")
            assert not any(complete_of(streams, "v1"))
            refusals_s = [time_s for stream in streams for time_s in stream.refusal_times_s]
            # A caller is told soon, and not at its deadline.
            assert max(refusals_s) < 1.5

    async def test_only_version_is_replaced_before_killed_gateways_return(
        self, tmp_path: Path
    ) -> None:
        async with versioned_fleet(tmp_path, ("v1",)) as fleet:
            caller = StreamCaller(fleet.ports, deadline_s=6.0)
            caller.start(STREAMS)
            await caller.wait_for_events(BROKEN_AFTER)
            async with killed_gateways(fleet, caller):
                await fleet.site.leave("v1")
                await fleet.site.add("v2")
            streams = await caller.finish()
            assert mixed(streams) == []
            assert not any(complete_of(streams, "v1"))

    async def test_version_returns_with_other_endpoints(self, tmp_path: Path) -> None:
        async with versioned_fleet(tmp_path) as fleet:
            caller = StreamCaller(fleet.ports)
            caller.start(STREAMS)
            await caller.wait_for_events(BROKEN_AFTER)
            async with killed_gateways(fleet, caller):
                await fleet.site.leave("v1")
                await fleet.site.add("v1")
            check(await caller.finish(), "v1", "v2")

    async def test_no_endpoint_of_the_version_is_left_within_an_answer(
        self, tmp_path: Path
    ) -> None:
        async with versioned_fleet(tmp_path) as fleet:
            caller = StreamCaller(fleet.ports, deadline_s=5.0)
            caller.start(STREAMS)
            await caller.wait_for_events(BROKEN_AFTER)
            await fleet.site.leave("v1")
            streams = await caller.finish()
            check(streams, "v2")
            assert not any(complete_of(streams, "v1"))

    async def test_endpoint_starts_again_under_its_name_at_another_version(
        self, tmp_path: Path
    ) -> None:
        # Its registration lags behind by less than a heartbeat.
        async with versioned_fleet(tmp_path, ("v1",)) as fleet:
            caller = StreamCaller(fleet.ports, break_after=(BROKEN_AFTER,))
            caller.start(STREAMS)
            await caller.wait_for_events(1)
            for name in list(fleet.site.endpoints)[:2]:
                await fleet.site.start_again(name, "v2")
            caller.start(STREAMS)
            await asyncio.sleep(1.0)
            for name in list(fleet.site.endpoints)[:2]:
                fleet.site.register(name)
            check(await caller.finish(), "v1")

    async def test_take_up_without_the_first_try_is_not_guessed(self, tmp_path: Path) -> None:
        async with versioned_fleet(tmp_path) as fleet:
            caller = StreamCaller(
                fleet.ports, break_after=(BROKEN_AFTER,), deadline_s=3.0, resumes=False
            )
            caller.start(STREAMS)
            assert mixed(await caller.finish()) == []

    async def test_one_version_serves_all_streams(self, tmp_path: Path) -> None:
        async with versioned_fleet(tmp_path, ("v1",)) as fleet:
            caller = StreamCaller(fleet.ports)
            caller.start(STREAMS)
            await caller.wait_for_events(BROKEN_AFTER)
            async with killed_gateways(fleet, caller):
                pass
            streams = await caller.finish()
            assert [len(stream.versions) for stream in streams] == [EVENTS] * STREAMS
