"""One version of a service's configuration."""

from typing import Final, NamedTuple

import msgspec

from cassiadrum.states.errors import InvalidRecord
from cassiadrum.stores import Row

__all__ = ["KEPT_OPERATION_IDS", "ConfigurationRecord"]

KEPT_OPERATION_IDS: Final = 16


class ConfigurationRecord(NamedTuple):
    """Hold a document's text, or a tombstone, and who accepted it.

    `previous_operation_ids` has the operations of the versions before, the latest first.
    `accepted_at` is in seconds since 1970.
    """

    service: str
    version: int
    text: str = ""
    deleted: bool = False
    operation_id: str = ""
    previous_operation_ids: tuple[str, ...] = ()
    author: str = ""
    accepted_at: float = 0.0

    @classmethod
    def from_row(cls, service: str, row: Row | None) -> "ConfigurationRecord":
        """Return the record in a row, version 0 without one; raise InvalidRecord."""
        if row is None:
            return cls(service, 0, deleted=True)
        try:
            values = {**row.value, "service": service}
            return msgspec.convert([values[name] for name in cls._fields], cls)
        except (msgspec.MsgspecError, KeyError) as exc:
            raise InvalidRecord(f"configuration of {service}: {exc!r}") from exc

    def to_value(self) -> dict[str, object]:
        """Return the value of the row."""
        return self._asdict()

    def next(
        self, text: str, deleted: bool, operation_id: str, author: str, accepted_at: float
    ) -> "ConfigurationRecord":
        """Return the version that follows this one."""
        previous = (self.operation_id, *self.previous_operation_ids) if self.version else ()
        return ConfigurationRecord(
            self.service,
            self.version + 1,
            text,
            deleted,
            operation_id,
            previous[:KEPT_OPERATION_IDS],
            author,
            accepted_at,
        )

    def version_of(self, operation_id: str) -> int | None:
        """Return the version that an operation wrote, None when it is not among the last."""
        if self.version == 0:
            return None
        operations = (self.operation_id, *self.previous_operation_ids)
        if operation_id not in operations:
            return None
        return self.version - operations.index(operation_id)
