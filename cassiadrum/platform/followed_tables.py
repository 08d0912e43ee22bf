"""A table of the store that is followed, and the receiver of its rows."""

import asyncio
import logging
import time
from abc import ABC, abstractmethod
from collections.abc import Callable
from typing import Final, NamedTuple

from cassiadrum.platform.errors import AnswerCutOff, HistoryGone
from cassiadrum.platform.row_pages import RowPage
from cassiadrum.platform.row_stores import RowStore
from cassiadrum.platform.table_reads import TableRead
from cassiadrum.stores.errors import StoreUnavailable

__all__ = ["FollowedTable", "TableAnswer", "TableSink"]

logger = logging.getLogger(__name__)

# A history of changes above this multiple of the table's size, plus this number of bytes, is not
# read: it holds each row as often as it changed, while all rows hold only the newest versions.
HISTORY_RATIO: Final = 1.5
HISTORY_SPARE_BYTES: Final = 64 * 1024
# Size of a row in an answer, beside its content in base64 and its key.
ROW_OVERHEAD_BYTES: Final = 100
# Time after a failure in which a read of all rows goes on; older pages are read again, since they
# would replace rows that are known better by now.
RESUME_S: Final = 3.0


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
    def store_returned(self, last_answer_s: float | None) -> None:
        """Handle the end of a store outage; called before the rows that follow are passed on.

        If a single call failed, its connection may have been at fault and not the store;
        `last_answer_s` is then the monotonic time of the last answer before it, else None.
        """

    @abstractmethod
    def store_restored(self) -> None:
        """Handle a restore of the store from an older copy; called before `replace`."""


class TableAnswer(NamedTuple):
    """Rows of a table; `is_full` tells that they are all rows, not only changes.

    `known_version` is the version that the store had stated before the first call for them.
    """

    page: RowPage
    is_full: bool
    known_version: int


class FollowedTable:
    """A table that is followed, its sink and the version that the sink has."""

    def __init__(
        self, name: str, sink: TableSink, clock: Callable[[], float] = time.monotonic
    ) -> None:
        self._clock = clock
        self.name = name
        self.sink = sink
        # Store version up to which the sink is current, None if all rows must be read.
        self.version: int | None = None
        # Held while rows are read and applied, so that no older answer replaces a newer one.
        self.lock = asyncio.Lock()
        # A read of all rows that has not ended, and the store's version known before it.
        self._read: TableRead | None = None
        self._read_known_version = 0
        self._read_failed_s = 0.0
        # Bytes of each row in an answer.
        self._row_bytes: dict[str, int] = {}

    async def read(self, store: RowStore, wait_s: float, known_version: int) -> TableAnswer:
        """Return changes of the table, or all rows; raise StoreUnavailable.

        A call for changes waits up to `wait_s` for one. `known_version` is the newest version
        that the store has stated.
        """
        if self.version is not None:
            page = await self._read_changes(store, self.version, wait_s)
            if page is not None:
                return TableAnswer(page, False, known_version)
        return await self._read_all(store, known_version)

    async def _read_changes(self, store: RowStore, since: int, wait_s: float) -> RowPage | None:
        """Return the changes since a version, None if all rows have to be read."""
        limit_bytes = int(HISTORY_RATIO * sum(self._row_bytes.values())) + HISTORY_SPARE_BYTES
        try:
            return await store.read_changes(self.name, since, wait_s, limit_bytes)
        except HistoryGone as exc:
            logger.info(
                "store does not return the needed changes, reading all rows of table %s: %s",
                self.name,
                exc,
            )
            self.version = None
            return None
        except AnswerCutOff:
            # A read of all rows keeps the pages that arrive.
            self.version = None
            raise

    async def _read_all(self, store: RowStore, known_version: int) -> TableAnswer:
        if self._read is None or self._clock() > self._read_failed_s + RESUME_S:
            self._read, self._read_known_version = TableRead(), known_version
        read, known_version = self._read, self._read_known_version
        try:
            page = await store.read_all(self.name, read)
        except StoreUnavailable:
            self._read_failed_s = self._clock()
            raise
        self._read = None
        return TableAnswer(page, True, known_version)

    async def apply(self, answer: TableAnswer) -> None:
        """Pass rows to the sink."""
        page = answer.page
        if answer.is_full:
            self._row_bytes.clear()
            await self.sink.replace(page)
        else:
            await self.sink.apply_changes(page)
        for row in page.rows:
            self._row_bytes.pop(row.key, None)
            if row.content is not None:
                self._row_bytes[row.key] = _answer_bytes(row.key, row.content)
        self.version = page.version

    def reset(self) -> None:
        """Notify the sink of a restored store, and have all rows read next."""
        self.version = None
        self._read = None
        self.sink.store_restored()


def _answer_bytes(key: str, content: bytes) -> int:
    """Return about how many bytes a row has in an answer."""
    return ROW_OVERHEAD_BYTES + len(key) + len(content) * 4 // 3
