"""Follows changes of the store's tables with one long-polling call."""

import asyncio
import logging
import random
import time
from collections.abc import Sequence

from cassiadrum.platform.errors import StoreRestored
from cassiadrum.platform.followed_tables import FollowedTable, TableAnswer
from cassiadrum.platform.row_pages import RowPage
from cassiadrum.platform.row_stores import RowStore
from cassiadrum.stores.errors import StoreUnavailable

__all__ = ["StoreFollower"]

logger = logging.getLogger(__name__)

BACKOFF_MIN_S = 0.1
BACKOFF_MAX_S = 0.6
# All gateways detect a restored store at the same time; a random delay up to this spreads their
# reads of all rows.
RESTORE_SPREAD_S = 0.4
# Time beyond the wait for changes after which the other tables are read beside an answer that is
# still arriving, as a large one does over a slow link.
SLOW_ANSWER_S = 0.3


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
        # Monotonic time of the last answer.
        self._answered_s = time.monotonic()
        # Whether no answer was applied since the last failure.
        self._is_away = False
        # Restores of the store that were detected.
        self._resets = 0

    async def run(self) -> None:
        """Follow the tables until cancelled."""
        while True:
            step = asyncio.create_task(self.step())
            beside = asyncio.create_task(self._follow_beside(self._step_wait_s()))
            try:
                # The reads beside the step end only by an unexpected error.
                await asyncio.wait({step, beside}, return_when=asyncio.FIRST_COMPLETED)
                pause_s = await (step if step.done() else beside)
            finally:
                step.cancel()
                beside.cancel()
            await asyncio.sleep(pause_s)

    async def _follow_beside(self, wait_s: float) -> float:
        """Read the other tables again and again while an answer takes long to arrive."""
        while True:
            await asyncio.sleep(wait_s + SLOW_ANSWER_S)
            wait_s = 0.0
            if self._store.is_receiving:
                await self._follow_others()
                wait_s = self._wait_s

    async def _follow_others(self) -> None:
        """Read the other tables, except those that a call is running for."""
        try:
            for table in dict.fromkeys((*self._first_tables, *self._other_tables)):
                if not table.lock.locked():
                    await self._follow(table, 0.0)
        except StoreUnavailable as exc:
            # The step reports an outage; it may already have begun with this call.
            logger.info("read beside a slow one failed: %s", exc)
        except StoreRestored as exc:
            logger.info("read beside a slow one found a restore of the store: %s", exc)

    async def step(self) -> float:
        """Read the tables that may have changed once; return the seconds until the next step."""
        try:
            page = await self._follow(self._leading_table, self._step_wait_s())
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

    def _step_wait_s(self) -> float:
        """Return how long a call for changes of the leading table waits for one."""
        # After a failure, call without a wait to detect the end of the outage early.
        if self._failures or any(map(self._is_behind, self._other_tables)):
            return 0.0
        return self._wait_s

    async def _follow(self, table: FollowedTable, wait_s: float) -> RowPage:
        """Read a table in the current era and apply the answer.

        Raises StoreRestored if the store was restored, and StoreUnavailable.
        """
        async with table.lock:
            resets = self._resets
            answer = await table.read(self._store, wait_s, self._newest_version)
            if self._check_era() or self._resets != resets:
                raise StoreRestored(table.name)
            self._check_version(table, answer)
            self._report_return()
            await table.apply(answer)
            if self._resets != resets:
                # Another call detected the restore while the rows were decoded.
                table.reset()
                raise StoreRestored(table.name)
            self._newest_version = max(self._newest_version, answer.page.version)
        return answer.page

    def _check_version(self, table: FollowedTable, answer: TableAnswer) -> None:
        """Raise StoreUnavailable or StoreRestored for an answer older than one before its call."""
        if answer.page.version >= answer.known_version:
            return
        evidence = f"version {answer.page.version} after {answer.known_version}"
        if self._era is not None:
            raise StoreUnavailable(f"outdated answer: {evidence}")
        self._reset_tables(evidence)
        raise StoreRestored(table.name)

    def _report_return(self) -> None:
        """Notify the sinks of the end of an outage, once, before any rows are passed on."""
        last_answer_s, self._answered_s = self._answered_s, time.monotonic()
        if not self._is_away:
            return
        self._is_away = False
        for table in (self._leading_table, *self._other_tables):
            table.sink.store_returned(last_answer_s if self._failures == 1 else None)

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
        self._resets += 1
        for table in (self._leading_table, *self._other_tables):
            table.reset()

    def _backoff_s(self, reason: str) -> float:
        if not self._failures:
            logger.warning("store unavailable: %s", reason)
        self._failures += 1
        self._is_away = True
        longest_s = min(BACKOFF_MAX_S, BACKOFF_MIN_S * 2 ** (self._failures - 1))
        return float(longest_s * random.uniform(0.5, 1.0))
