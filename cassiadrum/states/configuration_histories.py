"""History of configuration versions."""

from difflib import unified_diff
from typing import Final

from cassiadrum.states.configuration_records import ConfigurationRecord
from cassiadrum.stores import (
    BATCH_WRITES,
    LIST_ROWS,
    Row,
    StoreUnavailable,
    TableStore,
    TableWrite,
)

__all__ = ["HISTORY_TABLE", "HISTORY_VERSIONS", "ConfigurationHistory", "text_diff"]

HISTORY_TABLE: Final = "config-history"
HISTORY_VERSIONS: Final = 50


class ConfigurationHistory:
    """The last HISTORY_VERSIONS versions of each service."""

    def __init__(self, store: TableStore) -> None:
        self._store = store

    def history_write(self, record: ConfigurationRecord) -> TableWrite:
        """Return the write that adds a version to the history."""
        return TableWrite(
            HISTORY_TABLE, _key(record.service, record.version), record.to_value(), 0
        )

    async def versions(self, service: str) -> list[ConfigurationRecord]:
        """Return the stored versions without their texts, oldest first; raise StoreUnavailable."""
        names = tuple(name for name in ConfigurationRecord._fields if name != "text")
        page = await self._store.list(HISTORY_TABLE, f"{service}/", fields=names)
        rows = [row._replace(value={**row.value, "text": ""}) for row in page.rows]
        return [ConfigurationRecord.from_row(service, row) for row in rows[-HISTORY_VERSIONS:]]

    async def get(self, service: str, version: int) -> ConfigurationRecord | None:
        """Return a version, None if it is not stored; raise StoreUnavailable."""
        row = await self._store.get(HISTORY_TABLE, _key(service, version))
        return ConfigurationRecord.from_row(service, row) if row else None

    async def diff(self, service: str, old: int, new: int) -> str | None:
        """Return the unified diff of two versions, None if one is not stored."""
        before = await self.get(service, old)
        after = await self.get(service, new)
        if before is None or after is None:
            return None
        return text_diff(before, after.text, f"version {new}")

    async def trim(self, service: str) -> None:
        """Delete the oldest rows beyond HISTORY_VERSIONS; a failure is left to the next call."""
        try:
            page = await self._store.list(HISTORY_TABLE, f"{service}/", limit=LIST_ROWS)
        except StoreUnavailable:
            return
        old: tuple[Row, ...] = page.rows[:-HISTORY_VERSIONS]
        if old:
            await self._store.write(
                [
                    TableWrite(HISTORY_TABLE, row.key, None, row.version)
                    for row in old[:BATCH_WRITES]
                ]
            )


def text_diff(record: ConfigurationRecord, text: str, name: str = "submitted") -> str:
    """Return the unified diff from a record's text to another."""
    before = record.text.splitlines(keepends=True)
    lines = unified_diff(before, text.splitlines(keepends=True), f"version {record.version}", name)
    return "".join(lines)


def _key(service: str, version: int) -> str:
    """Return a row key that sorts by version."""
    return f"{service}/{version:012d}"
