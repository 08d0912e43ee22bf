"""Sinks that pass the configuration and the registered endpoints to the gateway."""

import logging
import time
from collections.abc import Callable
from enum import Enum
from typing import Final

from cassiadrum.gateways import EndpointEntry, Gateway
from cassiadrum.platform.errors import BadRecord
from cassiadrum.platform.followed_tables import TableSink
from cassiadrum.platform.records import decode_catalog, decode_entry
from cassiadrum.platform.row_pages import ChangedRow, RowPage
from cassiadrum.protocols import TimeSlice

__all__ = ["CONFIGURATION_TABLE", "ENDPOINT_TABLE", "ConfigurationSink", "EndpointSink"]

logger = logging.getLogger(__name__)

CONFIGURATION_TABLE: Final = "op"
CONFIGURATION_KEY: Final = "config"
ENDPOINT_TABLE: Final = "servers"


class StoredConfiguration(Enum):
    """What the store holds as the operator's configuration, by its last answer about it.

    Only IN_FORCE, which includes an answer without a change, confirms the configuration in force.
    """

    IN_FORCE = "in force"
    # The store was restored from a copy that may hold an older version than the one in force.
    OUTDATED = "outdated"
    # The row cannot be decoded: a version that this gateway does not know replaced the known one.
    UNREADABLE = "unreadable"
    # There is no row.
    ABSENT = "absent"


class ConfigurationSink(TableSink):
    """Sink of the operator's configuration, and of the store's confirmations of it.

    While the store holds anything but the configuration in force, its answers confirm nothing.
    """

    def __init__(self, gateway: Gateway) -> None:
        self._gateway = gateway
        self._stored = StoredConfiguration.ABSENT

    async def replace(self, page: RowPage) -> None:
        """Apply all rows of a full read."""
        if all(row.key != CONFIGURATION_KEY for row in page.rows):
            self._set_stored(StoredConfiguration.ABSENT)
        await self.apply_changes(page)

    async def apply_changes(self, page: RowPage) -> None:
        """Apply a changed configuration, then record the confirmation."""
        for row in page.rows:
            if row.key == CONFIGURATION_KEY:
                self._set_stored(self._apply_configuration(row.content))
        if self._stored is StoredConfiguration.IN_FORCE:
            self._gateway.configuration.confirmation.record_answer(
                page.store_s, page.sent_s, page.received_s
            )

    def store_returned(self, last_answer_s: float | None) -> None:
        """Do nothing: the rows that follow are current."""

    def store_restored(self) -> None:
        """Stop confirming until a configuration as new as the one in force is read."""
        self._set_stored(StoredConfiguration.OUTDATED)

    def _set_stored(self, stored: StoredConfiguration) -> None:
        if stored is StoredConfiguration.ABSENT and self._stored is not stored:
            logger.error("the store has no configuration, keeping the one in force unconfirmed")
        self._stored = stored

    def _apply_configuration(self, content: bytes | None) -> StoredConfiguration:
        """Put the content of a row in force if it is a newer version, and return what it is."""
        if content is None:
            return StoredConfiguration.ABSENT
        try:
            catalog = decode_catalog(content)
        except BadRecord as exc:
            logger.error("configuration rejected, the one in force is unconfirmed: %s", exc)
            return StoredConfiguration.UNREADABLE
        known = self._gateway.configuration.catalog
        if known is not None and catalog.version < known.version:
            logger.warning(
                "store returned outdated configuration %s, keeping %s in force",
                catalog.version,
                known.version,
            )
            return StoredConfiguration.OUTDATED
        self._gateway.configuration.set_catalog(catalog)
        return StoredConfiguration.IN_FORCE


class EndpointSink(TableSink):
    """Sink of the registered endpoints."""

    def __init__(self, gateway: Gateway, clock: Callable[[], float] = time.monotonic) -> None:
        self._gateway = gateway
        self._clock = clock

    async def replace(self, page: RowPage) -> None:
        """Apply all rows of a full read."""
        time_slice = TimeSlice()
        entries = []
        for row in page.rows:
            await time_slice.checkpoint()
            entry = self._decode(row)
            if entry is not None:
                entries.append(entry)
        self._gateway.directory.replace(entries, self._clock())
        self._gateway.endpoints_changed()

    async def apply_changes(self, page: RowPage) -> None:
        """Add, update or remove the endpoints of the changed rows."""
        time_slice = TimeSlice()
        for row in page.rows:
            await time_slice.checkpoint()
            entry = self._decode(row)
            if entry is None:
                self._gateway.directory.remove(row.key, self._clock())
            else:
                self._gateway.directory.put(entry)
        if page.rows:
            self._gateway.endpoints_changed()

    def store_returned(self, last_answer_s: float | None) -> None:
        """Keep registrations that expired during the outage for a grace time."""
        self._gateway.directory.store_returned(self._clock(), last_answer_s)

    def store_restored(self) -> None:
        """Allow for old registrations of endpoints that have since left or stopped."""
        self._gateway.directory.store_restored(self._clock())

    def _decode(self, row: ChangedRow) -> EndpointEntry | None:
        if row.content is None:
            return None
        try:
            return decode_entry(row.key, row.content)
        except BadRecord as exc:
            logger.warning("registration rejected: %s", exc)
            return None
