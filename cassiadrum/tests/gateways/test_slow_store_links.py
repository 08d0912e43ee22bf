"""Tests of reads of the store's tables over links that are slow for the size of the rows."""

import asyncio
import base64
import contextlib
import json
import os
import statistics
import time
from collections.abc import AsyncIterator

import pytest

from cassiadrum.platform.errors import AnswerCutOff
from cassiadrum.platform.followed_tables import FollowedTable, TableSink
from cassiadrum.platform.link_shares import BURST_BYTES, LinkShare
from cassiadrum.platform.row_pages import RowPage
from cassiadrum.platform.row_stores import RESPONSE_TIMEOUT_S, RowStore
from cassiadrum.platform.standins import RowService, StoreFault
from cassiadrum.platform.store_followers import StoreFollower
from cassiadrum.protocols import Exchange, Handler, HttpClient, HttpServer
from cassiadrum.settings.addresses import Address
from cassiadrum.stores.errors import StoreUnavailable
from cassiadrum.tests.gateways.sites import wait_until
from cassiadrum.tests.gateways.slow_links import LinkProxy, SlowLink

CONFIGURATION_BYTES = 350_000
LARGEST_ROW_BYTES = 1_000_000
# Base64 in the answer.
ENCODED = 4 / 3
# `config_apply_ms` of the deployments with the slowest links.
APPLY_S = 3.0
# Longest wait for changes that follows from their bounds.
WAIT_S = 1.0
VERSIONS_WHILE_AWAY = 4
# `pass_ms` of the deployments: how late an event of a stream may reach its caller.
PASS_S = 0.12


class VersionSink(TableSink):
    """A sink that keeps the rows and records when they changed."""

    def __init__(self) -> None:
        self.rows: dict[str, bytes] = {}

    async def replace(self, page: RowPage) -> None:
        self.rows.clear()
        await self.apply_changes(page)

    async def apply_changes(self, page: RowPage) -> None:
        for row in page.rows:
            self.rows.pop(row.key, None)
            if row.content is not None:
                self.rows[row.key] = row.content

    def store_returned(self, last_answer_s: float | None) -> None: ...

    def store_restored(self) -> None: ...


class Follower:
    """A gateway's reads of the store behind a link of its own."""

    def __init__(self, port: int, link: SlowLink, link_bytes_per_s: float | None = None) -> None:
        self.link = link
        self._link_bytes_per_s = link_bytes_per_s
        self.proxy = LinkProxy(port, link)
        self.configuration = VersionSink()
        self.endpoints = VersionSink()
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        await self.proxy.start()
        address = Address("127.0.0.1", self.proxy.port)
        store = RowStore(address, link_bytes_per_s=self._link_bytes_per_s)
        tables = FollowedTable("op", self.configuration), FollowedTable("servers", self.endpoints)
        follower = StoreFollower(store, tables[0], tables[1:], WAIT_S)
        self._task = asyncio.create_task(follower.run())

    def has(self, content: bytes) -> bool:
        return self.configuration.rows.get("config") == content

    async def close(self) -> None:
        assert self._task is not None
        self._task.cancel()
        await self.proxy.close()


class Site:
    """A store and the gateways that follow it."""

    def __init__(self) -> None:
        self.store = RowService()
        self.port = 0
        self._followers: list[Follower] = []

    def add(self, follower: Follower) -> None:
        """Let `close` stop a follower, too."""
        self._followers.append(follower)

    async def follow(self, link: SlowLink) -> Follower:
        follower = Follower(self.port, link)
        self.add(follower)
        await follower.start()
        return follower

    def put_configuration(self, size: int) -> bytes:
        content = os.urandom(size)
        self.store.put("op", "config", content)
        return content

    async def close(self) -> None:
        for follower in self._followers:
            await follower.close()
        await self.store.close()


@contextlib.asynccontextmanager
async def serving(handler: Handler) -> AsyncIterator[RowStore]:
    """Serve a handler as the store and return a client of it."""
    server = HttpServer(handler)
    store = RowStore(Address("127.0.0.1", await server.start("127.0.0.1", 0)))
    yield store
    store.close()
    await server.abort()


@pytest.fixture
async def site() -> AsyncIterator[Site]:
    site = Site()
    site.port = await site.store.start()
    yield site
    await site.close()


async def seconds_until_in_force(follower: Follower, content: bytes, limit_s: float) -> float:
    """Return the time until a configuration is in force; fail after `limit_s`."""
    start_s = time.monotonic()
    await wait_until(lambda: follower.has(content), limit_s)
    return time.monotonic() - start_s


def limit_s(link: SlowLink, size: int, readers: int = 1) -> float:
    """Return the time for a configuration to be in force: the bound, or twice its transfer."""
    return max(APPLY_S, 2.0 * readers * link.seconds(int(size * ENCODED)) + 1.0)


class TestConfigurationOverSlowLink:
    """A call given up midway, and begun anew, kept old configurations in force (CONFIG)."""

    @pytest.mark.parametrize("mbps", [2.0, 2.5, 10.0])
    @pytest.mark.parametrize("size", [CONFIGURATION_BYTES, LARGEST_ROW_BYTES])
    async def test_start_ends(self, site: Site, mbps: float, size: int) -> None:
        link = SlowLink(mbps)
        content = site.put_configuration(size)
        follower = await site.follow(link)
        await seconds_until_in_force(follower, content, limit_s(link, size))

    @pytest.mark.parametrize("mbps", [2.0, 5.0, 10.0])
    @pytest.mark.parametrize("size", [CONFIGURATION_BYTES, LARGEST_ROW_BYTES])
    async def test_newest_version_is_read_after_the_store_turned_the_gateway_away(
        self, site: Site, mbps: float, size: int
    ) -> None:
        link = SlowLink(1000.0)
        content = site.put_configuration(size)
        follower = await site.follow(link)
        await seconds_until_in_force(follower, content, APPLY_S)
        site.store.fault = StoreFault.BUSY
        await asyncio.sleep(WAIT_S + 0.5)
        link.bytes_per_s = SlowLink(mbps).bytes_per_s
        for _ in range(VERSIONS_WHILE_AWAY):
            content = site.put_configuration(size)
        carried = link.carried
        site.store.fault = StoreFault.NONE
        await seconds_until_in_force(follower, content, limit_s(link, size))
        # One read, and what was on its way when the history was given up.
        assert link.carried - carried < 1.5 * size * ENCODED

    async def test_newest_version_is_in_force_among_many(self, site: Site) -> None:
        link = SlowLink(2.0)
        follower = await site.follow(link)
        for _ in range(12):
            content = site.put_configuration(CONFIGURATION_BYTES)
            await asyncio.sleep(0.4)
        # One version may be on its way when the newest is written.
        await seconds_until_in_force(
            follower, content, limit_s(link, CONFIGURATION_BYTES, readers=2)
        )

    async def test_all_gateways_return_at_once(self, site: Site) -> None:
        link = SlowLink(1000.0)
        content = site.put_configuration(CONFIGURATION_BYTES)
        followers = [await site.follow(link) for _ in range(8)]
        for follower in followers:
            await seconds_until_in_force(follower, content, APPLY_S)
        site.store.fault = StoreFault.BUSY
        await asyncio.sleep(WAIT_S + 0.5)
        link.bytes_per_s = SlowLink(10.0).bytes_per_s
        for _ in range(VERSIONS_WHILE_AWAY):
            content = site.put_configuration(CONFIGURATION_BYTES)
        site.store.fault = StoreFault.NONE
        longest_s = limit_s(link, CONFIGURATION_BYTES, readers=len(followers))
        async with asyncio.timeout(longest_s):
            for follower in followers:
                await seconds_until_in_force(follower, content, longest_s)


class TestBrokenTransfers:
    """Guards against calls that never end, and against reads that begin anew for ever."""

    async def test_call_that_trickles_is_given_up(self) -> None:
        """A byte every 0.1 s, for ever, must not keep the follower from a new connection."""

        async def trickle(exchange: Exchange) -> None:
            await exchange.send_head(200, (("content-length", str(CONFIGURATION_BYTES)),))
            while not exchange.disconnected.is_set():
                await exchange.send_data(b" ")
                await asyncio.sleep(0.1)

        async with serving(trickle) as store:
            start_s = time.monotonic()
            with pytest.raises(AnswerCutOff):
                await store.read_all("op")
            assert time.monotonic() - start_s < 2 * RESPONSE_TIMEOUT_S + 0.5

    async def test_small_answer_without_a_length_has_to_arrive_in_time(self) -> None:
        """A short answer in chunks must not get the time of a large one."""

        async def stall(exchange: Exchange) -> None:
            await exchange.send_head(200)
            await exchange.send_data(b'{"rows": [')
            await exchange.disconnected.wait()

        async with serving(stall) as store:
            start_s = time.monotonic()
            with pytest.raises(StoreUnavailable):
                await store.read_all("op")
            assert time.monotonic() - start_s < RESPONSE_TIMEOUT_S + 0.5

    async def test_transfer_that_stalls_is_begun_on_a_new_connection(self, site: Site) -> None:
        link = SlowLink(10.0)
        content = site.put_configuration(CONFIGURATION_BYTES)
        follower = Follower(site.port, link)
        follower.proxy.stall_after = 200_000
        site.add(follower)
        await follower.start()
        await wait_until(lambda: follower.proxy.accepted > 0)
        follower.proxy.stall_after = None
        await seconds_until_in_force(
            follower, content, limit_s(link, CONFIGURATION_BYTES, readers=2)
        )

    async def test_rows_that_arrived_count(self, site: Site) -> None:
        """Every connection is reset after a fifth of the table, so no read ends in one piece."""
        for number in range(400):
            site.store.put("servers", f"i-{number:04}", os.urandom(1000))
        site.put_configuration(100)
        follower = Follower(site.port, SlowLink(100.0))
        follower.proxy.reset_after = 120_000
        site.add(follower)
        await follower.start()
        await wait_until(lambda: len(follower.endpoints.rows) == 400, 10.0)

    async def test_changes_that_are_cut_off_are_replaced_by_a_read_of_pages(
        self, site: Site
    ) -> None:
        for number in range(400):
            site.store.put("servers", f"i-{number:04}", os.urandom(1000))
        site.put_configuration(100)
        follower = await site.follow(SlowLink(100.0))
        await wait_until(lambda: len(follower.endpoints.rows) == 400)
        follower.proxy.reset_after = 120_000
        changed = os.urandom(1000)
        for number in range(400):
            site.store.put("servers", f"i-{number:04}", changed)
        follower.proxy.cut()
        await wait_until(lambda: set(follower.endpoints.rows.values()) == {changed}, 10.0)

    async def test_history_without_a_length_is_given_up_for_the_newest_version(self) -> None:
        """The size of an answer in chunks shows only while it is read."""
        size, calls = 200_000, []
        row = base64.b64encode(os.urandom(size)).decode()

        async def serve(exchange: Exchange) -> None:
            calls.append(exchange.req.path)
            is_feed = exchange.req.path.endswith("feed")
            versions = range(5, 45 if is_feed else 6)
            rows = [{"table": "op", "part": "", "key": "config", "value": row, "ver": 50}]
            rows *= len(versions)
            data = json.dumps({"rows": rows, "ver": 50, "now_ms": 0}).encode()
            await exchange.send_head(200)
            for start in range(0, len(data), 16_384):
                await exchange.send_data(data[start : start + 16_384])
            await exchange.end()

        async with serving(serve) as store:
            sink = VersionSink()
            table = FollowedTable("op", sink)
            await table.apply(await table.read(store, 0.0, 0))
            table.version = 4
            answer = await table.read(store, 0.0, 0)
            assert answer.is_full
            assert calls == ["/-/rows-get", "/-/rows-feed", "/-/rows-get"]


class TestReadsBesideASlowOne:
    """Guards against changes of endpoints that wait for a large configuration to arrive."""

    async def test_changes_of_endpoints_are_known_while_a_configuration_arrives(
        self, site: Site
    ) -> None:
        link = SlowLink(1000.0)
        content = site.put_configuration(LARGEST_ROW_BYTES)
        follower = await site.follow(link)
        await seconds_until_in_force(follower, content, APPLY_S)
        link.bytes_per_s = SlowLink(2.0).bytes_per_s
        content = site.put_configuration(LARGEST_ROW_BYTES)
        await asyncio.sleep(0.1)
        site.store.put("servers", "i-1", b"draining")
        # A wait for changes, the time after which a step is slow, and the answer.
        await wait_until(lambda: follower.endpoints.rows.get("i-1") == b"draining", WAIT_S + 1.0)
        assert not follower.has(content)
        await seconds_until_in_force(follower, content, limit_s(link, LARGEST_ROW_BYTES))

    async def test_older_answer_does_not_replace_a_newer_one(self, site: Site) -> None:
        """Reads beside a slow one state newer versions than its answer, which was made before."""
        link = SlowLink(2.0)
        content = site.put_configuration(LARGEST_ROW_BYTES)
        follower = await site.follow(link)
        for number in range(8):
            await asyncio.sleep(0.5)
            site.store.put("servers", f"i-{number}", b"ready")
        await seconds_until_in_force(follower, content, limit_s(link, LARGEST_ROW_BYTES))
        await wait_until(lambda: len(follower.endpoints.rows) == 8)
        assert follower.proxy.accepted <= 2

    async def test_restore_that_is_detected_beside_a_slow_read_is_complete(
        self, site: Site
    ) -> None:
        """The answer on its way is of the store before the restore and must not stay."""
        link = SlowLink(1000.0)
        older = site.put_configuration(LARGEST_ROW_BYTES)
        site.store.put("servers", "i-1", b"older")
        copy = site.store.snapshot()
        follower = await site.follow(link)
        await seconds_until_in_force(follower, older, APPLY_S)
        link.bytes_per_s = SlowLink(2.0).bytes_per_s
        for _ in range(3):
            site.put_configuration(LARGEST_ROW_BYTES)
        await asyncio.sleep(0.5)
        site.store.restore(copy)
        site.store.put("servers", "i-1", b"newer")
        await wait_until(lambda: follower.endpoints.rows.get("i-1") == b"newer", WAIT_S + 2.0)
        await seconds_until_in_force(follower, older, limit_s(link, LARGEST_ROW_BYTES, readers=2))
        newest = site.put_configuration(100)
        await seconds_until_in_force(follower, newest, limit_s(link, LARGEST_ROW_BYTES))

    async def test_silent_store_gets_no_calls_beside(self, site: Site) -> None:
        """Reads beside a call that gets no answer would double the calls in an outage."""
        follower = await site.follow(SlowLink(1000.0))
        content = site.put_configuration(100)
        await seconds_until_in_force(follower, content, APPLY_S)
        calls = site.store.calls
        site.store.fault = StoreFault.SILENT
        await asyncio.sleep(WAIT_S + 4.0)
        # One call each 0.8 s and its pause, after the wait that was running.
        assert site.store.calls - calls <= 6


class TestLinkShare:
    """Guards against reads of the store that delay the answers to callers on the same link."""

    def test_small_answers_are_not_delayed(self) -> None:
        share = LinkShare(250_000.0, lambda: 0.0)
        assert share.reserve(BURST_BYTES) == 0.0

    def test_large_answer_leaves_a_part_of_the_link(self) -> None:
        now = 0.0
        share = LinkShare(250_000.0, lambda: now)
        for _ in range(100):
            now += share.reserve(8192)
        assert (100 * 8192 - BURST_BYTES) / now <= 0.76 * 250_000.0

    def test_idle_time_saves_no_more_than_a_burst(self) -> None:
        now = 0.0
        share = LinkShare(250_000.0, lambda: now)
        share.reserve(BURST_BYTES)
        now = 100.0
        assert share.reserve(BURST_BYTES) == 0.0
        assert share.reserve(8192) > 0.0

    def test_unknown_bandwidth_delays_nothing(self) -> None:
        assert LinkShare(None).reserve(10**9) == 0.0

    async def test_most_answers_of_others_pass_while_a_configuration_arrives(
        self, site: Site
    ) -> None:
        delays_s = await self._delays_beside_a_read_s(site)
        # Without a share the link's queue is full all the time, and each answer waits for it.
        assert statistics.median(delays_s) < PASS_S

    async def test_answers_of_others_pass_while_a_configuration_arrives(self, site: Site) -> None:
        delays_s = await self._delays_beside_a_read_s(site)
        assert delays_s[len(delays_s) * 95 // 100] < PASS_S

    async def _delays_beside_a_read_s(self, site: Site) -> list[float]:
        """Return the times of small answers while a configuration arrives, in order."""

        async def ping(exchange: Exchange) -> None:
            await exchange.send(200, b"x" * 200, "text/plain")

        link = SlowLink(2.0)
        server = HttpServer(ping)
        proxy = LinkProxy(await server.start("127.0.0.1", 0), link)
        client = HttpClient("127.0.0.1", await proxy.start())
        content = site.put_configuration(LARGEST_ROW_BYTES)
        follower = Follower(site.port, link, link_bytes_per_s=link.bytes_per_s)
        site.add(follower)
        await follower.start()
        delays_s = []
        while not follower.has(content):
            start_s = time.monotonic()
            await (await client.request("GET", "/")).read()
            delays_s.append(time.monotonic() - start_s)
            await asyncio.sleep(0.02)
        client.close()
        await proxy.close()
        await server.abort()
        return sorted(delays_s)
