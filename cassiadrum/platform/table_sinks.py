"""Sinks that pass the configuration and the registered endpoints to the gateway."""

import logging
import time
from collections.abc import Callable
from typing import Final

from cassiadrum.gateways import EndpointEntry, Gateway
from cassiadrum.platform.errors import BadRecord
from cassiadrum.platform.records import decode_catalog, decode_entry
from cassiadrum.platform.row_stores import ChangedRow, RowPage
from cassiadrum.platform.store_followers import TableSink
from cassiadrum.protocols import TimeSlice

__all__ = ["CONFIGURATION_TABLE", "ENDPOINT_TABLE", "ConfigurationSink", "EndpointSink"]

logger = logging.getLogger(__name__)

CONFIGURATION_TABLE: Final = "op"
CONFIGURATION_KEY: Final = "config"
ENDPOINT_TABLE: Final = "servers"


class ConfigurationSink(TableSink):
    """Sink of the operator's configuration, and of the store's confirmations of it.

    A restored store may hold an older configuration than the one in force. Its answers then do not
    show which configuration is the newest, so they confirm nothing until the operator has written
    one at least as new.
    """

    def __init__(self, gateway: Gateway) -> None:
        self._gateway = gateway
        # Whether the store was restored, or returned an older configuration, since it last
        # returned one at least as new as the one in force.
        self._store_outdated = False

    async def replace(self, page: RowPage) -> None:
        """Apply all rows of a full read."""
        await self.apply_changes(page)

    async def apply_changes(self, page: RowPage) -> None:
        """Apply a changed configuration, then record the confirmation."""
        for row in page.rows:
            if row.key == CONFIGURATION_KEY and row.content is not None:
                self._apply_configuration(row.content)
        if not self._store_outdated:
            self._gateway.configuration.confirmation.record_answer(
                page.store_s, page.sent_s, page.received_s
            )

    def store_returned(self) -> None:
        """Do nothing: the rows that follow are current."""

    def store_restored(self) -> None:
        """Stop confirming until a configuration as new as the one in force is read."""
        self._store_outdated = self._gateway.configuration.catalog is not None

    def _apply_configuration(self, content: bytes) -> None:
        try:
            catalog = decode_catalog(content)
        except BadRecord as exc:
            logger.error("configuration rejected: %s", exc)
            return
        known = self._gateway.configuration.catalog
        self._store_outdated = known is not None and catalog.version < known.version
        if self._store_outdated and known is not None:
            logger.warning(
                "store returned outdated configuration %s, keeping %s in force",
                catalog.version,
                known.version,
            )
        self._gateway.configuration.set_catalog(catalog)


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

    def store_returned(self) -> None:
        """Keep registrations that expired during the outage for a grace time."""
        self._gateway.directory.store_returned(self._clock())

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
