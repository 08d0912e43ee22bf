"""Tests of gateways with a request that ends each engine and comes again."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Sequence
from pathlib import Path
from typing import Final, NamedTuple

import pytest

from cassiadrum.platform.headers import Header
from cassiadrum.platform.standins.row_services import StoreFault
from cassiadrum.protocols import Exchange
from cassiadrum.tests.gateways.conftest import GatewaySubprocess
from cassiadrum.tests.gateways.crashing_endpoints import (
    CONTACT_S,
    MAX_LATE,
    CrashingSite,
    PromptCaller,
    SentCall,
    crashing_site,
    read_metrics,
    restart,
)
from cassiadrum.tests.gateways.fleets import GatewayFleet
from cassiadrum.tests.gateways.sites import poll_until, wait_until

# Crashes from which on the users' rule counts arrivals, MAX_LATE of which are allowed.
RULE_CRASHES: Final = 3
# Time after which a caller sends a failed request once more.
CALLER_DELAY_S: Final = 0.2
SHARED: Final = ("a1", "900d")
MARK: Final = "deadly"


class Kind(NamedTuple):
    """A kind of request by its route and the shared parts of its prompt."""

    path: str
    parts: tuple[str, ...]


KINDS: Final = {
    "idempotent": Kind("/safe/a", ()),
    "non-idempotent": Kind("/once/a", ()),
    "stream": Kind("/stream/a", ()),
    "stream with new parts": Kind("/stream/a", ("a1", "f4e5")),
    "stream with parts of others": Kind("/stream/a", SHARED),
    "idempotent with parts of others": Kind("/safe/a", SHARED),
}


def is_deadly(exchange: Exchange) -> bool:
    return exchange.req.body.startswith(MARK.encode())


@contextlib.asynccontextmanager
async def deadly_site(
    directory: Path, *, gateways: int = 3, engines: int = 4, events: int = 0
) -> AsyncIterator[tuple[CrashingSite, GatewayFleet, PromptCaller]]:
    """Run a site whose engines, which serve all routes, end on marked requests."""
    async with crashing_site(
        directory, [], gateways=gateways, engines=engines, is_harmful=is_deadly, events=events
    ) as (site, fleet, caller):
        configuration = site.configuration()
        for route in configuration["routes"]:
            route["service"] = "engine"
        site.store.put("op", "config", {**configuration, "version": 2})
        await asyncio.sleep(CONTACT_S)
        yield site, fleet, caller


def arrivals(site: CrashingSite, body: str) -> list[float]:
    """Return the times at which engines got a request, in order."""
    return sorted(
        run.at_s
        for endpoint in (*site.retired, *site.endpoints.values())
        for run in endpoint.runs
        if run.body == body.encode()
    )


def late_arrivals(site: CrashingSite, body: str = MARK) -> list[float]:
    """Return the arrivals that the users' rule counts; each arrival ends its engine."""
    found = arrivals(site, body)
    if len(found) < RULE_CRASHES:
        return []
    return [at_s for at_s in found if at_s > found[RULE_CRASHES - 1] + 0.2 + CONTACT_S]


async def send_in_turn(
    caller: PromptCaller, kind: Kind, *, every_s: float, for_s: float, body: str = MARK
) -> list[SentCall]:
    """Send the same request to the gateways in turn; one that fails is sent once more."""
    loop = asyncio.get_running_loop()
    calls = []
    begun_s = loop.time()
    for number in range(int(for_s / every_s)):
        await asyncio.sleep(max(0.0, begun_s + number * every_s - loop.time()))
        sent = await caller.call(number, kind.parts, path=kind.path, payload=body)
        calls.append(sent)
        if sent.status != 503:
            await asyncio.sleep(CALLER_DELAY_S)
            again = await caller.call(number + 1, kind.parts, path=kind.path, payload=body)
            calls.append(again)
    return calls


async def send_sound(
    caller: PromptCaller, kinds: Sequence[Kind], *, per_s: float, for_s: float
) -> list[SentCall]:
    """Send sound requests of all kinds in turn, no two of them the same."""
    calls = []
    for number in range(int(per_s * for_s)):
        kind = kinds[number % len(kinds)]
        calls.append(asyncio.create_task(caller.call(number // 2, kind.parts, path=kind.path)))
        await asyncio.sleep(1 / per_s)
    return await asyncio.gather(*calls)


def refused(calls: Sequence[SentCall]) -> list[SentCall]:
    return [sent for sent in calls if sent.status == 503 and b"harmful_content" in sent.body]


class TestDeadlyRequest:
    """Guards against a request that ends engine after engine, and sound ones refused for it."""

    @pytest.mark.parametrize("kind", KINDS)
    async def test_it_ends_few_engines(self, tmp_path: Path, kind: str) -> None:
        async with deadly_site(tmp_path) as (site, _, caller):
            sound, deadly = await asyncio.gather(
                send_sound(caller, list(KINDS.values()), per_s=20, for_s=12),
                send_in_turn(caller, KINDS[kind], every_s=2.2, for_s=11),
            )
            assert len(late_arrivals(site)) <= MAX_LATE
            assert refused(deadly)
            assert not refused(sound)
            last_s = site.crashes[-1][0] + CONTACT_S
            later = [sent.status for sent in sound if sent.begun_s > last_s]
            assert len(later) > 10
            assert set(later) == {200}

    async def test_it_ends_engines_in_the_middle_of_its_answers(self, tmp_path: Path) -> None:
        kind = KINDS["stream with parts of others"]
        async with deadly_site(tmp_path, events=2) as (site, _, caller):
            sound, deadly = await asyncio.gather(
                send_sound(caller, [kind], per_s=10, for_s=12),
                send_in_turn(caller, kind, every_s=1.5, for_s=12),
            )
            assert len(late_arrivals(site)) <= MAX_LATE
            assert refused(deadly)
            assert not refused(sound)

    async def test_callers_of_parts_that_came_first_with_it(self, tmp_path: Path) -> None:
        kind = KINDS["stream with new parts"]
        async with deadly_site(tmp_path) as (site, _, caller):
            await send_in_turn(caller, kind, every_s=1.0, for_s=6)
            assert len(late_arrivals(site)) <= MAX_LATE
            sound = await send_sound(caller, [kind], per_s=10, for_s=2)
            assert [sent.status for sent in sound] == [200] * len(sound)

    async def test_twelve_gateways_that_see_one_crash_each(self, tmp_path: Path) -> None:
        kind = KINDS["stream with parts of others"]
        async with deadly_site(tmp_path, gateways=12, engines=6) as (site, _, caller):
            await send_sound(caller, [kind], per_s=24, for_s=2)
            await send_in_turn(caller, kind, every_s=0.8, for_s=10)
            assert len(late_arrivals(site)) <= MAX_LATE

    async def test_several_at_once(self, tmp_path: Path) -> None:
        async with deadly_site(tmp_path, engines=6) as (site, _, caller):
            bodies = {f"{MARK}{number}": kind for number, kind in enumerate(KINDS.values())}
            await asyncio.gather(
                send_sound(caller, list(KINDS.values()), per_s=20, for_s=12),
                *(
                    send_in_turn(caller, kind, every_s=2.2, for_s=12, body=body)
                    for body, kind in bodies.items()
                ),
            )
            late = {body: len(late_arrivals(site, body)) for body in bodies}
            assert late == {body: min(count, MAX_LATE) for body, count in late.items()}

    async def test_restart_of_each_gateway(self, tmp_path: Path) -> None:
        kind = KINDS["idempotent"]
        async with deadly_site(tmp_path) as (site, fleet, caller):
            await send_in_turn(caller, kind, every_s=0.5, for_s=3)
            await asyncio.gather(*map(restart, fleet.gateways))
            crashes = len(site.crashes)
            calls = await send_in_turn(caller, kind, every_s=0.5, for_s=3)
            assert len(refused(calls)) == len(calls)
            assert len(site.crashes) == crashes
            assert len(late_arrivals(site)) <= MAX_LATE

    async def test_store_is_away_at_the_first_crashes(self, tmp_path: Path) -> None:
        kind = KINDS["stream with parts of others"]
        async with deadly_site(tmp_path) as (site, _, caller):
            site.store.fault = StoreFault.RESET
            await send_in_turn(caller, kind, every_s=0.5, for_s=1.5)
            site.store.fault = StoreFault.NONE
            back_s = asyncio.get_running_loop().time()
            await send_in_turn(caller, kind, every_s=0.5, for_s=6)
            late = [at_s for at_s in arrivals(site, MARK) if at_s > back_s + 2 * CONTACT_S]
            assert len(late) <= MAX_LATE


async def knows_endpoints(run: GatewaySubprocess, count: int) -> bool:
    """Return whether a gateway has a number of engines on its list."""
    return f'cassiadrum_gateway_endpoints{{service="engine"}} {count}' in await read_metrics(run)


class TestRequestsLostTogether:
    """Guards against a sound request that is sent on together with one that ends endpoints."""

    async def test_they_are_sent_on_apart(self, tmp_path: Path) -> None:
        """Their common parts would place both at the same endpoint."""
        async with deadly_site(tmp_path, gateways=1, engines=1) as (site, fleet, caller):
            (first,) = site.endpoints.values()
            kind = KINDS["stream with parts of others"]
            # They make room for two retries in the budget.
            sound = await send_sound(caller, [kind], per_s=40, for_s=1)
            assert {sent.status for sent in sound} == {200}
            first.hang = True
            long_parts = [f"{SHARED[0]}:9000,{SHARED[1]}:9000,{number}:10" for number in "12"]
            calls = [
                asyncio.create_task(
                    caller.call(0, [], path=kind.path, **{Header.PROMPT_PARTS: parts})
                )
                for parts in long_parts
            ]
            await wait_until(lambda: first.running == 2)
            for _ in range(2):
                await site.launch("b")
            await poll_until(lambda: knows_endpoints(fleet.gateways[0], 3))
            site.crash_zone("a")
            assert [sent.status for sent in await asyncio.gather(*calls)] == [200, 200]
            ran = [len(found.runs) for found in site.endpoints.values() if found is not first]
            assert ran[:2] == [1, 1]
