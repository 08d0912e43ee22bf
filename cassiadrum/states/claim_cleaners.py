"""Removal of claims that exceed the retention time."""

import time
from collections.abc import Callable

from cassiadrum.defaults import LIMITS
from cassiadrum.states.answer_stores import AnswerStore
from cassiadrum.states.claim_services import CLAIM_TABLE
from cassiadrum.stores import BATCH_WRITES, Done, ObjectStore, Row, TableStore, TableWrite

__all__ = ["ClaimCleaner"]


class ClaimCleaner:
    """Cleaner of claims older than CLAIM_RETENTION_S; one process runs it, under a lease."""

    def __init__(
        self,
        store: TableStore,
        objects: ObjectStore,
        *,
        wall_clock: Callable[[], float] = time.time,
        page_rows: int = 1000,
    ) -> None:
        self._store = store
        self._answers = AnswerStore(objects)
        self._wall_clock = wall_clock
        self._page_rows = page_rows
        self._after = ""

    async def clean_page(self) -> int:
        """Check one page of rows and return how many were removed; raise StoreUnavailable.

        Each call continues after the previous page. A row that changes meanwhile is kept.
        """
        page = await self._store.list(
            CLAIM_TABLE,
            limit=self._page_rows,
            after=self._after,
            fields=("claimed_at", "object_key"),
        )
        old = [row for row in page.rows if await self._remove_expired_answer(row)]
        removed = 0
        for start in range(0, len(old), BATCH_WRITES):
            part = old[start : start + BATCH_WRITES]
            writes = [TableWrite(CLAIM_TABLE, row.key, None, row.version) for row in part]
            if isinstance(await self._store.write(writes), Done):
                removed += len(part)
        self._after = page.next_after
        return removed

    async def _remove_expired_answer(self, row: Row) -> bool:
        claimed_at, object_key = row.value.get("claimed_at"), row.value.get("object_key")
        if not isinstance(claimed_at, float | int) or not isinstance(object_key, str):
            return False
        if claimed_at + LIMITS.CLAIM_RETENTION_S > self._wall_clock():
            return False
        # The object is deleted before the row, which holds the only reference to it.
        return await self._answers.remove(object_key)
