"""Tests of engines behind sidecars that pause for about a second in their answers."""

import asyncio
from collections import Counter
from collections.abc import AsyncIterator

import pytest

from cassiadrum.sites import LocalSite
from cassiadrum.standins import EngineStandIn
from cassiadrum.tests.sites import example
from cassiadrum.tests.test_site_streams import Caller, wait_until

CALLERS = 12
PAUSE_S = 1.4


@pytest.fixture
async def site() -> AsyncIterator[LocalSite]:
    site = LocalSite([example("sprachdienst")], entries=2, step_s=0.01)
    await site.start()
    yield site
    await site.drain()
    await site.close()


def engines_of(site: LocalSite) -> list[EngineStandIn]:
    found = [endpoint.standin for endpoint in site.endpoints]
    return [engine for engine in found if isinstance(engine, EngineStandIn)]


async def pause(engines: list[EngineStandIn]) -> None:
    """Let engines compute nothing for PAUSE_S."""
    for engine in engines:
        engine.batch.stalled = True
    await asyncio.sleep(PAUSE_S)
    for engine in engines:
        engine.batch.stalled = False


@pytest.mark.parametrize("pausing", [1, 6])
class TestPausingEngines:
    """Guards against a call that is cut or run again since its engine sent nothing for a second.

    The sidecar's limit on silence is 10 s, or half of the deadline of an idempotent class.
    """

    async def test_pause_before_the_first_token(self, site: LocalSite, pausing: int) -> None:
        pauses = asyncio.create_task(pause(engines_of(site)[:pausing]))
        await asyncio.sleep(0)
        callers = [Caller(site, number % 2) for number in range(CALLERS)]
        await asyncio.gather(*(caller.send() for caller in callers))
        await pauses
        self._require_whole_answers(site, callers)

    async def test_pause_inside_the_answer(self, site: LocalSite, pausing: int) -> None:
        callers = [Caller(site, number % 2) for number in range(CALLERS)]
        tasks = [asyncio.create_task(caller.send()) for caller in callers]
        await wait_until(lambda: any(caller.body for caller in callers))
        await pause(engines_of(site)[:pausing])
        await asyncio.gather(*tasks)
        self._require_whole_answers(site, callers)

    def _require_whole_answers(self, site: LocalSite, callers: list[Caller]) -> None:
        for caller in callers:
            assert not caller.failed
            caller.assert_complete()
            caller.client.close()
        runs = Counter(run["request_id"] for engine in engines_of(site) for run in engine.runs)
        assert list(runs.values()) == [1] * CALLERS
