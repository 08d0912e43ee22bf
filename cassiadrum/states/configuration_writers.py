"""Accepts configuration changes and writes them to the table service."""

import asyncio
import logging
import time
from collections.abc import Awaitable, Callable
from typing import Final

from cassiadrum.documents import DocumentError, parse_document
from cassiadrum.schemas import Finding
from cassiadrum.states.accept_results import (
    Accepted,
    AcceptResult,
    Conflicted,
    Invalid,
    NotAccepted,
    Unresolved,
)
from cassiadrum.states.configuration_changes import ConfigurationChange
from cassiadrum.states.configuration_histories import ConfigurationHistory, text_diff
from cassiadrum.states.configuration_records import KEPT_OPERATION_IDS, ConfigurationRecord
from cassiadrum.states.errors import InvalidRecord
from cassiadrum.stores import (
    Conflict,
    Done,
    Refused,
    Row,
    StoreUnavailable,
    TableStore,
    TableWrite,
    Unknown,
)

__all__ = ["CONFIG_TABLE", "ConfigurationWriter"]

logger = logging.getLogger(__name__)

CONFIG_TABLE: Final = "config"
SUBMIT_ATTEMPTS: Final = 5
# Pauses before each attempt to resolve an unknown outcome. Together they exceed the store's
# timeout, by when a write in flight has reached the store or is lost.
RESOLVE_PAUSES_S: Final = (0.0, 0.1, 0.3, 1.0, 2.0)


class ConfigurationWriter:
    """Writer of configurations by compare-and-set; an accepted change is durable."""

    def __init__(
        self,
        store: TableStore,
        *,
        wall_clock: Callable[[], float] = time.time,
        pause: Callable[[float], Awaitable[None]] = asyncio.sleep,
    ) -> None:
        self._store = store
        self._wall_clock = wall_clock
        self._pause = pause
        self.history = ConfigurationHistory(store)

    async def accept(
        self, service: str, text: str, base_version: int, operation_id: str, author: str
    ) -> AcceptResult:
        """Validate a document and write it as the version after `base_version`.

        Repeating a call with the same operation id is safe.
        """
        try:
            name = parse_document(text, f"{service}.toml").name
        except DocumentError as exc:
            return Invalid(tuple(exc.findings))
        if name != service:
            finding = Finding(f"{service}.toml", "service.name", repr(name), repr(service))
            return Invalid((finding,))
        change = ConfigurationChange(service, base_version, operation_id, author, text)
        return await self._submit(change)

    async def delete(
        self, service: str, base_version: int, operation_id: str, author: str
    ) -> AcceptResult:
        """Write a tombstone as the version after `base_version`."""
        change = ConfigurationChange(service, base_version, operation_id, author, deleted=True)
        return await self._submit(change)

    async def _submit(self, change: ConfigurationChange) -> AcceptResult:
        for _ in range(SUBMIT_ATTEMPTS):
            try:
                row = await self._store.get(CONFIG_TABLE, change.service)
                current = ConfigurationRecord.from_row(change.service, row)
            except (StoreUnavailable, InvalidRecord) as exc:
                return NotAccepted(str(exc))
            if known_result := await self._resolve_from_record(change, current):
                return known_result
            record = current.next(
                change.text, change.deleted, change.operation_id, change.author, self._wall_clock()
            )
            result = await self._write(record, row)
            if isinstance(result, Done):
                await self.history.trim(change.service)
                return Accepted(record.version, record)
            if isinstance(result, Refused):
                return NotAccepted(result.reason, result.retry_after_s)
            if isinstance(result, Unknown):
                return await self._resolve_unknown(change, row)
        return NotAccepted(f"{SUBMIT_ATTEMPTS} attempts conflicted with concurrent writes")

    async def _write(
        self, record: ConfigurationRecord, row: Row | None
    ) -> Done | Conflict | Refused | Unknown:
        """Write the record and its history row in one batch, so that the history has no gaps."""
        value = record.to_value()
        expected = row.version if row else 0
        return await self._store.write(
            [
                TableWrite(CONFIG_TABLE, record.service, value, expected),
                self.history.history_write(record),
            ]
        )

    async def _resolve_unknown(
        self, change: ConfigurationChange, base: Row | None
    ) -> AcceptResult:
        """Determine whether a write with an unknown outcome was applied, or prevent it."""
        for pause_s in RESOLVE_PAUSES_S:
            await self._pause(pause_s)
            try:
                row = await self._store.get(CONFIG_TABLE, change.service)
                current = ConfigurationRecord.from_row(change.service, row)
            except (StoreUnavailable, InvalidRecord):
                continue
            if known_result := await self._resolve_from_record(change, current):
                return known_result
            # The write is conditional on the version of `base`; it cannot apply to any other.
            if (row.version if row else 0) != (base.version if base else 0):
                return NotAccepted("the write was not applied")
            if await self._fence(current, row):
                return NotAccepted("the write was not applied")
        logger.warning(
            "outcome of configuration operation %s is still unknown", change.operation_id
        )
        return Unresolved(change.operation_id, "the table service did not answer")

    async def _fence(self, current: ConfigurationRecord, row: Row | None) -> bool:
        """Rewrite the row with its own content, so that a write in flight gets a conflict.

        A missing row becomes a tombstone of version 0, which no process applies.
        """
        expected = row.version if row else 0
        result = await self._store.put(CONFIG_TABLE, current.service, current.to_value(), expected)
        return isinstance(result, Done)

    async def _resolve_from_record(
        self, change: ConfigurationChange, current: ConfigurationRecord
    ) -> AcceptResult | None:
        """Return the result that the current record implies, None if the change may be written."""
        version = current.version_of(change.operation_id)
        if version is not None:
            return Accepted(version, current)
        if current.version == change.base_version:
            return None
        if current.version - change.base_version > KEPT_OPERATION_IDS + 1:
            # The record no longer lists the operation that followed the base; the history may.
            return await self._resolve_from_history(change, current)
        return Conflicted(current, text_diff(current, change.text))

    async def _resolve_from_history(
        self, change: ConfigurationChange, current: ConfigurationRecord
    ) -> AcceptResult:
        target = change.base_version + 1
        try:
            record = await self.history.get(change.service, target)
        except (StoreUnavailable, InvalidRecord) as exc:
            return Unresolved(change.operation_id, str(exc))
        if record is None:
            reason = (
                f"the current version is {current.version}; version {target} is no longer stored"
            )
            return Unresolved(change.operation_id, reason)
        if record.operation_id == change.operation_id:
            return Accepted(target, current)
        return Conflicted(current, text_diff(current, change.text))
