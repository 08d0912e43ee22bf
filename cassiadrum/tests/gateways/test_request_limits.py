"""Tests of several gateway processes that share the request limit of an endpoint."""

import asyncio
import time
from pathlib import Path

import pytest

from cassiadrum.tests.gateways.fleets import most_arrivals, permitted, running_fleet
from cassiadrum.tests.gateways.sites import PlatformSite

GATEWAYS = 4
# Time from which a gateway that got an answer with a limit has to keep it.
TOLD_S = 0.5
OBSERVED_S = 6.0
SHORT_PROMPT = {"x_cassiadrum_token_counts": "100,2"}
LONG_PROMPT = {
    "x_cassiadrum_token_counts": "9000,2",
    "x_cassiadrum_prompt_prefix": "aa:8000,bb:1000",
}


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
