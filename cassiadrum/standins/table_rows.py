"""In-memory rows of the table service."""

from collections.abc import Sequence

from cassiadrum.stores import (
    BATCH_WRITES,
    Conflict,
    Done,
    Refused,
    Row,
    RowPage,
    TableWrite,
    WriteResult,
)

__all__ = ["TableRows"]


class TableRows:
    """Rows whose versions come from one counter, so that no key ever reuses a version."""

    def __init__(self) -> None:
        self._rows: dict[tuple[str, str], Row] = {}
        self._version = 0

    def get(self, table: str, key: str) -> Row | None:
        """Return a row, or None if the key has none."""
        return self._rows.get((table, key))

    def write(self, writes: Sequence[TableWrite]) -> WriteResult:
        """Apply all writes, or none if one of their conditions fails."""
        if not 0 < len(writes) <= BATCH_WRITES:
            return Refused(f"a batch must have 1 to {BATCH_WRITES} writes")
        if len({(write.table, write.key) for write in writes}) < len(writes):
            return Refused("a batch must not name a row more than once")
        for index, write in enumerate(writes):
            row = self.get(write.table, write.key)
            if (row.version if row else 0) != write.expected:
                return Conflict(row, index)
        return Done(tuple(self._apply(write) for write in writes))

    def list(
        self,
        table: str,
        prefix: str = "",
        *,
        limit: int,
        after: str = "",
        fields: Sequence[str] = (),
    ) -> RowPage:
        """Return at most `limit` rows with a key prefix in key order, after the key `after`."""
        keys = sorted(
            key
            for name, key in self._rows
            if name == table and key.startswith(prefix) and key > after
        )
        rows = [self._rows[table, key] for key in keys[:limit]]
        page = tuple(row._replace(value=_project(row, fields)) for row in rows)
        return RowPage(page, keys[limit - 1] if len(keys) > limit else "")

    def _apply(self, write: TableWrite) -> int:
        self._version += 1
        if write.value is None:
            self._rows.pop((write.table, write.key), None)
        else:
            self._rows[write.table, write.key] = Row(write.key, self._version, write.value)
        return self._version


def _project(row: Row, fields: Sequence[str]) -> dict[str, object]:
    return {name: row.value[name] for name in fields if name in row.value}
