"""Tests of several gateway processes that share the request limit of an endpoint."""

import asyncio
import signal
import time
from pathlib import Path

import pytest

from cassiadrum.platform.standins import StoreFault
from cassiadrum.tests.gateways.fleets import (
    WINDOW_S,
    most_arrivals,
    permitted,
    running_fleet,
)
from cassiadrum.tests.gateways.sites import (
    WAIT_TIMEOUT_S,
    Caller,
    PlatformSite,
    make_open_configuration,
    poll_until,
    wait_until,
)

GATEWAYS = 4
# Time from which a gateway that got an answer with a limit has to keep it.
TOLD_S = 0.5
OBSERVED_S = 6.0
SHORT_PROMPT = {"x_cassiadrum_token_counts": "100,2"}
LONG_PROMPT = {
    "x_cassiadrum_token_counts": "9000,2",
    "x_cassiadrum_prompt_prefix": "aa:8000,bb:1000",
}
# Time within which registered gateways know each other and the limit.
SETTLED_S = 4.0
# Bursts and gaps of the requests at a gateway leave a part of its share unused.
MIN_USED_FRACTION = 0.6
# Time of a refusal at once, with room for a busy machine.
MAX_REFUSAL_S = 0.4


@pytest.mark.integration
class TestEndpointOverItsRequestLimit:
    """Guards against an endpoint that gets more requests than its limit from all gateways."""

    async def test_calls_of_all_gateways_keep_the_limit(
        self, site: PlatformSite, tmp_path: Path
    ) -> None:
        limited = site.endpoints["p-1"]
        limited.limit = "2"
        async with running_fleet(site, tmp_path, GATEWAYS) as fleet:
            await fleet.tell_all("/safe/a", "p-1")
            told_s = time.monotonic() + TOLD_S
            for run in fleet.gateways:
                fleet.send(run, "/safe/a", 20.0)
            await asyncio.sleep(TOLD_S + OBSERVED_S)
            assert most_arrivals(limited.arrivals, told_s) <= permitted(2.0)
            assert set(fleet.statuses) == {200}

    async def test_limited_endpoint_is_used(self, site: PlatformSite, tmp_path: Path) -> None:
        limited = site.endpoints["p-1"]
        limited.limit = "4"
        async with running_fleet(site, tmp_path, GATEWAYS) as fleet:
            await fleet.tell_all("/safe/a", "p-1")
            for run in fleet.gateways:
                fleet.send(run, "/safe/a", 20.0)
            await asyncio.sleep(SETTLED_S)
            begun_s = time.monotonic()
            await asyncio.sleep(OBSERVED_S)
            used = sum(at_s >= begun_s for at_s in limited.arrivals)
            assert used >= MIN_USED_FRACTION * 4.0 * OBSERVED_S

    async def test_gateways_that_come_and_go_keep_the_limit(
        self, site: PlatformSite, tmp_path: Path
    ) -> None:
        """Guards against gateways that do not count the others, or count as new ones at once."""
        limited = site.endpoints["p-1"]
        limited.limit = "1"
        async with running_fleet(site, tmp_path, 2) as fleet:
            for run in fleet.gateways:
                fleet.send(run, "/safe/a", 20.0)
            await asyncio.sleep(SETTLED_S)
            begun_s = time.monotonic()
            await fleet.start(4)
            for run in fleet.gateways[2:]:
                fleet.send(run, "/safe/a", 20.0)
            await fleet.gateways[0].kill()
            await fleet.gateways[0].start()
            await fleet.gateways[0].wait_ready()
            fleet.gateways[1].process.send_signal(signal.SIGTERM)
            await asyncio.sleep(OBSERVED_S)
            # Each of the four new gateways sends one request before it is told.
            assert most_arrivals(limited.arrivals, begun_s) <= permitted(1.0) + 4 + 1

    async def test_gateways_without_the_store_keep_the_limit(
        self, site: PlatformSite, tmp_path: Path
    ) -> None:
        limited = site.endpoints["p-1"]
        limited.limit = "1"
        site.store.put("op", "config", make_open_configuration(2))
        async with running_fleet(site, tmp_path, GATEWAYS) as fleet:
            for run in fleet.gateways:
                fleet.send(run, "/safe/a", 20.0)
            await asyncio.sleep(SETTLED_S)
            begun_s = time.monotonic()
            site.store.fault = StoreFault.SILENT
            await asyncio.sleep(OBSERVED_S)
            site.store.fault = StoreFault.NONE
            await asyncio.sleep(2.0)
            assert most_arrivals(limited.arrivals, begun_s) <= permitted(1.0)
            assert set(fleet.statuses) == {200}

    async def test_changed_limits_are_kept(self, site: PlatformSite, tmp_path: Path) -> None:
        limited = site.endpoints["p-1"]
        limited.limit = "20"
        async with running_fleet(site, tmp_path, GATEWAYS) as fleet:
            for run in fleet.gateways:
                fleet.send(run, "/safe/a", 20.0)
            await asyncio.sleep(SETTLED_S)
            for text, limit_per_s in (("2", 2.0), ("many", 2.0), ("8", 8.0)):
                limited.limit = text
                # Each gateway learns of a change by its next answer of the endpoint.
                await asyncio.sleep(2 * GATEWAYS / limit_per_s)
                changed_s = time.monotonic()
                await asyncio.sleep(WINDOW_S)
                used = sum(at_s >= changed_s for at_s in limited.arrivals)
                assert used <= permitted(limit_per_s)
                assert MIN_USED_FRACTION * limit_per_s * WINDOW_S <= used
            limited.limit = None
            await asyncio.sleep(2.0)
            ended_s = time.monotonic()
            await asyncio.sleep(2.0)
            # The endpoint gets about half of 80 requests a second again.
            assert sum(at_s >= ended_s for at_s in limited.arrivals) > 2.0 * 20.0

    async def test_end_of_a_limit_reaches_gateways_without_a_share(
        self, site: PlatformSite, tmp_path: Path
    ) -> None:
        """A limit of 0.4 requests a second is used by two of the five gateways at a time."""
        limited = site.endpoints["p-1"]
        limited.limit = "0.4"
        async with running_fleet(site, tmp_path, 5) as fleet:
            for run in fleet.gateways:
                fleet.send(run, "/safe/a", 20.0)
            await asyncio.sleep(SETTLED_S)
            limited.limit = None
            # Each of the two sends a request in 5 s; the news travel for up to 2 s.
            await asyncio.sleep(8.0)
            ended_s = time.monotonic()
            await asyncio.sleep(2.0)
            # Five gateways send 100 requests here, two of them at most 80.
            assert sum(at_s >= ended_s for at_s in limited.arrivals) > 80

    async def test_starting_gateway_knows_the_limit_before_its_first_request(
        self, site: PlatformSite, tmp_path: Path
    ) -> None:
        """Guards against requests of callers who met a starting gateway and were held there."""
        limited = site.endpoints["p-1"]
        limited.limit = "0.4"
        site.store.put("op", "config", make_open_configuration(2))
        async with running_fleet(site, tmp_path, 1) as fleet:
            await fleet.tell_all("/safe/a", "p-1")
            await wait_until(lambda: any(row.limits for row in site.members()))
            # The tables are known one after the other.
            site.store.slow_s = 0.2
            late = await fleet.add()
            fleet.send(late, "/safe/a", 100.0)
            await late.wait_ready()
            await wait_until(lambda: len(fleet.statuses) >= 20)
            # A new gateway has no share for some seconds.
            prefix = f"{late.calls_port}-"
            assert not any(run.request_id.startswith(prefix) for run in limited.runs)

    async def test_load_probes_of_all_gateways_count(
        self, site: PlatformSite, tmp_path: Path
    ) -> None:
        """Long prompts make each gateway probe the endpoint that holds their shared part."""
        for name in ("e-1", "e-2"):
            site.endpoints[name].limit = "1"
        async with running_fleet(site, tmp_path, GATEWAYS) as fleet:
            for name in ("e-1", "e-2"):
                await fleet.tell_all("/stream/a", name, **SHORT_PROMPT)
            told_s = time.monotonic() + TOLD_S
            for run in fleet.gateways:
                fleet.send(run, "/stream/a", 1.5, **LONG_PROMPT)
            await asyncio.sleep(TOLD_S + OBSERVED_S)
            for name in ("e-1", "e-2"):
                assert most_arrivals(site.endpoints[name].arrivals, told_s) <= permitted(1.0)


@pytest.mark.integration
class TestServiceWithLimitedEndpointsOnly:
    """Guards against requests that are held, or refused untruthfully, while all are limited."""

    async def test_refusals_are_immediate_and_truthful(
        self, site: PlatformSite, tmp_path: Path
    ) -> None:
        for name in ("p-1", "p-2"):
            site.endpoints[name].limit = "0.5"
        async with running_fleet(site, tmp_path, 2) as fleet:
            for run in fleet.gateways:
                fleet.send(run, "/once/a", 10.0)
            await asyncio.sleep(SETTLED_S + OBSERVED_S)
        assert set(fleet.statuses) == {200, 503}
        assert max(fleet.refusal_times_s) < MAX_REFUSAL_S
        answered = fleet.statuses.count(200)
        assert answered == sum(len(site.endpoints[name].runs) for name in ("p-1", "p-2"))

    async def test_retry_after_is_the_time_of_the_next_permitted_request(
        self, site: PlatformSite, caller: Caller
    ) -> None:
        for name in ("p-1", "p-2"):
            site.endpoints[name].limit = "0.5"
        retry_after_s = 0.0
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            # The gateway has a share some time after its start.
            while not 1.0 < retry_after_s <= 2.0:
                status, headers, _ = await caller.call("/safe/a")
                retry_after_s = float(headers.get("retry-after", "0"))
        assert status == 503
        await asyncio.sleep(retry_after_s + 0.1)
        assert (await caller.call("/safe/a"))[0] == 200

    async def test_failure_of_an_endpoint_is_passed_on_while_the_other_is_limited(
        self, site: PlatformSite, caller: Caller
    ) -> None:
        """Guards against a retry that cannot be placed and replaces the endpoint's answer."""
        site.endpoints["p-2"].limit = "0.1"
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            while (await caller.call("/safe/a"))[2] != b"p-2":
                continue
        site.endpoints["p-1"].fail = True
        status, headers, _ = await caller.call("/safe/a")
        assert status == 500
        assert headers["x-cassiadrum-response-signature"] == "signed-by-p-1"

    async def test_stream_waits_for_a_limited_endpoint_to_go_on(
        self, site: PlatformSite, caller: Caller
    ) -> None:
        """Guards against a running stream that is broken off instead of waiting for its turn."""
        site.endpoints["e-2"].limit = "4"

        async def refused() -> bool:
            return (await caller.call("/stream/a", events=2))[0] == 503

        site.store.remove("servers", "e-1")
        # The gateway has a share, and has used it.
        await asyncio.sleep(SETTLED_S)
        await poll_until(refused)
        site.endpoints["e-1"].cut_after = 2
        site.register("e-1")
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            runs = site.endpoints["e-1"].runs
            while not runs:
                status, _, body = await caller.call("/stream/a", events=6)
        assert status == 200
        assert body.endswith(b"id: 6\ndata: 6\n\n")
