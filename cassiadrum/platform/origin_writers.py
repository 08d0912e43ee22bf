"""Writer of the records of streams."""

import asyncio
import logging
import random
from collections.abc import Callable
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
MAX_WAIT_FOR_WRITE_S: Final = 60.0
# A transaction has at most 100 entries; each record takes one to expect and one to write.
MAX_WRITTEN_ROWS: Final = 50
MAX_REMOVED_ROWS: Final = 100
RETRY_MIN_S: Final = 0.05
RETRY_MAX_S: Final = 0.5
# Age of a record that waits to be written from which no further ones are expected to be written in
# time, and the time after a failure until another try.
OVERDUE_S: Final = 0.3
FAILURE_PAUSE_S: Final = 1.0


class _Record:
    """A record of a stream; times are boot-time seconds."""

    def __init__(self, origin: StreamOrigin, made_s: float) -> None:
        self.origin = origin
        self.made_s = made_s
        # Version of the row, 0 while there is none.
        self.row_version = 0
        self.written = asyncio.Event()


class OriginWriter:
    """Writes the records of this gateway's streams, many in one call, and removes old ones.

    Each write names the version that its rows have, since the store may carry out a write whose
    answer was lost seconds later, when the row has been written again.
    """

    def __init__(self, fleet: FleetShares, boot_clock: Callable[[], float]) -> None:
        # Boot time of 0 on the store's clock.
        self.store_zero_s = 0.0
        self._fleet = fleet
        self._boot_clock = boot_clock
        self._records: dict[str, _Record] = {}
        # Keys of records to write, in order, and the time since when each waits.
        self._pending: dict[str, float] = {}
        self._has_pending = asyncio.Event()
        self._bucket = TokenBucket(WRITES_PER_S, WRITE_BURST)
        self._failed_s = float("-inf")

    @property
    def is_on_time(self) -> bool:
        """Return whether records are expected to be written soon."""
        now = self._boot_clock()
        if now < self._failed_s + FAILURE_PAUSE_S:
            return False
        oldest_s = next(iter(self._pending.values()), now)
        return now - oldest_s < OVERDUE_S

    def record(self, key: str, origin: StreamOrigin) -> asyncio.Event:
        """Write a record, or replace it; return the event that is set once it is written."""
        now = self._boot_clock()
        record = self._records.get(key)
        if record is None:
            record = self._records[key] = _Record(origin, now)
        elif record.origin == origin:
            return record.written
        record.origin = origin
        record.written = asyncio.Event()
        self._add_pending(key, now)
        return record.written

    def discard(self, key: str) -> None:
        """Give up a record that is not written yet."""
        self._pending.pop(key, None)

    def write_again(self) -> None:
        """Write all records again, as a restore of the store may have undone writes."""
        now = self._boot_clock()
        for key, record in self._records.items():
            record.row_version = 0
            self._add_pending(key, now)

    async def run(self, store: RowStore) -> None:
        """Write records until cancelled."""
        retry_s = RETRY_MIN_S
        while True:
            await self._has_pending.wait()
            await self._wait_for_turn()
            try:
                await self._write(store)
                retry_s = RETRY_MIN_S
            except StoreUnavailable as exc:
                self._failed_s = self._boot_clock()
                waiting = len(self._pending)
                logger.info("records of streams not written: %s", exc, extra={"waiting": waiting})
                await asyncio.sleep(random.uniform(0.5, 1.0) * retry_s)
                retry_s = min(RETRY_MAX_S, 2 * retry_s)
            if not self._pending:
                self._has_pending.clear()

    async def remove_old(self, store: RowStore, age_s: float) -> None:
        """Remove records that are older than `age_s`; raise StoreUnavailable."""
        oldest_s = self._boot_clock() - age_s
        old = [key for key, record in self._records.items() if record.made_s < oldest_s]
        for first in range(0, len(old), MAX_REMOVED_ROWS):
            keys = old[first : first + MAX_REMOVED_ROWS]
            await store.write_rows(RECORD_TABLE, [RowWrite(key, None) for key in keys])
            for key in keys:
                del self._records[key]
                self._pending.pop(key, None)

    def _add_pending(self, key: str, now: float) -> None:
        self._pending.setdefault(key, now)
        self._has_pending.set()

    async def _wait_for_turn(self) -> None:
        now = self._boot_clock()
        self._bucket.set_rate(WRITES_PER_S / self._fleet.size, now)
        wait_s = self._bucket.reserve(now, MAX_WAIT_FOR_WRITE_S)
        await asyncio.sleep(MAX_WAIT_FOR_WRITE_S if wait_s is None else wait_s)

    async def _write(self, store: RowStore) -> None:
        """Write the records that have waited longest; raise StoreUnavailable."""
        keys = list(self._pending)[:MAX_WRITTEN_ROWS]
        records = {key: self._records[key] for key in keys}
        origins = {key: record.origin for key, record in records.items()}
        writes = [
            RowWrite(key, self._encode(record), record.row_version)
            for key, record in records.items()
        ]
        if not writes:
            return
        try:
            version = await store.write_rows(RECORD_TABLE, writes)
        except WriteConflict as exc:
            # An earlier write whose answer was lost; the next try expects what there is.
            for key, record in records.items():
                record.row_version = exc.versions.get(key, 0)
            return
        for key, record in records.items():
            record.row_version = version
            if record.origin == origins[key]:
                self._pending.pop(key, None)
                record.written.set()

    def _encode(self, record: _Record) -> bytes:
        made_ms = (record.made_s - self.store_zero_s) * 1000
        return msgspec.json.encode(OriginRow(*record.origin, made_ms))
