"""The configuration and the registered endpoints as the gateway takes them."""

import logging
import time
from collections.abc import Callable
from typing import Final

from cassiadrum.gateways import EndpointEntry, Gateway
from cassiadrum.platform.errors import BadRecord
from cassiadrum.platform.records import decode_catalog, decode_entry
from cassiadrum.platform.row_stores import ChangedRow, RowPage
from cassiadrum.platform.store_followers import TableSink

__all__ = ["CONFIGURATION_TABLE", "ENDPOINT_TABLE", "ConfigurationSink", "EndpointSink"]

logger = logging.getLogger(__name__)

CONFIGURATION_TABLE: Final = "op"
CONFIGURATION_KEY: Final = "config"
ENDPOINT_TABLE: Final = "servers"


class ConfigurationSink(TableSink):
    """Put the operator's configuration in force and date its confirmation.

    A store that was restored may name an older configuration than the one in force. Until the
    operator has written again, its answers do not tell what the newest one is and confirm nothing.
    """

    def __init__(self, gateway: Gateway) -> None:
        self._gateway = gateway
        # Whether the store was restored, or named an older configuration, since it last named one
        # that is as new as the one in force.
        self._behind = False

    def replace(self, page: RowPage) -> None:
        """Take all rows."""
        self.change(page)

    def change(self, page: RowPage) -> None:
        """Take the rows that changed, then the confirmation."""
        for row in page.rows:
            if row.key == CONFIGURATION_KEY and row.content is not None:
                self._put(row.content)
        if not self._behind:
            self._gateway.confirmation.record_answer(page.store_s, page.sent_s, page.received_s)

    def returned(self) -> None:
        """Need nothing at the store's return: the rows that follow are the newest."""

    def restored(self) -> None:
        """Confirm nothing until a configuration as new as the one in force was read."""
        self._behind = self._gateway.catalog is not None

    def _put(self, content: bytes) -> None:
        try:
            catalog = decode_catalog(content)
        except BadRecord as exc:
            logger.error("configuration not taken: %s", exc)
            return
        known = self._gateway.catalog
        self._behind = known is not None and catalog.version < known.version
        if self._behind and known is not None:
            logger.warning(
                "the store names configuration %s, %s stays in force",
                catalog.version,
                known.version,
            )
        self._gateway.set_catalog(catalog)


class EndpointSink(TableSink):
    """Keep the gateway's directory of endpoints."""

    def __init__(self, gateway: Gateway, clock: Callable[[], float] = time.monotonic) -> None:
        self._gateway = gateway
        self._clock = clock

    def replace(self, page: RowPage) -> None:
        """Take all rows."""
        entries = [entry for row in page.rows if (entry := self._decode(row)) is not None]
        self._gateway.directory.replace(entries, self._clock())
        self._gateway.endpoints_changed()

    def change(self, page: RowPage) -> None:
        """Take the rows that changed."""
        for row in page.rows:
            entry = self._decode(row)
            if entry is None:
                self._gateway.directory.remove(row.key, self._clock())
            else:
                self._gateway.directory.put(entry)
        if page.rows:
            self._gateway.endpoints_changed()

    def returned(self) -> None:
        """Keep what lapsed during the outage for a while."""
        self._gateway.directory.store_returned(self._clock())

    def restored(self) -> None:
        """Expect registrations of endpoints that left or are gone."""
        self._gateway.directory.store_restored(self._clock())

    def _decode(self, row: ChangedRow) -> EndpointEntry | None:
        if row.content is None:
            return None
        try:
            return decode_entry(row.key, row.content)
        except BadRecord as exc:
            logger.warning("registration not taken: %s", exc)
            return None
