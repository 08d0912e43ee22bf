"""Following of the store's tables by one waiting call."""

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
# All gateways learn of a restored store at once; their reads of all rows spread over this time.
RESTORE_SPREAD_S = 0.4


class TableSink(ABC):
    """Take the content of a table."""

    @abstractmethod
    def replace(self, page: RowPage) -> None:
        """Take all rows."""

    @abstractmethod
    def apply_changes(self, page: RowPage) -> None:
        """Take the rows that changed; none when nothing changed within the wait."""

    @abstractmethod
    def store_returned(self) -> None:
        """Take note that the store answers again, before its rows."""

    @abstractmethod
    def store_restored(self) -> None:
        """Take note that the store came back from an older copy, before all of its rows."""


class FollowedTable:
    """Pass a table's content and changes to its sink."""

    def __init__(self, name: str, sink: TableSink) -> None:
        self.name = name
        self.sink = sink
        # The store's version up to which the sink knows the table, None before it was read.
        self.version: int | None = None

    async def read(self, store: RowStore, wait_s: float) -> tuple[RowPage, bool]:
        """Return the changes, or all rows and True; raise StoreUnavailable."""
        if self.version is not None:
            try:
                return await store.read_changes(self.name, self.version, wait_s), False
            except HistoryGone:
                logger.info("store forgot its history, reading %s in full", self.name)
                self.version = None
        return await store.read_all(self.name), True

    def apply(self, page: RowPage, *, full: bool) -> None:
        """Pass an answer on."""
        if full:
            self.sink.replace(page)
        else:
            self.sink.apply_changes(page)
        self.version = page.version

    def reset(self) -> None:
        """Forget the version, so that the table is read in full."""
        self.version = None
        self.sink.store_restored()


class StoreFollower:
    """Wait for changes of one table, and read others when the store has changed, for ever.

    The store numbers all its changes with one counter and states the newest number in each answer.
    So the answer about the leading table tells whether another table may have changed, and calm
    times cost one call for each `wait_s` seconds. Many changes of the others within that time,
    as when all endpoints of a service are replaced, cost one more call and not one for each.

    A store that comes back from an older copy counts again from that copy's version. Its era, or
    a version that went back where it states none, tells so; then all tables are read in full.
    """

    def __init__(
        self,
        store: RowStore,
        leading_table: FollowedTable,
        other_tables: Sequence[FollowedTable],
        wait_s: float,
    ) -> None:
        self._store = store
        self._leading_table = leading_table
        self._other_tables = other_tables
        self._wait_s = wait_s
        # The newest version that the store has stated, and the era to which versions belong.
        self._newest_version = 0
        self._era = store.era.number
        self._failures = 0

    async def run(self) -> None:
        """Follow the tables."""
        while True:
            pause_s = await self.step()
            await asyncio.sleep(pause_s)

    async def step(self) -> float:
        """Follow each table once; return the seconds until the next step."""
        # The first call after an outage returns at once, so that its end is seen.
        wait_s = (
            0.0
            if self._failures or any(map(self._is_behind, self._other_tables))
            else self._wait_s
        )
        try:
            await self._follow_leading(wait_s)
            for table in self._other_tables:
                if self._is_behind(table):
                    await self._follow(table, 0.0)
        except StoreUnavailable as exc:
            self._check_era()
            return self._backoff_s(str(exc))
        except StoreRestored:
            return random.uniform(0.0, RESTORE_SPREAD_S)
        if self._failures:
            logger.info("store answers again")
            self._failures = 0
        return 0.0

    def _is_behind(self, table: FollowedTable) -> bool:
        return table.version is None or table.version < self._newest_version

    async def _follow_leading(self, wait_s: float) -> None:
        page, full = await self._read(self._leading_table, wait_s)
        if self._failures:
            for table in (self._leading_table, *self._other_tables):
                table.sink.store_returned()
        self._apply(self._leading_table, page, full=full)

    async def _follow(self, table: FollowedTable, wait_s: float) -> None:
        page, full = await self._read(table, wait_s)
        self._apply(table, page, full=full)

    async def _read(self, table: FollowedTable, wait_s: float) -> tuple[RowPage, bool]:
        """Return an answer of the followed era; raise StoreRestored or StoreUnavailable."""
        page, full = await table.read(self._store, wait_s)
        if self._check_era():
            raise StoreRestored(table.name)
        if page.version < self._newest_version:
            evidence = f"version {page.version} after {self._newest_version}"
            if self._era is not None:
                raise StoreUnavailable(f"an old answer, {evidence}")
            self._reset_tables(evidence)
            raise StoreRestored(table.name)
        return page, full

    def _check_era(self) -> bool:
        """Return whether the era rose since versions were last taken, and start over if so."""
        era, known = self._store.era.number, self._era
        self._era = era
        if era == known or known is None:
            return False
        self._reset_tables(f"era {era} after {known}")
        return True

    def _reset_tables(self, evidence: str) -> None:
        logger.warning(
            "store was restored from an older copy, reading all tables in full: %s", evidence
        )
        self._newest_version = 0
        for table in (self._leading_table, *self._other_tables):
            table.reset()

    def _apply(self, table: FollowedTable, page: RowPage, *, full: bool) -> None:
        table.apply(page, full=full)
        self._newest_version = max(self._newest_version, page.version)

    def _backoff_s(self, reason: str) -> float:
        if not self._failures:
            logger.warning("store lost: %s", reason)
        self._failures += 1
        longest_s = min(BACKOFF_MAX_S, BACKOFF_MIN_S * 2 ** (self._failures - 1))
        return float(longest_s * random.uniform(0.5, 1.0))
