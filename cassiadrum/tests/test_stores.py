"""Tests of the stores' clients against their stand-ins, over real sockets."""

import asyncio
import sys
import time
from collections.abc import AsyncIterator

import msgspec
import pytest

from cassiadrum.protocols import HttpClient, HttpRequest
from cassiadrum.standins import (
    Answer,
    Faults,
    InstanceListService,
    ObjectService,
    StandIn,
    TableService,
    WeightService,
)
from cassiadrum.stores import (
    CircuitBreaker,
    Conflict,
    Done,
    HttpInstanceList,
    HttpObjectStore,
    HttpTableStore,
    HttpWeightStore,
    Instance,
    Refused,
    StoreBudget,
    StoreTransport,
    StoreUnavailable,
    TableWrite,
    TokenBucket,
    Unknown,
)


async def open_transport(standin: StandIn, *, timeout_s: float = 2.0) -> StoreTransport:
    client = HttpClient("127.0.0.1", await standin.start())
    return StoreTransport(client, time.monotonic, timeout_s=timeout_s)


@pytest.fixture
async def tables() -> AsyncIterator[TableService]:
    service = TableService()
    yield service
    await service.close()


class TestTableStore:
    """Guards against a write reported as refused that took effect, and the reverse.

    An answer that is lost or late leaves the outcome unknown; an outage or a rate limit does not.
    Versions must not repeat when a key is deleted and written again.
    """

    async def test_compare_and_set(self, tables: TableService) -> None:
        store = HttpTableStore(await open_transport(tables))
        key = "auftragsdienst/parish of St. Anna/ä/1"
        first = await store.put("once", key, {"state": "running"}, 0)
        assert isinstance(first, Done)
        again = await store.put("once", key, {"state": "other"}, 0)
        assert isinstance(again, Conflict) and again.row == await store.get("once", key)
        second = await store.put("once", key, {"state": "done"}, first.version)
        assert isinstance(second, Done) and second.version > first.version
        assert isinstance(await store.delete("once", key, first.version), Conflict)
        assert isinstance(await store.delete("once", key, second.version), Done)
        assert await store.get("once", key) is None
        third = await store.put("once", key, {}, 0)
        assert isinstance(third, Done) and third.version > second.version

    async def test_batch_applies_all_or_none(self, tables: TableService) -> None:
        store = HttpTableStore(await open_transport(tables))
        writes = [TableWrite("t", f"k{index}", {"n": index, "m": 0}, 0) for index in range(3)]
        assert isinstance(await store.write(writes), Done)
        result = await store.write([TableWrite("t", "new", {}, 0), writes[1]])
        assert isinstance(result, Conflict) and result.position == 1
        page = await store.list("t", "k", limit=2, fields=("n",))
        assert [(row.key, row.value) for row in page.rows] == [("k0", {"n": 0}), ("k1", {"n": 1})]
        rest = await store.list("t", "", after=page.next_after)
        assert [row.key for row in rest.rows] == ["k2"] and not rest.next_after

    async def test_dropped_answer_is_unknown_and_applied(self, tables: TableService) -> None:
        store = HttpTableStore(await open_transport(tables))
        tables.set_faults(Faults(drop_answers=1))
        assert isinstance(await store.put("t", "k", {"n": 1}, 0), Unknown)
        row = await store.get("t", "k")
        assert row is not None and row.value == {"n": 1}

    async def test_timeout_is_unknown_and_applied_later(self) -> None:
        applied = asyncio.Event()

        class RecordingService(TableService):
            def answer(self, req: HttpRequest) -> Answer:
                applied.set()
                return super().answer(req)

        tables = RecordingService()
        store = HttpTableStore(await open_transport(tables, timeout_s=0.1))
        tables.set_faults(Faults(slow_s=0.3))
        assert isinstance(await store.put("t", "k", {}, 0), Unknown)
        assert tables.rows.get("t", "k") is None
        await applied.wait()
        assert tables.rows.get("t", "k") is not None
        await tables.close()

    async def test_outage_is_reported_as_not_applied(self, tables: TableService) -> None:
        store = HttpTableStore(await open_transport(tables))
        tables.set_faults(Faults(down=True))
        assert isinstance(await store.put("t", "k", {}, 0), Refused)
        with pytest.raises(StoreUnavailable):
            await store.get("t", "k")
        tables.set_faults(Faults(limit_per_s=0.5))
        limited = await store.put("t", "k", {}, 0)
        assert isinstance(limited, Refused) and limited.retry_after_s == 1.0
        await tables.close()
        tables.set_faults(Faults())
        assert isinstance(await store.put("t", "k", {}, 0), Refused | Unknown)
        refused = await store.put("t", "k", {}, 0)
        assert isinstance(refused, Refused) and tables.rows.get("t", "k") is None

    async def test_runs_as_a_program(self) -> None:
        args = ("-m", "cassiadrum.standins.table_services", "--port", "0")
        process = await asyncio.create_subprocess_exec(
            sys.executable, *args, stdout=asyncio.subprocess.PIPE
        )
        try:
            assert process.stdout is not None
            line = msgspec.json.decode(await process.stdout.readline(), type=dict[str, str])
            host, _, port = line["address"].partition(":")
            client = HttpClient(host, int(port))
            body = msgspec.json.encode({"drop_answers": 1})
            assert (await client.request("POST", "/faults", (), body)).status == 200
            store = HttpTableStore(StoreTransport(client, time.monotonic))
            assert isinstance(await store.put("t", "k", {}, 0), Unknown)
            assert await store.get("t", "k") is not None
        finally:
            process.kill()
            await process.wait()


class TestInstanceList:
    """Guards against a client that takes a lagging or empty list for a failure.

    The service may return an old or empty list; only an unreadable one is an error.
    """

    async def test_lag_and_faults(self) -> None:
        service = InstanceListService(lag_s=0.1)
        instances = HttpInstanceList(await open_transport(service))
        entry = Instance("entry-1", "entry", "", "muenchen-a", "10.0.0.1:1", "10.0.0.1:2")
        assert isinstance(await instances.register(entry), Done)
        assert await instances.fetch() == ()
        service.lag_s = 0.0
        assert await instances.fetch() == (entry,)
        service.set_faults(Faults(stale=True))
        service.set_faults(service.faults._replace(drop_answers=1))
        assert isinstance(await instances.mark_leaving("entry-1"), Unknown)
        assert await instances.fetch() == (entry,)
        service.set_faults(Faults())
        assert await instances.fetch() == (entry._replace(state="leaving"),)
        service.set_faults(Faults(empty=True))
        assert await instances.fetch() == ()
        service.set_faults(Faults(wrong=[{"instance": "broken"}]))
        with pytest.raises(StoreUnavailable):
            await instances.fetch()
        service.set_faults(Faults())
        await instances.deregister("entry-1")
        assert await instances.fetch() == ()
        await service.close()

    async def test_lag_that_is_set_later_shows_the_list_of_that_time(self) -> None:
        service = InstanceListService()
        instances = HttpInstanceList(await open_transport(service))
        entries = [
            Instance(f"entry-{n}", "entry", "", "muenchen-a", "10.0.0.1:1", "10.0.0.1:2")
            for n in (1, 2)
        ]
        await instances.register(entries[0])
        await asyncio.sleep(0.3)
        await instances.register(entries[1])
        service.lag_s = 0.2
        assert await instances.fetch() == (entries[0],)
        await service.close()


class TestConditionalRead:
    """Guards against repeated transfer of an unchanged list, which may have megabytes.

    Without a conditional request every poll of every process transfers the whole list.
    """

    async def test_unchanged_list_is_not_sent_again(self) -> None:
        statuses: list[int] = []

        class RecordingService(InstanceListService):
            def answer(self, req: HttpRequest) -> Answer:
                answer = super().answer(req)
                statuses.append(answer.status)
                return answer

        service = RecordingService()
        instances = HttpInstanceList(await open_transport(service))
        entry = Instance("entry-1", "entry", "", "muenchen-a", "10.0.0.1:1", "10.0.0.1:2")
        await instances.register(entry)
        assert [await instances.fetch() for _ in range(2)] == [(entry,), (entry,)]
        await instances.mark_leaving("entry-1")
        assert (await instances.fetch())[0].state == "leaving"
        assert statuses == [200, 200, 304, 200, 200]
        await service.close()


class TestObjectStore:
    """Guards against an object reported as not written although it was.

    The service applies the write and its answer is lost.
    """

    async def test_objects_and_dropped_answers(self) -> None:
        service = ObjectService()
        objects = HttpObjectStore(await open_transport(service))
        assert isinstance(await objects.put("a/b", b"one"), Done)
        service.set_faults(Faults(drop_answers=1))
        assert isinstance(await objects.put("a/b", b"two"), Unknown)
        assert await objects.get("a/b") == b"two"
        assert isinstance(await objects.delete("a/b"), Done)
        assert await objects.get("a/b") is None
        await service.close()


class TestWeightStore:
    """Guards against a truncated download taken for a complete one.

    The connection ends before the announced size, and the download continues at an offset.
    """

    async def test_download_is_limited_and_resumes(self) -> None:
        service = WeightService(bytes_per_s=200_000)
        weights = HttpWeightStore(await open_transport(service))
        assert await weights.size("assessor-1") is None
        service.sizes["assessor-1"] = 60_000
        started = time.monotonic()
        received = sum([len(part) async for part in weights.download("assessor-1")])
        assert received == await weights.size("assessor-1") == 60_000
        assert time.monotonic() - started >= 60_000 / 200_000
        service.set_faults(Faults(drop_answers=1))
        with pytest.raises(StoreUnavailable):
            [part async for part in weights.download("assessor-1")]
        rest = sum([len(part) async for part in weights.download("assessor-1", 59_000)])
        assert rest == 1_000
        await service.close()


class TestTokenBucket:
    """Guards against a process that sends more than its share of the rate budget.

    A call that finds the budget used up waits within a limit or is refused before it is sent.
    """

    def test_rate_is_bounded(self) -> None:
        bucket = TokenBucket(10.0, burst=2.0)
        sent = [now for now in range(100) for _ in range(50) if bucket.reserve(now, 0) is not None]
        assert len(sent) <= 2 + 10 * 100

    def test_wait_is_within_the_limit(self) -> None:
        bucket = TokenBucket(10.0, burst=1.0)
        waits = [bucket.reserve(0.0, 0.25) for _ in range(5)]
        assert waits == [0.0, pytest.approx(0.1), pytest.approx(0.2), None, None]

    async def test_exhausted_budget_is_reported_as_not_applied(self, tables: TableService) -> None:
        client = HttpClient("127.0.0.1", await tables.start())
        budget = StoreBudget.of_share(1.0, 1.0, 100, burst=1.0)
        store = HttpTableStore(StoreTransport(client, time.monotonic, budget=budget))
        assert isinstance(await store.put("t", "a", {}, 0), Done)
        assert isinstance(await store.put("t", "b", {}, 0), Refused)
        assert tables.rows.get("t", "b") is None


class TestCircuitBreaker:
    """Guards against requests that accumulate on a store that is down.

    After repeated failures only one probe per interval is let through.
    """

    def test_open_lets_one_probe_through(self) -> None:
        breaker = CircuitBreaker(failures=2, probe_interval_s=1.0)
        breaker.record_failure(0.0)
        assert breaker.allow(0.0)
        breaker.record_failure(0.0)
        assert [breaker.allow(now) for now in (0.5, 1.0, 1.1, 2.0)] == [False, True, False, True]
        breaker.record_success()
        assert breaker.allow(2.1)
