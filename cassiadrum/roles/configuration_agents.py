"""Spread of configurations between processes."""

import logging
import random
from collections.abc import Callable

from cassiadrum.documents import ServiceDocument
from cassiadrum.events import EventKind, EventRing
from cassiadrum.links import Link
from cassiadrum.links.messages import Document, FetchDocument, Message, Versions
from cassiadrum.states import (
    ConfigurationReader,
    ConfigurationRecord,
    ConfigurationRegistry,
    InvalidRecord,
)

__all__ = ["ConfigurationAgent"]

logger = logging.getLogger(__name__)


class ConfigurationAgent:
    """Keep the registry up to date from peers and from the table service.

    Heartbeats carry the digest of the version vector; peers that differ exchange their vectors,
    and each fetches what the other has in a higher version.
    """

    def __init__(
        self,
        registry: ConfigurationRegistry,
        reader: ConfigurationReader,
        ring: EventRing,
        rng: random.Random,
        *,
        processes: Callable[[], int] = lambda: 1,
    ) -> None:
        self.registry = registry
        self.on_applied: Callable[[str], None] = lambda service: None
        self._reader = reader
        self._ring = ring
        self._rng = rng
        self._processes = processes
        self._links: set[Link] = set()

    @property
    def ready(self) -> bool:
        """Tell whether a configuration has been received."""
        return bool(self.registry.versions())

    def document(self, service: str) -> ServiceDocument | None:
        """Return the document in force, or None."""
        return self.registry.document(service)

    def digest(self) -> str:
        """Return the digest that heartbeats carry."""
        return f"{self.registry.digest():016x}"

    async def run(self) -> None:
        """Poll the table service for ever, at the rate that the fleet may use."""
        await self._reader.run(self._processes, self._applied, self._rng)

    def link_up(self, link: Link) -> None:
        """Compare versions with a new peer."""
        self._links.add(link)
        link.send(Versions(self.registry.versions()))

    def link_down(self, link: Link) -> None:
        """Forget a peer."""
        self._links.discard(link)

    def heard(self, link: Link, digest: str) -> None:
        """Compare a peer's digest and send the version vector when it differs."""
        if digest != self.digest():
            link.send(Versions(self.registry.versions()))

    def take(self, link: Link, msg: Message) -> bool:
        """Handle a message of the exchange; return False for any other."""
        if isinstance(msg, Versions):
            for service in self.registry.missing(msg.versions):
                link.send(FetchDocument(service))
        elif isinstance(msg, FetchDocument):
            self._send_document(link, msg.service)
        elif isinstance(msg, Document):
            self.apply(ConfigurationRecord(msg.service, msg.version, msg.text, msg.deleted))
        else:
            return False
        return True

    def apply(self, record: ConfigurationRecord) -> bool:
        """Put a record in force if its version is higher, and tell the peers."""
        try:
            applied = self.registry.apply(record)
        except InvalidRecord as exc:
            logger.error("configuration of %s not applied: %s", record.service, exc)
            self._ring.record(
                EventKind.CONFIGURATION_REFUSED, service=record.service, version=record.version
            )
            return False
        if applied:
            self._applied(record)
        return applied

    def _applied(self, record: ConfigurationRecord) -> None:
        self._ring.record(
            EventKind.CONFIGURATION_APPLIED, service=record.service, version=record.version
        )
        self.on_applied(record.service)
        for link in self._links:
            link.send(Versions({record.service: record.version}))

    def _send_document(self, link: Link, service: str) -> None:
        record = self.registry.record(service)
        if record is not None:
            link.send(Document(service, record.version, record.text, record.deleted))
