"""Writer of the records of streams."""

import asyncio
import logging
import random
from collections.abc import Callable
from itertools import takewhile
from typing import Final

import msgspec

from cassiadrum.gateways import FleetShares, StreamOrigin
from cassiadrum.platform.errors import WriteConflict
from cassiadrum.platform.origin_rows import RECORD_TABLE, OriginRow
from cassiadrum.platform.row_pages import RowWrite
from cassiadrum.platform.row_stores import RowStore
from cassiadrum.stores.errors import StoreUnavailable
from cassiadrum.stores.token_buckets import TokenBucket

__all__ = ["OriginWriter"]

logger = logging.getLogger(__name__)

# Writes of records per second of all gateways together, a quarter of what the store's operators
# grant for everything, and the burst of each gateway.
WRITES_PER_S: Final = 100.0
WRITE_BURST: Final = 4.0
MAX_TURN_WAIT_S: Final = 60.0
# Calls that run at the same time, so that one whose answer is lost delays no others.
MAX_CONCURRENT_WRITES: Final = 4
# A transaction has at most 100 entries; each record takes one to expect and one to write.
MAX_WRITTEN_ROWS: Final = 50
MAX_REMOVED_ROWS: Final = 100
RETRY_S: Final = 0.1
# Age of a record that waits from which further ones may be late, and the time without an answer
# from which they would wait for long.
OVERDUE_S: Final = 0.3
AWAY_S: Final = 2.0
# Time after a failure for which it tells about the next call.
FAILURE_COUNTS_S: Final = 1.0


class _Record:
    """A record of a stream; `made_s` is in boot-time seconds."""

    def __init__(self, origin: StreamOrigin, made_s: float) -> None:
        self.origin = origin
        self.made_s = made_s
        # Content of the row, None until it is first written for this origin.
        self.content: bytes | None = None
        # Version of the row, 0 while there is none.
        self.row_version = 0
        self.written = asyncio.Event()


class OriginWriter:
    """Writes the records of this gateway's streams, many in one call, and removes old ones.

    Each write names the version that its rows have, since the store may carry out a write whose
    answer was lost seconds later, when the row has been written again. A write that is not
    answered delays only its own records.
    """

    def __init__(self, fleet: FleetShares, boot_clock: Callable[[], float]) -> None:
        # Boot time of 0 on the store's clock, None until it is known.
        self.store_zero_s: float | None = None
        self._fleet = fleet
        self._boot_clock = boot_clock
        self._records: dict[str, _Record] = {}
        # Keys of records that are not written, in order, with the time since when each waits, and
        # those among them that a call is running for.
        self._waiting: dict[str, float] = {}
        self._running: set[str] = set()
        self._has_work = asyncio.Event()
        self._bucket = TokenBucket(WRITES_PER_S, WRITE_BURST)
        # Since when no call was answered, None while calls are, and the time of the last failure.
        self._unanswered_s: float | None = None
        self._failed_s = float("-inf")

    @property
    def is_on_time(self) -> bool:
        """Return whether records are expected to be written before they are needed."""
        now = self._boot_clock()
        oldest_s = next(iter(self._waiting.values()), now)
        return now - oldest_s < OVERDUE_S

    @property
    def is_away(self) -> bool:
        """Return whether the store has not answered for long, so that new records would wait."""
        now = self._boot_clock()
        if self._unanswered_s is None or now >= self._failed_s + FAILURE_COUNTS_S:
            return False
        return now - self._unanswered_s >= AWAY_S

    def record(self, key: str, origin: StreamOrigin) -> asyncio.Event:
        """Write a record, or replace it; return the event that is set once it is written."""
        now = self._boot_clock()
        record = self._records.get(key)
        if record is None:
            record = self._records[key] = _Record(origin, now)
        elif record.origin == origin:
            return record.written
        record.origin = origin
        record.content = None
        record.written = asyncio.Event()
        self._wait(key, now)
        return record.written

    def discard(self, key: str) -> None:
        """Give up a record that is not written yet."""
        if self._waiting.pop(key, None) is not None:
            del self._records[key]

    def write_again(self) -> None:
        """Write all records again, as a restore of the store may have undone writes."""
        now = self._boot_clock()
        for key, record in self._records.items():
            record.row_version = 0
            self._wait(key, now)

    async def run(self, store: RowStore) -> None:
        """Write records until cancelled."""
        self._running.clear()
        calls = asyncio.Semaphore(MAX_CONCURRENT_WRITES)
        async with asyncio.TaskGroup() as tasks:
            while True:
                await self._has_work.wait()
                await self._wait_for_turn()
                await calls.acquire()
                keys = [key for key in self._waiting if key not in self._running]
                if len(keys) <= MAX_WRITTEN_ROWS:
                    self._has_work.clear()
                if not keys:
                    calls.release()
                    continue
                task = tasks.create_task(self._write(store, keys[:MAX_WRITTEN_ROWS]))
                task.add_done_callback(lambda _: calls.release())

    async def remove_old(self, store: RowStore, age_s: float) -> None:
        """Remove records that are older than `age_s`; raise StoreUnavailable."""
        oldest_s = self._boot_clock() - age_s
        # In the order in which they were made.
        found = takewhile(lambda item: item[1].made_s < oldest_s, self._records.items())
        old = [key for key, _ in found]
        for first in range(0, len(old), MAX_REMOVED_ROWS):
            keys = old[first : first + MAX_REMOVED_ROWS]
            await store.write_rows(RECORD_TABLE, [RowWrite(key, None) for key in keys])
            for key in keys:
                del self._records[key]
                self._waiting.pop(key, None)

    def _wait(self, key: str, now: float) -> None:
        self._waiting.setdefault(key, now)
        self._has_work.set()

    async def _wait_for_turn(self) -> None:
        now = self._boot_clock()
        self._bucket.set_rate(WRITES_PER_S / self._fleet.size, now)
        wait_s = self._bucket.reserve(now, MAX_TURN_WAIT_S)
        await asyncio.sleep(MAX_TURN_WAIT_S if wait_s is None else wait_s)

    async def _write(self, store: RowStore, keys: list[str]) -> None:
        """Write records; those that are not written wait for another call."""
        started_s = self._boot_clock()
        self._running.update(keys)
        try:
            await self._try_write(store, keys)
            self._unanswered_s = None
        except StoreUnavailable as exc:
            if self._unanswered_s is None:
                self._unanswered_s = started_s
            self._failed_s = self._boot_clock()
            waiting = len(self._waiting)
            logger.info("records of streams not written: %s", exc, extra={"waiting": waiting})
            await asyncio.sleep(random.uniform(0.5, 1.0) * RETRY_S)
        finally:
            self._running.difference_update(keys)
            if self._waiting:
                self._has_work.set()

    async def _try_write(self, store: RowStore, keys: list[str]) -> None:
        """Write records in one transaction; raise StoreUnavailable."""
        if self.store_zero_s is None:
            raise StoreUnavailable("the store's clock is not known yet")
        records = {key: self._records[key] for key in keys if key in self._records}
        contents = {key: _encode(record, self.store_zero_s) for key, record in records.items()}
        writes = [
            RowWrite(key, content, records[key].row_version) for key, content in contents.items()
        ]
        try:
            version = await store.write_rows(RECORD_TABLE, writes)
            versions = dict.fromkeys(records, version)
        except WriteConflict as exc:
            # An earlier write whose answer was lost may be the one that is there.
            versions = {
                key: row.version for key, row in exc.rows.items() if row.content == contents[key]
            }
            for key, record in records.items():
                record.row_version = exc.version(key)
        for key, row_version in versions.items():
            record = records[key]
            record.row_version = row_version
            if record.content == contents[key]:
                self._waiting.pop(key, None)
                record.written.set()


def _encode(record: _Record, store_zero_s: float) -> bytes:
    """Return the content of a record's row, which stays the same over all tries."""
    if record.content is None:
        made_ms = round((record.made_s - store_zero_s) * 1000)
        record.content = msgspec.json.encode(OriginRow(*record.origin, made_ms))
    return record.content
