"""Distribution of configurations between processes."""

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
    """Agent that keeps the registry up to date from peers and from the table service.

    Heartbeats carry a digest of the version vector. Peers whose digests differ exchange their
    vectors, and each fetches the records of which the other has a higher version.
    `process_count` returns the size of the fleet, which determines the polling rate.
    """

    def __init__(
        self,
        registry: ConfigurationRegistry,
        reader: ConfigurationReader,
        ring: EventRing,
        rng: random.Random,
        *,
        process_count: Callable[[], int] = lambda: 1,
    ) -> None:
        self.registry = registry
        self.on_applied: Callable[[str], None] = lambda service: None
        self._reader = reader
        self._ring = ring
        self._rng = rng
        self._process_count = process_count
        self._links: set[Link] = set()

    @property
    def ready(self) -> bool:
        """Return whether any configuration has been received."""
        return bool(self.registry.versions())

    def document(self, service: str) -> ServiceDocument | None:
        """Return the document in force for a service, or None."""
        return self.registry.document(service)

    def digest(self) -> str:
        """Return the digest of the version vector, as heartbeats carry it."""
        return f"{self.registry.digest():016x}"

    async def run(self) -> None:
        """Poll the table service until cancelled, within the read rate of the whole fleet."""
        await self._reader.run(self._process_count, self._announce, self._rng)

    def link_up(self, link: Link) -> None:
        """Add the link to a new peer and send it the version vector."""
        self._links.add(link)
        link.send(Versions(self.registry.versions()))

    def link_down(self, link: Link) -> None:
        """Remove the link to a peer."""
        self._links.discard(link)

    def compare_digest(self, link: Link, digest: str) -> None:
        """Send the version vector to a peer whose digest differs."""
        if digest != self.digest():
            link.send(Versions(self.registry.versions()))

    def handle_message(self, link: Link, msg: Message) -> bool:
        """Handle a message about configurations; return False for any other message."""
        if isinstance(msg, Versions):
            for service in self.registry.outdated_services(msg.versions):
                link.send(FetchDocument(service))
        elif isinstance(msg, FetchDocument):
            self._send_document(link, msg.service)
        elif isinstance(msg, Document):
            self.apply(ConfigurationRecord(msg.service, msg.version, msg.text, msg.deleted))
        else:
            return False
        return True

    def apply(self, record: ConfigurationRecord) -> bool:
        """Put a record in force if its version is higher, and announce it to the peers.

        Returns whether it was applied; an invalid record is logged and refused.
        """
        try:
            applied = self.registry.apply(record)
        except InvalidRecord as exc:
            logger.error("configuration of %s not applied: %s", record.service, exc)
            self._ring.record(
                EventKind.CONFIGURATION_REFUSED, service=record.service, version=record.version
            )
            return False
        if applied:
            self._announce(record)
        return applied

    def _announce(self, record: ConfigurationRecord) -> None:
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
