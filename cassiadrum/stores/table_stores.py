"""Interface of the table service."""

from abc import ABC, abstractmethod
from collections.abc import Sequence
from typing import Final

from cassiadrum.stores.row_pages import RowPage
from cassiadrum.stores.rows import Row
from cassiadrum.stores.table_writes import TableWrite
from cassiadrum.stores.write_results import WriteResult

__all__ = ["BATCH_WRITES", "LIST_ROWS", "TableStore"]

# Limits of the platform's table service.
BATCH_WRITES: Final = 25
LIST_ROWS: Final = 1000


class TableStore(ABC):
    """Store of rows that are written by compare-and-set."""

    @abstractmethod
    async def get(self, table: str, key: str) -> Row | None:
        """Return a row, or None if there is none; raise StoreUnavailable."""

    @abstractmethod
    async def list(
        self,
        table: str,
        prefix: str = "",
        *,
        limit: int = LIST_ROWS,
        after: str = "",
        fields: Sequence[str] = (),
    ) -> RowPage:
        """Return rows by key prefix, with only the named fields; raise StoreUnavailable.

        An empty `fields` returns all fields. `after` is the key after which the page starts.
        """

    @abstractmethod
    async def write(self, writes: Sequence[TableWrite]) -> WriteResult:
        """Apply up to BATCH_WRITES writes, all or none."""

    async def put(
        self, table: str, key: str, value: dict[str, object], expected: int
    ) -> WriteResult:
        """Write a row if it has version `expected`, 0 if there must be no row."""
        return await self.write([TableWrite(table, key, value, expected)])

    async def delete(self, table: str, key: str, expected: int) -> WriteResult:
        """Delete a row if it has version `expected`."""
        return await self.write([TableWrite(table, key, None, expected)])
