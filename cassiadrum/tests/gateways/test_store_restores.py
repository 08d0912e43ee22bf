"""Tests of a store that is restored from an older copy."""

import asyncio
import json
import logging
import signal
import time

import pytest

from cassiadrum.gateways import Gateway, GatewaySettings
from cassiadrum.gateways.endpoint_directories import EndpointDirectory
from cassiadrum.gateways.endpoint_views import EndpointView
from cassiadrum.platform.call_codecs import PlatformProtocol
from cassiadrum.platform.followed_tables import FollowedTable
from cassiadrum.platform.headers import Header
from cassiadrum.platform.row_stores import RowStore
from cassiadrum.platform.standins import RowService, StoreFault
from cassiadrum.platform.store_eras import StoreEra
from cassiadrum.platform.store_followers import StoreFollower
from cassiadrum.platform.table_sinks import ENDPOINT_TABLE, ConfigurationSink, EndpointSink
from cassiadrum.protocols import Exchange, HttpServer
from cassiadrum.settings.addresses import Address
from cassiadrum.stores.errors import StoreUnavailable
from cassiadrum.tests.gateways.conftest import GatewaySubprocess
from cassiadrum.tests.gateways.makers import CACHE_TOKENS, make_entry
from cassiadrum.tests.gateways.sites import (
    DRAIN_S,
    REVOKE_S,
    Caller,
    PlatformSite,
    make_configuration,
    poll_until,
    wait_until,
    write_settings,
)
from cassiadrum.tests.gateways.store_machines import LAPSE_S, RETURN_GRACE_S

UNREADABLE_ERAS = ("-1", "x", "1.5", "9" * 400, "\u0661")


class TestStoreEra:
    """Guards against comparing versions from before and after a restore of the store.

    An era can arrive late, be unreadable, or come with a refusal.
    """

    def test_late_answer_of_an_older_era_is_rejected(self) -> None:
        era = StoreEra()
        assert era.observe("3")
        assert era.observe("5")
        assert not era.observe("4")
        assert era.number == 5

    @pytest.mark.parametrize("known", [None, 7])
    @pytest.mark.parametrize("text", ["", *UNREADABLE_ERAS])
    def test_unreadable_era_is_logged_once(
        self, text: str, known: int | None, caplog: pytest.LogCaptureFixture
    ) -> None:
        """An answer is rejected if its era may be older than the newest one."""
        era = StoreEra()
        era.number = known
        accepted = not text or known is None
        with caplog.at_level(logging.INFO):
            assert era.observe(text) is accepted
            assert era.observe(text) is accepted
        assert era.number == known
        assert len(caplog.records) == 1

    async def test_rows_of_an_unreadable_era_are_not_returned(self) -> None:
        eras = ["5", "x", "5"]

        async def answer(exchange: Exchange) -> None:
            page = {"rows": [], "ver": 1, "now_ms": 0, "truncated": False}
            await exchange.send_json(200, page, ((Header.STORE_ERA, eras.pop(0)),))

        server = HttpServer(answer)
        store = RowStore(Address("127.0.0.1", await server.start("127.0.0.1", 0)))
        await store.read_all(ENDPOINT_TABLE)
        with pytest.raises(StoreUnavailable):
            await store.read_all(ENDPOINT_TABLE)
        await store.read_all(ENDPOINT_TABLE)
        store.close()
        await server.abort()

    async def test_era_is_read_from_refusals(self) -> None:
        service = RowService()
        store = RowStore(Address("127.0.0.1", await service.start()))
        service.fault, service.era = StoreFault.BUSY, 4
        with pytest.raises(StoreUnavailable):
            await store.read_all(ENDPOINT_TABLE)
        assert store.era.number == 4
        store.close()
        await service.close()


class TestStoreFollower:
    """Guards against a follower that reads all rows repeatedly after a restore.

    The restored store is behind the version that the follower has read, with or without an era.
    """

    @pytest.mark.parametrize("era", [1, None])
    async def test_calls_after_a_restore_are_few(
        self, site: PlatformSite, era: int | None
    ) -> None:
        site.store.era = era
        cfg = GatewaySettings("a", 0.2, 1.0, 10.0, 4.75, True, RETURN_GRACE_S)
        gateway = Gateway(cfg, PlatformProtocol())
        tables = [FollowedTable("op", ConfigurationSink(gateway))]
        tables.append(FollowedTable(ENDPOINT_TABLE, EndpointSink(gateway)))
        store = RowStore(Address("127.0.0.1", site.store_port))
        follower = StoreFollower(store, tables[0], tables[1:], 0.1)
        task = asyncio.create_task(follower.run())
        await wait_until(lambda: len(gateway.directory) == 4)
        saved = site.store.snapshot()
        for version in range(2, 9):
            site.store.put("op", "config", make_configuration(version))
        await wait_until(
            lambda: (
                gateway.configuration.catalog is not None
                and gateway.configuration.catalog.version == 8
            )
        )
        site.store.restore(saved)
        calls = site.store.calls
        await asyncio.sleep(1.0)
        # One long poll every 0.1 s, and the full reads of two tables.
        assert site.store.calls - calls < 20
        site.store.remove(ENDPOINT_TABLE, "e-1")
        await asyncio.sleep(RETURN_GRACE_S)
        gateway.directory.expire(asyncio.get_running_loop().time())
        assert len(gateway.directory) == 3
        task.cancel()
        store.close()


class TestEndpointDirectory:
    """Guards against endpoints that return, or are lost, with an older copy of the store.

    The copy lacks endpoints that registered after it was made, and contains some that have left,
    lapsed or been replaced since.
    """

    @staticmethod
    def make_directory() -> EndpointDirectory:
        return EndpointDirectory(
            lambda entry: EndpointView(entry, CACHE_TOKENS),
            lambda incarnation: None,
            RETURN_GRACE_S,
            LAPSE_S,
        )

    def usable(self, directory: EndpointDirectory) -> set[str]:
        return {view.entry.instance for view in directory.usable("drafts")}

    def test_endpoint_missing_from_the_copy_is_kept_for_the_grace_period(self) -> None:
        directory = self.make_directory()
        directory.replace([make_entry("i-0"), make_entry("i-1")], 0.0)
        directory.store_restored(10.0)
        directory.replace([make_entry("i-0")], 10.1)
        assert self.usable(directory) == {"i-0", "i-1"}
        directory.put(make_entry("i-1"))
        directory.expire(10.0 + RETURN_GRACE_S)
        assert self.usable(directory) == {"i-0", "i-1"}

    def test_endpoint_that_does_not_register_again_is_dropped(self) -> None:
        directory = self.make_directory()
        directory.replace([make_entry("i-0"), make_entry("i-1")], 0.0)
        directory.store_restored(10.0)
        directory.replace([make_entry("i-0")], 10.1)
        directory.expire(10.0 + RETURN_GRACE_S)
        assert self.usable(directory) == {"i-0"}

    def test_removed_endpoint_returns_only_if_its_registration_lasts(self) -> None:
        """Guards against a live endpoint that is never used after a lapse and a restore."""
        directory = self.make_directory()
        directory.replace([make_entry("i-0"), make_entry("i-1")], 0.0)
        directory.remove("i-1", 5.0)
        directory.store_restored(10.0)
        directory.replace([make_entry("i-0"), make_entry("i-1")], 10.1)
        directory.expire(10.0 + LAPSE_S - 0.1)
        assert self.usable(directory) == {"i-0"}
        directory.expire(10.0 + LAPSE_S)
        assert self.usable(directory) == {"i-0", "i-1"}

    def test_removed_endpoint_that_lapses_again_never_returns(self) -> None:
        directory = self.make_directory()
        directory.replace([make_entry("i-0"), make_entry("i-1")], 0.0)
        directory.remove("i-1", 5.0)
        directory.store_restored(10.0)
        directory.replace([make_entry("i-0"), make_entry("i-1")], 10.1)
        directory.remove("i-1", 12.0)
        directory.expire(10.0 + LAPSE_S)
        assert self.usable(directory) == {"i-0"}

    def test_endpoint_that_left_never_returns(self) -> None:
        directory = self.make_directory()
        directory.replace([make_entry("i-0"), make_entry("i-1")], 0.0)
        directory.put(make_entry("i-1", leaving=True))
        directory.remove("i-1", 5.0)
        directory.store_restored(10.0)
        directory.replace([make_entry("i-0"), make_entry("i-1")], 10.1)
        directory.expire(10.0 + LAPSE_S)
        assert self.usable(directory) == {"i-0"}

    def test_replaced_incarnation_never_returns(self) -> None:
        directory = self.make_directory()
        directory.replace([make_entry("i-0"), make_entry("i-1")], 0.0)
        directory.put(make_entry("i-1", started_ms=2))
        directory.remove("i-1", 5.0)
        directory.store_restored(10.0)
        directory.replace([make_entry("i-0"), make_entry("i-1")], 10.1)
        directory.expire(10.0 + LAPSE_S)
        assert self.usable(directory) == {"i-0"}


@pytest.mark.integration
class TestGatewayProcess:
    """Guards against a gateway that returns to revoked keys and removed endpoints.

    Its store is restored from an older copy under traffic.
    """

    async def test_state_does_not_go_back_with_the_store(
        self, site: PlatformSite, caller: Caller, gateway: GatewaySubprocess
    ) -> None:
        saved = site.store.snapshot()
        tenants = [{"name": "st-martin", "api_keys": ["key-2"]}]
        site.store.put("op", "config", make_configuration(2, tenants=tenants))
        site.register("e-1", state="draining")
        site.store.remove("servers", "p-1")

        async def in_force() -> bool:
            return (await caller.call("/safe/a"))[0] == 401

        await poll_until(in_force)
        site.store.fault = StoreFault.RESET
        await asyncio.sleep(0.3)
        site.store.restore(saved)
        site.store.fault = StoreFault.NONE
        served = await self._call_for(REVOKE_S + 1.5, caller)
        assert served[0] == {401, 503}
        assert served[1] <= {200, 503}
        assert not site.endpoints["e-1"].runs
        assert all(run.target != "/safe/b" for run in site.endpoints["p-1"].runs)
        # The operator and the endpoints repeat their writes.
        site.store.put("op", "config", make_configuration(2, tenants=tenants))
        site.register("e-1", state="draining")
        site.store.remove("servers", "p-1")
        await gateway.wait_ready(limit_s=2.0)
        assert (await caller.call("/safe/a", key="key-2"))[0] == 200
        assert (await caller.call("/stream/a", key="key-2", events=3))[0] == 200
        assert not site.endpoints["e-1"].runs

    @staticmethod
    async def _call_for(seconds: float, caller: Caller) -> tuple[set[int], set[int]]:
        """Return the statuses of calls with the revoked key and with the valid one."""
        loop = asyncio.get_running_loop()
        end_s = loop.time() + seconds
        revoked, valid = set(), set()
        while loop.time() < end_s:
            revoked.add((await caller.call("/safe/b"))[0])
            valid.add((await caller.call("/stream/b", key="key-2", events=2))[0])
            await asyncio.sleep(0.02)
        return revoked, valid


@pytest.mark.integration
class TestChangedSettingsBesideARestore:
    """Guards against an endpoint that is gone and gets requests after a restore of the store.

    The settings change while the store is away, so that the gateway begins to read it anew.
    """

    async def test_removed_endpoint_of_the_copy_gets_no_requests(
        self, site: PlatformSite, gateway: GatewaySubprocess, caller: Caller
    ) -> None:
        copy = site.store.snapshot()
        site.store.remove(ENDPOINT_TABLE, "p-1")
        await asyncio.sleep(DRAIN_S)
        site.store.fault = StoreFault.SILENT
        settings = json.loads(gateway.settings_path.read_text())
        settings["bounds"]["retry_budget_slack"] += 1
        write_settings(gateway.settings_path, settings)
        gateway.process.send_signal(signal.SIGHUP)
        await wait_until(lambda: "settings changed" in gateway.log.read_text())
        site.store.restore(copy)
        site.store.fault = StoreFault.NONE
        runs = len(site.endpoints["p-1"].runs)
        end_s = time.monotonic() + 2.0
        served = 0
        while time.monotonic() < end_s:
            status, _, _ = await caller.call("/safe/a")
            served += status == 200
        assert served > 0
        assert len(site.endpoints["p-1"].runs) == runs
