"""Following of one table of the store."""

import asyncio
import logging
import random
from abc import ABC, abstractmethod

from cassiadrum.platform.errors import HistoryGone
from cassiadrum.platform.row_stores import RowPage, RowStore
from cassiadrum.stores.errors import StoreUnavailable

__all__ = ["TableFollower", "TableSink"]

logger = logging.getLogger(__name__)

BACKOFF_MIN_S = 0.1
BACKOFF_MAX_S = 0.6


class TableSink(ABC):
    """Take the content of a table."""

    @abstractmethod
    def replace(self, page: RowPage) -> None:
        """Take all rows."""

    @abstractmethod
    def change(self, page: RowPage) -> None:
        """Take the rows that changed; none when nothing changed within the wait."""

    @abstractmethod
    def returned(self) -> None:
        """Take note that the store answers again, before its rows."""


class TableFollower:
    """Read a table and wait for its changes, for ever; `wait_s` bounds a silent call."""

    def __init__(self, store: RowStore, table: str, sink: TableSink, wait_s: float) -> None:
        self._store = store
        self._table = table
        self._sink = sink
        self._wait_s = wait_s
        # The version up to which the sink knows the table.
        self._version: int | None = None
        self._failures = 0

    async def run(self) -> None:
        """Follow the table."""
        while True:
            pause_s = await self.step()
            await asyncio.sleep(pause_s)

    async def step(self) -> float:
        """Make one call and pass its answer on; return the seconds until the next one."""
        try:
            await self._call()
        except HistoryGone:
            logger.info("store forgot its history, reading %s in full", self._table)
            self._version = None
        except StoreUnavailable as exc:
            return self._pause_s(str(exc))
        return 0.0

    async def _call(self) -> None:
        if self._version is None:
            page = await self._store.read_all(self._table)
            self._answered()
            self._sink.replace(page)
            self._version = page.version
            return
        # The first call after an outage returns at once, so that its end is seen.
        wait_s = 0.0 if self._failures else self._wait_s
        page = await self._store.changes(self._table, self._version, wait_s)
        self._answered()
        self._sink.change(page)
        self._version = max(self._version, page.version)

    def _answered(self) -> None:
        if self._failures:
            logger.info("store answers again for %s", self._table)
            self._sink.returned()
        self._failures = 0

    def _pause_s(self, reason: str) -> float:
        if not self._failures:
            logger.warning("store lost for %s: %s", self._table, reason)
        self._failures += 1
        longest_s = min(BACKOFF_MAX_S, BACKOFF_MIN_S * 2 ** (self._failures - 1))
        return float(longest_s * random.uniform(0.5, 1.0))
