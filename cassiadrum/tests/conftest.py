"""Hypothesis profiles and fixtures for all tests."""

import asyncio
from collections.abc import AsyncIterator

import pytest
from hypothesis import settings

from cassiadrum.commands import PLATFORM_VARIABLE
from cassiadrum.sites import LocalSite
from cassiadrum.tests.sites import example

# The same examples in every run and no deadline, so that neither another seed nor a busy machine
# changes the result.
settings.register_profile("repeatable", derandomize=True, deadline=None, database=None)
settings.register_profile("search", max_examples=3000, deadline=None, database=None)
settings.load_profile("repeatable")


@pytest.fixture
async def command_site(monkeypatch: pytest.MonkeyPatch) -> AsyncIterator[LocalSite]:
    """Run a site with an engine and a plain service; its address is in the environment."""
    site = LocalSite([example("permit-register"), example("sprachdienst")], entries=2)
    await site.start()
    daemons = [*site.entries, *(endpoint.sidecar for endpoint in site.endpoints)]
    # A started site does not yet have the documents of all services at every sidecar.
    while not all(len(daemon.status()["versions"]) == 2 for daemon in daemons):  # noqa: ASYNC110
        await asyncio.sleep(0.02)
    addresses = site.platform_addresses
    variable = f"{addresses['table_service']},{addresses['instance_list']}"
    monkeypatch.setenv(PLATFORM_VARIABLE, variable)
    yield site
    await site.drain()
    await site.close()
