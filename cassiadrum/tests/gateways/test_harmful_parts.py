"""Tests of gateways whose engines end on requests with certain parts in their prompts."""

import asyncio
import json
from collections.abc import Sequence
from pathlib import Path

import pytest

from cassiadrum.platform.headers import Header
from cassiadrum.tests.gateways.conftest import GatewaySubprocess
from cassiadrum.tests.gateways.crashing_endpoints import (
    CONTACT_S,
    MAX_CRASHES,
    MAX_LATE,
    CrashingSite,
    CrashStage,
    PromptCaller,
    SentCall,
    crashing_site,
    read_metrics,
    restart,
)
from cassiadrum.tests.gateways.sites import wait_until

SHARED = "a1"
HARMFUL = "bad1"
SOUND = "900d"


async def crash_five(site: CrashingSite, caller: PromptCaller, part: str = HARMFUL) -> None:
    """Send harmful requests to the gateways in turn until five engines have ended."""
    wanted = len(site.crashes) + MAX_CRASHES
    number = 0
    async with asyncio.timeout(30):
        while len(site.crashes) < wanted:
            sent = await caller.call(number, [SHARED, part])
            assert sent.status != 200
            if sent.status == 503 and b"harmful" in sent.body:
                break
            await caller.call(number, [SHARED, SOUND])
            number += 1


def refused(calls: Sequence[SentCall]) -> list[SentCall]:
    return [sent for sent in calls if sent.status == 503 and b"harmful_content" in sent.body]


def log_lines(run: GatewaySubprocess, message: str) -> list[dict[str, object]]:
    lines = map(json.loads, run.log.read_text().splitlines())
    return [line for line in lines if line["message"] == message]


class TestHarmfulPart:
    """Guards against a prompt part that ends engine after engine at all gateways."""

    @pytest.mark.parametrize("stage", CrashStage)
    async def test_requests_with_it_reach_no_engine_after_five_crashes(
        self, tmp_path: Path, stage: CrashStage
    ) -> None:
        async with crashing_site(tmp_path, [HARMFUL], stage=stage) as (site, _, caller):
            sound, harmful = await asyncio.gather(
                caller.call_steadily([SHARED, SOUND], per_s=20, for_s=6),
                caller.call_steadily([SHARED, HARMFUL], per_s=6, for_s=6),
            )
            assert len(site.late_arrivals(HARMFUL)) <= MAX_LATE
            assert refused(harmful)
            assert all(sent.status != 200 for sent in harmful)
            last_s = site.crashes[-1][0] + 2 * CONTACT_S
            later = [sent for sent in sound if sent.begun_s > last_s]
            assert len(later) > 10
            assert all(sent.status == 200 for sent in later)
            assert not refused(sound)

    async def test_one_request_at_a_time_ends_no_more_than_five_engines(
        self, tmp_path: Path
    ) -> None:
        """Each gateway sees a few of the crashes only."""
        async with crashing_site(tmp_path, [HARMFUL], gateways=4) as (site, _, caller):
            for number in range(10):
                await caller.call(number, [SHARED, HARMFUL])
                await caller.call(number, [SHARED, SOUND])
                await asyncio.sleep(0.3)
            assert len(site.crashes) <= MAX_CRASHES

    async def test_refusal_is_immediate_and_says_that_nothing_ran(self, tmp_path: Path) -> None:
        async with crashing_site(tmp_path, [HARMFUL], gateways=1) as (site, fleet, caller):
            await crash_five(site, caller)
            sent = await caller.call(0, [SHARED, HARMFUL])
            assert refused([sent])
            assert json.loads(sent.body)["ran"] == "no"
            assert sent.retry_after_s > 60
            assert sent.ended_s - sent.begun_s < 0.5
            assert (await caller.call(0, [SHARED, SOUND])).status == 200
            found = 'content="bad1",kind="part"'
            text = await read_metrics(fleet.gateways[0])
            assert "cassiadrum_gateway_harmful_content_crashes{" + found in text
            assert "cassiadrum_gateway_harmful_content_age_seconds{" + found in text
            assert "cassiadrum_gateway_harmful_requests_total{" in text
            line = log_lines(
                fleet.gateways[0],
                "requests refused that hold a content under which endpoints ended",
            )[0]
            assert line["content"] == "part:bad1"
            assert line["endpoints"] and line["last_crash_age_s"] is not None

    async def test_belief_outlasts_restarts_of_all_gateways_and_a_new_gateway(
        self, tmp_path: Path
    ) -> None:
        async with crashing_site(tmp_path, [HARMFUL]) as (site, fleet, caller):
            await crash_five(site, caller)
            await wait_until(lambda: any(row.crashes for row in site.members()))
            await asyncio.gather(*map(restart, fleet.gateways))
            await (await fleet.add()).wait_ready()
            crashes = len(site.crashes)
            calls = [await caller.call(number, [SHARED, HARMFUL]) for number in range(6)]
            assert len(refused(calls)) == len(calls)
            assert len(site.crashes) == crashes

    async def test_several_harmful_parts(self, tmp_path: Path) -> None:
        parts = [HARMFUL, "bad2", "bad3"]
        async with crashing_site(tmp_path, parts, engines=6) as (site, _, caller):
            await asyncio.gather(
                caller.call_steadily([SHARED, SOUND], per_s=20, for_s=9),
                *(caller.call_steadily([SHARED, part], per_s=3, for_s=9) for part in parts),
            )
            before = len(site.crashes)
            calls = [await caller.call(n, [SHARED, part]) for n in range(2) for part in parts]
            assert len(refused(calls)) == len(calls)
            assert len(site.crashes) == before

    async def test_sizes_and_number_of_parts_do_not_matter(self, tmp_path: Path) -> None:
        """A caller may state sizes that cannot be read, many parts, and names in capitals."""
        async with crashing_site(tmp_path, [HARMFUL], gateways=1) as (site, _, caller):
            await crash_five(site, caller)
            before = len(site.crashes)
            many = ",".join(f"{number:x}f:1" for number in range(100))
            prompts = (
                f"{SHARED}:10,{HARMFUL}:,77:1",
                f"{SHARED}:10,{HARMFUL}:-5,77:1",
                f"{HARMFUL}:{'9' * 400},77:1",
                f"{many},{HARMFUL}:5,77:1",
                f"{SHARED}:10,00BAD1:5,77:1",
            )
            for prompt in prompts:
                sent = await caller.call(0, [], **{Header.PROMPT_PARTS: prompt})
                assert refused([sent]), prompt
            assert len(site.crashes) == before

    async def test_idempotent_and_once_only_routes(self, tmp_path: Path) -> None:
        """Their requests may have prompts as well; a plain answer is begun with its head."""
        async with crashing_site(tmp_path, [HARMFUL], gateways=1) as (site, _, caller):
            configuration = site.configuration()
            for route in configuration["routes"]:
                route["service"] = "engine"
            site.store.put("op", "config", {**configuration, "version": 2})
            await asyncio.sleep(CONTACT_S)
            for path in ("/once/a", "/safe/a", "/stream/a"):
                sound = await caller.call(0, [SHARED, SOUND], path=path)
                assert sound.status == 200
            for number in range(8):
                path = ("/once/a", "/safe/a")[number % 2]
                sent = await caller.call(0, [SHARED, HARMFUL], path=path)
                assert sent.status in (502, 503)
                await asyncio.sleep(0.3)
            assert len(site.crashes) <= MAX_CRASHES
            calls = [
                await caller.call(0, [SHARED, HARMFUL], path=path)
                for path in ("/once/a", "/safe/a", "/stream/a")
            ]
            assert len(refused(calls)) == 3


class TestSoundParts:
    """Guards against sound requests that are refused for endpoints that end for other reasons."""

    async def test_zone_that_fails_blocks_no_part(self, tmp_path: Path) -> None:
        async with crashing_site(tmp_path, [], engines=8) as (site, _, caller):
            calls = asyncio.create_task(caller.call_steadily([SHARED, SOUND], per_s=40, for_s=5))
            for zone in "aba":
                await asyncio.sleep(1.3)
                site.crash_zone(zone)
            assert not refused(await calls)
            assert len(site.crashes) >= 8

    async def test_part_of_requests_that_were_lost_beside_a_harmful_one(
        self, tmp_path: Path
    ) -> None:
        """Requests that share everything but the harmful part go on at the first attempt."""
        async with crashing_site(tmp_path, [HARMFUL], gateways=1) as (_, _, caller):
            subjects = [f"50{number}" for number in range(6)]
            await asyncio.gather(
                caller.call_steadily([SHARED, HARMFUL], per_s=8, for_s=3),
                *(caller.call_steadily([SHARED, part], per_s=4, for_s=3) for part in subjects),
            )
            calls = [await caller.call(0, [SHARED, part]) for part in subjects]
            assert [sent.status for sent in calls] == [200] * len(subjects)


class TestRepeats:
    """Guards against a request that is sent on before it is known why its endpoint ended."""

    async def test_first_request_with_a_harmful_part_ends_one_engine(self, tmp_path: Path) -> None:
        async with crashing_site(tmp_path, [HARMFUL], gateways=1) as (site, _, caller):
            await caller.call(0, [SHARED, SOUND])
            sent = await caller.call(0, [SHARED, HARMFUL])
            assert sent.status == 502
            assert len(site.harmful_arrivals(HARMFUL)) == 1
            assert len(site.crashes) == 1

    async def test_sound_request_is_sent_on(self, tmp_path: Path) -> None:
        async with crashing_site(tmp_path, [], gateways=1, engines=2) as (site, _, caller):
            await caller.call(0, [SHARED, SOUND])
            sent = asyncio.create_task(caller.call(0, [SHARED, SOUND]))
            await wait_until(lambda: sum(e.running for e in site.endpoints.values()) == 1)
            busy = next(e for e in site.endpoints.values() if e.running)
            site.zones = dict.fromkeys(site.zones, "b") | {busy.instance: "a"}
            site.crash_zone("a")
            assert (await sent).status == 200
