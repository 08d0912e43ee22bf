"""Tests of the registration of gateways in the store's table."""

import asyncio
import base64
import time
from collections.abc import AsyncIterator, Callable

import msgspec
import pytest

from cassiadrum.gateways import Fleet, Incarnation, LimitBoard, LimitNotice, SingleGateway
from cassiadrum.platform.fleet_registrations import RESTART_S, FleetRegistration
from cassiadrum.platform.fleet_sinks import FLEET_TABLE, MAX_REMOVED_ROWS, FleetSink
from cassiadrum.platform.followed_tables import FollowedTable, TableSink
from cassiadrum.platform.limit_news import LIMIT_NEWS_INTERVAL_S, LimitFleetNews
from cassiadrum.platform.member_rows import MemberRow
from cassiadrum.platform.row_pages import ChangedRow, RowPage
from cassiadrum.platform.row_stores import RowStore
from cassiadrum.platform.standins import RowService, StoreFault
from cassiadrum.platform.store_followers import StoreFollower
from cassiadrum.settings.addresses import Address
from cassiadrum.tests.gateways.sites import GRACE_S, wait_until

OUTDATED_S = 1.0
WAIT_S = 0.1
NAME = "front-a-1"


class IgnoringSink(TableSink):
    """A sink of the leading table that ignores its rows."""

    async def replace(self, page: RowPage) -> None: ...

    async def apply_changes(self, page: RowPage) -> None: ...

    def store_returned(self, last_answer_s: float | None) -> None: ...

    def store_restored(self) -> None: ...


class Process:
    """The parts of a gateway process that follow and write the table."""

    def __init__(self, port: int, name: str, clock: Callable[[], float]) -> None:
        store = RowStore(Address("127.0.0.1", port), clock)
        self.fleet = Fleet(name, OUTDATED_S, clock)
        self.limits = LimitBoard(self.fleet, clock, clock)
        news = [LimitFleetNews(self.limits)]
        self.sink = FleetSink(self.fleet, news, name)
        self.registration = FleetRegistration(store, self.fleet, news, self.sink, name, clock)
        tables = FollowedTable("op", IgnoringSink()), FollowedTable(FLEET_TABLE, self.sink)
        self._follower = StoreFollower(store, tables[0], tables[1:], WAIT_S)
        self._tasks: list[asyncio.Task[None]] = []

    def start(self) -> None:
        runs = self._follower.run(), self.registration.run()
        self._tasks = [asyncio.create_task(run) for run in runs]

    def stop(self) -> None:
        for task in self._tasks:
            task.cancel()

    def share(self) -> float:
        return self.fleet.share("i-0", 100)


class Site:
    """A store and the processes on it."""

    def __init__(self) -> None:
        self.store = RowService()
        self.processes: list[Process] = []
        self._port = 0

    async def start(self) -> None:
        self._port = await self.store.start()
        self.store.put("op", "config", {})

    def launch(self, name: str = NAME) -> Process:
        process = Process(self._port, name, time.monotonic)
        self.processes.append(process)
        process.start()
        return process

    def row(self, name: str = NAME) -> MemberRow | None:
        for row in self.store.rows(FLEET_TABLE):
            if row["key"] == name:
                return msgspec.json.decode(base64.b64decode(row["value"]), type=MemberRow)
        return None

    async def close(self) -> None:
        for process in self.processes:
            process.stop()
        await self.store.close()


@pytest.fixture
async def table_site() -> AsyncIterator[Site]:
    site = Site()
    await site.start()
    yield site
    await site.close()


class TestFleetRegistration:
    """Guards against a gateway that others do not count, or that uses a share too early."""

    async def test_gateways_know_each_other_and_share(self, table_site: Site) -> None:
        processes = [table_site.launch(f"g-{number}") for number in range(3)]
        await wait_until(lambda: [p.share() for p in processes] == [1 / 3] * 3)

    async def test_new_gateway_has_no_share_until_the_others_count_it(
        self, table_site: Site
    ) -> None:
        first = table_site.launch("g-1")
        await wait_until(lambda: first.share() == 1.0)
        second = table_site.launch("g-2")
        while second.share() == 0.0:
            assert first.share() in (1.0, 0.5)
            await asyncio.sleep(0.02)
        assert first.share() + second.share() <= 1.0

    async def test_process_that_finds_its_registration_has_its_share_at_once(
        self, table_site: Site
    ) -> None:
        store_ms = time.monotonic() * 1000
        row = MemberRow(joined_ms=store_ms - 60_000, expires_ms=store_ms + 60_000)
        table_site.store.put(FLEET_TABLE, NAME, msgspec.json.encode(row))
        process = table_site.launch()
        async with asyncio.timeout(OUTDATED_S / 2):
            await wait_until(lambda: process.share() == 1.0)
        found = table_site.row()
        assert found is not None
        assert found.joined_ms == pytest.approx(row.joined_ms, abs=1.0)

    async def test_expired_registration_is_not_taken_over(self, table_site: Site) -> None:
        store_ms = time.monotonic() * 1000
        row = MemberRow(joined_ms=store_ms - 60_000, expires_ms=store_ms - 1)
        table_site.store.put(FLEET_TABLE, NAME, msgspec.json.encode(row))
        process = table_site.launch()
        await wait_until(lambda: process.fleet.size == 1 and process.sink.own_version > 2)
        assert process.share() == 0.0

    async def test_registration_that_a_restored_store_lost_is_written_again(
        self, table_site: Site
    ) -> None:
        saved = table_site.store.snapshot()
        process = table_site.launch()
        await wait_until(lambda: process.share() == 1.0)
        before = table_site.row()
        table_site.store.restore(saved)
        assert table_site.row() is None
        await wait_until(lambda: table_site.row() is not None)
        after = table_site.row()
        assert before is not None
        assert after is not None
        assert after.joined_ms == pytest.approx(before.joined_ms, abs=50.0)

    async def test_row_that_changed_meanwhile_is_overwritten(self, table_site: Site) -> None:
        """Guards against a write whose answer was lost and that makes all later ones conflict."""
        process = table_site.launch()
        await wait_until(lambda: process.share() == 1.0)
        process.stop()
        row = MemberRow(joined_ms=0.0, expires_ms=1.0)
        table_site.store.put(FLEET_TABLE, NAME, msgspec.json.encode(row))
        await process.registration.register()
        found = table_site.row()
        assert found is not None
        assert found.expires_ms > time.monotonic() * 1000

    async def test_registration_is_tried_until_the_store_accepts_it(
        self, table_site: Site
    ) -> None:
        table_site.store.refuse_writes = True
        process = table_site.launch()
        await wait_until(lambda: process.sink.has_full_list)
        await asyncio.sleep(0.5)
        assert process.share() == 0.0
        table_site.store.refuse_writes = False
        await wait_until(lambda: process.share() == 1.0)

    async def test_stopped_gateway_frees_its_share_soon(self, table_site: Site) -> None:
        """Guards against a share that nobody uses after the fleet has become smaller."""
        first, second = table_site.launch("g-1"), table_site.launch("g-2")
        await wait_until(lambda: first.share() == second.share() == 0.5)
        second.registration.expire_after(GRACE_S)
        # The stopping gateway keeps its share during the grace time.
        await wait_until(lambda: self.lifetime_s(table_site, "g-2") < GRACE_S + RESTART_S)
        assert second.share() == 0.5
        second.stop()
        assert self.lifetime_s(table_site, "g-1") > GRACE_S + RESTART_S

    async def test_gateway_that_starts_again_keeps_its_row(self, table_site: Site) -> None:
        first = table_site.launch()
        await wait_until(lambda: first.share() == 1.0)
        first.registration.expire_after(GRACE_S)
        await wait_until(lambda: self.lifetime_s(table_site) < GRACE_S + RESTART_S)
        first.stop()
        second = table_site.launch()
        await wait_until(lambda: self.lifetime_s(table_site) > GRACE_S + RESTART_S)
        await wait_until(lambda: second.share() == 1.0)

    @staticmethod
    def lifetime_s(table_site: Site, name: str = NAME) -> float:
        row = table_site.row(name)
        assert row is not None
        return row.expires_ms / 1000 - time.monotonic()

    async def test_registration_about_to_expire_is_not_taken_over(self, table_site: Site) -> None:
        """Guards against a share that others have divided among themselves meanwhile."""
        store_ms = time.monotonic() * 1000
        row = MemberRow(joined_ms=store_ms - 60_000, expires_ms=store_ms + OUTDATED_S * 1000)
        table_site.store.put(FLEET_TABLE, NAME, msgspec.json.encode(row))
        process = table_site.launch()
        await wait_until(lambda: process.sink.own_version > 2)
        assert process.share() == 0.0

    async def test_new_gateway_removes_rows_that_expired(self, table_site: Site) -> None:
        """Guards against a table that grows with each machine that ever ran a gateway."""
        store_ms = time.monotonic() * 1000
        for number in range(MAX_REMOVED_ROWS + 1):
            row = MemberRow(joined_ms=0.0, expires_ms=store_ms - 3_600_000)
            table_site.store.put(FLEET_TABLE, f"old-{number}", msgspec.json.encode(row))
        row = MemberRow(joined_ms=0.0, expires_ms=store_ms + 60_000)
        table_site.store.put(FLEET_TABLE, "g-0", msgspec.json.encode(row))
        await self.start_one(table_site, "g-1")
        assert len(table_site.store.rows(FLEET_TABLE)) == 3
        await self.start_one(table_site, "g-2")
        keys = [row["key"] for row in table_site.store.rows(FLEET_TABLE)]
        assert keys == ["g-0", "g-1", "g-2"]

    async def start_one(self, table_site: Site, name: str) -> None:
        process = table_site.launch(name)
        await wait_until(lambda: process.share() > 0.0)

    async def test_removal_that_another_gateway_made_first_does_not_prevent_a_registration(
        self, table_site: Site
    ) -> None:
        store_ms = time.monotonic() * 1000
        row = MemberRow(joined_ms=0.0, expires_ms=store_ms - 3_600_000)
        table_site.store.put(FLEET_TABLE, "old", msgspec.json.encode(row))
        processes = [table_site.launch(f"g-{number}") for number in range(3)]
        await wait_until(lambda: [p.share() for p in processes] == [1 / 3] * 3)
        assert len(table_site.store.rows(FLEET_TABLE)) == 3

    async def test_refused_registrations_become_rare(self, table_site: Site) -> None:
        """Guards against a fleet that uses up the store's rate of writes with its own tries."""
        table_site.store.refuse_writes = True
        process = table_site.launch()
        await wait_until(lambda: process.sink.has_full_list)
        # Doubled pauses permit seven tries, pauses of up to a second at least eight.
        await asyncio.sleep(6.0)
        assert table_site.store.writes <= 7

    async def test_registration_follows_the_return_of_the_store(self, table_site: Site) -> None:
        process = table_site.launch()
        await wait_until(lambda: process.share() == 1.0)
        process.registration.expire_after(GRACE_S)
        table_site.store.fault = StoreFault.RESET
        await asyncio.sleep(3.0)
        table_site.store.fault = StoreFault.NONE
        async with asyncio.timeout(1.5):
            await wait_until(lambda: self.lifetime_s(table_site) < GRACE_S + RESTART_S)

    async def test_gateway_that_lost_the_store_gives_up_its_share(self, table_site: Site) -> None:
        process = table_site.launch()
        await wait_until(lambda: process.share() == 1.0)
        table_site.store.fault = StoreFault.RESET
        await wait_until(lambda: process.share() == 0.5)
        await wait_until(lambda: process.share() == 0.0)
        table_site.store.fault = StoreFault.NONE
        await wait_until(lambda: process.share() == 1.0)


class TestNewsOfLimits:
    """Guards against a gateway without a share that never learns of a limit or of its end."""

    ENDPOINT = Incarnation("i-0", Address("127.0.0.1", 9000), 1)

    async def test_gateways_learn_limits_and_their_end_from_each_other(
        self, table_site: Site
    ) -> None:
        first, second = table_site.launch("g-1"), table_site.launch("g-2")
        await wait_until(lambda: first.share() == second.share() == 0.5)
        told = first.limits.for_incarnation(self.ENDPOINT)
        other = second.limits.for_incarnation(self.ENDPOINT)
        now = time.monotonic()
        told.record_answer(LimitNotice("3", 3.0), now - 0.1, now)
        await wait_until(lambda: other.rate_per_s == 3.0)
        now = time.monotonic()
        told.record_answer(None, now, now)
        await wait_until(lambda: other.rate_per_s is None)

    async def test_limit_is_told_before_the_gateway_has_a_share(self, table_site: Site) -> None:
        """Guards against a limit that is never told, as no list was current when it was stated."""
        process = table_site.launch()
        await wait_until(lambda: table_site.row() is not None)
        now = time.monotonic()
        limit = process.limits.for_incarnation(self.ENDPOINT)
        limit.record_answer(LimitNotice("3", 3.0), now - 0.1, now)
        assert process.share() == 0.0
        await wait_until(lambda: (row := table_site.row()) is not None and bool(row.limits))

    async def test_only_gateways_that_may_use_the_endpoint_tell_its_limit(
        self, table_site: Site
    ) -> None:
        """Guards against a write of every gateway for one limit of one endpoint."""
        processes = [table_site.launch(f"g-{number}") for number in range(8)]
        await wait_until(lambda: all(process.fleet.size == 8 for process in processes))
        now = time.monotonic()
        for process in processes:
            limit = process.limits.for_incarnation(self.ENDPOINT)
            limit.record_answer(LimitNotice("0.5", 0.5), now - 0.1, now)
        await asyncio.sleep(LIMIT_NEWS_INTERVAL_S + 2 * WAIT_S + 0.5)
        rows = [table_site.row(f"g-{number}") for number in range(8)]
        assert 1 <= sum(row is not None and bool(row.limits) for row in rows) <= 3

    async def test_new_gateway_knows_a_limit_before_its_first_request(
        self, table_site: Site
    ) -> None:
        first = table_site.launch("g-1")
        await wait_until(lambda: first.share() == 1.0)
        now = time.monotonic()
        first.limits.for_incarnation(self.ENDPOINT).record_answer(
            LimitNotice("3", 3.0), now - 0.1, now
        )
        await wait_until(lambda: (row := table_site.row("g-1")) is not None and bool(row.limits))
        second = table_site.launch("g-2")
        await wait_until(lambda: second.sink.has_full_list)
        assert second.limits.for_incarnation(self.ENDPOINT).rate_per_s == 3.0

    async def test_news_that_arrive_during_a_write_are_told(self, table_site: Site) -> None:
        process = table_site.launch()
        await wait_until(lambda: process.share() == 1.0)
        # The row with the first limit is on its way while the second one is learned.
        table_site.store.slow_s = 0.3
        for number in range(2):
            now = time.monotonic()
            endpoint = self.ENDPOINT._replace(instance=f"i-{number}")
            limit = process.limits.for_incarnation(endpoint)
            limit.record_answer(LimitNotice("3", 3.0), now - 0.1, now)
            await asyncio.sleep(0.1)
        await wait_until(lambda: (row := table_site.row()) is not None and len(row.limits) == 2)

    async def test_restarted_gateway_tells_on_what_it_told(self, table_site: Site) -> None:
        """Guards against a limit that nobody tells any more after all gateways were restarted."""
        first = table_site.launch()
        await wait_until(lambda: first.share() == 1.0)
        now = time.monotonic()
        limit = first.limits.for_incarnation(self.ENDPOINT)
        limit.record_answer(LimitNotice("3", 3.0), now - 0.1, now)
        await wait_until(lambda: (row := table_site.row()) is not None and bool(row.limits))
        first.stop()
        second = table_site.launch()
        await wait_until(lambda: second.share() > 0.0)
        row = table_site.row()
        assert row is not None
        assert [limit.rate_per_s for limit in row.limits] == [3.0]

    def test_limit_of_an_endpoint_that_is_gone_is_forgotten(self) -> None:
        now = 1000.0
        board = LimitBoard(SingleGateway(), lambda: now, lambda: now)
        limit = board.for_incarnation(self.ENDPOINT)
        limit.record_answer(LimitNotice("3", 3.0), now - 0.1, now)
        now += 500.0
        assert len(board.own_news()) == 1
        limit.record_answer(LimitNotice("3", 3.0), now - 0.1, now)
        now += 500.0
        assert len(board.own_news()) == 1
        now += 500.0
        assert board.own_news() == []

    async def test_superseded_news_are_withdrawn(self, table_site: Site) -> None:
        """Guards against a limit that a gateway tells on after others have told its end."""
        first, second = table_site.launch("g-1"), table_site.launch("g-2")
        await wait_until(lambda: first.share() == second.share() == 0.5)
        now = time.monotonic()
        first.limits.for_incarnation(self.ENDPOINT).record_answer(
            LimitNotice("3", 3.0), now - 0.1, now
        )
        other = second.limits.for_incarnation(self.ENDPOINT)
        await wait_until(lambda: other.rate_per_s == 3.0)
        now = time.monotonic()
        other.record_answer(None, now, now)
        await wait_until(lambda: (row := table_site.row("g-1")) is not None and not row.limits)

    async def test_older_news_do_not_replace_an_own_answer(self, table_site: Site) -> None:
        process = table_site.launch()
        await wait_until(lambda: process.share() == 1.0)
        now = time.monotonic()
        limit = process.limits.for_incarnation(self.ENDPOINT)
        limit.record_answer(LimitNotice("3", 3.0), now - 0.1, now)
        limit.record_news(None, now - 0.01, now)
        assert limit.rate_per_s == 3.0
        limit.record_news(9.0, now + 0.01, now + 0.1)
        assert limit.rate_per_s == 9.0


class TestFleetSink:
    """Guards against a row of another writer that ends the list of members."""

    @pytest.mark.parametrize(
        "content",
        [
            b"",
            b"{}",
            b"[1]",
            b'{"joined_ms": "x"}',
            b"\xff",
            b'{"joined_ms":1,"expires_ms":2,"limits":[{"instance":"i","address":"nowhere",'
            b'"started_ms":1,"rate_per_s":1,"made_ms":1}]}',
            b'{"joined_ms":1,"expires_ms":2,"limits":[{"instance":"i","address":"127.0.0.1:1",'
            b'"started_ms":1,"rate_per_s":1e308,"made_ms":1}]}',
            b'{"joined_ms":1,"expires_ms":2,"limits":[{"instance":"i","address":"127.0.0.1:1",'
            b'"started_ms":1,"rate_per_s":-1,"made_ms":1}]}',
        ],
    )
    async def test_invalid_row_is_ignored(
        self, content: bytes, caplog: pytest.LogCaptureFixture
    ) -> None:
        fleet = Fleet(NAME, OUTDATED_S, lambda: 100.0)
        limits = LimitBoard(fleet, lambda: 100.0, lambda: 100.0)
        sink = FleetSink(fleet, [LimitFleetNews(limits)], NAME)
        valid = msgspec.json.encode(MemberRow(joined_ms=0.0, expires_ms=1e9))
        rows = (ChangedRow("g-1", content, 1), ChangedRow("g-2", valid, 2))
        await sink.replace(RowPage(rows, 2, 90.0, 100.0, 100.0))
        assert fleet.size == 2
        assert "registration of a gateway rejected" in caplog.text
