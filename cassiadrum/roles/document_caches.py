"""The service documents in force at a process."""

import asyncio
import logging

from cassiadrum.documents import DocumentError, ServiceDocument, parse_document
from cassiadrum.events import EventKind, EventRing
from cassiadrum.stores import StoreUnavailable, TableStore

__all__ = ["DocumentCache"]

logger = logging.getLogger(__name__)

POLL_S = 1.0


class DocumentCache:
    """Poll the table service for documents and apply versions that are higher."""

    def __init__(self, store: TableStore, ring: EventRing) -> None:
        self.versions: dict[str, int] = {}
        self.documents: dict[str, ServiceDocument] = {}
        self._store = store
        self._ring = ring

    def document(self, service: str) -> ServiceDocument | None:
        """Return the document in force, or None."""
        return self.documents.get(service)

    async def run(self) -> None:
        """Poll for ever."""
        while True:
            try:
                page = await self._store.list("config", fields=("version", "text", "deleted"))
                for row in page.rows:
                    self._apply(row.key, row.value)
            except StoreUnavailable as exc:
                logger.debug("table service: %s", exc)
            await asyncio.sleep(POLL_S)

    def _apply(self, service: str, value: dict[str, object]) -> None:
        version, text = value.get("version"), value.get("text")
        if not isinstance(version, int) or not isinstance(text, str):
            return
        if version <= self.versions.get(service, 0):
            return
        try:
            document = parse_document(text, service)
        except DocumentError:
            logger.exception("the document of %s at version %d is not valid", service, version)
            return
        self.documents[service] = document
        self.versions[service] = version
        self._ring.record(EventKind.CONFIGURATION_APPLIED, service=service, version=version)
