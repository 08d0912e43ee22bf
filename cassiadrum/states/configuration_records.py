"""One version of a service's configuration."""

from typing import Final, NamedTuple

import msgspec

from cassiadrum.states.errors import InvalidRecord
from cassiadrum.stores import Row

__all__ = ["KEPT_OPERATION_IDS", "ConfigurationRecord"]

KEPT_OPERATION_IDS: Final = 16


class ConfigurationRecord(NamedTuple):
    """A document's text, or a tombstone, with its author and operation id.

    `previous_operation_ids` lists the operations of the preceding versions, the latest first.
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
        """Decode a row, giving version 0 if there is none; raise InvalidRecord."""
        if row is None:
            return cls(service, 0, deleted=True)
        try:
            values = {**row.value, "service": service}
            return msgspec.convert([values[name] for name in cls._fields], cls)
        except (msgspec.MsgspecError, KeyError) as exc:
            raise InvalidRecord(f"invalid configuration of service {service}: {exc!r}") from exc

    def to_value(self) -> dict[str, object]:
        """Return the value for a row."""
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
        """Return the version that an operation wrote, None if it is not among those recorded."""
        if self.version == 0:
            return None
        operations = (self.operation_id, *self.previous_operation_ids)
        if operation_id not in operations:
            return None
        return self.version - operations.index(operation_id)
