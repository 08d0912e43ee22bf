"""Tests of connections to the store that fall silent while the store serves on."""

import asyncio
import contextlib
import time
from collections.abc import AsyncIterator

import pytest

from cassiadrum.platform.standins import RowService
from cassiadrum.protocols import Exchange
from cassiadrum.tests.gateways.conftest import GatewaySubprocess
from cassiadrum.tests.gateways.sites import Caller, PlatformSite

# `contact_ms` of the test sites: by then, a machine whose connections were lost acts on what the
# store has told.
CONTACT_S = 1.5
CASES = 3


class SilencedStore(RowService):
    """A store whose open calls fall silent for good, while new ones are answered."""

    def __init__(self) -> None:
        super().__init__()
        self._silenced: asyncio.Event = asyncio.Event()

    def silence_open_calls(self) -> None:
        """Answer none of the calls that are running."""
        self._silenced.set()
        self._silenced = asyncio.Event()

    async def _handle(self, exchange: Exchange) -> None:
        silenced = self._silenced
        serving = asyncio.create_task(super()._handle(exchange))
        waiting = asyncio.create_task(silenced.wait())
        await asyncio.wait([serving, waiting], return_when=asyncio.FIRST_COMPLETED)
        waiting.cancel()
        if not serving.done():
            serving.cancel()
            await exchange.disconnected.wait()


@pytest.fixture
async def site() -> AsyncIterator[PlatformSite]:
    site = PlatformSite()
    site.store = SilencedStore()
    await site.start()
    yield site
    await site.close()


@pytest.mark.integration
class TestSilentConnections:
    """Guards against an endpoint that is gone and gets requests.

    A gateway takes the silence of its own connections for an outage of the store, in which
    registrations lapse.
    """

    async def test_removed_endpoint_gets_no_requests_once_the_machine_is_in_touch(
        self, site: PlatformSite, gateway: GatewaySubprocess, caller: Caller
    ) -> None:
        assert isinstance(site.store, SilencedStore)
        for _ in range(CASES):
            silenced_s = time.monotonic()
            site.store.silence_open_calls()
            site.store.remove("servers", "p-1")
            await asyncio.sleep(silenced_s + CONTACT_S - time.monotonic())
            runs = len(site.endpoints["p-1"].runs)
            end_s = time.monotonic() + 1.5
            while time.monotonic() < end_s:
                with contextlib.suppress(ConnectionError):
                    await caller.call("/safe/a")
            assert len(site.endpoints["p-1"].runs) == runs
            site.register("p-1")
            await asyncio.sleep(CONTACT_S)
