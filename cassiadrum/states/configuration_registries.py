"""The configurations in force in one process."""

from collections.abc import Mapping

import xxhash

from cassiadrum.documents import DocumentError, ServiceDocument, parse_document
from cassiadrum.states.configuration_records import ConfigurationRecord
from cassiadrum.states.errors import InvalidRecord

__all__ = ["ConfigurationRegistry"]


class ConfigurationRegistry:
    """The highest version of each service; a tombstone counts as a version."""

    def __init__(self) -> None:
        self._records: dict[str, ConfigurationRecord] = {}
        self._documents: dict[str, ServiceDocument] = {}
        self._digest: int | None = None

    def apply(self, record: ConfigurationRecord) -> bool:
        """Put a record in force if its version is higher; return whether it was applied.

        Raises InvalidRecord if the document is invalid; the version in force then stays.
        """
        if record.version <= self.version(record.service):
            return False
        document = None if record.deleted else _parse(record)
        self._records[record.service] = record
        self._digest = None
        if document is None:
            self._documents.pop(record.service, None)
        else:
            self._documents[record.service] = document
        return True

    def document(self, service: str) -> ServiceDocument | None:
        """Return the document in force, None for an unknown or deleted service."""
        return self._documents.get(service)

    def documents(self) -> tuple[ServiceDocument, ...]:
        """Return the documents in force."""
        return tuple(self._documents.values())

    def record(self, service: str) -> ConfigurationRecord | None:
        """Return the record in force, tombstones included."""
        return self._records.get(service)

    def version(self, service: str) -> int:
        """Return the version in force, 0 for an unknown service."""
        record = self._records.get(service)
        return record.version if record else 0

    def versions(self) -> dict[str, int]:
        """Return the version vector, tombstones included."""
        return {service: record.version for service, record in self._records.items()}

    def digest(self) -> int:
        """Return a 64-bit digest of the version vector."""
        # Cached because every heartbeat of every link needs it.
        if self._digest is None:
            pairs = sorted(self.versions().items())
            text = "\n".join(f"{name} {version}" for name, version in pairs)
            self._digest = xxhash.xxh64_intdigest(text.encode())
        return self._digest

    def outdated_services(self, versions: Mapping[str, int]) -> list[str]:
        """Return the services that have a higher version in `versions` than in force here."""
        return sorted(name for name, version in versions.items() if version > self.version(name))


def _parse(record: ConfigurationRecord) -> ServiceDocument:
    try:
        document = parse_document(record.text, f"{record.service}.toml", accepted=True)
    except DocumentError as exc:
        raise InvalidRecord(str(exc)) from exc
    if document.name != record.service:
        raise InvalidRecord(
            f"document of service {document.name} in the record of service {record.service}"
        )
    return document
