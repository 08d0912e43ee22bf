"""Follows changes of the store's tables with one long-polling call."""

import asyncio
import logging
import random
from abc import ABC, abstractmethod
from collections.abc import Sequence

from cassiadrum.platform.errors import HistoryGone, StoreRestored
from cassiadrum.platform.row_stores import RowPage, RowStore
from cassiadrum.stores.errors import StoreUnavailable

__all__ = ["FollowedTable", "StoreFollower", "TableSink"]

logger = logging.getLogger(__name__)

BACKOFF_MIN_S = 0.1
BACKOFF_MAX_S = 0.6
# All gateways detect a restored store at the same time; a random delay up to this spreads their
# reads of all rows.
RESTORE_SPREAD_S = 0.4


class TableSink(ABC):
    """Receiver of a table's rows and changes.

    Other tasks run while many rows are decoded.
    """

    @abstractmethod
    async def replace(self, page: RowPage) -> None:
        """Replace the content by all rows of the table."""

    @abstractmethod
    async def apply_changes(self, page: RowPage) -> None:
        """Apply changed rows; there are none if nothing changed within the wait."""

    def record_unchanged(self, page: RowPage) -> None:  # noqa: B027 - most sinks ignore it
        """Handle an answer about another table that shows that this one has not changed."""

    @abstractmethod
    def store_returned(self) -> None:
        """Handle the end of a store outage; called before the rows that follow are passed on."""

    @abstractmethod
    def store_restored(self) -> None:
        """Handle a restore of the store from an older copy; called before `replace`."""


class FollowedTable:
    """A table that is followed, its sink and the version that the sink has."""

    def __init__(self, name: str, sink: TableSink) -> None:
        self.name = name
        self.sink = sink
        # Store version up to which the sink is current, None if all rows must be read.
        self.version: int | None = None

    async def read(self, store: RowStore, wait_s: float) -> tuple[RowPage, bool]:
        """Return a page and whether it holds all rows, not only changes; raise StoreUnavailable.

        A call for changes waits up to `wait_s` for one.
        """
        if self.version is not None:
            try:
                return await store.read_changes(self.name, self.version, wait_s), False
            except HistoryGone as exc:
                logger.info(
                    "store does not return the needed changes, reading all rows of table %s: %s",
                    self.name,
                    exc,
                )
                self.version = None
        return await store.read_all(self.name), True

    async def apply(self, page: RowPage, *, full: bool) -> None:
        """Pass a page to the sink; `full` tells that it holds all rows."""
        if full:
            await self.sink.replace(page)
        else:
            await self.sink.apply_changes(page)
        self.version = page.version

    def reset(self) -> None:
        """Notify the sink of a restored store, and have all rows read next."""
        self.version = None
        self.sink.store_restored()


class StoreFollower:
    """Follower of all tables: long-polls one, and reads the others when the version has increased.

    The store numbers all changes with one counter and states the newest number in each answer, so
    an answer about the leading table tells whether another table may have changed. Without
    changes this costs one call per `wait_s` seconds. Many changes of the other tables within that
    time, as when all endpoints of a service are replaced, cost one more call, not one per change.

    At the start, `first_tables` are read before the other ones of `other_tables`.

    A store restored from an older copy continues from that copy's version. The follower detects
    this by a higher era, or by a lower version if the store states no era, and then reads all
    tables in full.
    """

    def __init__(
        self,
        store: RowStore,
        leading_table: FollowedTable,
        other_tables: Sequence[FollowedTable],
        wait_s: float,
        first_tables: Sequence[FollowedTable] = (),
    ) -> None:
        self._store = store
        self._leading_table = leading_table
        self._other_tables = other_tables
        # Empty once all tables were read.
        self._first_tables = first_tables
        self._wait_s = wait_s
        # Newest version that the store has stated, and the era that it belongs to.
        self._newest_version = 0
        self._era = store.era.number
        self._failures = 0

    async def run(self) -> None:
        """Follow the tables until cancelled."""
        while True:
            pause_s = await self.step()
            await asyncio.sleep(pause_s)

    async def step(self) -> float:
        """Read the tables that may have changed once; return the seconds until the next step."""
        # After a failure, call without a wait to detect the end of the outage early.
        wait_s = (
            0.0
            if self._failures or any(map(self._is_behind, self._other_tables))
            else self._wait_s
        )
        try:
            page = await self._follow_leading(wait_s)
            for table in (*self._first_tables, *self._other_tables):
                if self._is_behind(table):
                    await self._follow(table, 0.0)
                elif table.version is not None and table.version >= page.version:
                    table.sink.record_unchanged(page)
            self._first_tables = ()
        except StoreUnavailable as exc:
            self._check_era()
            return self._backoff_s(str(exc))
        except StoreRestored:
            return random.uniform(0.0, RESTORE_SPREAD_S)
        if self._failures:
            logger.info("store is available again")
            self._failures = 0
        return 0.0

    def _is_behind(self, table: FollowedTable) -> bool:
        if table.version is None:
            return True
        return table.version < self._newest_version

    async def _follow_leading(self, wait_s: float) -> RowPage:
        page, full = await self._read(self._leading_table, wait_s)
        if self._failures:
            for table in (self._leading_table, *self._other_tables):
                table.sink.store_returned()
        await self._apply(self._leading_table, page, full=full)
        return page

    async def _follow(self, table: FollowedTable, wait_s: float) -> None:
        page, full = await self._read(table, wait_s)
        await self._apply(table, page, full=full)

    async def _read(self, table: FollowedTable, wait_s: float) -> tuple[RowPage, bool]:
        """Read a table in the current era.

        Raises StoreRestored if the store was restored, and StoreUnavailable.
        """
        page, full = await table.read(self._store, wait_s)
        if self._check_era():
            raise StoreRestored(table.name)
        if page.version < self._newest_version:
            evidence = f"version {page.version} after {self._newest_version}"
            if self._era is not None:
                raise StoreUnavailable(f"outdated answer: {evidence}")
            self._reset_tables(evidence)
            raise StoreRestored(table.name)
        return page, full

    def _check_era(self) -> bool:
        """Return whether the era increased since the last check; if so, reset all tables."""
        era, known = self._store.era.number, self._era
        self._era = era
        if era == known or known is None:
            return False
        self._reset_tables(f"era {era} after {known}")
        return True

    def _reset_tables(self, evidence: str) -> None:
        logger.warning(
            "store was restored from an older copy, reading all rows of all tables: %s", evidence
        )
        self._newest_version = 0
        for table in (self._leading_table, *self._other_tables):
            table.reset()

    async def _apply(self, table: FollowedTable, page: RowPage, *, full: bool) -> None:
        await table.apply(page, full=full)
        self._newest_version = max(self._newest_version, page.version)

    def _backoff_s(self, reason: str) -> float:
        if not self._failures:
            logger.warning("store unavailable: %s", reason)
        self._failures += 1
        longest_s = min(BACKOFF_MAX_S, BACKOFF_MIN_S * 2 ** (self._failures - 1))
        return float(longest_s * random.uniform(0.5, 1.0))
