"""Tests of engines behind sidecars that end on requests with a certain text in their prompts."""

import asyncio
import itertools
import json
from collections.abc import AsyncIterator
from typing import NamedTuple

import pytest

from cassiadrum.protocols import HttpClient, HttpError
from cassiadrum.roles import build_daemon
from cassiadrum.settings import parse_settings
from cassiadrum.sites import LocalSite
from cassiadrum.standins import EngineStandIn
from cassiadrum.tests.sites import example

# Engines that may end in all, and requests that may still reach one afterwards.
MAX_CRASHES = 5
MAX_LATE = 3
# Crashes under one whole request from which on such arrivals count.
RULE_CRASHES = 3
HARMFUL = "the cracked clapper of St. Martin"
# Longer than the first length of a prefix, so that requests share it.
HARMFUL_PREFIX = f"Assess {HARMFUL}, of which we had a report in autumn; it is the same. "
SOUND_PREFIX = "Assess the clapper of St. Nikolaus, of which we had a report in spring; same. "
ENTRIES = 2


class Answer(NamedTuple):
    """Status and JSON or event text of an answer; status 0 if it broke off."""

    status: int
    body: bytes

    @property
    def is_refused(self) -> bool:
        return self.status == 503 and json.loads(self.body)["reason"] == "harmful_content"


class Callers:
    """Callers of the entry instances, whose requests are all different."""

    def __init__(self, site: LocalSite) -> None:
        self._site = site
        self._numbers = itertools.count()

    async def call(self, prefix: str, entry: int | None = None) -> Answer:
        return await self.send(f"{prefix}Number {next(self._numbers)}", entry)

    async def send(self, prompt: str, entry: int | None = None) -> Answer:
        """Send a request with a prompt, to the entry instances in turn unless one is given."""
        number = next(self._numbers)
        address = self._site.entry_address(number % ENTRIES if entry is None else entry)
        host, _, port = address.rpartition(":")
        client = HttpClient(host, int(port))
        body = {"prompt": prompt, "stream": True, "max_tokens": 3}
        headers = (("x-customer", "st-martin"),)
        target = "/services/sprachdienst/v1/completions"
        try:
            response = await client.request("POST", target, headers, json.dumps(body).encode())
            return Answer(response.status, await response.read())
        except HttpError:
            return Answer(0, b"")
        finally:
            client.close()


def engines_of(site: LocalSite) -> list[EngineStandIn]:
    found = [endpoint.standin for endpoint in site.endpoints]
    return [engine for engine in found if isinstance(engine, EngineStandIn)]


def crashes(site: LocalSite) -> int:
    return sum(len(engine.crashes_s) for engine in engines_of(site))


@pytest.fixture
async def site() -> AsyncIterator[LocalSite]:
    text = example("sprachdienst").replace("retry_budget = 0.1", "retry_budget = 1.0")
    site = LocalSite([text], entries=ENTRIES, step_s=0.01)
    await site.start()
    for engine in engines_of(site):
        engine.harmful_text = HARMFUL
    yield site
    for daemon in (*site.entries, *(endpoint.sidecar for endpoint in site.endpoints)):
        await daemon.close()
    await site.close()


async def crash_engines(site: LocalSite, callers: Callers) -> None:
    """Send harmful requests until they are refused."""
    async with asyncio.timeout(30):
        while not (await callers.call(HARMFUL_PREFIX)).is_refused:
            assert (await callers.call(SOUND_PREFIX)).status == 200
            await asyncio.sleep(0.3)


class TestHarmfulRequests:
    """Guards against requests that end one engine after the other behind sidecars."""

    async def test_engines_end_five_times_at_most(self, site: LocalSite) -> None:
        callers = Callers(site)
        assert (await callers.call(SOUND_PREFIX)).status == 200
        sound: list[Answer] = []
        for _ in range(12):
            await callers.call(HARMFUL_PREFIX)
            sound.append(await callers.call(SOUND_PREFIX))
            await asyncio.sleep(0.3)
        assert crashes(site) <= MAX_CRASHES + MAX_LATE
        before = crashes(site)
        answers = [await callers.call(HARMFUL_PREFIX) for _ in range(4)]
        assert all(answer.is_refused for answer in answers)
        assert all(json.loads(answer.body)["ran"] == "no" for answer in answers)
        assert crashes(site) == before
        assert [answer.status for answer in sound] == [200] * len(sound)

    async def test_first_request_is_not_sent_on(self, site: LocalSite) -> None:
        answer = await Callers(site).call(HARMFUL_PREFIX)
        assert answer.status != 200 or b"error" in answer.body
        assert crashes(site) == 1

    async def test_new_entry_instance_learns_it_from_the_sidecars(self, site: LocalSite) -> None:
        callers = Callers(site)
        await crash_engines(site, callers)
        before = crashes(site)
        await site.entries.pop(0).close()
        platform = "".join(f'{k} = "{v}"\n' for k, v in site.platform_addresses.items())
        settings = (
            'role = "entry"\ninstance = "entry-9"\nzone = "muenchen-a"\n[platform]\n' + platform
        )
        entry = build_daemon(parse_settings(settings))
        site.entries.insert(0, entry)
        await entry.start()
        async with asyncio.timeout(20):
            while len(entry.status()["links"]) < len(site.endpoints):  # noqa: ASYNC110
                await asyncio.sleep(0.02)
        assert (await callers.call(HARMFUL_PREFIX, entry=0)).is_refused
        assert (await callers.call(SOUND_PREFIX, entry=0)).status == 200
        assert crashes(site) == before


class TestDeadlyRequest:
    """Guards against one request that comes again and again and ends one engine each time."""

    @pytest.mark.parametrize("prefix", [SOUND_PREFIX, HARMFUL_PREFIX], ids=["known", "new"])
    async def test_it_ends_few_engines_and_others_are_served(
        self, site: LocalSite, prefix: str
    ) -> None:
        callers = Callers(site)
        prompt = f"{prefix}This one has {HARMFUL}."
        for engine in engines_of(site):
            engine.harmful_text = prompt
        assert (await callers.call(SOUND_PREFIX)).status == 200
        answers = []
        for number in range(14):
            answers.append(await callers.send(prompt, entry=number % ENTRIES))
            assert (await callers.call(SOUND_PREFIX)).status == 200
            await asyncio.sleep(0.3)
        assert crashes(site) <= RULE_CRASHES + MAX_LATE
        assert all(answer.is_refused for answer in answers[-6:])
        assert (await callers.call(prefix)).status == 200

    async def test_several_at_once(self, site: LocalSite) -> None:
        callers = Callers(site)
        prompts = [f"{SOUND_PREFIX}{number} has {HARMFUL}." for number in range(3)]
        assert (await callers.call(SOUND_PREFIX)).status == 200
        for number in range(20):
            await asyncio.gather(*(callers.send(prompt, number % ENTRIES) for prompt in prompts))
            await asyncio.sleep(0.3)
        assert crashes(site) <= len(prompts) * (RULE_CRASHES + MAX_LATE)
        assert all([(await callers.send(prompt)).is_refused for prompt in prompts])
        assert (await callers.call(SOUND_PREFIX)).status == 200
